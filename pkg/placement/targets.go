package placement

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// item is a shard with the load it counts for.
type item struct {
	shard *Shard
	load  float64
}

// node is a target during planning.
type node struct {
	*Target
	capacity float64
	load     float64
	// items that may leave, in ascending order of load; built when first needed.
	movable []item
	sorted  bool
}

// planner is the state of one planning round.
type planner struct {
	nodes  []*node
	byName map[string]*node
	// receivers are the nodes that may get shards; givers those that balance moves may take from.
	receivers  *nodeHeap
	givers     *nodeHeap
	items      []item
	mean       float64
	movesLeft  int
	drainsLeft int
	plan       Plan
}

// PlanTargets returns assignments for all shards without owner, and planned moves up to the cap: first away from
// draining targets, then away from stragglers, then for balance. Equal inputs give equal plans, whatever their order.
func PlanTargets(input Input) Plan {
	p := newPlanner(input)
	if p.receivers.Len() == 0 {
		return Plan{}
	}
	p.assign()
	p.drain()
	p.shed()
	p.balance()
	return p.plan
}

func newPlanner(input Input) *planner {
	p := &planner{
		byName:    make(map[string]*node, len(input.Targets)),
		movesLeft: input.MovesLeft, drainsLeft: input.DrainMovesLeft,
	}
	targets := slices.Clone(input.Targets)
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	for i := range targets {
		n := &node{Target: &targets[i], capacity: believedCapacity(targets[i].Capacity)}
		p.nodes = append(p.nodes, n)
		p.byName[n.Name] = n
	}
	p.items = weigh(input.Shards, totalCapacity(p.nodes))
	p.place()
	open := slices.DeleteFunc(slices.Clone(p.nodes), func(n *node) bool { return !n.open() })
	p.receivers = newNodeHeap(open, leastFilled)
	givers := slices.DeleteFunc(slices.Clone(open), func(n *node) bool { return len(n.movable) == 0 })
	p.givers = newNodeHeap(givers, mostUtilised)
	p.mean = meanUtilisation(p.items, totalCapacity(p.nodes))
	return p
}

func believedCapacity(announced float64) float64 {
	if !(announced > 0) {
		return 1
	}
	return min(announced, maxCapacity)
}

// believedLoad keeps a wrong measurement from spoiling the sums.
func believedLoad(load float64) float64 {
	if !(load > 0) {
		return 0
	}
	return min(load, maxCapacity)
}

// weigh returns the shards in order of their ids with the load that each counts for.
func weigh(shards []Shard, capacity float64) []item {
	items := make([]item, len(shards))
	base := baseLoad * capacity / float64(max(len(shards), 1))
	for i := range shards {
		items[i] = item{shard: &shards[i], load: believedLoad(shards[i].Load) + base}
	}
	slices.SortFunc(items, func(a, b item) int { return CompareIDs(a.shard.ID, b.shard.ID) })
	return items
}

// place adds up the loads of the owners.
func (p *planner) place() {
	for _, it := range p.items {
		if owner := p.byName[it.shard.Owner]; owner != nil {
			owner.load += it.load
			if !it.shard.Pinned {
				owner.movable = append(owner.movable, it)
			}
		}
	}
}

// meanUtilisation is the utilisation of all places that may take load once everything has an owner.
func meanUtilisation(items []item, capacity float64) float64 {
	load := 0.0
	for _, it := range items {
		load += it.load
	}
	return load / max(capacity, 1)
}

// totalCapacity is that of the targets that may get shards.
func totalCapacity(nodes []*node) float64 {
	capacity := 0.0
	for _, n := range nodes {
		if n.open() {
			capacity += n.capacity
		}
	}
	return capacity
}

// open tells whether the node may get shards.
func (n *node) open() bool {
	return n.State == Ready || n.State == Cold
}

// utilisation is what a node counts as a giver: a cold target keeps what it has.
func (n *node) utilisation() float64 {
	return n.load / n.capacity
}

// fillLevel is what a node counts as a receiver of load more: a cold target fills up early.
func (n *node) fillLevel(more float64) float64 {
	level := (n.load + more) / n.capacity
	if n.State == Cold {
		level /= ColdShare
	}
	return level
}

// assign gives each shard without owner to the least filled receiver, the heaviest first.
func (p *planner) assign() {
	unowned := slices.DeleteFunc(slices.Clone(p.items), func(it item) bool { return it.shard.Owner != "" })
	slices.SortStableFunc(unowned, func(a, b item) int { return cmp.Compare(b.load, a.load) })
	for _, it := range unowned {
		receiver := p.receivers.first()
		p.addLoad(receiver, it.load)
		p.plan.Assignments = append(p.plan.Assignments, OwnerChange{ID: it.shard.ID, To: receiver.Name, Reason: ReasonUnowned})
	}
}

// drain moves shards away from draining targets.
func (p *planner) drain() {
	for _, n := range p.nodes {
		if n.State != Draining {
			continue
		}
		for _, it := range n.movable {
			if p.movesLeft <= 0 {
				if p.drainsLeft <= 0 {
					return
				}
				p.drainsLeft--
				p.movesLeft++
			}
			p.move(n, p.receivers.first(), it, ReasonDrain)
		}
	}
}

// shed moves one shard per round away from each straggler that carries more than its reduced share. Slow shedding
// leaves time to see whether less load helps.
func (p *planner) shed() {
	for _, n := range p.nodes {
		excess := (n.load - StragglerShare*p.mean*n.capacity) * (1 + rounding)
		receiver := p.receivers.first()
		if !n.Straggler || n.State != Ready || excess <= 0 || receiver.Straggler || p.movesLeft <= 0 {
			continue
		}
		if i, ok := n.bestItem(excess); ok && n.movable[i].load <= excess {
			p.move(n, receiver, n.take(i), ReasonStraggler)
		}
	}
}

// balance moves shards from the most to the least utilised targets while that improves on the margin.
func (p *planner) balance() {
	margin := BalanceMargin * p.mean
	for p.movesLeft > 0 && p.givers.Len() > 0 {
		giver, receiver := p.givers.first(), p.receivers.first()
		if giver == receiver || giver.utilisation()-receiver.fillLevel(0) <= margin {
			return
		}
		if i, ok := giver.improvingItem(receiver, margin); ok {
			p.move(giver, receiver, giver.take(i), ReasonImbalance)
		} else {
			p.givers.dropFirst()
		}
	}
}

// improvingItem returns the item whose move to receiver best levels the two: the receiver then has to be below the
// giver's present utilisation by at least margin.
func (n *node) improvingItem(receiver *node, margin float64) (int, bool) {
	receiverCapacity := receiver.capacity
	if receiver.State == Cold {
		receiverCapacity *= ColdShare
	}
	ideal := (n.utilisation() - receiver.fillLevel(0)) / (1/n.capacity + 1/receiverCapacity)
	i, ok := n.bestItem(ideal)
	if !ok || receiver.fillLevel(n.movable[i].load) > n.utilisation()-margin {
		return 0, false
	}
	return i, true
}

// bestItem returns the heaviest movable item up to load, or else the lightest one.
func (n *node) bestItem(load float64) (int, bool) {
	if !n.sorted {
		n.movable = slices.DeleteFunc(n.movable, func(it item) bool { return it.shard.RecentlyMoved })
		slices.SortStableFunc(n.movable, func(a, b item) int { return cmp.Compare(a.load, b.load) })
		n.sorted = true
	}
	if len(n.movable) == 0 {
		return 0, false
	}
	i := sort.Search(len(n.movable), func(i int) bool { return n.movable[i].load > load })
	return max(i-1, 0), true
}

func (n *node) take(i int) item {
	it := n.movable[i]
	n.movable = slices.Delete(n.movable, i, i+1)
	return it
}

// move records a planned move and counts it against the cap.
func (p *planner) move(from, to *node, it item, reason Reason) {
	p.movesLeft--
	p.addLoad(from, -it.load)
	p.addLoad(to, it.load)
	p.plan.Moves = append(p.plan.Moves, OwnerChange{ID: it.shard.ID, From: from.Name, To: to.Name, Reason: reason})
}

func (p *planner) addLoad(n *node, load float64) {
	n.load += load
	p.receivers.fix(n)
	p.givers.fix(n)
}
