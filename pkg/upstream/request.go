package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"almondrock.example/almondrock/pkg/guard"
)

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// past is a deadline that makes a blocked write return at once.
var past = time.Unix(1, 0)

// requestWriter writes the body of a request to its connection and records whether the whole request has been written.
type requestWriter struct {
	conn net.Conn
	// complete is set once the last byte of the request has been written.
	complete atomic.Bool

	// mu is held from the start of a write until its result is recorded.
	mu sync.Mutex
	// remaining is the number of bytes that are left of the request; it is negative while that is not known.
	remaining int64
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	w.remaining -= int64(n)
	if err == nil && w.remaining == 0 {
		w.complete.Store(true)
	}
	return n, err
}

// expect sets the number of bytes that are left of the request, which is negative while it is not known.
func (w *requestWriter) expect(remaining int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remaining = remaining
	w.complete.Store(remaining == 0)
}

// stop ends a write in progress, and reports whether the whole request has been written. No later write succeeds unless it has.
func (w *requestWriter) stop() bool {
	if w.complete.Load() {
		return true
	}
	// An error means that the connection is closed, which ends writes as well.
	_ = w.conn.SetWriteDeadline(past)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.complete.Load()
}

// writeRequest writes the request and returns its writer and the number of bytes written so far. A long body is written by another goroutine,
// because the target may respond before it reads the body.
func writeRequest(cn *conn, r *Request) (w *requestWriter, n int, err error) {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(r.Body))
	buffer.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			buffer.WriteString(name + ": " + value + "\r\n")
		}
	}
	chunked := r.BodyRest != nil && r.ContentLength < 0
	switch {
	case chunked:
		buffer.WriteString("Transfer-Encoding: chunked\r\n")
	case r.BodyRest != nil:
		buffer.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	w = &requestWriter{conn: cn.Conn}
	if r.BodyRest == nil && len(r.Body) <= maxInlineBody {
		buffer.Write(r.Body)
		w.expect(int64(buffer.Len()))
		n, err = w.Write(buffer.Bytes())
		return w, n, err
	}
	if n, err = cn.Write(buffer.Bytes()); err != nil {
		return w, n, err
	}
	if r.BodyRest != nil {
		w.expect(r.ContentLength)
	} else {
		w.expect(int64(len(r.Body)))
	}
	go func() {
		if err := guard.Run("request body", func() error { return w.writeBody(r, chunked) }); err != nil {
			// Keeps the target from accepting a truncated body as complete.
			cn.reset()
		}
	}()
	return w, n, nil
}

// writeBody writes the body, in chunks if its length is not known.
func (w *requestWriter) writeBody(r *Request, chunked bool) error {
	if chunked {
		return w.writeChunks(io.MultiReader(bytes.NewReader(r.Body), r.BodyRest))
	}
	if _, err := w.Write(r.Body); err != nil || r.BodyRest == nil {
		return err
	}
	// Nothing is read behind the last byte, after which the connection may carry another request.
	rest := r.ContentLength - int64(len(r.Body))
	n, err := io.Copy(w, io.LimitReader(r.BodyRest, rest))
	if err == nil && n != rest {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// writeChunks writes a body in chunks.
func (w *requestWriter) writeChunks(body io.Reader) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buffer[:n]...), "\r\n"...)
			if _, werr := w.Write(chunk); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			w.expect(int64(len(lastChunk)))
			_, werr := io.WriteString(w, lastChunk)
			return werr
		}
		if err != nil {
			return err
		}
	}
}
