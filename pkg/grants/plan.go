package grants

import (
	"cmp"
	"maps"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// Keys is the number of keys of an exclusive service.
	Keys = 1 << 16
	// rangesPerOwner bounds what one move moves, and the calls that keep the grants: each range is renewed by itself.
	rangesPerOwner = 3
)

// Split divides all keys evenly among owners. Neighbouring ranges get different owners, because busy keys are close to
// one another.
func Split(owners []*schemav1.Registration) []*schemav1.KeyRange {
	count := len(owners) * rangesPerOwner
	ranges := make([]*schemav1.KeyRange, 0, count)
	for i := range count {
		owner := owners[i%len(owners)]
		ranges = append(ranges, &schemav1.KeyRange{
			First: uint32(i * Keys / count), Last: uint32((i+1)*Keys/count - 1),
			Owner: owner.GetId(), OwnerStartedUnixMs: owner.GetStartedUnixMs(),
			State: schemav1.RangeState_RANGE_STATE_GRANTING,
		})
	}
	return ranges
}

// Candidate is a target that may own keys.
type Candidate struct {
	*schemav1.Registration
	// Unfit is set while the target should not get keys, but may if there is no other.
	Unfit bool
}

// Owner chooses the next owner of a range: a fit candidate with the fewest keys for its slots, other than avoid. It
// returns nil when there is no candidate.
func Owner(ranges []*schemav1.KeyRange, candidates []Candidate, avoid string) *schemav1.Registration {
	held := keysByOwner(ranges)
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.GetId() == avoid {
			continue
		}
		if best == nil || cmp.Or(compareBool(c.Unfit, best.Unfit), cmp.Compare(load(held, c), load(held, best)),
			cmp.Compare(c.GetId(), best.GetId())) < 0 {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.Registration
}

func load(held map[string]int, c *Candidate) float64 {
	return float64(held[c.GetId()]) / float64(max(1, c.GetSlots()))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func keysByOwner(ranges []*schemav1.KeyRange) map[string]int {
	held := map[string]int{}
	for _, r := range ranges {
		held[r.GetOwner()] += int(r.GetLast() - r.GetFirst() + 1)
	}
	return held
}

// Rebalance returns a range that should move to a candidate with far fewer keys, and that candidate. Moves cost: keys
// are slow after them and each is paid for, so only a difference of more than one range counts.
func Rebalance(ranges []*schemav1.KeyRange, candidates []Candidate) (*schemav1.KeyRange, *schemav1.Registration) {
	target := Owner(ranges, candidates, "")
	if target == nil || slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Unfit && c.GetId() == target.GetId() }) {
		return nil, nil
	}
	owned := map[string][]*schemav1.KeyRange{}
	for _, r := range ranges {
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			return nil, nil
		}
		owned[r.GetOwner()] = append(owned[r.GetOwner()], r)
	}
	var from []*schemav1.KeyRange
	for _, owner := range slices.Sorted(maps.Keys(owned)) {
		if len(owned[owner]) > len(from) {
			from = owned[owner]
		}
	}
	if len(from)-len(owned[target.GetId()]) < 2 {
		return nil, nil
	}
	return from[len(from)-1], target
}
