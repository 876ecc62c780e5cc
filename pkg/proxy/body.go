package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// replayLimit is the number of bytes of a request body that are buffered so that it can be sent again. Larger bodies are
// sent to other hosts with "Expect: 100-continue", so that a refusal arrives before the body is consumed.
const replayLimit = 64 << 10

// errBodyConsumed is returned to a reader when another reader has consumed a part of the body that is not buffered.
var errBodyConsumed = merry.Sentinel("request body already consumed by another attempt")

// body is the request body. It streams with bounded memory and buffers its first bytes for further attempts.
// Readers of different attempts may overlap: net/http may go on reading for a short time after an attempt has failed.
type body struct {
	source     io.Reader
	controller *http.ResponseController
	// limit is the largest body, in bytes.
	limit int64

	// readMu is held while reading from the caller; mu guards the fields below and is held for short times only.
	readMu      sync.Mutex
	mu          sync.Mutex
	buffered    []byte
	maxBuffered int
	bytesRead   int64
	err         error
	// streaming is set when the body exceeds maxBuffered; only soleReader may then read on.
	streaming  bool
	soleReader *bodyReader
}

func newBody(r *http.Request, controller *http.ResponseController) *body {
	b := &body{controller: controller, maxBuffered: replayLimit, limit: defaultMaxBody}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.err = io.EOF
		return b
	}
	b.source = r.Body
	return b
}

func (b *body) empty() bool { return b.source == nil }

// finished reports whether the body was read to its end.
func (b *body) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// readError returns the error of reading the caller's body, or nil if there was none.
func (b *body) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// replayable reports whether the body can be sent again from its start.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.streaming && b.readErrorLocked() == nil
}

func (b *body) readErrorLocked() error {
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// reader returns a reader from the start of the body; http.NoBody if the request has no body.
func (b *body) reader() io.ReadCloser {
	if b.empty() {
		return http.NoBody
	}
	return &bodyReader{body: b}
}

// readAll reads the whole body, up to its limit, into memory; it can then be sent any number of times.
func (b *body) readAll() ([]byte, error) {
	b.mu.Lock()
	b.maxBuffered = int(b.limit)
	b.mu.Unlock()
	data, err := io.ReadAll(b.reader())
	if err != nil {
		return nil, err
	}
	return data, nil
}

func bodyTooLarge(limit int64) error {
	return apierr.New(apierr.BodyTooLarge, "the body is over %d bytes", limit)
}

// readCaller reads from the caller. It is called without mu, because a slow caller may block it for up to bodyTimeout.
func (b *body) readCaller(data []byte) (int, error) {
	// The error is ignored: response recorders in tests support no deadlines, and without one the read still works.
	_ = b.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	n, err := b.source.Read(data)
	if err != nil {
		// Clears the deadline for the connection's next request.
		_ = b.controller.SetReadDeadline(time.Time{})
		err = classifyBodyError(err)
	}
	return n, err
}

// classifyBodyError turns errors of reading the caller's body into refusals; io.EOF stays.
func classifyBodyError(err error) error {
	var timeout net.Error
	var refusal *apierr.Refusal
	switch {
	case errors.Is(err, io.EOF), errors.As(err, &refusal):
		return err
	case errors.As(err, &timeout) && timeout.Timeout():
		return apierr.New(apierr.DeadlineExceeded, "no byte of the body came for %s", bodyTimeout)
	default:
		return apierr.New(apierr.BadRequest, "the body is incomplete or malformed")
	}
}

// bodyReader reads the body from its start, for one attempt.
type bodyReader struct {
	body   *body
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(data []byte) (int, error) {
	if n, err, done := r.fromBuffer(data); done {
		return n, err
	}
	b := r.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	// Another reader may have filled the buffer meanwhile.
	if n, err, done := r.fromBuffer(data); done {
		return n, err
	}
	n, err := b.readCaller(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesRead += int64(n)
	if b.bytesRead > b.limit {
		n, err = 0, bodyTooLarge(b.limit)
	}
	b.err = err
	if !b.streaming {
		b.retain(r, data[:n])
	}
	return n, err
}

// fromBuffer returns buffered data or the final error; done is false when data must be read from the caller.
func (r *bodyReader) fromBuffer(data []byte) (n int, err error, done bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.streaming && b.soleReader != r:
		return 0, merry.Wrap(errBodyConsumed), true
	case r.offset < len(b.buffered):
		n = copy(data, b.buffered[r.offset:])
		r.offset += n
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	}
	return 0, nil, false
}

// retain buffers data for further attempts. When the buffer would exceed maxBuffered, it drops the buffer and makes reader
// the sole reader. The caller must hold mu.
func (b *body) retain(reader *bodyReader, data []byte) {
	if len(b.buffered)+len(data) > b.maxBuffered {
		b.streaming, b.soleReader, b.buffered = true, reader, nil
		return
	}
	b.buffered = append(b.buffered, data...)
	reader.offset = len(b.buffered)
}

// Close implements io.Closer. It does nothing, because the HTTP server closes the caller's body.
func (r *bodyReader) Close() error { return nil }
