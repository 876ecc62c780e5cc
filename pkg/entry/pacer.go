package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// largeResponseShare is the share of the link capacity that all large responses together may use. Small responses wait
	// behind the data that is queued on the link, so the large ones must leave some of it free.
	largeResponseShare = 0.8
	// chunkTime is the transmission time of one chunk of a large response, and so about the longest time that a small response
	// waits for it.
	chunkTime = 10 * time.Millisecond
	// maxBufferTime is the transmission time up to which a response is read completely before it is delivered. Longer responses
	// are streamed, which saves this time, but they cannot be replaced by another attempt when they end early.
	maxBufferTime = 50 * time.Millisecond
	// minChunkSize and maxChunkSize bound chunks in bytes: small chunks need more system calls, large ones more memory.
	minChunkSize = 4 << 10
	maxChunkSize = 64 << 10
	// receiveBufferTime is the transmission time of what a target may send ahead of this host. All bytes that are under way on the link
	// delay the small responses behind them.
	receiveBufferTime = 20 * time.Millisecond
	// minReceiveBuffer fits a small response, and the data of one round trip between regions on a link of 3 Mbit/s. maxReceiveBuffer is
	// the size in bytes from which on the operating system chooses the buffer.
	minReceiveBuffer = 8 << 10
	maxReceiveBuffer = 64 << 10
	// maxBufferedResponse is the size in bytes up to which responses are buffered on any link, which bounds memory.
	maxBufferedResponse = 1 << 20
)

// pacer limits the rate of large responses, so that they leave room for small ones on the network link of the host.
type pacer struct {
	// limiter is nil when the capacity of the link is not known.
	limiter   *rate.Limiter
	chunkSize int
	// maxBuffered is the size in bytes up to which responses are read completely before they are delivered.
	maxBuffered int64
}

// newPacer returns a pacer for a link with a capacity in bytes per second; 0 means that it is not limited.
func newPacer(link float64) *pacer {
	if link <= 0 {
		return &pacer{chunkSize: maxChunkSize, maxBuffered: maxBufferedResponse}
	}
	chunkSize := min(max(int(link*chunkTime.Seconds()), minChunkSize), maxChunkSize)
	return &pacer{
		limiter: rate.NewLimiter(rate.Limit(link*largeResponseShare), chunkSize), chunkSize: chunkSize,
		maxBuffered: min(maxBufferedResponse, int64(link*maxBufferTime.Seconds())),
	}
}

// receiveBuffer returns the size in bytes of the receive buffers of connections to targets, for a link with a capacity in bytes per second.
// It is 0, the default of the operating system, if the link is fast or its capacity is not known.
func receiveBuffer(link float64) int {
	size := max(minReceiveBuffer, int(link*receiveBufferTime.Seconds()))
	if link <= 0 || size > maxReceiveBuffer {
		return 0
	}
	return size
}

// copy copies a large response at the limited rate, in chunks of at most chunkSize bytes.
func (p *pacer) copy(ctx context.Context, w io.Writer, r io.Reader) error {
	buffer := make([]byte, p.chunkSize)
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

func (p *pacer) write(ctx context.Context, w io.Writer, data []byte) error {
	if p.limiter != nil {
		if err := p.limiter.WaitN(ctx, len(data)); err != nil {
			return err
		}
	}
	_, err := w.Write(data)
	return err
}
