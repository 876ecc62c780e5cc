package entry

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rateMeter is a writer that records by how many bytes the data written so far exceeds burst plus rate bytes per second.
type rateMeter struct {
	mu        sync.Mutex
	began     time.Time
	written   int
	maxExcess float64
	rate      float64
	burst     int
}

func (m *rateMeter) Write(p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.written += len(p)
	m.maxExcess = max(m.maxExcess, float64(m.written)-float64(m.burst)-m.rate*time.Since(m.began).Seconds())
	return len(p), nil
}

var _ = Describe("Pacer", func() {
	const slowLink = 5.6e6 / 8

	It("leaves room for small responses while several large ones, such as file downloads, are streamed over a slow link", func() {
		p := newPacer(slowLink)
		m := &rateMeter{began: time.Now(), rate: slowLink * largeResponseShare, burst: p.chunkSize}
		var copies sync.WaitGroup
		for range 4 {
			copies.Go(func() {
				defer GinkgoRecover()
				Expect(p.copy(context.Background(), m, bytes.NewReader(make([]byte, 40_000)))).To(Succeed())
			})
		}
		copies.Wait()
		Expect(m.written).To(Equal(160_000))
		Expect(m.maxExcess).To(BeNumerically("<=", 0))
		Expect(float64(p.chunkSize) / slowLink).To(BeNumerically("<=", chunkTime.Seconds()))
	})

	It("does not limit a link of unknown capacity, and buffers larger responses on faster links", func() {
		began := time.Now()
		Expect(newPacer(0).copy(context.Background(), io.Discard, bytes.NewReader(make([]byte, 10<<20)))).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(newPacer(slowLink).maxBuffered).To(BeNumerically("<", 64<<10))
		Expect(newPacer(125e6).maxBuffered).To(BeNumerically("==", maxBufferedResponse))
	})

	It("returns an error for a response that ends early, so that it is not taken for complete", func() {
		cut := io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF))
		Expect(newPacer(slowLink).copy(context.Background(), io.Discard, cut)).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("stops when the context of the caller is cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		Expect(newPacer(10_000).copy(ctx, io.Discard, bytes.NewReader(make([]byte, 1<<20)))).NotTo(Succeed())
	})

	It("bounds the receive buffers on slow links only, to a fraction of the time that a small response may wait", func() {
		Expect(receiveBuffer(slowLink)).To(BeNumerically("~", 14_000, 1))
		Expect(receiveBuffer(3e6 / 8)).To(Equal(minReceiveBuffer))
		Expect(receiveBuffer(1e9 / 8)).To(BeZero())
		Expect(receiveBuffer(0)).To(BeZero())
	})
})
