package ownership_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// renewH1 renews the lease of h1 with a table that has applied the log up to the given index.
func (s *testLeader) renewH1(applied uint64) bool {
	return s.driver.Renew(s.now, &schemav1.RenewRequest{
		Host: "h1", Identity: 1, Generation: 1, Applied: applied,
	}).Granted
}

// newLeaderWithT1 returns a leader with target t1 attached to h1, and with hosts h1 and h2 that have just renewed.
func newLeaderWithT1() *testLeader {
	s := newTestLeader(2, 4)
	s.apply(registerTarget(announcement("t1", "b1", 1)))
	s.apply(attachTarget("t1", "h1", 0))
	Expect(s.renew("h1", 1) && s.renew("h2", 2)).To(BeTrue())
	return s
}

// attachments steps the driver and returns only the commands that attach.
func (s *testLeader) attachments() []*schemav1.GroupCommand {
	return slices.DeleteFunc(s.driver.Step(s.now), func(c *schemav1.GroupCommand) bool { return c.GetAttachTarget() == nil })
}

// expireH1 lets the lease of h1 expire while h2 renews.
func (s *testLeader) expireH1() {
	s.now += 300 * time.Millisecond
	Expect(s.renew("h2", 2)).To(BeTrue())
	s.now += 160 * time.Millisecond
}

// A host that holds a lease but has not applied the loss of an attachment would send requests at the same time as the next
// host of the target (I1).
var _ = Describe("I1: leases only for hosts that have applied the loss of their attachments", func() {
	It("reattaches a target only when the lease of its host is certain to be over", func() {
		s := newLeaderWithT1()
		s.now += 450 * time.Millisecond
		s.renew("h2", 2)
		Expect(s.attachments()).To(BeEmpty())
		s.now += 5 * time.Millisecond
		Expect(s.attachments()).To(HaveLen(1))
	})

	It("refuses a lease to the host whose target is being attached to another host", func() {
		s := newLeaderWithT1()
		before := s.table.AppliedIndex()
		s.expireH1()
		commands := s.attachments()
		Expect(commands).To(HaveLen(1))
		Expect(s.renewH1(before)).To(BeFalse(), "proposed")
		s.apply(commands[0])
		Expect(s.renewH1(before)).To(BeFalse(), "applied here only")
		Expect(s.renewH1(s.table.AppliedIndex())).To(BeTrue())
	})

	It("grants a lease again after its expiry if no attachment was lost yet", func() {
		s := newLeaderWithT1()
		s.expireH1()
		Expect(s.renewH1(s.table.AppliedIndex())).To(BeTrue())
		Expect(s.attachments()).To(BeEmpty())
	})

	It("refuses a lease to a host that lags behind the start of a new leader", func() {
		s := newLeaderWithT1()
		s.startDriver()
		Expect(s.renewH1(s.table.AppliedIndex() - 1)).To(BeFalse())
		Expect(s.renewH1(s.table.AppliedIndex())).To(BeTrue())
	})

	It("grants leases to a host that has not applied a loss only for a short time", func() {
		s := newLeaderWithT1()
		before := s.table.AppliedIndex()
		s.apply(markT1Lost())
		Expect(s.renewH1(before)).To(BeTrue())
		s.now += 151 * time.Millisecond
		Expect(s.renewH1(before)).To(BeFalse())
		Expect(s.renewH1(s.table.AppliedIndex())).To(BeTrue())
	})

	It("refuses a lease because of a loss even after the target was attached again", func() {
		s := newLeaderWithT1()
		before := s.table.AppliedIndex()
		s.apply(markT1Lost())
		s.driver.Step(s.now)
		s.expireH1()
		s.apply(registerTarget(announcement("t1", "b1", 2)))
		s.step()
		Expect(s.table.TargetsAttachedTo("h2")).To(HaveLen(1))
		Expect(s.renewH1(before)).To(BeFalse())
	})
})
