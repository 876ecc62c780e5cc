package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// errCannotResume is the error of a response that was cut off and cannot be completed.
var errCannotResume = merry.Sentinel("response body cut off and not resumable")

// conditionalHeaders are the range and precondition fields of the first request that must not apply to the resume request.
var conditionalHeaders = []string{"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"}

// byteRange is the part of a representation that a response carries.
type byteRange struct {
	etag string
	// first and last are the positions of the first and last byte; last is -1 if unknown.
	first, last int64
}

// resume requests the rest of a response that was cut off after offset bytes, and returns its body. Only the attached host
// does this, and only for GET with a strong entity tag: If-Range ensures that the rest belongs to the same representation
// (RFC 9110 section 13.1.5). The attempt is taken from the retry budget.
func (x *exchange) resume(upstream *upstreamResponse, offset int64, cause error) (io.ReadCloser, error) {
	failed := merry.Wrap(errCannotResume, merry.WithCause(cause))
	upstream.exchange.Discard()
	if upstream.rest == nil {
		upstream.rest = rangeOf(upstream.exchange.Response)
	}
	if upstream.targetAttempt == nil || upstream.rest == nil || x.r.Method != http.MethodGet || x.ctx.Err() != nil {
		return nil, failed
	}
	wait, ok := x.options.Retries.AllowRetry(FailedAttempt{Idempotent: true, Ran: apierr.RunUnknown, Left: x.timeLeft(), Retries: x.retries})
	if !ok {
		return nil, failed
	}
	x.retries++
	x.telemetry.countRetry(x.service)
	time.Sleep(wait)
	s := upstream.targetAttempt
	s.resuming = true
	rest, err := s.send(x.resumeHeader(upstream.rest, offset), http.NoBody)
	if err != nil {
		return nil, merry.Wrap(errCannotResume, merry.WithCause(err))
	}
	upstream.exchange = rest.exchange
	if !upstream.rest.continuedBy(rest.exchange.Response, offset) {
		return nil, failed
	}
	return rest.exchange.Response.Body, nil
}

// resumeHeader returns the header that requests the rest of the range after offset bytes.
func (x *exchange) resumeHeader(rest *byteRange, offset int64) http.Header {
	header := x.outgoingHeader()
	for _, name := range conditionalHeaders {
		header.Del(name)
	}
	wanted := "bytes=" + strconv.FormatInt(rest.first+offset, 10) + "-"
	if rest.last >= 0 {
		wanted += strconv.FormatInt(rest.last, 10)
	}
	header.Set("Range", wanted)
	header.Set("If-Range", rest.etag)
	return header
}

// rangeOf returns the part that a response carries, or nil when it cannot be resumed: without a strong entity tag, two
// responses may be of different representations.
func rangeOf(response *http.Response) *byteRange {
	etag := response.Header.Get("Etag")
	if !strings.HasPrefix(etag, `"`) || response.Header.Get("Accept-Ranges") == "none" {
		return nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		// A ContentLength of -1 (unknown) leaves last at -1.
		return &byteRange{etag: etag, last: max(-1, response.ContentLength-1)}
	case http.StatusPartialContent:
		first, last, _, ok := parseContentRange(response.Header.Get("Content-Range"))
		if ok {
			return &byteRange{etag: etag, first: first, last: last}
		}
	}
	return nil
}

// continuedBy reports whether response carries exactly the bytes of the range that are missing after offset.
func (r *byteRange) continuedBy(response *http.Response, offset int64) bool {
	if response.StatusCode != http.StatusPartialContent || response.Header.Get("Etag") != r.etag {
		return false
	}
	first, last, total, ok := parseContentRange(response.Header.Get("Content-Range"))
	if !ok || first != r.first+offset {
		return false
	}
	if r.last < 0 {
		return last == total-1
	}
	return last == r.last
}

// parseContentRange reads "bytes FIRST-LAST/TOTAL"; total is -1 for "*".
func parseContentRange(text string) (first, last, total int64, ok bool) {
	var totalText string
	if n, err := fmt.Sscanf(text, "bytes %d-%d/%s", &first, &last, &totalText); err != nil || n != 3 {
		return 0, 0, 0, false
	}
	if totalText == "*" {
		return first, last, -1, first >= 0 && first <= last
	}
	total, err := strconv.ParseInt(totalText, 10, 64)
	return first, last, total, err == nil && first >= 0 && first <= last && last < total
}
