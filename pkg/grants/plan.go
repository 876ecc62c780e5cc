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
	// initialRangesPerOwner is the number of ranges that each owner gets first. More ranges would need more calls, because each range
	// is renewed separately; fewer would make each move affect more keys.
	initialRangesPerOwner = 3
	// maxInitialRanges is the number of ranges up to which each owner gets initialRangesPerOwner. The leader renews each range once a
	// second, which takes about 0.2 ms of a core; with many owners, one range has few keys anyway.
	maxInitialRanges = 384
)

// InitialRanges divides all keys evenly among owners, of which there must be at least one. Neighbouring ranges get different owners,
// because busy keys are close to one another.
func InitialRanges(owners []*schemav1.Registration) []*schemav1.KeyRange {
	count := len(owners) * min(max(1, maxInitialRanges/len(owners)), initialRangesPerOwner)
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
	// LastResort is set for a target that should get keys only if there is no other candidate.
	LastResort bool
}

// Owner chooses the next owner of a range: the candidate other than avoid with the least load per slot. Candidates that are a last
// resort come after all others. The load consists of the number of keys and, if load is not nil, of the request rate and latency.
// Owner returns nil if there is no candidate.
func Owner(ranges []*schemav1.KeyRange, candidates []Candidate, avoid string, load *ServiceLoad) *schemav1.Registration {
	loads := loadByOwner(ranges, len(candidates), load)
	if load != nil {
		for owner, relativeLatency := range load.relativeLatencies(candidates) {
			loads[owner] *= relativeLatency
		}
	}
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.GetId() == avoid {
			continue
		}
		if best == nil || cmp.Or(order.CompareBools(c.LastResort, best.LastResort), cmp.Compare(loadPerSlot(loads, c), loadPerSlot(loads, best)),
			cmp.Compare(c.GetId(), best.GetId())) < 0 {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.Registration
}

// loadPerSlot returns the load of a candidate for each of its slots.
func loadPerSlot(loads map[string]float64, c *Candidate) float64 {
	return loads[c.GetId()] / float64(max(1, c.GetSlots()))
}

// keyCountWeight is the weight of the number of keys of an owner relative to its number of requests. The number of keys counts even
// where they have few requests, because it is not known which keys will be busy next.
const keyCountWeight = 0.25

// loadByOwner returns the load of each owner from its keys and requests. With a known request rate, an owner that has an equal share
// of both has the load 1 + keyCountWeight; without one, an owner that has an equal share of the keys has the load 1.
func loadByOwner(ranges []*schemav1.KeyRange, owners int, load *ServiceLoad) map[string]float64 {
	loads := map[string]float64{}
	total := 0.0
	if load != nil {
		total = load.Rate(0, Keys-1)
	}
	for _, r := range ranges {
		share := float64(r.GetLast()-r.GetFirst()+1) / Keys
		if total > 0 {
			share = share*keyCountWeight + load.Rate(r.GetFirst(), r.GetLast())/total
		}
		loads[r.GetOwner()] += share * float64(owners)
	}
	return loads
}

// NextKeyCountMove returns a range that should move to a candidate with far fewer keys, and that candidate, or nils. Keys are slow
// after a move and each moved key is paid for, so only a difference of more than one range of even size justifies a move. If load is
// not nil, the owner must also have a higher request rate than the candidate, weighted by latency.
func NextKeyCountMove(ranges []*schemav1.KeyRange, candidates []Candidate, load *ServiceLoad) (*schemav1.KeyRange, *schemav1.Registration) {
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
		keys[r.GetOwner()] += rangeSize(r)
	}
	from := ""
	for _, owner := range slices.Sorted(maps.Keys(owned)) {
		if from == "" || keys[owner] > keys[from] {
			from = owner
		}
	}
	evenSize := Keys / (initialRangesPerOwner * max(1, len(candidates)))
	largest := owned[from][0]
	for _, r := range owned[from] {
		if rangeSize(r) >= rangeSize(largest) {
			largest = r
		}
	}
	if keys[from]-keys[target.GetId()] < 2*min(evenSize, rangeSize(largest)) || keys[from]-keys[target.GetId()] < evenSize {
		return nil, nil
	}
	if load != nil && load.weightedRate(ranges, candidates, from) <= load.weightedRate(ranges, candidates, target.GetId()) {
		return nil, nil
	}
	return largest, target
}

// rangeSize returns the number of keys of a range.
func rangeSize(r *schemav1.KeyRange) int { return int(r.GetLast()-r.GetFirst()) + 1 }
