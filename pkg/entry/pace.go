package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// largeShare is the part of the host's link that large answers take together. Small answers wait behind what is queued on
	// the link, so that large ones must leave room.
	largeShare = 0.8
	// chunkTime is the time that one piece of a large answer takes on the link, and so about the longest time that a small
	// answer waits for it.
	chunkTime = 10 * time.Millisecond
	// wholeTime is the time on the link up to which answers are read to their end before they are passed on. Longer ones
	// are passed on while they arrive, which saves this time, but cannot be replaced when they break off.
	wholeTime = 50 * time.Millisecond
	// leastChunk and mostChunk bound pieces in bytes: system calls cost time, and buffers memory.
	leastChunk = 4 << 10
	mostChunk  = 64 << 10
	// wholeAnswer is the size in bytes up to which answers are read to their end on any link, which bounds memory.
	wholeAnswer = 1 << 20
)

// pacer shares the host's link between large and small answers.
type pacer struct {
	limiter *rate.Limiter
	chunk   int
	// whole is the size in bytes up to which answers are read to their end first.
	whole int64
}

// newPacer returns a pacer for a link, in bytes per second. A link of 0 has no bound.
func newPacer(link float64) *pacer {
	if link <= 0 {
		return &pacer{chunk: mostChunk, whole: wholeAnswer}
	}
	chunk := min(max(int(link*chunkTime.Seconds()), leastChunk), mostChunk)
	return &pacer{
		limiter: rate.NewLimiter(rate.Limit(link*largeShare), chunk), chunk: chunk,
		whole: min(wholeAnswer, int64(link*wholeTime.Seconds())),
	}
}

// copy copies a large answer in pieces that leave room for small ones on the link.
func (p *pacer) copy(ctx context.Context, w io.Writer, r io.Reader) error {
	buffer := make([]byte, p.chunk)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if werr := p.write(ctx, w, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *pacer) write(ctx context.Context, w io.Writer, piece []byte) error {
	if p.limiter != nil {
		if err := p.limiter.WaitN(ctx, len(piece)); err != nil {
			return err
		}
	}
	_, err := w.Write(piece)
	return err
}
