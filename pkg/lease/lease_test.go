package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/lease"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// The holder's lease must end before the grantor treats it as over, whatever the delay of the call and the clock rates.
// A lease counted from the wrong end lets two owners overlap (I1).
var _ = DescribeTable("I1: the holder ends before the grantor",
	func(requestDelay, responseDelay time.Duration, holderRate float64) {
		var trueTime time.Duration
		holderClock := func() time.Duration { return time.Duration(float64(trueTime) * holderRate) }
		holder := lease.NewHolder(holderClock)

		asked := holderClock()
		trueTime += requestDelay
		answered := trueTime // the grantor's clock runs at the true rate
		trueTime += responseDelay
		holder.Extend(asked, lease.HostLeaseDuration)

		for !lease.Expired(answered, lease.HostLeaseDuration, trueTime) {
			trueTime += time.Millisecond
		}
		Expect(holder.Valid()).To(BeFalse())
	},
	Entry("no delay, equal clocks", time.Duration(0), time.Duration(0), 1.0),
	Entry("slow holder clock at the bound", time.Duration(0), time.Duration(0), 0.9905),
	Entry("slow request", 300*time.Millisecond, time.Millisecond, 1.0),
	Entry("slow response", time.Millisecond, 440*time.Millisecond, 1.0),
	Entry("response after the lease is over", time.Millisecond, 900*time.Millisecond, 0.9905),
)

var _ = Describe("Holder", func() {
	It("does not let a late answer of an older renewal shorten the lease", func() {
		now := time.Second
		holder := lease.NewHolder(func() time.Duration { return now })
		holder.Extend(900*time.Millisecond, lease.HostLeaseDuration)
		remaining := holder.Remaining()
		holder.Extend(700*time.Millisecond, lease.HostLeaseDuration)
		Expect(holder.Remaining()).To(Equal(remaining))
	})

	It("ends at once when dropped", func() {
		holder := lease.NewHolder(func() time.Duration { return time.Second })
		holder.Extend(time.Second, lease.HostLeaseDuration)
		holder.Drop()
		Expect(holder.Valid()).To(BeFalse())
	})
})
