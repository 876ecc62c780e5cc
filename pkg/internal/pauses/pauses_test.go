package pauses

import (
	"math"
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
	after := func(gap time.Duration) time.Duration {
		now += gap
		return d.SinceLast()
	}

	It("finds no pause while it is scheduled in time", func() {
		for range 20 {
			Expect(after(minPause - time.Millisecond)).To(Equal(time.Duration(math.MaxInt64)))
		}
	})

	// Guards against an order that is read after a pause and carried out as if it had just arrived.
	It("finds a pause at the first question after it, and tells how long ago it ended", func() {
		Expect(after(minPause)).To(BeZero())
		Expect(after(interval)).To(Equal(interval))
		Expect(after(4 * time.Second)).To(BeZero())
	})

	It("does not take the time before it runs for a pause", func() {
		d = New(func() time.Duration { return now })
		Expect(after(time.Hour)).To(Equal(time.Duration(math.MaxInt64)))
	})
})

var _ = It("has a clock that advances", func() {
	before := BootClock()
	time.Sleep(10 * time.Millisecond)
	Expect(BootClock() - before).To(BeNumerically(">=", 9*time.Millisecond))
})
