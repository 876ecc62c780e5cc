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

// replayLimit is how much of a request body is kept so that it can be sent again. Larger bodies are offered with
// "Expect: 100-continue", so that a refusal comes before the body is used up.
const replayLimit = 64 << 10

// errBodyGone ends a reader of a body that another reader has consumed.
var errBodyGone = merry.Sentinel("the request body was already sent")

// body is the request body. It streams with bounded memory and remembers its first bytes for further attempts.
// Readers of different attempts may overlap: net/http may go on reading for a short time after an attempt has failed.
type body struct {
	source     io.Reader
	controller *http.ResponseController
	// limit is the largest body, in bytes.
	limit int64

	// filling is held while the caller is read, mu only for the state.
	filling sync.Mutex
	mu      sync.Mutex
	kept    []byte
	keep    int
	read    int64
	err     error
	// gone is set when the body got too large to keep; owner alone reads on.
	gone  bool
	owner *bodyReader
}

func newBody(r *http.Request, controller *http.ResponseController) *body {
	b := &body{controller: controller, keep: replayLimit, limit: defaultMaxBody}
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

// failure is what was wrong with the caller's body; nil when nothing was.
func (b *body) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// replayable reports whether the body can be sent from its start.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.gone && b.failureLocked() == nil
}

func (b *body) failureLocked() error {
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// reader returns a reader from the start of the body; http.NoBody for none.
func (b *body) reader() io.ReadCloser {
	if b.empty() {
		return http.NoBody
	}
	return &bodyReader{body: b}
}

// buffer reads the whole body into memory; it can then be sent any number of times.
func (b *body) buffer() ([]byte, error) {
	b.mu.Lock()
	b.keep = int(b.limit)
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

// fill reads from the caller without the lock on the state, because a slow caller may take long.
func (b *body) fill(data []byte) (int, error) {
	// Recorders in tests have no deadlines; a connection that cannot have one is not worse off than before.
	_ = b.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	n, err := b.source.Read(data)
	if err != nil {
		// The connection's next request has no deadline from this one.
		_ = b.controller.SetReadDeadline(time.Time{})
		err = bodyFailure(err)
	}
	return n, err
}

// bodyFailure gives failures of the caller a type.
func bodyFailure(err error) error {
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

// bodyReader reads the body once.
type bodyReader struct {
	body   *body
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(data []byte) (int, error) {
	if n, err, done := r.fromKept(data); done {
		return n, err
	}
	b := r.body
	b.filling.Lock()
	defer b.filling.Unlock()
	// Another reader may have read on meanwhile.
	if n, err, done := r.fromKept(data); done {
		return n, err
	}
	n, err := b.fill(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	if b.read > b.limit {
		n, err = 0, bodyTooLarge(b.limit)
	}
	b.err = err
	if !b.gone {
		b.remember(r, data[:n])
	}
	return n, err
}

// fromKept serves what was read before; done is false when the caller must be read.
func (r *bodyReader) fromKept(data []byte) (n int, err error, done bool) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.gone && b.owner != r:
		return 0, merry.Wrap(errBodyGone), true
	case r.offset < len(b.kept):
		n = copy(data, b.kept[r.offset:])
		r.offset += n
		return n, nil, true
	case b.err != nil:
		return 0, b.err, true
	}
	return 0, nil, false
}

// remember keeps data for further attempts, or gives the body to reader alone when it gets too large. It needs the lock.
func (b *body) remember(reader *bodyReader, data []byte) {
	if len(b.kept)+len(data) > b.keep {
		b.gone, b.owner, b.kept = true, reader, nil
		return
	}
	b.kept = append(b.kept, data...)
	reader.offset = len(b.kept)
}

// Close implements io.Closer; the caller's body is closed by its server.
func (r *bodyReader) Close() error { return nil }
