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

// meter checks that what was written never goes beyond what the pacer allows.
type meter struct {
	mu      sync.Mutex
	began   time.Time
	written int
	excess  float64
	rate    float64
	burst   int
}

func (m *meter) Write(p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.written += len(p)
	m.excess = max(m.excess, float64(m.written)-float64(m.burst)-m.rate*time.Since(m.began).Seconds())
	return len(p), nil
}

var _ = Describe("Pacer", func() {
	const thinLink = 5.6e6 / 8

	It("leaves room for small answers while several large ones are passed on (file downloads on the grown sites)", func() {
		p := newPacer(thinLink)
		m := &meter{began: time.Now(), rate: thinLink * largeShare, burst: p.chunk}
		var copies sync.WaitGroup
		for range 4 {
			copies.Go(func() {
				defer GinkgoRecover()
				Expect(p.copy(context.Background(), m, bytes.NewReader(make([]byte, 40_000)))).To(Succeed())
			})
		}
		copies.Wait()
		Expect(m.written).To(Equal(160_000))
		Expect(m.excess).To(BeNumerically("<=", 0))
		Expect(float64(p.chunk) / thinLink).To(BeNumerically("<=", chunkTime.Seconds()))
	})

	It("passes answers on at once on a link without a stated bound, and reads more of them to their end on a faster one", func() {
		began := time.Now()
		Expect(newPacer(0).copy(context.Background(), io.Discard, bytes.NewReader(make([]byte, 10<<20)))).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(newPacer(thinLink).whole).To(BeNumerically("<", 64<<10))
		Expect(newPacer(125e6).whole).To(BeNumerically("==", wholeAnswer))
	})

	It("reports an answer that breaks off, so that it is not taken as complete", func() {
		cut := io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF))
		Expect(newPacer(thinLink).copy(context.Background(), io.Discard, cut)).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("stops when the caller leaves", func() {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		Expect(newPacer(10_000).copy(ctx, io.Discard, bytes.NewReader(make([]byte, 1<<20)))).NotTo(Succeed())
	})
})
