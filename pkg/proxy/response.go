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

// copyBufferSize is the size, in bytes, of the buffer through which a response body is copied. With the socket buffers it
// bounds the memory per response.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeTimeout bounds each write to a caller that does not read its response.
const writeTimeout = 30 * time.Second

// upstreamResponse is the response of a target or of another host.
type upstreamResponse struct {
	exchange *target.Exchange
	// header is the header of the first response; exchange changes when a resume gets the rest of the body.
	header http.Header
	// targetAttempt is the attempt at the target; nil when the response came from another host.
	targetAttempt *targetAttempt
	fromPeer      bool
	// bodyPrefix is the part of the body that was already read.
	bodyPrefix []byte
	// rest is the range of the representation that the first response carries; nil until a resume begins.
	rest *byteRange
}

// deliver sends the response to the caller and ends the attempt at the target. After an error a part of the response may
// have been sent, and the caller's stream must be reset.
func (x *exchange) deliver(upstream *upstreamResponse) error {
	result := target.Failure
	defer func() {
		if upstream.targetAttempt != nil {
			upstream.targetAttempt.end(result)
		}
	}()
	defer upstream.exchange.Response.Body.Close()
	response := upstream.exchange.Response
	x.writeHead(upstream)
	err := x.copyBody(upstream)
	var writeErr *callerWriteError
	switch {
	case err == nil && response.StatusCode < http.StatusInternalServerError:
		result = target.Success
	case errors.As(err, &writeErr):
		result = target.Cancelled
	}
	if err != nil {
		upstream.exchange.Discard()
		return merry.Wrap(errAborted, merry.WithCause(err))
	}
	x.writeTrailers(upstream.exchange.Response.Trailer)
	return nil
}

// writeHead sends the status and the header of the response.
func (x *exchange) writeHead(upstream *upstreamResponse) {
	response := upstream.exchange.Response
	header := x.w.Header()
	copyEndToEndHeaders(header, upstream.header)
	if _, ok := header["Content-Type"]; !ok {
		// An explicit nil keeps net/http from guessing a content type that the target did not set.
		header["Content-Type"] = nil
	}
	header[headerRequestID] = []string{x.id}
	if upstream.targetAttempt != nil {
		header[headerTarget] = []string{upstream.targetAttempt.nextHop.target}
		header["Via"] = append(header["Via"], viaValue)
	} else {
		header[headerTarget] = upstream.header[headerTarget]
	}
	if x.draining() {
		header["Connection"] = []string{"close"}
	}
	for name := range response.Trailer {
		if isEndToEndTrailer(name) {
			header.Add("Trailer", name)
		}
	}
	x.responseStarted = true
	x.w.WriteHeader(response.StatusCode)
}

// writeTrailers sends the trailers after a complete body. Trailers that the Trailer field did not announce need
// http.TrailerPrefix.
func (x *exchange) writeTrailers(trailers http.Header) {
	header := x.w.Header()
	for name, values := range trailers {
		switch {
		case !isEndToEndTrailer(name):
		case slices.Contains(header["Trailer"], name):
			header[name] = values
		default:
			header[http.TrailerPrefix+name] = values
		}
	}
}

// isEndToEndTrailer reports whether a trailer is forwarded: it is neither hop-by-hop nor a field of almondrock.
func isEndToEndTrailer(name string) bool {
	return !hopByHopHeaders[name] && !strings.HasPrefix(name, headerPrefix)
}

// callerWriteError marks a failed write to the caller, as opposed to a failed read from the target or host.
type callerWriteError struct{ error }

// copyBody streams the body through one buffer, so that a slow caller slows the target down (back-pressure). It resumes a
// body that is cut off where possible.
func (x *exchange) copyBody(upstream *upstreamResponse) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	writer := &callerWriter{exchange: x, flush: upstream.exchange.Response.ContentLength < 0}
	defer writer.clearDeadline()
	if err := writer.write(upstream.bodyPrefix); err != nil {
		return err
	}
	source, err := x.responseBody(upstream)
	if err != nil {
		return err
	}
	for {
		n, err := source.Read(buffer[:])
		if werr := writer.write(buffer[:n]); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			continue
		}
		if source, err = x.resume(upstream, writer.written, err); err != nil {
			return err
		}
	}
}

// responseBody returns the body of a response; one from a host in another region is paced by the link between regions.
func (x *exchange) responseBody(upstream *upstreamResponse) (io.ReadCloser, error) {
	body := upstream.exchange.Response.Body
	if !upstream.fromPeer {
		return body, nil
	}
	dataCentre, _, ok := x.options.Directory.Delegation(x.resolution.Keyspace, x.shard)
	if !ok {
		return body, nil
	}
	return x.paceAcrossRegions(dataCentre, false, upstream.exchange.Response.ContentLength, body)
}

// callerWriter writes the response body to the caller with a timeout per write.
type callerWriter struct {
	exchange    *exchange
	flush       bool
	written     int64
	writes      int
	deadlineSet bool
}

func (c *callerWriter) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	c.writes++
	if c.writes > 1 {
		// The first write fits into the socket's buffer, so short responses need no write deadline.
		c.deadlineSet = true
		_ = c.controller().SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	n, err := c.exchange.w.Write(data)
	c.written += int64(n)
	if err == nil && c.flush {
		err = c.controller().Flush()
	}
	if err != nil {
		return &callerWriteError{err}
	}
	return nil
}

func (c *callerWriter) controller() *http.ResponseController {
	return http.NewResponseController(c.exchange.w)
}

func (c *callerWriter) clearDeadline() {
	if c.deadlineSet {
		_ = c.controller().SetWriteDeadline(time.Time{})
	}
}
