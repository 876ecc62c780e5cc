package link

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// saturate keeps the given number of streams of each class waiting for the time d, and returns how many bytes of each class
// passed.
func saturate(b *bucket, d time.Duration, streams [classCount]int) [classCount]int {
	var got [classCount]int
	open := map[*waiter]bool{}
	enqueue := func(class Class) {
		w := &waiter{class: class, bytes: chunkBytes, done: make(chan struct{})}
		open[w] = true
		b.enqueue(w)
	}
	for class, count := range streams {
		for range count {
			enqueue(Class(class))
		}
	}
	end := b.lastRefill + d
	for now := b.lastRefill; now < end; {
		b.serveWaiters(now)
		for w := range open {
			select {
			case <-w.done:
				delete(open, w)
				got[w.class] += w.bytes
				enqueue(w.class)
			default:
			}
		}
		now, _ = b.nextServeTime(now)
	}
	return got
}

var _ = Describe("bucket", func() {
	const rate = 30e6 / 8 / 10 // a tenth of 30 Mbit/s, in bytes per second

	newBucket := func() *bucket {
		b := &bucket{}
		b.setRate(0, rate)
		return b
	}

	It("lets no more bytes pass than the rate allows, plus one burst", func() {
		b := newBucket()
		got := saturate(b, 10*time.Second, [classCount]int{Interactive: 3})
		Expect(float64(got[Interactive])).To(BeNumerically("<=", 10*rate+b.burst))
		Expect(float64(got[Interactive])).To(BeNumerically(">=", 10*rate-chunkBytes))
	})

	DescribeTable("serves a higher class first",
		func(higher, lower Class) {
			b := newBucket()
			var streams [classCount]int
			streams[higher], streams[lower] = 1, 5
			got := saturate(b, 10*time.Second, streams)
			// The lower class gets at most the tokens that were available at the start.
			Expect(float64(got[lower])).To(BeNumerically("<=", b.burst))
			Expect(float64(got[higher])).To(BeNumerically(">=", 9*rate))
		},
		Entry("control before interactive", Control, Interactive),
		Entry("interactive before booking", Interactive, Booking),
		Entry("booking before file", Booking, File),
	)

	It("leaves tokens to higher classes while files saturate the link", func() {
		b := newBucket()
		saturate(b, 10*time.Second, [classCount]int{File: 5})
		b.queues = [classCount][]*waiter{}
		Expect(b.takeIfNoneWaits(b.lastRefill, Interactive, chunkBytes)).To(BeTrue())
		Expect(b.takeIfNoneWaits(b.lastRefill, Control, chunkBytes)).To(BeTrue())
	})

	It("limits the tokens that control uses in advance, so that a faulty sender can't block the link for long", func() {
		b := newBucket()
		b.debit(0, 1e9)
		Expect(b.tokens).To(Equal(-b.burst))
	})

	It("drops tokens above the new burst when the rate changes", func() {
		b := newBucket()
		b.setRate(0, rate*100)
		b.refill(time.Hour)
		b.setRate(time.Hour, rate)
		Expect(b.tokens).To(Equal(b.burst))
	})
})
