package pauses

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPauses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pauses Suite")
}

var _ = Describe("Detector", func() {
	var now time.Duration
	var d *Detector
	BeforeEach(func() {
		now = time.Hour
		d = New(func() time.Duration { return now })
		d.observedAt, d.running = now, true
	})
	// waited returns how long something may have waited that is read after a gap.
	waited := func(gap time.Duration) time.Duration {
		now += gap
		return now - d.EarliestSent()
	}

	It("finds no pause while it is scheduled in time", func() {
		for range 20 {
			Expect(waited(minGap - time.Millisecond)).To(BeZero())
		}
	})

	// Guards against an order that is read after a pause and carried out as if it had just arrived.
	It("finds a pause at the first question after it, and remembers it until what waited has been read", func() {
		Expect(waited(minGap)).To(Equal(minGap))
		Expect(waited(interval)).To(Equal(minGap))
		Expect(waited(4 * time.Second)).To(Equal(4 * time.Second))
		for range window/interval - 1 {
			Expect(waited(interval)).To(Equal(4 * time.Second))
		}
		Expect(waited(interval)).To(BeZero())
	})

	// Guards against an order that waited through several pauses, each of which is too short to make it late.
	It("adds pauses in a row", func() {
		Expect(waited(500 * time.Millisecond)).To(Equal(500 * time.Millisecond))
		Expect(waited(interval)).To(Equal(500 * time.Millisecond))
		Expect(waited(500 * time.Millisecond)).To(Equal(time.Second))
	})

	It("does not take the time before it runs for a pause", func() {
		d = New(func() time.Duration { return now })
		Expect(waited(time.Hour)).To(BeZero())
	})
})

var _ = It("has a clock that advances", func() {
	before := BootClock()
	time.Sleep(10 * time.Millisecond)
	Expect(BootClock() - before).To(BeNumerically(">=", 9*time.Millisecond))
})
