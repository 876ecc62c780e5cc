package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func setLeaving(target, bootID string) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetTargetLeaving{
		SetTargetLeaving: &schemav1.SetTargetLeaving{Target: target, BootId: bootID},
	}}
}

// A target that has said that it leaves must not get new work again because of an announcement that says it is ready (I9).
var _ = DescribeTable("I9: a target that leaves is draining only during the same boot",
	func(leaves, then *schemav1.GroupCommand, draining bool) {
		rep := newReplica()
		rep.apply(registerTarget(announcement("t1", "b1", 1)))
		rep.apply(leaves)
		rep.apply(then)
		record, ok := rep.table.Target("t1")
		Expect(ok).To(BeTrue())
		Expect(record.GetAnnouncement().GetDraining()).To(Equal(draining))
	},
	Entry("next announcement", setLeaving("t1", "b1"), registerTarget(announcement("t1", "b1", 2)), true),
	Entry("said twice", setLeaving("t1", "b1"), setLeaving("t1", "b1"), true),
	Entry("loss of the target", setLeaving("t1", "b1"), markT1Lost(), true),
	Entry("restart", setLeaving("t1", "b1"), registerTarget(announcement("t1", "b2", 1)), false),
	Entry("late report of an earlier boot", setLeaving("t1", "b0"), registerTarget(announcement("t1", "b1", 2)), false),
	Entry("another target", setLeaving("t2", "b1"), registerTarget(announcement("t1", "b1", 2)), false),
)

var _ = Describe("Driver with a target that leaves", func() {
	It("I9: moves its shards away, keeps it draining whatever it announces, and uses its next boot", func() {
		s := newSettledLeader(4, 16)
		Expect(s.table.ShardsOf("t1")).NotTo(BeEmpty())
		s.advance(time.Second, func(target string) *schemav1.TargetReport {
			return &schemav1.TargetReport{LatencyP50Us: 1000, Leaving: target == "t1"}
		})
		s.advance(10*time.Second, idleReport)
		Expect(s.table.ShardsOf("t1")).To(BeEmpty())
		for _, target := range []string{"t2", "t3", "t4"} {
			record, _ := s.table.Target(target)
			Expect(record.GetAnnouncement().GetDraining()).To(BeFalse(), target)
		}
		applied := s.table.AppliedIndex()
		s.advance(5*time.Second, idleReport)
		Expect(s.table.AppliedIndex()).To(Equal(applied), "its announcements are not committed again and again")
		s.apply(registerTarget(announcement("t1", "b2", 1)))
		s.advance(20*time.Second, idleReport)
		Expect(s.table.ShardsOf("t1")).NotTo(BeEmpty())
	})
})
