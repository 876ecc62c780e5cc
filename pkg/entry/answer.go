package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/upstream"
)

// Reasons why an answer is not passed on.
var (
	ErrUnsigned        = merry.Sentinel("a successful answer without the proof that a target made it")
	ErrContentEncoding = merry.Sentinel("the body has a content encoding that was not asked for")
)

// hopByHop are fields that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
}

// endToEnd returns the fields that are meant for the other end.
func endToEnd(header http.Header) http.Header {
	passed := make(http.Header, len(header)+3)
	for name, values := range header {
		if !hopByHop[name] {
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

// answer is a target's answer.
type answer struct {
	response *upstream.Response
	body     []byte
	// whole is set when body is complete; otherwise the rest follows on the connection.
	whole bool
	// notRun is set when the target says that it did not run the request.
	notRun bool
}

// read checks the answer and reads its body, unless that is longer than whole.
func (a *answer) read(p Protocol, whole int64) error {
	a.notRun = a.response.Header.Get(p.NotRunHeader) != "" || a.response.StatusCode == http.StatusMisdirectedRequest
	if !a.notRun && a.response.StatusCode < http.StatusMultipleChoices {
		if a.response.Header.Get(p.SignatureHeader) == "" {
			return merry.Wrap(ErrUnsigned)
		}
		if a.response.Header.Get("Content-Encoding") != "" {
			return merry.Wrap(ErrContentEncoding)
		}
	}
	var err error
	if a.body, a.whole, err = a.response.ReadAll(whole); err != nil {
		return err
	}
	if a.whole {
		a.response.Finish()
	}
	return nil
}

// deliver passes the answer on and returns the result for the log.
func (a *answer) deliver(x *exchange) string {
	header := x.w.Header()
	for name, values := range endToEnd(a.response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a type that the target did not state.
		header["Content-Type"] = nil
	}
	result := "answered-" + strconv.Itoa(a.response.StatusCode)
	switch {
	case a.whole:
		if a.response.StatusCode != http.StatusNoContent && a.response.StatusCode != http.StatusNotModified {
			header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
		}
		if x.r.Method == http.MethodHead && a.response.ContentLength >= 0 {
			header["Content-Length"] = []string{strconv.FormatInt(a.response.ContentLength, 10)}
		}
		x.w.WriteHeader(a.response.StatusCode)
		if _, err := x.w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return "caller-left"
		}
		return result
	case a.response.ContentLength >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(a.response.ContentLength, 10)}
	}
	x.w.WriteHeader(a.response.StatusCode)
	if err := a.stream(x); err != nil {
		a.response.Abort()
		klog.InfoS("answer broke off", "request", x.id, "target", x.target, "err", err)
		// An answer that ends early must not look complete.
		panic(http.ErrAbortHandler)
	}
	a.response.Finish()
	return result
}

func (a *answer) stream(x *exchange) error {
	if _, err := x.w.Write(a.body); err != nil {
		return err
	}
	return x.host.pacer.copy(x.r.Context(), x.w, a.response.Body)
}

// fail answers with a status of this host's own.
func fail(w http.ResponseWriter, p Protocol, id string, status int, code string) string {
	header := w.Header()
	if id != "" {
		header[p.RequestIDHeader] = []string{id}
	}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	header["Content-Length"] = []string{strconv.Itoa(len(code) + 1)}
	w.WriteHeader(status)
	if _, err := io.WriteString(w, code+"\n"); err != nil {
		klog.V(2).InfoS("refusal not delivered", "request", id, "err", err)
	}
	return "refused-" + strconv.Itoa(status) + "-" + code
}
