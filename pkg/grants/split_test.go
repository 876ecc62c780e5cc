package grants

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// splitBefore applies the split of an earlier leader before the first change of its range.
type splitBefore struct {
	*harness
	split *schemav1.RangeSplit
}

func (s *splitBefore) Propose(ctx context.Context, c *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	s.mu.Lock()
	if s.split != nil && c.GetRange().GetRange().GetFirst() == s.split.GetFirst() && c.GetRange() != nil {
		s.mustApply(&schemav1.RegistryCommand{Split: s.split})
		s.split = nil
	}
	s.mu.Unlock()
	return s.harness.Propose(ctx, c)
}

// Guards against ranges that overlap, and so have two owners (OWNER), when the split of an earlier leader takes effect between the decision of
// the next leader to raise the fence of the range and the fence.
var _ = It("Manager keeps the key ranges apart when the split of an earlier leader takes effect late", func() {
	h := newHarness(owners(2))
	h.run(5 * time.Second)
	r := h.state.Keys("files").GetRanges()[1]
	middle := r.GetFirst() + (r.GetLast()-r.GetFirst())/2
	h.manager = New(h.state, &splitBefore{h, &schemav1.RangeSplit{
		Service: "files", First: r.GetFirst(), ExpectedFence: r.GetFence(), Starts: []uint32{middle},
	}}, h, h.clock)
	h.run(5 * time.Second)
	next := uint32(0)
	for _, r := range h.state.Keys("files").GetRanges() {
		Expect(r.GetFirst()).To(Equal(next), "ranges: %v", h.state.Keys("files").GetRanges())
		next = r.GetLast() + 1
	}
})
