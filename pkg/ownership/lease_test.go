package ownership_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// renewFirst renews h1 with a table that has applied the given index.
func (s *single) renewFirst(applied uint64) bool {
	return s.driver.Renew(s.now, &schemav1.RenewRequest{
		Host: "h1", Identity: 1, Generation: 1, Applied: applied,
	}).Granted
}

// attached returns a leader with target t1 attached to h1, and hosts h1 and h2 that have just renewed.
func attached() *single {
	s := newSingle(2, 4)
	s.apply(register(announcement("t1", "b1", 1)))
	s.apply(attach("t1", "h1", 0))
	Expect(s.renew("h1", 1) && s.renew("h2", 2)).To(BeTrue())
	return s
}

// attachments steps the driver and returns only the commands that attach.
func (s *single) attachments() []*schemav1.GroupCommand {
	return slices.DeleteFunc(s.driver.Step(s.now), func(c *schemav1.GroupCommand) bool { return c.GetAttachTarget() == nil })
}

// expireFirst lets the lease of h1 end while h2 renews.
func (s *single) expireFirst() {
	s.now += 300 * time.Millisecond
	Expect(s.renew("h2", 2)).To(BeTrue())
	s.now += 160 * time.Millisecond
}

// A host that holds a lease but has not applied the loss of an attachment sends beside the next host (I1).
var _ = Describe("I1: no lease without the losses", func() {
	It("waits until the lease is certainly over", func() {
		s := attached()
		s.now += 450 * time.Millisecond
		s.renew("h2", 2)
		Expect(s.attachments()).To(BeEmpty())
		s.now += 5 * time.Millisecond
		Expect(s.attachments()).To(HaveLen(1))
	})

	It("refuses the host whose target is being attached elsewhere", func() {
		s := attached()
		before := s.table.AppliedIndex()
		s.expireFirst()
		commands := s.attachments()
		Expect(commands).To(HaveLen(1))
		Expect(s.renewFirst(before)).To(BeFalse(), "proposed")
		s.apply(commands[0])
		Expect(s.renewFirst(before)).To(BeFalse(), "applied here only")
		Expect(s.renewFirst(s.table.AppliedIndex())).To(BeTrue())
	})

	It("grants again when the lease is over and nothing was taken yet", func() {
		s := attached()
		s.expireFirst()
		Expect(s.renewFirst(s.table.AppliedIndex())).To(BeTrue())
		Expect(s.attachments()).To(BeEmpty())
	})

	It("refuses a host that lags behind the start of a new leader", func() {
		s := attached()
		s.lead()
		Expect(s.renewFirst(s.table.AppliedIndex() - 1)).To(BeFalse())
		Expect(s.renewFirst(s.table.AppliedIndex())).To(BeTrue())
	})

	It("tolerates a missed loss for a short time only", func() {
		s := attached()
		before := s.table.AppliedIndex()
		s.apply(lost())
		Expect(s.renewFirst(before)).To(BeTrue())
		s.now += 151 * time.Millisecond
		Expect(s.renewFirst(before)).To(BeFalse())
		Expect(s.renewFirst(s.table.AppliedIndex())).To(BeTrue())
	})

	It("remembers a loss after the target was attached again", func() {
		s := attached()
		before := s.table.AppliedIndex()
		s.apply(lost())
		s.driver.Step(s.now)
		s.expireFirst()
		s.apply(register(announcement("t1", "b1", 2)))
		s.step()
		Expect(s.table.TargetsAttachedTo("h2")).To(HaveLen(1))
		Expect(s.renewFirst(before)).To(BeFalse())
	})
})
