package placement

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// weightedShard is a shard with the load that the planner counts for it: its clamped load plus the base load.
type weightedShard struct {
	input *Shard
	load  float64
}

// plannedTarget is a target with its load at the present point of planning.
type plannedTarget struct {
	*Target
	capacity float64
	load     float64
	// movable are the shards that may move away. bestShard removes recently moved ones and sorts by ascending load on first
	// use; movableSorted is set then.
	movable       []weightedShard
	movableSorted bool
}

// targetPlanner holds the working data of one PlanTargets call.
type targetPlanner struct {
	targets []*plannedTarget
	byName  map[string]*plannedTarget
	// receivers are the targets that may get shards; donors are those that balance moves may take shards from.
	receivers       *targetHeap
	donors          *targetHeap
	shards          []weightedShard
	meanUtilisation float64
	movesLeft       int
	drainMovesLeft  int
	plan            Plan
}

// PlanTargets assigns all shards without owner and plans moves up to the limits of the input: first away from draining
// targets, then away from stragglers, then for balance. The plan does not depend on the order of the input.
func PlanTargets(input Input) Plan {
	p := newTargetPlanner(input)
	if p.receivers.Len() == 0 {
		return Plan{}
	}
	p.assign()
	p.drain()
	p.shedStragglers()
	p.balance()
	return p.plan
}

func newTargetPlanner(input Input) *targetPlanner {
	p := &targetPlanner{
		byName:    make(map[string]*plannedTarget, len(input.Targets)),
		movesLeft: input.MovesLeft, drainMovesLeft: input.DrainMovesLeft,
	}
	sorted := slices.Clone(input.Targets)
	slices.SortFunc(sorted, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	for i := range sorted {
		target := &plannedTarget{Target: &sorted[i], capacity: clampCapacity(sorted[i].Capacity)}
		p.targets = append(p.targets, target)
		p.byName[target.Name] = target
	}
	p.shards = weighShards(input.Shards, totalCapacity(p.targets))
	p.addOwnerLoads()
	eligible := slices.DeleteFunc(slices.Clone(p.targets), func(target *plannedTarget) bool { return !target.eligible() })
	p.receivers = newTargetHeap(eligible, leastFilled)
	donors := slices.DeleteFunc(slices.Clone(eligible), func(target *plannedTarget) bool { return len(target.movable) == 0 })
	p.donors = newTargetHeap(donors, mostUtilised)
	p.meanUtilisation = computeMeanUtilisation(p.shards, totalCapacity(p.targets))
	return p
}

// clampCapacity limits an announced capacity to a plausible range.
func clampCapacity(announced float64) float64 {
	if !(announced > 0) {
		return 1
	}
	return min(announced, maxSlots)
}

// clampLoad limits a measured load to a plausible range, so that a wrong measurement does not distort the sums.
func clampLoad(load float64) float64 {
	if !(load > 0) {
		return 0
	}
	return min(load, maxSlots)
}

// weighShards returns the shards with their loads, ordered by ID.
func weighShards(shards []Shard, capacity float64) []weightedShard {
	weighted := make([]weightedShard, len(shards))
	base := baseLoad * capacity / float64(max(len(shards), 1))
	for i := range shards {
		weighted[i] = weightedShard{input: &shards[i], load: clampLoad(shards[i].Load) + base}
	}
	slices.SortFunc(weighted, func(a, b weightedShard) int { return CompareIDs(a.input.ID, b.input.ID) })
	return weighted
}

// addOwnerLoads adds each shard's load to its owner and lists the owner's movable shards.
func (p *targetPlanner) addOwnerLoads() {
	for _, shard := range p.shards {
		if owner := p.byName[shard.input.Owner]; owner != nil {
			owner.load += shard.load
			if !shard.input.Pinned {
				owner.movable = append(owner.movable, shard)
			}
		}
	}
}

// computeMeanUtilisation returns the utilisation that the receivers would have if they shared the load of all shards evenly.
func computeMeanUtilisation(weighted []weightedShard, capacity float64) float64 {
	load := 0.0
	for _, shard := range weighted {
		load += shard.load
	}
	return load / max(capacity, 1)
}

// totalCapacity returns the capacity of all targets that may get shards.
func totalCapacity(targets []*plannedTarget) float64 {
	capacity := 0.0
	for _, target := range targets {
		if target.eligible() {
			capacity += target.capacity
		}
	}
	return capacity
}

// eligible reports whether the target may get shards.
func (t *plannedTarget) eligible() bool {
	return t.State == Ready || t.State == Cold
}

// utilisation orders targets as donors. A cold target counts with its full capacity, so that it keeps the shards it has.
func (t *plannedTarget) utilisation() float64 {
	return t.load / t.capacity
}

// fillLevel orders targets as receivers: it is the utilisation with additional load. A cold target counts with only a part
// of its capacity, so that it gets fewer shards.
func (t *plannedTarget) fillLevel(additional float64) float64 {
	level := (t.load + additional) / t.capacity
	if t.State == Cold {
		level /= ColdShare
	}
	return level
}

// assign gives each shard without owner to the least filled receiver, in descending order of load.
func (p *targetPlanner) assign() {
	unowned := slices.DeleteFunc(slices.Clone(p.shards), func(shard weightedShard) bool { return shard.input.Owner != "" })
	slices.SortStableFunc(unowned, func(a, b weightedShard) int { return cmp.Compare(b.load, a.load) })
	for _, shard := range unowned {
		receiver := p.receivers.best()
		p.addLoad(receiver, shard.load)
		p.plan.Assignments = append(p.plan.Assignments, OwnerChange{ID: shard.input.ID, To: receiver.Name, Reason: ReasonUnowned})
	}
}

// drain moves shards away from draining targets. It uses up the ordinary moves before the additional moves of drains.
func (p *targetPlanner) drain() {
	for _, target := range p.targets {
		if target.State != Draining {
			continue
		}
		for _, shard := range target.movable {
			if p.movesLeft <= 0 {
				if p.drainMovesLeft <= 0 {
					return
				}
				p.drainMovesLeft--
				p.movesLeft++
			}
			p.move(target, p.receivers.best(), shard, ReasonDrain)
		}
	}
}

// shedStragglers moves one shard per round away from each straggler that has more than its reduced share of load. One at a
// time leaves time to see whether less load makes the target faster.
func (p *targetPlanner) shedStragglers() {
	for _, target := range p.targets {
		excess := (target.load - StragglerShare*p.meanUtilisation*target.capacity) * (1 + roundingTolerance)
		receiver := p.receivers.best()
		if !target.Straggler || target.State != Ready || excess <= 0 || receiver.Straggler || p.movesLeft <= 0 {
			continue
		}
		if i, ok := target.bestShard(excess); ok && target.movable[i].load <= excess {
			p.move(target, receiver, target.removeMovable(i), ReasonStraggler)
		}
	}
}

// balance moves shards from the most to the least utilised targets as long as a move narrows the gap by at least the margin.
func (p *targetPlanner) balance() {
	margin := BalanceMargin * p.meanUtilisation
	for p.movesLeft > 0 && p.donors.Len() > 0 {
		donor, receiver := p.donors.best(), p.receivers.best()
		if donor == receiver || donor.utilisation()-receiver.fillLevel(0) <= margin {
			return
		}
		if i, ok := donor.improvingShard(receiver, margin); ok {
			p.move(donor, receiver, donor.removeMovable(i), ReasonImbalance)
		} else {
			p.donors.removeBest()
		}
	}
}

// improvingShard returns the index of the movable shard whose move to receiver best equalises the two targets. After the
// move, the receiver's fill level must be below the present utilisation of t by at least margin.
func (t *plannedTarget) improvingShard(receiver *plannedTarget, margin float64) (int, bool) {
	receiverCapacity := receiver.capacity
	if receiver.State == Cold {
		receiverCapacity *= ColdShare
	}
	ideal := (t.utilisation() - receiver.fillLevel(0)) / (1/t.capacity + 1/receiverCapacity)
	i, ok := t.bestShard(ideal)
	if !ok || receiver.fillLevel(t.movable[i].load) > t.utilisation()-margin {
		return 0, false
	}
	return i, true
}

// bestShard returns the index of the movable shard with the largest load up to load, or of the one with the smallest load if
// all are larger. It returns false if no shard is movable.
func (t *plannedTarget) bestShard(load float64) (int, bool) {
	if !t.movableSorted {
		t.movable = slices.DeleteFunc(t.movable, func(shard weightedShard) bool { return shard.input.RecentlyMoved })
		slices.SortStableFunc(t.movable, func(a, b weightedShard) int { return cmp.Compare(a.load, b.load) })
		t.movableSorted = true
	}
	if len(t.movable) == 0 {
		return 0, false
	}
	i := sort.Search(len(t.movable), func(i int) bool { return t.movable[i].load > load })
	return max(i-1, 0), true
}

// removeMovable removes the movable shard at index i and returns it.
func (t *plannedTarget) removeMovable(i int) weightedShard {
	shard := t.movable[i]
	t.movable = slices.Delete(t.movable, i, i+1)
	return shard
}

// move records a planned move and counts it against the limit.
func (p *targetPlanner) move(from, to *plannedTarget, shard weightedShard, reason Reason) {
	p.movesLeft--
	p.addLoad(from, -shard.load)
	p.addLoad(to, shard.load)
	p.plan.Moves = append(p.plan.Moves, OwnerChange{ID: shard.input.ID, From: from.Name, To: to.Name, Reason: reason})
}

// addLoad changes the planned load of a target and restores the order of both heaps.
func (p *targetPlanner) addLoad(target *plannedTarget, load float64) {
	target.load += load
	p.receivers.fix(target)
	p.donors.fix(target)
}
