package ownership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func setWarm(target, bootID string, warm bool) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetTargetWarm{
		SetTargetWarm: &schemav1.SetTargetWarm{Target: target, BootId: bootID, Warm: warm},
	}}
}

// A target that is recorded as warm gets its full rate at once from the next attached host. If the record outlived the boot, a
// cold target would get the full load (I3).
var _ = DescribeTable("I3: a target stays warm only during the same boot",
	func(then *schemav1.GroupCommand, warm bool) {
		rep := newReplica()
		rep.apply(registerTarget(announcement("t1", "b1", 1)))
		Expect(rep.apply(setWarm("t1", "b1", true)).GetApplied()).To(BeTrue())
		rep.apply(then)
		record, ok := rep.table.Target("t1")
		Expect(ok).To(BeTrue())
		Expect(record.GetWarm()).To(Equal(warm))
	},
	Entry("next announcement", registerTarget(announcement("t1", "b1", 2)), true),
	Entry("restart", registerTarget(announcement("t1", "b2", 1)), false),
	Entry("loss of the target", &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MarkTargetLost{
		MarkTargetLost: &schemav1.MarkTargetLost{Target: "t1", BootId: "b1"},
	}}, false),
	Entry("report that the target is cold again", setWarm("t1", "b1", false), false),
	Entry("late report of an earlier boot", setWarm("t1", "b0", false), true),
)
