package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/upstream"
)

// Reasons why a response of a target is not delivered to the caller.
var (
	ErrUnsigned        = merry.Sentinel("successful response without the signature of a target")
	ErrContentEncoding = merry.Sentinel("response body has a content encoding that was not requested")
	ErrErrorTooLong    = merry.Sentinel("body of an error response is too long")
)

// maxErrorBody is the size in bytes of the longest error response that is passed on. A longer one comes from a target in trouble.
const maxErrorBody = 1 << 20

// hopByHopHeaders are the header fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
}

// endToEndHeaders returns header without the hop-by-hop fields and those that its Connection field lists.
func endToEndHeaders(header http.Header) http.Header {
	passed := make(http.Header, len(header)+3)
	for name, values := range header {
		if !hopByHopHeaders[name] {
			passed[name] = values
		}
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(passed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return passed
}

// response is the response of a target, with the part of the body that is buffered.
type response struct {
	raw  *upstream.Response
	body []byte
	// complete is set when body is the whole body; otherwise the rest is read from raw.
	complete bool
	// notice is what the head of the response says about further requests to the target.
	notice dispatch.Notice
	// notRun is set when the target states that it did not run the request.
	notRun bool
}

// read checks the header of the response and reads its body up to maxBuffered bytes.
func (resp *response) read(p Protocol, maxBuffered int64) error {
	resp.notRun = resp.raw.Header.Get(p.NotRunHeader) != "" || resp.raw.StatusCode == http.StatusMisdirectedRequest
	if !resp.notRun && resp.raw.StatusCode < http.StatusMultipleChoices {
		if resp.raw.Header.Get(p.SignatureHeader) == "" {
			return merry.Wrap(ErrUnsigned)
		}
		if resp.raw.Header.Get("Content-Encoding") != "" {
			return merry.Wrap(ErrContentEncoding)
		}
	}
	if resp.isError() && resp.raw.ContentLength > maxErrorBody {
		return merry.Wrap(ErrErrorTooLong)
	}
	var err error
	if resp.body, resp.complete, err = resp.raw.ReadAll(maxBuffered); err != nil {
		return err
	}
	if resp.complete {
		resp.raw.Finish()
	}
	return nil
}

// discard ends a response that is not delivered. The connection of one that has not been read to its end is closed.
func (resp *response) discard() {
	if !resp.complete {
		resp.raw.Abort()
	}
}

// deliver sends the response to the caller and returns the result for the log. It panics with http.ErrAbortHandler when a
// streamed body cannot be delivered to its end.
func (resp *response) deliver(x *exchange) string {
	header := x.w.Header()
	for name, values := range endToEndHeaders(resp.raw.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from detecting a content type that the target did not state.
		header["Content-Type"] = nil
	}
	result := "answered-" + strconv.Itoa(resp.raw.StatusCode)
	switch {
	case resp.complete:
		if resp.raw.StatusCode != http.StatusNoContent && resp.raw.StatusCode != http.StatusNotModified {
			header["Content-Length"] = []string{strconv.Itoa(len(resp.body))}
		}
		if x.r.Method == http.MethodHead && resp.raw.ContentLength >= 0 {
			header["Content-Length"] = []string{strconv.FormatInt(resp.raw.ContentLength, 10)}
		}
		x.w.WriteHeader(resp.raw.StatusCode)
		if _, err := x.w.Write(resp.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return resultCallerLeft
		}
		return result
	case resp.raw.ContentLength >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(resp.raw.ContentLength, 10)}
	}
	x.w.WriteHeader(resp.raw.StatusCode)
	if err := resp.stream(x); err != nil {
		resp.raw.Abort()
		klog.InfoS("response body could not be delivered to its end", "request", x.id, "target", x.target, "err", err)
		// Closes the connection, because a truncated response must not look complete.
		panic(http.ErrAbortHandler)
	}
	resp.raw.Finish()
	return result
}

// stream sends the buffered part of the body and then copies the rest from the target.
func (resp *response) stream(x *exchange) error {
	if _, err := x.w.Write(resp.body); err != nil {
		return err
	}
	rest := io.Reader(resp.raw.Body)
	if resp.isError() {
		rest = &limitedBody{source: rest, remaining: maxErrorBody}
	}
	return x.host.pacer.copy(x.r.Context(), x.w, rest)
}

// isError reports whether the response is an error of the target.
func (resp *response) isError() bool { return resp.raw.StatusCode >= http.StatusInternalServerError }

// limitedBody fails with ErrErrorTooLong after remaining bytes.
type limitedBody struct {
	source    io.Reader
	remaining int
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, merry.Wrap(ErrErrorTooLong)
	}
	n, err := b.source.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// writeError sends an error response of this host, with code as its body, and returns the result for the log.
func writeError(w http.ResponseWriter, p Protocol, id string, status int, code string) string {
	header := w.Header()
	if id != "" {
		header[p.RequestIDHeader] = []string{id}
	}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	header["Content-Length"] = []string{strconv.Itoa(len(code) + 1)}
	w.WriteHeader(status)
	if _, err := io.WriteString(w, code+"\n"); err != nil {
		klog.V(2).InfoS("error response not delivered to the caller", "request", id, "err", err)
	}
	return "refused-" + strconv.Itoa(status) + "-" + code
}
