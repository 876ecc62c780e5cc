package link

import (
	"context"
	"io"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// Stream is what one request or answer may send over the link. It is used by one goroutine at a time and must be closed.
type Stream struct {
	link      *Link
	direction Direction
	class     Class
	deadline  time.Duration
	// left is the announced size less what was sent; never below 0.
	left int64
	// begun is set once a byte may have passed.
	begun bool
}

// OpenStream asks for room for size bytes (0 when the size isn't known) within the time left. It refuses with Overloaded,
// not-run, when the bytes that streams of the same or a higher class have still to send leave no room.
func (l *Link) OpenStream(direction Direction, class Class, size int64, left time.Duration) (*Stream, error) {
	w := l.ways[direction]
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	size = max(size, 0)
	if wait := w.estimate(now, class, size); wait > left || left <= 0 {
		return nil, apierr.Wrap(&apierr.Refusal{
			Code: apierr.Overloaded, Ran: apierr.NotRun, RetryAfter: max(wait-max(left, 0), time.Second),
			Message: "the link between regions has no room before the deadline",
		})
	}
	w.backlog[class] += size
	return &Stream{link: l, direction: direction, class: class, deadline: now + left, left: size}, nil
}

// estimate is the time until size more bytes of class have passed, if nothing of a higher class is added.
func (w *way) estimate(now time.Duration, class Class, size int64) time.Duration {
	w.bucket.refill(now)
	ahead := size
	for i := range int(class) + 1 {
		ahead += w.backlog[i]
	}
	missing := w.bucket.missing(class, int(ahead))
	if missing <= 0 {
		return 0
	}
	if w.bucket.rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(missing / w.bucket.rate * float64(time.Second))
}

// Close gives up what the stream has not sent.
func (s *Stream) Close() {
	w := s.link.ways[s.direction]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backlog[s.class] -= s.left
	s.left = 0
}

// pass waits for n bytes. Its error is a refusal: not-run before the first byte, unknown afterwards.
func (s *Stream) pass(ctx context.Context, n int) error {
	err := s.link.ways[s.direction].wait(ctx, s.class, n, s.deadline)
	if err == nil {
		s.begun = true
		s.sent(n)
		return nil
	}
	if !s.begun {
		return err
	}
	refusal := *apierr.From(err)
	refusal.Ran = apierr.RunUnknown
	return apierr.Wrap(&refusal)
}

func (s *Stream) sent(n int) {
	w := s.link.ways[s.direction]
	w.mu.Lock()
	defer w.mu.Unlock()
	part := min(int64(n), s.left)
	w.backlog[s.class] -= part
	s.left -= part
}

// Writer paces what is written to w. A write that fails for lack of room returns an apierr refusal. It says not-run
// before the first byte of the stream, so the stream must carry the request from its first byte on, header included.
func (s *Stream) Writer(ctx context.Context, w io.Writer) io.Writer {
	return &writer{stream: s, ctx: ctx, to: w}
}

// Reader paces what is read from r. The answer to a request that was sent may have run, so its refusals say unknown.
func (s *Stream) Reader(ctx context.Context, r io.Reader) io.Reader {
	s.begun = true
	return &reader{stream: s, ctx: ctx, from: r}
}

type writer struct {
	stream *Stream
	ctx    context.Context
	to     io.Writer
}

func (w *writer) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		chunk := data[written:min(written+chunkBytes, len(data))]
		if err := w.stream.pass(w.ctx, len(chunk)); err != nil {
			return written, err
		}
		n, err := w.to.Write(chunk)
		w.stream.link.record(w.stream.direction, w.stream.class, n)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

type reader struct {
	stream *Stream
	ctx    context.Context
	from   io.Reader
	failed error
}

// Read reads first and waits afterwards, because it isn't known before how much there is.
func (r *reader) Read(data []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	n, err := r.from.Read(data[:min(len(data), chunkBytes)])
	if n > 0 {
		r.stream.link.record(r.stream.direction, r.stream.class, n)
		if waitErr := r.stream.pass(r.ctx, n); waitErr != nil {
			r.failed = waitErr
			return 0, waitErr
		}
	}
	return n, err
}
