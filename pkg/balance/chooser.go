package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Draws. Rejected draws (excluded or avoided targets) are repeated until there were maxDraws; if none was accepted, all
// targets are compared.
const (
	comparedDraws = 2
	maxDraws      = 8
	// switchFactor is the factor by which the second draw must be better than the first to replace it. Smaller differences
	// are noise, and following them would permanently exclude a target whose estimate is only a little worse.
	switchFactor = 1.25
)

// Target is a target that is ready for requests.
type Target struct {
	Name       string
	DataCentre string
	Region     string
	// Slots is the number of requests that the target can run at once; 1 when 0.
	Slots uint32
}

// Options configure a Chooser.
type Options struct {
	// DataCentre and Region are those of this host.
	DataCentre string
	Region     string
	// FallbackOrder is the order of distances per attempt; DefaultFallbackOrder when nil.
	FallbackOrder FallbackOrder
	// Clock must be monotonic; the process clock when nil.
	Clock func() time.Duration
	// Random must not be used concurrently by others; a randomly seeded generator when nil.
	Random *rand.Rand
}

// Query describes the request that a target is chosen for.
type Query struct {
	// Attempt counts from 0 and selects the entry of the fallback order.
	Attempt int
	// ExcludedTargets names targets that must not be chosen, such as those of earlier attempts.
	ExcludedTargets []string
	// AllowedRegions are the home regions of the request; empty means all.
	AllowedRegions []string
	// RequestKind distinguishes requests with different typical latencies, such as request classes; 0 to RequestKindCount-1.
	RequestKind int
}

// RequestKindCount is the number of request kinds, each of which has its own baseline latency.
const RequestKindCount = 4

// Chooser chooses among the targets of one shared service. It is safe for concurrent use.
type Chooser struct {
	options Options

	mu         sync.Mutex
	byName     map[string]*targetStats
	groups     []*targetGroup
	roundRobin int
	// baselines are the mean latencies of each request kind over all targets; 0 when unknown.
	baselines [RequestKindCount]time.Duration
}

// targetGroup holds the targets of one region, which are all at one distance.
type targetGroup struct {
	distance Distance
	region   string
	targets  []*targetStats
}

// Choice is a chosen target. Done must be called once the request has ended.
type Choice struct {
	Target Target

	chooser     *Chooser
	targetStats *targetStats
	kind        int
	started     time.Duration
	ended       bool
	prev, next  *Choice
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
	return &Chooser{options: options, byName: map[string]*targetStats{}}
}

// SetTargets replaces the ready targets. The observations of targets that stay are kept.
func (c *Chooser) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := make(map[string]*targetStats, len(targets))
	c.groups = nil
	for _, target := range targets {
		s := c.byName[target.Name]
		if s == nil {
			s = newTargetStats()
		}
		s.target = target
		byName[target.Name] = s
		g := c.groupOf(target)
		g.targets = append(g.targets, s)
	}
	c.byName = byName
}

func (c *Chooser) groupOf(target Target) *targetGroup {
	distance := c.options.distanceTo(target)
	for _, g := range c.groups {
		if g.distance == distance && g.region == target.Region {
			return g
		}
	}
	g := &targetGroup{distance: distance, region: target.Region}
	c.groups = append(c.groups, g)
	return g
}

// ReportLoad records the load (0 to 1) that a target reports.
func (c *Chooser) ReportLoad(target string, load float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.byName[target]; s != nil {
		s.load, s.loadAt = min(max(load, 0), 1), c.options.Clock()
	}
}

// Choose chooses a target, or returns nil when no ready target may serve the request.
func (c *Chooser) Choose(query Query) *Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Clock()
	kind := min(max(query.RequestKind, 0), RequestKindCount-1)
	for _, distance := range c.options.FallbackOrder.distances(query.Attempt) {
		if s := c.chooseAtDistance(now, distance, &query); s != nil {
			choice := &Choice{Target: s.target, chooser: c, targetStats: s, kind: kind, started: now}
			s.begin(now, choice)
			return choice
		}
	}
	return nil
}

// chooseAtDistance returns the better one of two draws among the targets at distance, or nil when the query allows none of
// them. An avoided target whose probe is due is returned at once.
func (c *Chooser) chooseAtDistance(now time.Duration, distance Distance, query *Query) *targetStats {
	size := c.countAt(distance, query)
	if size == 0 {
		return nil
	}
	var best *targetStats
	for draw, found := 0, 0; draw < maxDraws && found < comparedDraws; draw++ {
		s := c.targetAt(distance, query, c.draw(draw, size))
		if s == best || slices.Contains(query.ExcludedTargets, s.target.Name) {
			continue
		}
		if s.probeDue(now) {
			return s
		}
		if s.isAvoided(now, &c.baselines) {
			continue
		}
		found++
		if best == nil || s.score(now)*switchFactor < best.score(now) {
			best = s
		}
	}
	if best == nil {
		return c.lowestScore(now, distance, query, size)
	}
	return best
}

// draw returns the index of a target. The first draw (number 0) is round-robin, which spreads requests more evenly than
// random draws; the others are random.
func (c *Chooser) draw(number, size int) int {
	if number > 0 {
		return c.options.Random.IntN(size)
	}
	c.roundRobin++
	return c.roundRobin % size
}

// lowestScore compares all targets at distance, for the case that all draws were rejected. The service needs a target even
// when all are slow. The scores of avoided targets are raised.
func (c *Chooser) lowestScore(now time.Duration, distance Distance, query *Query, size int) *targetStats {
	var best *targetStats
	bestScore := 0.0
	start := c.options.Random.IntN(size)
	for i := range size {
		s := c.targetAt(distance, query, (start+i)%size)
		if slices.Contains(query.ExcludedTargets, s.target.Name) {
			continue
		}
		score := s.score(now)
		if s.isAvoided(now, &c.baselines) {
			score *= avoidRatio
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// countAt returns the number of targets at distance in the allowed regions of the query.
func (c *Chooser) countAt(distance Distance, query *Query) int {
	size := 0
	for _, g := range c.groups {
		if g.matches(distance, query) {
			size += len(g.targets)
		}
	}
	return size
}

// targetAt returns one of the targets that countAt counts.
func (c *Chooser) targetAt(distance Distance, query *Query, index int) *targetStats {
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

func (g *targetGroup) matches(distance Distance, query *Query) bool {
	return g.distance == distance && (len(query.AllowedRegions) == 0 || slices.Contains(query.AllowedRegions, g.region))
}

// Done reports how the request ended. Calls after the first do nothing.
func (c *Choice) Done(outcome Outcome) {
	c.chooser.mu.Lock()
	defer c.chooser.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.targetStats.end(c.chooser.options.Clock(), c, outcome, &c.chooser.baselines)
}
