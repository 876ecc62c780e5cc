package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrock.example/almondrock/pkg/pace"
)

const (
	// coldHosts is the number of entry hosts of a data centre that share the rate of a cold target there, and coldRateUse the part of the
	// rate that they use. A host sends at most 1 + its share in any second. So hosts of two views that agree on none of them send at most
	// 2 * coldHosts + 2 * coldRateUse * rate, which is the bound of the platform: rate * 1.5 + 8.
	coldHosts   = 4
	coldRateUse = 0.75
	// coldScoreFactor is the factor of the score of a cold target for which this host has a token.
	coldScoreFactor = 0.3
	// hostRampDoubling is the time in which the number of hosts doubles that may send to a target which has returned, from one on. Hosts that
	// know nothing of each other would otherwise all send their first request at once. It reaches 300 hosts after 1.3 s.
	hostRampDoubling = 150 * time.Millisecond
	// youngTarget is the time since the start of a target for which a host that starts expects that the target cannot carry its full load yet.
	youngTarget = 10 * time.Second
	// ownerDelay is the time for which the pace of an owner of keys holds back the requests of a host that has none there.
	ownerDelay = 500 * time.Millisecond
	// minBaseSamples is the number of responses of a route from which on its expected latency can tell that a target is slow.
	minBaseSamples = 5
	// maxPaceChanges bounds the changes that are kept for TakePaceChanges.
	maxPaceChanges = 64
)

// HostName is the name of an entry host with its data centre.
type HostName struct{ Name, DataCentre string }

// SetPaceHosts sets the entry hosts of the view and the name of this one. They divide the rate of cold targets and return in turn to
// targets that have returned. It has an effect only with Options.PacedTargets.
func (d *Dispatcher) SetPaceHosts(self string, hosts []HostName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paceHosts = paceHosts{self: self, hosts: slices.Clone(hosts), version: d.paceHosts.version + 1}
}

// paceHosts are the entry hosts of the view. version changes with each view.
type paceHosts struct {
	self    string
	hosts   []HostName
	version uint64
}

// targetPace is the pace of a target as this host knows it.
type targetPace struct {
	*pace.Controller
	// beginCause is the way in which the target returns at beginAt, or 0.
	beginCause pace.Cause
	beginAt    time.Duration
	// rampFrom is the time of the last return that all hosts see at about the same time, if hasRamp.
	rampFrom time.Duration
	hasRamp  bool
	// rank is the position of this host among the hosts that may send to the target, and localHosts the number of entry hosts in its data
	// centre, by the hosts of hostsVersion.
	rank, localHosts int
	hostsVersion     uint64
	// sentAt is the time of the last request of this host.
	sentAt time.Duration
}

// PaceFall is a service with a cause for which limits fell.
type PaceFall struct {
	Service string
	Cause   pace.Cause
}

// PaceChange is a change of the pace of a target.
type PaceChange struct {
	Target Target
	pace.Change
}

// newPace returns the pace of a target that is new to this host. isRestart is set if the host knew an earlier start of it.
func (d *Dispatcher) newPace(now time.Duration, t Target, isFirstView, isRestart bool) *targetPace {
	p := &targetPace{Controller: pace.New(t.Slots), sentAt: math.MinInt64 / 2}
	switch isYoung := d.age(now, t) < youngTarget; {
	case isRestart:
		p.begin(now, pace.CauseRestart)
	case isYoung || t.Cold:
		p.begin(now, pace.CauseStart)
	case !isFirstView:
		p.begin(now, pace.CauseLinkHealed)
	}
	return p
}

// age returns the time since the start of a target, which depends on the clocks of both hosts.
func (d *Dispatcher) age(now time.Duration, t Target) time.Duration {
	if d.options.StartedAt.IsZero() {
		return youngTarget
	}
	return d.options.StartedAt.Add(now).Sub(time.UnixMilli(t.StartedUnixMs))
}

// updatePace applies what a view says of a target that was there before with the same start.
func (t *target) updatePace(now time.Duration, next Target) {
	p := t.pace
	if p == nil {
		return
	}
	p.SetSlots(now, next.Slots)
	if next.Cold {
		p.SetIdle(now, false)
	}
	switch {
	case t.Cold && !next.Cold:
		p.begin(now, pace.CauseWarm)
	case !t.Cold && next.Cold:
		p.begin(now, pace.CauseRestart)
	}
}

// begin starts the pace after a return that all hosts see at about the same time.
func (p *targetPace) begin(now time.Duration, cause pace.Cause) {
	p.Begin(now, cause)
	p.beginCause, p.rampFrom, p.hasRamp = 0, now, true
	if cause == pace.CauseWarm {
		// The hosts that shared the cold rate go on.
		p.rampFrom -= time.Duration(math.Log2(coldHosts) * float64(hostRampDoubling))
	}
}

// beginLater starts the pace at the time at which the target returns for this host.
func (p *targetPace) beginLater(at time.Duration, cause pace.Cause) {
	if p != nil {
		p.beginCause, p.beginAt = cause, at
	}
}

// beginDue starts the pace if the target has returned for this host.
func (p *targetPace) beginDue(now time.Duration) {
	if p.beginCause == 0 || now < p.beginAt {
		return
	}
	if p.beginCause == pace.CauseEvacuationEnd {
		p.begin(now, p.beginCause)
		return
	}
	p.Begin(now, p.beginCause)
	p.beginCause = 0
}

// isPaced reports whether the pace of a target allows no further request now, with load requests there.
func (d *Dispatcher) isPaced(now time.Duration, t *target, r *Request, load float64) bool {
	p := t.pace
	if p == nil {
		return false
	}
	p.beginDue(now)
	if t.ownInFlight == 0 {
		p.SetIdle(now, !t.Cold)
	}
	limit := math.Floor(p.Limit(now))
	isOwner := r.Owner != ""
	switch {
	case p.State(now) != pace.Steady && r.RequireFreeSlot:
		return true
	case isOwner && p.State(now) == pace.Steady:
		limit += maxQueueAtOwner - maxQueueAtTarget
	case isOwner && t.ownInFlight == 0 && now-p.sentAt >= ownerDelay && !d.awaitsTurn(now, t):
		return false
	}
	return load >= limit || d.awaitsTurn(now, t)
}

// awaitsTurn reports whether other hosts return to a target before this one.
func (d *Dispatcher) awaitsTurn(now time.Duration, t *target) bool {
	p := t.pace
	if !p.hasRamp || t.Cold {
		return false
	}
	doublings := float64(now-p.rampFrom) / float64(hostRampDoubling)
	if doublings > 30 {
		p.hasRamp = false
		return false
	}
	d.rankHosts(t)
	return float64(p.rank) >= math.Exp2(doublings)
}

// rankHosts updates the position of this host among those that send to a target. Those of its data centre come first, each group in the
// order of a hash of host and target (rendezvous hashing), so that all hosts with the same view agree, and a change of one host moves one
// position.
func (d *Dispatcher) rankHosts(t *target) {
	p := t.pace
	if p.hostsVersion == d.paceHosts.version {
		return
	}
	p.rank, p.localHosts, p.hostsVersion = 0, 0, d.paceHosts.version
	type ranked struct {
		isRemote int
		hash     uint64
		name     string
	}
	rankOf := func(h HostName) ranked {
		isRemote := 1
		if h.DataCentre == t.DataCentre {
			isRemote = 0
		}
		return ranked{isRemote, xxhash.Sum64String(t.ID + "\x00" + h.Name), h.Name}
	}
	self := rankOf(HostName{d.paceHosts.self, d.options.DataCentre})
	isListed := false
	for _, h := range d.paceHosts.hosts {
		other := rankOf(h)
		isListed = isListed || h.Name == d.paceHosts.self
		p.localHosts += 1 - other.isRemote
		if cmp.Or(cmp.Compare(other.isRemote, self.isRemote), cmp.Compare(other.hash, self.hash), cmp.Compare(other.name, self.name)) < 0 {
			p.rank++
		}
	}
	if !isListed {
		// The other hosts do not know this one yet. Many that start together would each take a share of the cold rate.
		p.rank = max(p.rank, coldHosts)
	}
}

// pacedColdShare returns the share of this host in the rate of a cold target, and false if the pace does not divide it.
func (d *Dispatcher) pacedColdShare(s *service, t *target) (float64, bool) {
	if t.pace == nil || d.paceHosts.self == "" {
		return 0, false
	}
	d.rankHosts(t)
	if t.pace.rank >= coldHosts {
		return 0, true
	}
	return s.coldRate * coldRateUse / float64(min(coldHosts, max(1, t.pace.localHosts))), true
}

// observePace lets the pace of a target learn from the end of a request.
func (t *target) observePace(now time.Duration, choice *Choice, result Result) {
	p := t.pace
	if p == nil {
		return
	}
	p.beginDue(now)
	o := pace.Observation{Latency: result.Latency}
	if choice.baseSamples >= minBaseSamples {
		o.Expected = choice.ExpectedLatency
	}
	switch result.Outcome {
	case OutcomeAnswered:
		o.Outcome = pace.Answered
	case OutcomeFailed, OutcomeTimedOut, OutcomeConnectionFailed:
		o.Outcome = pace.Failed
	case OutcomeShed:
		o.Outcome = pace.Refused
	case OutcomeHedgeLost:
		o.Outcome = pace.Abandoned
	}
	if result.Report != nil {
		o.Report = &pace.Load{Running: result.Report.Running, Waiting: result.Report.Waiting}
	}
	p.Observe(now, o)
	if result.Outcome == OutcomeConnectionFailed {
		p.beginLater(t.backOffUntil, pace.CauseBackOffEnd)
	}
}

// collectPaceChanges keeps the changes of the pace of a target for TakePaceChanges.
func (d *Dispatcher) collectPaceChanges(t *target) {
	if t.pace == nil {
		return
	}
	for _, change := range t.pace.TakeChanges() {
		if change.Fall {
			d.paceFalls[PaceFall{t.Service, change.Cause}]++
		}
		if !change.StateChanged {
			continue
		}
		if len(d.paceChanges) >= maxPaceChanges {
			d.omittedPaceChanges++
			continue
		}
		d.paceChanges = append(d.paceChanges, PaceChange{t.Target, change})
	}
}

// TakePaceFalls returns the number of falls of limits since the last call.
func (d *Dispatcher) TakePaceFalls() map[PaceFall]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	falls := d.paceFalls
	d.paceFalls = map[PaceFall]int{}
	return falls
}

// TakePaceChanges returns the changes of the states of paces since the last call, and the number of further ones that were omitted.
func (d *Dispatcher) TakePaceChanges() (changes []PaceChange, omitted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, omitted = d.paceChanges, d.omittedPaceChanges
	d.paceChanges, d.omittedPaceChanges = nil, 0
	return changes, omitted
}

// PaceCounts returns the number of targets by service and state of their pace.
func (d *Dispatcher) PaceCounts(now time.Duration) map[string][pace.StateCount]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string][pace.StateCount]int{}
	for name, s := range d.services {
		count := [pace.StateCount]int{}
		for _, t := range s.targets {
			if t.pace != nil {
				count[t.pace.State(now)]++
				d.collectPaceChanges(t)
			}
		}
		counts[name] = count
	}
	return counts
}
