package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Draws. Rejected draws (targets that were tried before or are avoided) are repeated a few times; after that every target
// is looked at.
const (
	choices  = 2
	maxDraws = 8
	// clearlyBetter is the factor by which a later draw must be better. Smaller differences are chance, and following them
	// would leave out a target whose estimate is a little worse for good.
	clearlyBetter = 1.25
)

// Target is a ready target.
type Target struct {
	Name       string
	DataCentre string
	Region     string
	// Slots is the number of requests that the target runs at once; 1 when 0.
	Slots uint32
}

// Options configure a Chooser.
type Options struct {
	// DataCentre and Region are those of this host.
	DataCentre string
	Region     string
	// FallbackOrder gives the order of distances per attempt; DefaultChain when nil.
	FallbackOrder FallbackOrder
	// Clock is monotonic; the process clock when nil.
	Clock func() time.Duration
	// Random must not be used elsewhere at the same time; seeded by the system when nil.
	Random *rand.Rand
}

// Query is one choice to make.
type Query struct {
	// Attempt counts from 0 and selects the entry of the chain.
	Attempt int
	// ExcludedTargets names targets that must not be chosen again.
	ExcludedTargets []string
	// AllowedRegions are the home regions of the request; empty means all.
	AllowedRegions []string
	// RequestKind separates requests that usually take different times, such as request classes; 0 to Kinds-1.
	RequestKind int
}

// RequestKindCount is the number of kinds of requests that are told apart.
const RequestKindCount = 4

// Chooser chooses among the targets of one shared service. It is safe for concurrent use.
type Chooser struct {
	options Options

	mu     sync.Mutex
	byName map[string]*state
	groups []*group
	turn   int
	// usual is the mean latency of each kind over all targets.
	usual [RequestKindCount]time.Duration
}

// group is the targets of one region at one distance.
type group struct {
	distance Distance
	region   string
	targets  []*state
}

// Choice is a chosen target. Done must be called once the request has ended.
type Choice struct {
	Target Target

	chooser    *Chooser
	state      *state
	kind       int
	started    time.Duration
	ended      bool
	prev, next *Choice
}

// New returns a chooser without targets.
func New(options Options) *Chooser {
	if options.FallbackOrder == nil {
		options.FallbackOrder = DefaultFallbackOrder
	}
	if options.Clock == nil {
		start := time.Now()
		options.Clock = func() time.Duration { return time.Since(start) }
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Chooser{options: options, byName: map[string]*state{}}
}

// SetTargets replaces the ready targets. What is known about those that stay is kept.
func (c *Chooser) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := make(map[string]*state, len(targets))
	c.groups = nil
	for _, target := range targets {
		s := c.byName[target.Name]
		if s == nil {
			s = newState()
		}
		s.target = target
		byName[target.Name] = s
		g := c.groupOf(target)
		g.targets = append(g.targets, s)
	}
	c.byName = byName
}

func (c *Chooser) groupOf(target Target) *group {
	distance := c.options.distanceTo(target)
	for _, g := range c.groups {
		if g.distance == distance && g.region == target.Region {
			return g
		}
	}
	g := &group{distance: distance, region: target.Region}
	c.groups = append(c.groups, g)
	return g
}

// ReportLoad takes in the load (0 to 1) that a target says it has.
func (c *Chooser) ReportLoad(target string, load float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.byName[target]; s != nil {
		s.load, s.loadAt = min(max(load, 0), 1), c.options.Clock()
	}
}

// Choose returns a target, or nil when no ready target may serve the request.
func (c *Chooser) Choose(query Query) *Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	kind := min(max(query.RequestKind, 0), RequestKindCount-1)
	for _, distance := range c.options.FallbackOrder.order(query.Attempt) {
		if s := c.chooseAt(now, distance, &query); s != nil {
			choice := &Choice{Target: s.target, chooser: c, state: s, kind: kind, started: now}
			s.begin(now, choice)
			return choice
		}
	}
	return nil
}

// chooseAt returns the better one of two draws among the targets at distance, or nil when there is none to draw.
func (c *Chooser) chooseAt(now time.Duration, distance Distance, query *Query) *state {
	size := c.sizeAt(distance, query)
	if size == 0 {
		return nil
	}
	var best *state
	for draw, found := 0, 0; draw < maxDraws && found < choices; draw++ {
		s := c.at(distance, query, c.draw(draw, size))
		if s == best || slices.Contains(query.ExcludedTargets, s.target.Name) {
			continue
		}
		if s.probeDue(now) {
			return s
		}
		if s.avoided(now, &c.usual) {
			continue
		}
		found++
		if best == nil || s.score(now)*clearlyBetter < best.score(now) {
			best = s
		}
	}
	if best == nil {
		return c.leastSlow(now, distance, query, size)
	}
	return best
}

// draw returns the index of a target: the first draw takes the targets in turn, the others are random. Turns spread
// requests more evenly than chance does.
func (c *Chooser) draw(number, size int) int {
	if number > 0 {
		return c.options.Random.IntN(size)
	}
	c.turn++
	return c.turn % size
}

// leastSlow looks at all targets at distance, for the case that all draws were rejected. When every target is slow, the
// service still needs one.
func (c *Chooser) leastSlow(now time.Duration, distance Distance, query *Query, size int) *state {
	var best *state
	bestScore := 0.0
	start := c.options.Random.IntN(size)
	for i := range size {
		s := c.at(distance, query, (start+i)%size)
		if slices.Contains(query.ExcludedTargets, s.target.Name) {
			continue
		}
		score := s.score(now)
		if s.avoided(now, &c.usual) {
			score *= avoidRatio
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// sizeAt is the number of targets at distance in the regions of the query.
func (c *Chooser) sizeAt(distance Distance, query *Query) int {
	size := 0
	for _, g := range c.groups {
		if g.matches(distance, query) {
			size += len(g.targets)
		}
	}
	return size
}

func (c *Chooser) at(distance Distance, query *Query, index int) *state {
	for _, g := range c.groups {
		if !g.matches(distance, query) {
			continue
		}
		if index < len(g.targets) {
			return g.targets[index]
		}
		index -= len(g.targets)
	}
	return nil
}

func (g *group) matches(distance Distance, query *Query) bool {
	return g.distance == distance && (len(query.AllowedRegions) == 0 || slices.Contains(query.AllowedRegions, g.region))
}

// Done reports how the request ended. Later calls do nothing.
func (c *Choice) Done(outcome Outcome) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.state.end(c.chooser.options.Clock(), c, outcome, &c.chooser.usual)
}
