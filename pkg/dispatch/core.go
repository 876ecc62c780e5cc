package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs of distance, as time that a nearer target may take longer. Bytes between data centres and between regions are
// paid for, and regions are a round trip of 24 ms apart.
const (
	otherDataCentreCost = 15 * time.Millisecond
	otherRegionCost     = 60 * time.Millisecond
	// large answers cost more to move.
	largeFactor = 20
	// manyHosts is the number of entry hosts from which on load reports are too late to be relied on, because each host
	// bounds what it spends on them. Hosts then prefer a part of the targets each, by foreignShare per cent of the work.
	manyHosts    = 30
	foreignShare = 40
	// farShare is the same for targets of other regions that this host does not prefer, at any number of hosts.
	farShare = 140
	// farPart is the number of targets of other regions that a host prefers: with a few requests a second, it asks each about
	// once a second.
	farPart = 8
	// failureCost is the time that a certain failure counts for.
	failureCost = 600 * time.Millisecond
	// tieShare is the random part of a score, so that hosts with the same view do not choose the same target.
	tieShare = 0.08
)

// Limits of the load that one target gets.
const (
	// queueAtTarget is how many requests may wait at a target beyond its slots; more would wait longer there than a
	// retry elsewhere takes.
	queueAtTarget = 2
	// queueAtOwner is the same for the owner of a key, which no other target can stand in for. Targets queue a few requests
	// more than they have slots.
	queueAtOwner = 6
	// spareDoubt is the expected number of requests ahead up to which a target counts as having a free slot.
	spareDoubt = 0.5
	// defaultSlots is assumed for a target that does not announce its slots.
	defaultSlots = 1
)

// Options configure a Core.
type Options struct {
	DataCentre string
	Region     string
	// Rand returns a number in [0, 1); math/rand by default.
	Rand func() float64
	// RetryRatio is the share of requests that may be sent again by all hosts together, and RetrySlack the number beyond
	// it in the users' window.
	RetryRatio float64
	RetrySlack float64
}

// Dispatcher chooses targets. It is safe for concurrent use.
type Dispatcher struct {
	options Options

	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
	hashes   map[uint32]*target
	out      map[string]bool
	usual    map[string]usual
	// hosts is the number of entry hosts, hostsHere those of this data centre.
	hosts, hostsHere int
	peers            map[string]*peer
	waiting          []*Waiter
	sequence         uint64
	// rank is this host's place among the hosts of its data centre.
	rank int
	// dirty is set while the load in flight differs from the last report.
	dirty bool
}

type service struct {
	targets  []*target
	coldRate float64
	budget   bucket
}

type peer struct {
	start, sequence uint64
	at              time.Duration
	inFlight        map[*target]int
}

// New returns a core without targets.
func New(options Options) *Dispatcher {
	if options.Rand == nil {
		options.Rand = rand.Float64
	}
	return &Dispatcher{
		options: options, services: map[string]*service{}, targets: map[string]*target{}, hashes: map[uint32]*target{},
		out: map[string]bool{}, usual: map[string]usual{}, peers: map[string]*peer{}, hosts: 1, hostsHere: 1,
	}
}

// TargetHash is the short form of a target's id in load reports.
func TargetHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// SetTargets replaces the targets. What is known of those that stay is kept.
func (c *Dispatcher) SetTargets(now time.Duration, targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.targets
	c.targets, c.hashes = map[string]*target{}, map[uint32]*target{}
	for _, s := range c.services {
		s.targets = nil
	}
	for _, next := range targets {
		next.Slots = max(next.Slots, defaultSlots)
		known, ok := old[next.ID]
		if !ok || known.StartedUnixMs != next.StartedUnixMs {
			known = &target{hash: TargetHash(next.ID), slowness: 1}
		}
		if next.Cold && !known.Cold {
			known.cold = coldTokens{level: c.options.Rand(), at: now}
		}
		known.Target = next
		c.targets[next.ID] = known
		c.hashes[known.hash] = known
		s := c.service(next.Service)
		s.targets = append(s.targets, known)
	}
	c.setOwn()
	c.dirty = true
}

// SetColdRates sets the request rate of cold targets by service, in requests per second for all hosts together.
func (c *Dispatcher) SetColdRates(rates map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, rate := range rates {
		c.service(name).coldRate = rate
	}
}

// SetEvacuated sets the data centres whose targets get nothing.
func (c *Dispatcher) SetEvacuated(dataCentres []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = map[string]bool{}
	for _, dataCentre := range dataCentres {
		c.out[dataCentre] = true
	}
}

// SetEntryHosts sets the number of entry hosts in all and in this data centre, which share rates between them, and this host's
// place among those of its data centre, from 0.
func (c *Dispatcher) SetEntryHosts(all, here, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.hostsHere, c.rank = max(1, all), max(1, here), max(0, rank)
	c.setOwn()
}

// setOwn divides the targets of this data centre among its hosts. A host prefers its part, whose load it knows exactly. Of the
// targets of other regions it prefers a few, because it learns from their answers only.
func (c *Dispatcher) setOwn() {
	place := TargetHash(c.options.DataCentre) + uint32(c.rank)
	for _, s := range c.services {
		far := 0
		for _, t := range s.targets {
			if t.Region != c.options.Region {
				far++
			}
		}
		farParts := uint32(max(1, far/farPart))
		index := 0
		for _, t := range s.targets {
			switch {
			case t.Region != c.options.Region:
				t.preferred = t.hash%farParts == place%farParts
			case t.DataCentre == c.options.DataCentre:
				t.preferred = index%c.hostsHere == c.rank
				index++
			default:
				t.preferred = false
			}
		}
	}
}

func (c *Dispatcher) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// Request is what a choice depends on.
type Request struct {
	Service string
	// Route names the kind of work, whose usual duration is learned.
	Route string
	// AllowedRegions are the only allowed ones; empty allows all.
	AllowedRegions []string
	// LargeResponse is set for requests with large answers.
	LargeResponse bool
	// ExcludedTargets are targets that are not to be chosen again.
	ExcludedTargets []string
	// Owner is set for a key of an exclusive service and names the only possible target.
	Owner string
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// RequireFreeSlot asks for a target with a free slot that is not cold.
	RequireFreeSlot bool
	// TimeToDeadline is the time until the request is over, Objective the time until its answer loses value; not above 0 when it
	// has.
	TimeToDeadline, TimeToObjective time.Duration
}

// worthwhile is the longest time for which waiting at a target is worth it: an answer after the objective has lost most of
// its value, and would take the slot from one that is in time.
func (r *Request) worthwhile() time.Duration {
	if r.TimeToObjective > 0 {
		return min(r.TimeToDeadline, r.TimeToObjective)
	}
	return r.TimeToDeadline
}

// Choice is a chosen target.
type Choice struct {
	Target
	// ExpectedLatency is the predicted time until the answer.
	ExpectedLatency time.Duration
	// BaseDuration is the time that the work usually takes.
	BaseDuration time.Duration
	// InFlight is the expected number of requests at the target.
	InFlight int
	// ReportAge is the age of the target's own load report; negative when there is none.
	ReportAge time.Duration

	target *target
	base   time.Duration
	route  string
	ahead  float64
	pace   float64
}

// Reason tells why no target could be chosen.
type Reason string

// Reasons.
const (
	// ReasonNoTarget: the service has no target that may run the request.
	ReasonNoTarget Reason = "no-target"
	// ReasonBusy: all targets have as many requests as they should.
	ReasonBusy Reason = "busy"
	// ReasonUnreachable: all targets are in back-off after failures.
	ReasonUnreachable Reason = "unreachable"
	// ReasonColdOnly: only cold targets are left, which get all that they tolerate.
	ReasonColdOnly Reason = "cold"
	// ReasonRefused: the targets that were asked refused the request without running it.
	ReasonRefused Reason = "refused-by-target"
	// ReasonLate: no target would answer in time.
	ReasonLate Reason = "late"
)

// Choose chooses a target and counts the request as in flight there. Finish must be called for the choice.
func (c *Dispatcher) Choose(now time.Duration, r *Request) (*Choice, Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.choose(now, r)
}

func (c *Dispatcher) choose(now time.Duration, r *Request) (*Choice, Reason) {
	s := c.service(r.Service)
	base := c.base(r.Route)
	var best *target
	bestScore, bestCost := 0.0, time.Duration(0)
	reason := ReasonNoTarget
	for _, t := range s.targets {
		if t.ID == r.Owner {
			t.owner = true
		}
		if why := c.unusable(now, s, t, r, base); why != "" {
			reason = worse(reason, why)
			continue
		}
		expected := t.predict(now, base)
		cost := c.distance(t, r.LargeResponse, base)
		score := float64(expected+cost) + t.failureShare(now)*float64(failureCost)
		score *= 1 + tieShare*c.options.Rand()
		if best == nil || score < bestScore {
			best, bestScore, bestCost = t, score, expected
		}
	}
	if best == nil {
		return nil, reason
	}
	if best.Cold {
		best.cold.take()
	}
	choice := &Choice{
		Target: best.Target, ExpectedLatency: bestCost, BaseDuration: base, InFlight: int(math.Round(best.load(now))), ReportAge: -1,
		target: best, base: base, route: r.Route, ahead: best.ahead(now), pace: best.paceAt(now),
	}
	if best.reported {
		choice.ReportAge = now - best.reportAt
	}
	best.own++
	c.dirty = true
	return choice, ""
}

// worse keeps the reason that gives the best hope.
func worse(known, next Reason) Reason {
	order := []Reason{ReasonNoTarget, ReasonUnreachable, ReasonColdOnly, ReasonLate, ReasonBusy}
	if slices.Index(order, next) > slices.Index(order, known) {
		return next
	}
	return known
}

func (c *Dispatcher) unusable(now time.Duration, s *service, t *target, r *Request, base time.Duration) Reason {
	switch {
	case r.Owner != "" && t.ID != r.Owner,
		t.Draining || c.out[t.DataCentre],
		len(r.AllowedRegions) > 0 && !slices.Contains(r.AllowedRegions, t.Region),
		slices.Contains(r.ExcludedTargets, t.ID):
		return ReasonNoTarget
	case now < t.downUntil, t.broken > 0 && t.own > 0:
		// After broken connections one request at a time finds out whether the target is back.
		return ReasonUnreachable
	case t.Cold && t.DataCentre != c.options.DataCentre && r.Owner == "":
		return ReasonColdOnly
	case t.Cold && !t.cold.ready(now, c.coldShare(s, r.Owner != ""), c.options.Rand):
		return ReasonColdOnly
	case r.RequireFreeSlot && (t.Cold || t.ahead(now) > spareDoubt):
		return ReasonBusy
	case t.load(now) >= float64(t.Slots+queueLimit(r)):
		return ReasonBusy
	case t.ahead(now) > 0 && t.predict(now, base) > r.worthwhile():
		return ReasonLate
	}
	return ""
}

func queueLimit(r *Request) int {
	if r.Owner != "" {
		return queueAtOwner
	}
	return queueAtTarget
}

// coldShare is this host's part of the rate of a cold target. Shared targets get requests only from hosts of their own
// data centre while they are cold; owners of keys get them from all.
func (c *Dispatcher) coldShare(s *service, owner bool) float64 {
	if owner {
		return s.coldRate / float64(c.hosts)
	}
	return s.coldRate / float64(c.hostsHere)
}

func (c *Dispatcher) distance(t *target, large bool, base time.Duration) time.Duration {
	cost := time.Duration(0)
	switch {
	case t.Region != c.options.Region:
		cost = otherRegionCost
	case t.DataCentre != c.options.DataCentre:
		cost = otherDataCentreCost
	}
	if large {
		cost *= largeFactor
	}
	far := t.Region != c.options.Region
	if c.hosts >= manyHosts && (far || !t.preferred) {
		cost += base * foreignShare / 100
	}
	if far && !t.preferred {
		cost += base * farShare / 100
	}
	return cost
}
