package link

import (
	"context"
	"io"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// Stream paces the data of one request or response on the link. It is not safe for concurrent use and must be closed.
type Stream struct {
	link      *Link
	direction Direction
	class     Class
	deadline  time.Duration
	// left is the announced size minus the bytes sent, but at least 0.
	left int64
	// started is set when any byte may have been sent.
	started bool
}

// OpenStream opens a stream for size bytes (0 if the size isn't known) that must be sent within the time left. If the
// backlog of streams of the same or a higher class does not allow that, it returns an *apierr.Refusal with code Overloaded
// that says not-run.
func (l *Link) OpenStream(direction Direction, class Class, size int64, left time.Duration) (*Stream, error) {
	p := l.pacers[direction]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	size = max(size, 0)
	if wait := p.estimateWait(now, class, size); wait > left || left <= 0 {
		return nil, apierr.Wrap(&apierr.Refusal{
			Code: apierr.Overloaded, Ran: apierr.NotRun, RetryAfter: max(wait-max(left, 0), time.Second),
			Message: "the link between regions has no room before the deadline",
		})
	}
	p.backlog[class] += size
	return &Stream{link: l, direction: direction, class: class, deadline: now + left, left: size}, nil
}

// estimateWait returns the time until size more bytes of class have passed, if no stream of a higher class is opened.
func (p *pacer) estimateWait(now time.Duration, class Class, size int64) time.Duration {
	p.bucket.refill(now)
	ahead := size
	for i := range int(class) + 1 {
		ahead += p.backlog[i]
	}
	deficit := p.bucket.deficit(class, int(ahead))
	if deficit <= 0 {
		return 0
	}
	if p.bucket.rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(deficit / p.bucket.rate * float64(time.Second))
}

// Close removes the bytes that the stream has not sent from the backlog.
func (s *Stream) Close() {
	p := s.link.pacers[s.direction]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog[s.class] -= s.left
	s.left = 0
}

// waitFor waits until n bytes may pass. Its error is an *apierr.Refusal that says not-run before the first byte, and unknown
// afterwards.
func (s *Stream) waitFor(ctx context.Context, n int) error {
	err := s.link.pacers[s.direction].wait(ctx, s.class, n, s.deadline)
	if err == nil {
		s.started = true
		s.recordSent(n)
		return nil
	}
	if !s.started {
		return err
	}
	refusal := *apierr.From(err)
	refusal.Ran = apierr.RunUnknown
	return apierr.Wrap(&refusal)
}

// recordSent removes n bytes from the backlog.
func (s *Stream) recordSent(n int) {
	p := s.link.pacers[s.direction]
	p.mu.Lock()
	defer p.mu.Unlock()
	part := min(int64(n), s.left)
	p.backlog[s.class] -= part
	s.left -= part
}

// Writer returns a writer that paces data written to w. A write that can't wait any longer returns an *apierr.Refusal. Before
// the first byte of the stream it says not-run, so the stream must include the whole request with its header.
func (s *Stream) Writer(ctx context.Context, w io.Writer) io.Writer {
	return &writer{stream: s, ctx: ctx, to: w}
}

// Reader returns a reader that paces data read from r, which is a response. Its request was sent and may have run, so the
// refusals say unknown.
func (s *Stream) Reader(ctx context.Context, r io.Reader) io.Reader {
	s.started = true
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
		if err := w.stream.waitFor(w.ctx, len(chunk)); err != nil {
			return written, err
		}
		n, err := w.to.Write(chunk)
		w.stream.link.addBytes(w.stream.direction, w.stream.class, n)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

type reader struct {
	stream  *Stream
	ctx     context.Context
	from    io.Reader
	failure error
}

// Read reads first and waits afterwards, because it isn't known before how many bytes there are to read.
func (r *reader) Read(data []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	n, err := r.from.Read(data[:min(len(data), chunkBytes)])
	if n > 0 {
		r.stream.link.addBytes(r.stream.direction, r.stream.class, n)
		if waitErr := r.stream.waitFor(r.ctx, n); waitErr != nil {
			r.failure = waitErr
			return 0, waitErr
		}
	}
	return n, err
}
