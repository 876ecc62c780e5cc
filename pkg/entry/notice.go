package entry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
)

// maxPause bounds the pause that a target asks for, so that a mistaken value does not keep it out of use until its next start. It is the
// longest timeout that a route may have: no request that a target has to finish first lasts longer.
const maxPause = 10 * time.Minute

// leavingValue is the value of Protocol.LeavingHeader by which a target says that it leaves. Other values mean nothing.
const leavingValue = "1"

// decodeNotice decodes what the head of a response says about further requests to the target. A 421 says nothing, because another
// target may have sent it.
func decodeNotice(p Protocol, response *http.Response) dispatch.Notice {
	notice := dispatch.Notice{}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return notice
	}
	for _, value := range response.Header[p.LeavingHeader] {
		notice.Leaving = notice.Leaving || strings.TrimSpace(value) == leavingValue
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		notice.Pause = decodePause(response.Header)
	}
	return notice
}

// decodePause returns the longest time that the Retry-After fields of a response state, at most maxPause, and 0 if none states any.
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
		case errors.Is(err, strconv.ErrRange) || seconds >= maxPause.Seconds():
			return maxPause
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
	return min(max(0, until.Sub(from)), maxPause)
}

// recordNotice lets the dispatcher act on what an answer of the chosen target says about further requests, and logs what it changes.
func (h *Host) recordNotice(request string, choice *dispatch.Choice, notice dispatch.Notice) {
	effect := h.dispatcher.RecordNotice(h.now(), choice, notice)
	if effect.PausedFor > 0 {
		klog.InfoS("target pauses", "request", request, "target", choice.ID, "started", choice.StartedUnixMs, "service", choice.Service,
			"asked", notice.Pause, "for", effect.PausedFor)
		h.requestMetrics.recordNotice(choice.Service, noticePause)
		h.notifyLoadChanged()
	}
	if effect.Leaving {
		klog.InfoS("target leaves", "request", request, "target", choice.ID, "started", choice.StartedUnixMs, "service", choice.Service)
		h.requestMetrics.recordNotice(choice.Service, noticeLeaving)
		h.notifyTargetLeaves()
	}
}
