package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/target"
)

// copyBufferSize is the unit in which bodies stream; with the socket buffers it bounds the memory of an answer.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeTimeout is how long a caller may take nothing of an answer.
const writeTimeout = 30 * time.Second

// answer is the answer of a target or of another host.
type answer struct {
	exchange *target.Exchange
	// header is the block that came with it.
	header http.Header
	// sending is the attempt at the target; nil when the answer came from another host.
	sending  *sending
	fromHost bool
	// prefix is what was already read of the body.
	prefix []byte
	// rest is the range of the representation that the answer carries, once a resume has begun.
	rest *byteRange
}

// deliver passes an answer on. After an error bytes of it may have been sent, and the caller's stream must be reset.
func (x *exchange) deliver(a *answer) error {
	result := target.Failure
	defer func() {
		if a.sending != nil {
			a.sending.end(result)
		}
	}()
	defer a.exchange.Response.Body.Close()
	response := a.exchange.Response
	x.writeHead(a)
	err := x.copyBody(a)
	var gone *callerGone
	switch {
	case err == nil && response.StatusCode < http.StatusInternalServerError:
		result = target.Success
	case errors.As(err, &gone):
		result = target.Cancelled
	}
	if err != nil {
		a.exchange.Discard()
		return merry.Wrap(errAborted, merry.WithCause(err))
	}
	x.writeTrailers(a.exchange.Response.Trailer)
	return nil
}

// writeHead sends the status and the fields of the answer.
func (x *exchange) writeHead(a *answer) {
	response := a.exchange.Response
	header := x.w.Header()
	copyEndToEnd(header, a.header)
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a type that the target did not state.
		header["Content-Type"] = nil
	}
	header[headerRequestID] = []string{x.id}
	if a.sending != nil {
		header[headerTarget] = []string{a.sending.place.target}
		header["Via"] = append(header["Via"], via)
	} else {
		header[headerTarget] = a.header[headerTarget]
	}
	if x.leaving() {
		header["Connection"] = []string{"close"}
	}
	for name := range response.Trailer {
		if passesOn(name) {
			header.Add("Trailer", name)
		}
	}
	x.answering = true
	x.w.WriteHeader(response.StatusCode)
}

// writeTrailers adds the trailers of a complete body. Those that were not announced need the prefix of net/http.
func (x *exchange) writeTrailers(trailers http.Header) {
	header := x.w.Header()
	for name, values := range trailers {
		switch {
		case !passesOn(name):
		case slices.Contains(header["Trailer"], name):
			header[name] = values
		default:
			header[http.TrailerPrefix+name] = values
		}
	}
}

// passesOn reports whether a trailer is meant for the other end.
func passesOn(name string) bool { return !hopByHop[name] && !strings.HasPrefix(name, ownPrefix) }

// callerGone is a failed write to the caller.
type callerGone struct{ error }

// copyBody streams the body. The caller's pace is the target's, because nothing but one buffer lies between them.
func (x *exchange) copyBody(a *answer) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	out := &callerWriter{exchange: x, flush: a.exchange.Response.ContentLength < 0}
	defer out.done()
	if err := out.write(a.prefix); err != nil {
		return err
	}
	source, err := x.answerBody(a)
	if err != nil {
		return err
	}
	for {
		n, err := source.Read(buffer[:])
		if werr := out.write(buffer[:n]); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			continue
		}
		if source, err = x.resume(a, out.written, err); err != nil {
			return err
		}
	}
}

// answerBody is the body of an answer; that of a host in another region takes its share of the link.
func (x *exchange) answerBody(a *answer) (io.ReadCloser, error) {
	body := a.exchange.Response.Body
	if !a.fromHost {
		return body, nil
	}
	dataCentre, _, ok := x.options.Directory.Delegation(x.resolution.Keyspace, x.shard)
	if !ok {
		return body, nil
	}
	return x.paced(dataCentre, false, a.exchange.Response.ContentLength, body)
}

// callerWriter writes to the caller with a time-out per write.
type callerWriter struct {
	exchange *exchange
	flush    bool
	written  int64
	writes   int
	armed    bool
}

func (c *callerWriter) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	c.writes++
	if c.writes > 1 {
		// The first write fits into the socket's buffer, so short answers need no timer.
		c.armed = true
		_ = c.controller().SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	n, err := c.exchange.w.Write(data)
	c.written += int64(n)
	if err == nil && c.flush {
		err = c.controller().Flush()
	}
	if err != nil {
		return &callerGone{err}
	}
	return nil
}

func (c *callerWriter) controller() *http.ResponseController {
	return http.NewResponseController(c.exchange.w)
}

func (c *callerWriter) done() {
	if c.armed {
		_ = c.controller().SetWriteDeadline(time.Time{})
	}
}
