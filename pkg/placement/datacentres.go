package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// DataCentreMargin is the hysteresis of balance moves between data centres, as a fraction of a data centre's quota. The
// gain or loss of a few targets must not move shards between data centres, since that costs far more than a move between
// targets of one data centre.
const DataCentreMargin = 0.2

// DataCentre is a data centre that shards of the keyspace may be delegated to.
type DataCentre struct {
	Name   string
	Region string
	// Capacity is the total number of slots of the service's ready targets. If it is zero in every data centre, all data
	// centres get equal shares.
	Capacity float64
	// OutOfService is set for a data centre that operators have taken out: it gets no shards, and its shards move away.
	OutOfService bool
	// Lost is set for a data centre that is permanently gone: its shards count as unowned.
	Lost bool
	// Unreachable is set for a data centre that does not report, for instance because of a network partition: it may still
	// serve its shards, so it keeps them, and gets no others.
	Unreachable bool
}

// DataCentreInput is the input of PlanDataCentres for one keyspace.
type DataCentreInput struct {
	DataCentres []DataCentre
	// HomeRegions are the regions that the keyspace may be served in; empty means all.
	HomeRegions []string
	// Owners holds the name of each shard's data centre, indexed by shard; "" means none.
	Owners []string
	// Pinned marks, indexed by shard, the shards that are already moving and must not be reassigned; nil means none.
	Pinned []bool
	// MovesLeft is the largest number of balance moves. Moves out of a data centre that may not have the shard are not
	// limited.
	MovesLeft int
}

// DelegationChange delegates Count consecutive shards to data centre To; From is empty if they were not delegated.
type DelegationChange struct {
	FirstShard uint32
	Count      uint32
	From, To   string
	Reason     Reason
}

// DataCentrePlan is the result of PlanDataCentres: first delegations of shards without owner, and moves of the others.
type DataCentrePlan struct {
	Assignments []DelegationChange
	Moves       []DelegationChange
}

// plannedDataCentre is a data centre with its quota and its shards during planning.
type plannedDataCentre struct {
	*DataCentre
	eligible bool
	quota    int
	shards   []uint32
}

// deficit returns the number of shards missing to the quota; it is negative above the quota.
func (dc *plannedDataCentre) deficit() int { return dc.quota - len(dc.shards) }

// dataCentrePlanner holds the working data of one PlanDataCentres call.
type dataCentrePlanner struct {
	dataCentres []*plannedDataCentre
	byName      map[string]*plannedDataCentre
	unowned     []uint32
	// displaced shards belong to a data centre that may not have them.
	displaced []uint32
	input     DataCentreInput
	// newOwner and reason hold the planned changes by shard.
	newOwner map[uint32]string
	reason   map[uint32]Reason
}

// PlanDataCentres distributes the shards of a keyspace over the data centres of its home regions in proportion to their
// capacity. It assigns shards without owner, moves shards away from data centres that are out of service or outside the
// home regions, and then balances with at most MovesLeft moves. Changes cover runs of consecutive shards where possible,
// because delegations are stored as runs.
func PlanDataCentres(input DataCentreInput) DataCentrePlan {
	p := &dataCentrePlanner{
		byName: map[string]*plannedDataCentre{}, input: input, newOwner: map[uint32]string{}, reason: map[uint32]Reason{},
	}
	p.prepare()
	if !p.setQuotas() {
		return DataCentrePlan{}
	}
	p.distribute(p.unowned, ReasonUnowned)
	p.distribute(p.displaced, ReasonDrain)
	p.balance()
	return p.result()
}

// prepare sorts the data centres by name and classifies each shard as unowned, displaced, or kept by its data centre.
func (p *dataCentrePlanner) prepare() {
	dataCentres := slices.Clone(p.input.DataCentres)
	slices.SortFunc(dataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	for i := range dataCentres {
		dc := &plannedDataCentre{DataCentre: &dataCentres[i]}
		inHomeRegions := len(p.input.HomeRegions) == 0 || slices.Contains(p.input.HomeRegions, dc.Region)
		dc.eligible = inHomeRegions && !dc.OutOfService && !dc.Lost
		p.dataCentres = append(p.dataCentres, dc)
		p.byName[dc.Name] = dc
	}
	for i, owner := range p.input.Owners {
		shard := uint32(i) //nolint:gosec // a keyspace has at most 65,536 shards
		dc := p.byName[owner]
		pinned := i < len(p.input.Pinned) && p.input.Pinned[i]
		switch {
		case pinned && dc != nil:
		case dc == nil || dc.Lost:
			p.unowned = append(p.unowned, shard)
		case !dc.eligible && !dc.Unreachable:
			p.displaced = append(p.displaced, shard)
		case dc.eligible:
			dc.shards = append(dc.shards, shard)
		}
	}
}

// setQuotas sets the number of shards that each data centre should have, in proportion to capacity; the quotas with the
// largest remainders are rounded up. An unreachable data centre keeps the number that it has. It returns false if no data
// centre may get shards.
func (p *dataCentrePlanner) setQuotas() bool {
	shards := len(p.unowned) + len(p.displaced)
	total := 0.0
	var receivers []*plannedDataCentre
	for _, dc := range p.dataCentres {
		if !dc.eligible {
			continue
		}
		if dc.Unreachable {
			dc.quota = len(dc.shards)
			continue
		}
		receivers = append(receivers, dc)
		total += max(dc.Capacity, 0)
		shards += len(dc.shards)
	}
	unallocated := shards
	remainders := map[*plannedDataCentre]float64{}
	for _, dc := range receivers {
		share := 1 / float64(len(receivers))
		if total > 0 {
			share = max(dc.Capacity, 0) / total
		}
		exactQuota := float64(shards) * share
		dc.quota = int(math.Floor(exactQuota))
		remainders[dc] = exactQuota - math.Floor(exactQuota)
		unallocated -= dc.quota
	}
	slices.SortStableFunc(receivers, func(a, b *plannedDataCentre) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; i < unallocated && len(receivers) > 0; i++ {
		receivers[i%len(receivers)].quota++
	}
	return len(receivers) > 0
}

// distribute reassigns shards to the data centres with the largest deficits, as few runs as possible.
func (p *dataCentrePlanner) distribute(shards []uint32, reason Reason) {
	for len(shards) > 0 {
		receiver := p.largestDeficit(nil)
		count := min(max(receiver.deficit(), 1), len(shards))
		p.reassign(shards[:count], receiver, reason)
		shards = shards[count:]
	}
}

// largestDeficit returns the data centre with the largest deficit among those that may get shards, without except.
func (p *dataCentrePlanner) largestDeficit(except *plannedDataCentre) *plannedDataCentre {
	var largest *plannedDataCentre
	for _, dc := range p.dataCentres {
		if dc != except && dc.eligible && !dc.Unreachable && (largest == nil || dc.deficit() > largest.deficit()) {
			largest = dc
		}
	}
	return largest
}

// reassign records receiver as the new owner of shards.
func (p *dataCentrePlanner) reassign(shards []uint32, receiver *plannedDataCentre, reason Reason) {
	for _, shard := range shards {
		p.newOwner[shard], p.reason[shard] = receiver.Name, reason
	}
	receiver.shards = append(receiver.shards, shards...)
}

// balance moves shards from the data centre furthest above its quota to the one furthest below, as long as at least one of
// them is off its quota by more than the margin.
func (p *dataCentrePlanner) balance() {
	for movesLeft := p.input.MovesLeft; movesLeft > 0; {
		donor := slices.MinFunc(p.dataCentres, func(a, b *plannedDataCentre) int { return cmp.Compare(a.surplus(), b.surplus()) * -1 })
		receiver := p.largestDeficit(donor)
		if receiver == nil || donor.surplus() <= 0 || receiver.deficit() <= 0 ||
			!donor.exceedsMargin(donor.surplus()) && !receiver.exceedsMargin(receiver.deficit()) {
			return
		}
		movable := slices.DeleteFunc(slices.Clone(donor.shards), func(s uint32) bool { return p.newOwner[s] != "" })
		count := min(donor.surplus(), receiver.deficit(), movesLeft, len(movable))
		if count == 0 {
			return
		}
		given := movable[len(movable)-count:]
		p.reassign(given, receiver, ReasonImbalance)
		donor.shards = slices.DeleteFunc(donor.shards, func(s uint32) bool { return p.newOwner[s] == receiver.Name })
		movesLeft -= count
	}
}

// surplus returns the number of shards above the quota; it is zero for a data centre that balance moves must not change.
func (dc *plannedDataCentre) surplus() int {
	if !dc.eligible || dc.Unreachable {
		return 0
	}
	return -dc.deficit()
}

// exceedsMargin reports whether a difference from the quota is large enough to justify balance moves.
func (dc *plannedDataCentre) exceedsMargin(difference int) bool {
	return float64(difference) > DataCentreMargin*float64(dc.quota) && difference > 1
}

// result returns the planned changes, merged into runs of consecutive shards.
func (p *dataCentrePlanner) result() DataCentrePlan {
	var plan DataCentrePlan
	for i, from := range p.input.Owners {
		shard := uint32(i) //nolint:gosec // a keyspace has at most 65,536 shards
		newOwner, changed := p.newOwner[shard]
		if !changed {
			continue
		}
		changes := &plan.Moves
		if p.reason[shard] == ReasonUnowned {
			changes = &plan.Assignments
		}
		change := DelegationChange{FirstShard: shard, Count: 1, From: from, To: newOwner, Reason: p.reason[shard]}
		if n := len(*changes); n > 0 && (*changes)[n-1].isFollowedBy(change) {
			(*changes)[n-1].Count++
			continue
		}
		*changes = append(*changes, change)
	}
	return plan
}

// isFollowedBy reports whether next continues c: the same change, for the shards right after those of c.
func (c DelegationChange) isFollowedBy(next DelegationChange) bool {
	return c.FirstShard+c.Count == next.FirstShard && c.From == next.From && c.To == next.To && c.Reason == next.Reason
}
