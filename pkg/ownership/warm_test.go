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

// A target that counts as warm gets its full rate at once from the next attached host, so a mark that outlives the boot
// would send full load to a cold target (I3).
var _ = DescribeTable("I3: a target stays warm only as long as its boot lives",
	func(then *schemav1.GroupCommand, warm bool) {
		l := newLog()
		l.apply(register(announcement("t1", "b1", 1)))
		Expect(l.apply(setWarm("t1", "b1", true)).GetApplied()).To(BeTrue())
		l.apply(then)
		record, ok := l.table.Target("t1")
		Expect(ok).To(BeTrue())
		Expect(record.GetWarm()).To(Equal(warm))
	},
	Entry("next announcement", register(announcement("t1", "b1", 2)), true),
	Entry("restart", register(announcement("t1", "b2", 1)), false),
	Entry("loss", &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MarkTargetLost{
		MarkTargetLost: &schemav1.MarkTargetLost{Target: "t1", BootId: "b1"},
	}}, false),
	Entry("cold again by report", setWarm("t1", "b1", false), false),
	Entry("late report of an earlier boot", setWarm("t1", "b0", false), true),
)
