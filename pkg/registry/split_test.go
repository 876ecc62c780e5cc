package registry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Guards against key ranges that overlap, and so have two owners, after a decision about a range that was split meanwhile (OWNER).
var _ = DescribeTable("A change of a range that was split since it was decided",
	func(change *schemav1.KeyRange) {
		s := NewState()
		table := &schemav1.KeyTable{Service: "s", Ranges: []*schemav1.KeyRange{{Last: 99, Owner: "x"}}}
		apply(s, &schemav1.RegistryCommand{Keys: table})
		fence := s.Keys("s").GetRanges()[0].GetFence()
		apply(s, &schemav1.RegistryCommand{Split: &schemav1.RangeSplit{Service: "s", ExpectedFence: fence, Starts: []uint32{50}}})
		if change.GetFence() != 0 {
			change.Fence = fence
		}
		apply(s, &schemav1.RegistryCommand{Range: &schemav1.RangeChange{Service: "s", ExpectedFence: fence, Range: change}})
		next := uint32(0)
		for _, r := range s.Keys("s").GetRanges() {
			Expect(r.GetFirst()).To(Equal(next), "ranges: %v", s.Keys("s").GetRanges())
			next = r.GetLast() + 1
		}
		Expect(next).To(BeEquivalentTo(100))
	},
	Entry("raise of the fence", &schemav1.KeyRange{Last: 99, Owner: "x"}),
	Entry("next owner", &schemav1.KeyRange{Last: 99, Owner: "y"}),
	Entry("new state under the same fence", &schemav1.KeyRange{Last: 99, Owner: "x", Fence: 1, State: schemav1.RangeState_RANGE_STATE_RELEASING}),
)
