package grants

import (
	"cmp"
	"maps"
	"slices"

	"almondrock.example/almondrock/pkg/internal/order"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// Keys is the number of keys of an exclusive service.
	Keys = 1 << 16
	// rangesPerOwner bounds what one move moves, and the calls that keep the grants: each range is renewed by itself.
	rangesPerOwner = 3
)

// InitialRanges divides all keys evenly among owners. Neighbouring ranges get different owners, because busy keys are close to
// one another.
func InitialRanges(owners []*schemav1.Registration) []*schemav1.KeyRange {
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
	// LastResort is set while the target should not get keys, but may if there is no other.
	LastResort bool
}

// Owner chooses the next owner of a range: a fit candidate with the least load for its slots, other than avoid. The load is
// that of its requests and its time to answer where heat is known, and of its number of keys. It returns nil when there is no candidate.
func Owner(ranges []*schemav1.KeyRange, candidates []Candidate, avoid string, heat *ServiceLoad) *schemav1.Registration {
	held := loadByOwner(ranges, len(candidates), heat)
	if heat != nil {
		for owner, pace := range heat.paces(candidates) {
			held[owner] *= pace
		}
	}
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.GetId() == avoid {
			continue
		}
		if best == nil || cmp.Or(order.CompareBools(c.LastResort, best.LastResort), cmp.Compare(load(held, c), load(held, best)),
			cmp.Compare(c.GetId(), best.GetId())) < 0 {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.Registration
}

func load(held map[string]float64, c *Candidate) float64 {
	return held[c.GetId()] / float64(max(1, c.GetSlots()))
}

// keyShare is the weight of an even number of keys beside an even number of requests: what is busy next is not known.
const keyShare = 0.25

// loadByOwner is 1 + keyShare for an owner with an even part of requests and keys.
func loadByOwner(ranges []*schemav1.KeyRange, owners int, heat *ServiceLoad) map[string]float64 {
	held := map[string]float64{}
	total := 0.0
	if heat != nil {
		total = heat.Rate(0, Keys-1)
	}
	for _, r := range ranges {
		share := float64(r.GetLast()-r.GetFirst()+1) / Keys
		if total > 0 {
			share = share*keyShare + heat.Rate(r.GetFirst(), r.GetLast())/total
		}
		held[r.GetOwner()] += share * float64(owners)
	}
	return held
}

// NextKeyCountMove returns a range that should move to a candidate with far fewer keys, and that candidate. Moves cost: keys
// are slow after them and each is paid for, so only a difference of more than one whole range counts. With heat, the owner must also
// be under more pressure than the candidate.
func NextKeyCountMove(ranges []*schemav1.KeyRange, candidates []Candidate, heat *ServiceLoad) (*schemav1.KeyRange, *schemav1.Registration) {
	target := Owner(ranges, candidates, "", nil)
	if target == nil || slices.ContainsFunc(candidates, func(c Candidate) bool { return c.LastResort && c.GetId() == target.GetId() }) {
		return nil, nil
	}
	keys := map[string]int{}
	owned := map[string][]*schemav1.KeyRange{}
	for _, r := range ranges {
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			return nil, nil
		}
		owned[r.GetOwner()] = append(owned[r.GetOwner()], r)
		keys[r.GetOwner()] += size(r)
	}
	from := ""
	for _, owner := range slices.Sorted(maps.Keys(owned)) {
		if from == "" || keys[owner] > keys[from] {
			from = owner
		}
	}
	whole := Keys / (rangesPerOwner * max(1, len(candidates)))
	largest := owned[from][0]
	for _, r := range owned[from] {
		if size(r) >= size(largest) {
			largest = r
		}
	}
	if keys[from]-keys[target.GetId()] < 2*min(whole, size(largest)) || keys[from]-keys[target.GetId()] < whole {
		return nil, nil
	}
	if heat != nil && heat.pressure(ranges, candidates, from) <= heat.pressure(ranges, candidates, target.GetId()) {
		return nil, nil
	}
	return largest, target
}

func size(r *schemav1.KeyRange) int { return int(r.GetLast()-r.GetFirst()) + 1 }
