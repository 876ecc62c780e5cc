package pauses

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against leases by the monotonic clock of the runtime, which a suspended machine holds for longer than their time.
var _ = It("has a clock for leases that is the one which goes on during suspensions", func() {
	clock, before := NewClock(), BootClock()
	start := clock.Now()
	Expect(start.Sub(time.Unix(0, 0))).To(BeNumerically("~", before, 5*time.Second))
	time.Sleep(10 * time.Millisecond)
	Expect(clock.Since(start)).To(BeNumerically(">=", 9*time.Millisecond))
	Expect(clock.Until(start)).To(BeNumerically("<=", -9*time.Millisecond))
})
