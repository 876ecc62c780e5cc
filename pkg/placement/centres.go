package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// DataCentreMargin is the hysteresis of moves between data centres, as a part of a data centre's share: capacities that
// change with single targets move nothing, since such a move is far dearer than one between targets.
const DataCentreMargin = 0.2

// DataCentre is a data centre.
type DataCentre struct {
	Name   string
	Region string
	// Capacity is the sum of slots of ready targets of the service. When no data centre has any, all count the same.
	Capacity float64
	// OutOfService data centres get no new work and give away what they have.
	OutOfService bool
	// Lost data centres are gone for good: their shards count as unowned.
	Lost bool
	// Unreachable data centres, for instance behind a partition, keep what they have and get nothing.
	Unreachable bool
}

// DataCentreInput is the state of one keyspace.
type DataCentreInput struct {
	DataCentres []DataCentre
	// HomeRegions limit where the keyspace may be; empty means everywhere.
	HomeRegions []string
	// Owners has the data centre of each shard by index; empty for none.
	Owners []string
	// Pinned shards are moving already and stay as they are; nil for none.
	Pinned []bool
	// MovesLeft caps moves for balance. Moves out of a data centre that must not have the shard are not capped.
	MovesLeft int
}

// DelegationChange gives consecutive shards to data centre To.
type DelegationChange struct {
	FirstShard uint32
	Count      uint32
	From, To   string
	Reason     Reason
}

// DataCentrePlan is the result of a planning round over data centres.
type DataCentrePlan struct {
	Assignments []DelegationChange
	Moves       []DelegationChange
}

// centre is a data centre during planning.
type centre struct {
	*DataCentre
	eligible bool
	quota    int
	shards   []uint32
}

func (c *centre) deficit() int { return c.quota - len(c.shards) }

type centrePlanner struct {
	centres []*centre
	byName  map[string]*centre
	unowned []uint32
	leaving []uint32
	input   DataCentreInput
	to      map[uint32]string
	reason  map[uint32]Reason
}

// PlanDataCentres distributes the shards of a keyspace over the data centres of its home regions by capacity. Shards
// without owner are assigned; shards of data centres that are out or outside the home regions move; then moves balance
// up to the cap. Changes are runs of consecutive shards where possible, since delegations are stored as runs.
func PlanDataCentres(input DataCentreInput) DataCentrePlan {
	p := &centrePlanner{
		byName: map[string]*centre{}, input: input, to: map[uint32]string{}, reason: map[uint32]Reason{},
	}
	p.prepare()
	if !p.setQuotas() {
		return DataCentrePlan{}
	}
	p.fill(p.unowned, ReasonUnowned)
	p.fill(p.leaving, ReasonDrain)
	p.level()
	return p.result()
}

func (p *centrePlanner) prepare() {
	centres := slices.Clone(p.input.DataCentres)
	slices.SortFunc(centres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	for i := range centres {
		c := &centre{DataCentre: &centres[i]}
		home := len(p.input.HomeRegions) == 0 || slices.Contains(p.input.HomeRegions, c.Region)
		c.eligible = home && !c.OutOfService && !c.Lost
		p.centres = append(p.centres, c)
		p.byName[c.Name] = c
	}
	for i, owner := range p.input.Owners {
		shard := uint32(i) //nolint:gosec // a keyspace has at most 65,536 shards
		c := p.byName[owner]
		pinned := i < len(p.input.Pinned) && p.input.Pinned[i]
		switch {
		case pinned && c != nil:
		case c == nil || c.Lost:
			p.unowned = append(p.unowned, shard)
		case !c.eligible && !c.Unreachable:
			p.leaving = append(p.leaving, shard)
		case c.eligible:
			c.shards = append(c.shards, shard)
		}
	}
}

// setQuotas divides all shards by capacity, with the largest remainders rounded up. Silent data centres keep their
// number. It reports false when no data centre may get shards.
func (p *centrePlanner) setQuotas() bool {
	shards := len(p.unowned) + len(p.leaving)
	total := 0.0
	var open []*centre
	for _, c := range p.centres {
		if !c.eligible {
			continue
		}
		if c.Unreachable {
			c.quota = len(c.shards)
			continue
		}
		open = append(open, c)
		total += max(c.Capacity, 0)
		shards += len(c.shards)
	}
	rest := shards
	remainders := map[*centre]float64{}
	for _, c := range open {
		share := 1 / float64(len(open))
		if total > 0 {
			share = max(c.Capacity, 0) / total
		}
		exact := float64(shards) * share
		c.quota = int(math.Floor(exact))
		remainders[c] = exact - math.Floor(exact)
		rest -= c.quota
	}
	slices.SortStableFunc(open, func(a, b *centre) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; i < rest && len(open) > 0; i++ {
		open[i%len(open)].quota++
	}
	return len(open) > 0
}

// fill gives shards to the data centres with the largest deficits, each in one run.
func (p *centrePlanner) fill(shards []uint32, reason Reason) {
	for len(shards) > 0 {
		receiver := p.mostWanting(nil)
		count := min(max(receiver.deficit(), 1), len(shards))
		p.give(shards[:count], receiver, reason)
		shards = shards[count:]
	}
}

// mostWanting returns the open data centre with the largest deficit other than except.
func (p *centrePlanner) mostWanting(except *centre) *centre {
	var most *centre
	for _, c := range p.centres {
		if c != except && c.eligible && !c.Unreachable && (most == nil || c.deficit() > most.deficit()) {
			most = c
		}
	}
	return most
}

func (p *centrePlanner) give(shards []uint32, receiver *centre, reason Reason) {
	for _, shard := range shards {
		p.to[shard], p.reason[shard] = receiver.Name, reason
	}
	receiver.shards = append(receiver.shards, shards...)
}

// level moves shards from data centres above their quota to those below while either is beyond the margin.
func (p *centrePlanner) level() {
	for left := p.input.MovesLeft; left > 0; {
		giver := slices.MinFunc(p.centres, func(a, b *centre) int { return cmp.Compare(a.surplus(), b.surplus()) * -1 })
		receiver := p.mostWanting(giver)
		if receiver == nil || giver.surplus() <= 0 || receiver.deficit() <= 0 ||
			!giver.beyond(giver.surplus()) && !receiver.beyond(receiver.deficit()) {
			return
		}
		settled := slices.DeleteFunc(slices.Clone(giver.shards), func(s uint32) bool { return p.to[s] != "" })
		count := min(giver.surplus(), receiver.deficit(), left, len(settled))
		if count == 0 {
			return
		}
		given := settled[len(settled)-count:]
		p.give(given, receiver, ReasonImbalance)
		giver.shards = slices.DeleteFunc(giver.shards, func(s uint32) bool { return p.to[s] == receiver.Name })
		left -= count
	}
}

// surplus is what an open data centre has above its quota.
func (c *centre) surplus() int {
	if !c.eligible || c.Unreachable {
		return 0
	}
	return -c.deficit()
}

// beyond tells whether a difference from the quota exceeds the margin.
func (c *centre) beyond(difference int) bool {
	return float64(difference) > DataCentreMargin*float64(c.quota) && difference > 1
}

// result joins changes of consecutive shards.
func (p *centrePlanner) result() DataCentrePlan {
	var plan DataCentrePlan
	for i, from := range p.input.Owners {
		shard := uint32(i) //nolint:gosec // a keyspace has at most 65,536 shards
		to, changed := p.to[shard]
		if !changed {
			continue
		}
		list := &plan.Moves
		if p.reason[shard] == ReasonUnowned {
			list = &plan.Assignments
		}
		change := DelegationChange{FirstShard: shard, Count: 1, From: from, To: to, Reason: p.reason[shard]}
		if n := len(*list); n > 0 && (*list)[n-1].joins(change) {
			(*list)[n-1].Count++
			continue
		}
		*list = append(*list, change)
	}
	return plan
}

func (c DelegationChange) joins(next DelegationChange) bool {
	return c.FirstShard+c.Count == next.FirstShard && c.From == next.From && c.To == next.To && c.Reason == next.Reason
}
