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

// The lease must end for the holder before the grantor treats it as expired, whatever the delays of the call and the clock
// rates. If either side counted from the wrong time, two owners could overlap (invariant I1).
var _ = DescribeTable("I1: the lease ends for the holder before it ends for the grantor",
	func(requestDelay, responseDelay time.Duration, holderRate float64) {
		var trueTime time.Duration
		holderClock := func() time.Duration { return time.Duration(float64(trueTime) * holderRate) }
		holder := lease.NewHolder(holderClock)

		requestedAt := holderClock()
		trueTime += requestDelay
		grantedAt := trueTime // the grantor's clock runs at the true rate
		trueTime += responseDelay
		holder.Extend(requestedAt, lease.HostLeaseDuration)

		for !lease.Expired(grantedAt, lease.HostLeaseDuration, trueTime) {
			trueTime += time.Millisecond
		}
		Expect(holder.Valid()).To(BeFalse())
	},
	Entry("no delay, equal clocks", time.Duration(0), time.Duration(0), 1.0),
	Entry("slow holder clock at the largest allowed rate error", time.Duration(0), time.Duration(0), 0.9905),
	Entry("slow request", 300*time.Millisecond, time.Millisecond, 1.0),
	Entry("slow response", time.Millisecond, 440*time.Millisecond, 1.0),
	Entry("response after the lease has ended", time.Millisecond, 900*time.Millisecond, 0.9905),
)

var _ = Describe("Holder", func() {
	It("is not shortened by the delayed response to an older renewal", func() {
		now := time.Second
		holder := lease.NewHolder(func() time.Duration { return now })
		holder.Extend(900*time.Millisecond, lease.HostLeaseDuration)
		remaining := holder.Remaining()
		holder.Extend(700*time.Millisecond, lease.HostLeaseDuration)
		Expect(holder.Remaining()).To(Equal(remaining))
	})

	It("ends immediately when dropped", func() {
		holder := lease.NewHolder(func() time.Duration { return time.Second })
		holder.Extend(time.Second, lease.HostLeaseDuration)
		holder.Drop()
		Expect(holder.Valid()).To(BeFalse())
	})
})
