// Package notice decodes what responses of targets say about further requests.
package notice

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Notice is what a response of a target says about further requests.
type Notice struct {
	// Leaving is set if the target is about to stop and wants no new requests.
	Leaving bool
	// Pause is how long the target wants no requests from this host; 0 if it does not ask for a pause.
	Pause time.Duration
}

// MaxPause bounds the pause that a target asks for, so that a mistaken value does not keep it out of use until its next start. It is the
// longest timeout that a route may have: no request that a target has to finish first lasts longer.
const MaxPause = 10 * time.Minute

// leavingValue is the value of the leaving header by which a target says that it leaves. Other values mean nothing.
const leavingValue = "1"

// Decode decodes what the head of a response says about further requests to the target. A 421 says nothing, because another
// target may have sent it. leavingHeader is the canonical name of the field by which a target says that it leaves.
func Decode(response *http.Response, leavingHeader string) Notice {
	notice := Notice{}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return notice
	}
	for _, value := range response.Header[leavingHeader] {
		notice.Leaving = notice.Leaving || strings.TrimSpace(value) == leavingValue
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		notice.Pause = decodePause(response.Header)
	}
	return notice
}

// decodePause returns the longest time that the Retry-After fields of a response state, at most MaxPause, and 0 if none states any.
func decodePause(header http.Header) time.Duration {
	pause := time.Duration(0)
	for _, field := range header["Retry-After"] {
		pause = max(pause, parseRetryAfter(strings.TrimSpace(field), header.Get("Date")))
	}
	return pause
}

// parseRetryAfter decodes a Retry-After field (RFC 9110, section 10.2.3): seconds, here with an optional fraction, or a date. A date counts
// from the Date field of the same response, because the clocks of the target and of this host may differ. Invalid values result in 0.
func parseRetryAfter(field, date string) time.Duration {
	if strings.Trim(field, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(field, 64)
		switch {
		case errors.Is(err, strconv.ErrRange) || seconds >= MaxPause.Seconds():
			return MaxPause
		case err != nil:
			return 0
		}
		return time.Duration(seconds * float64(time.Second))
	}
	until, err := http.ParseTime(field)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(date)
	if err != nil {
		return 0
	}
	return min(max(0, until.Sub(from)), MaxPause)
}
