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

// errCannotResume is a cut answer that cannot be completed.
var errCannotResume = merry.Sentinel("the answer was cut and cannot be resumed")

// conditional are the fields of the first request that must not decide about the rest.
var conditional = []string{"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"}

// byteRange is the part of a representation that an answer carries.
type byteRange struct {
	tag string
	// first and last are the positions of the first and last byte; last is -1 while it is not known.
	first, last int64
}

// resume asks the target for the rest of a cut answer, from offset on. Only the attached host does this, for GET with a
// strong entity tag: If-Range makes certain that the rest belongs to the same representation (RFC 9110 section 13.1.5).
func (x *exchange) resume(a *answer, offset int64, cause error) (io.ReadCloser, error) {
	failed := merry.Wrap(errCannotResume, merry.WithCause(cause))
	a.exchange.Discard()
	if a.rest == nil {
		a.rest = rangeOf(a.exchange.Response)
	}
	if a.sending == nil || a.rest == nil || x.r.Method != http.MethodGet || x.ctx.Err() != nil {
		return nil, failed
	}
	wait, ok := x.options.Retries.AllowRetry(FailedAttempt{Idempotent: true, Ran: apierr.RunUnknown, Left: x.left(), Retries: x.retries})
	if !ok {
		return nil, failed
	}
	x.retries++
	x.telemetry.retry(x.service)
	time.Sleep(wait)
	s := a.sending
	s.resuming = true
	rest, err := s.send(x.resumeHeader(a.rest, offset), http.NoBody)
	if err != nil {
		return nil, merry.Wrap(errCannotResume, merry.WithCause(err))
	}
	a.exchange = rest.exchange
	if !a.rest.continuedBy(rest.exchange.Response, offset) {
		return nil, failed
	}
	return rest.exchange.Response.Body, nil
}

func (x *exchange) resumeHeader(rest *byteRange, offset int64) http.Header {
	header := x.outgoing()
	for _, name := range conditional {
		header.Del(name)
	}
	wanted := "bytes=" + strconv.FormatInt(rest.first+offset, 10) + "-"
	if rest.last >= 0 {
		wanted += strconv.FormatInt(rest.last, 10)
	}
	header.Set("Range", wanted)
	header.Set("If-Range", rest.tag)
	return header
}

// rangeOf returns the part that an answer carries, or nil when its rest cannot be asked for: without a strong entity tag,
// two answers may be of different representations.
func rangeOf(response *http.Response) *byteRange {
	tag := response.Header.Get("Etag")
	if !strings.HasPrefix(tag, `"`) || response.Header.Get("Accept-Ranges") == "none" {
		return nil
	}
	switch response.StatusCode {
	case http.StatusOK:
		// An unknown length of -1 gives -1 as well.
		return &byteRange{tag: tag, last: max(-1, response.ContentLength-1)}
	case http.StatusPartialContent:
		first, last, _, ok := parseContentRange(response.Header.Get("Content-Range"))
		if ok {
			return &byteRange{tag: tag, first: first, last: last}
		}
	}
	return nil
}

// continuedBy reports whether response carries exactly what is missing after offset.
func (r *byteRange) continuedBy(response *http.Response, offset int64) bool {
	if response.StatusCode != http.StatusPartialContent || response.Header.Get("Etag") != r.tag {
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
