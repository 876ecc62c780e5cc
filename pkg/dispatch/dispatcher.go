package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrock.example/almondrock/pkg/pace"
)

// Costs that are added to the expected latency of a target when its score is computed; the target with the lowest score is chosen.
const (
	// otherDataCentreCost and otherRegionCost are the costs of a target in another data centre of the region and in another region.
	// Traffic between data centres and between regions is paid for, and a round trip between regions takes 24 ms.
	otherDataCentreCost = 15 * time.Millisecond
	otherRegionCost     = 60 * time.Millisecond
	// largeResponseFactor multiplies these two costs for large responses, which need more traffic.
	largeResponseFactor = 20
	// manyHosts is the number of entry hosts from which on load reports arrive too late to be relied on, because each host limits the
	// CPU time that it spends on them. Each host then prefers a part of the targets: all others cost notPreferredPenaltyPercent of
	// the base duration more.
	manyHosts                  = 30
	notPreferredPenaltyPercent = 40
	// otherRegionPenaltyPercent is the additional cost, in percent of the base duration, of targets in other regions that this host
	// does not prefer. It applies at any number of entry hosts.
	otherRegionPenaltyPercent = 140
	// preferredInOtherRegions is the number of targets of other regions that a host prefers. With a few requests per second to other
	// regions, it sends each of them about one per second.
	preferredInOtherRegions = 8
	// responsivePercent is the percentage of the time to the objective within which a target of the own region is expected to respond for
	// responsiveRegionBonus to apply: from manyHosts on it takes precedence over targets of other regions that are better by less than this.
	// The load of most of those is known only as the mean of their region, so that a small difference would move the requests of all hosts.
	responsivePercent     = 60
	responsiveRegionBonus = 100 * time.Millisecond
	// failurePenalty is the cost of a target with a failure rate of 1.
	failurePenalty = 600 * time.Millisecond
	// scoreJitter is the maximum random increase of a score as a fraction of it, so that hosts with the same information do not all
	// choose the same target.
	scoreJitter = 0.08
)

// Limits of the load of one target.
const (
	// maxQueueAtTarget is the number of requests that may wait at a target in addition to those in its slots. Further requests would
	// wait longer than a retry at another target takes.
	maxQueueAtTarget = 2
	// maxQueueAtOwner is the same limit for the owner of a key, which no other target can replace. Targets queue a few more requests
	// than they have slots.
	maxQueueAtOwner = 6
	// maxAheadForFreeSlot is the expected number of requests ahead up to which a target is assumed to have a free slot.
	maxAheadForFreeSlot = 0.5
	// defaultSlots is assumed for a target that does not announce its slots.
	defaultSlots = 1
)

// Options configures a Dispatcher.
type Options struct {
	// DataCentre and Region are those of this entry host.
	DataCentre string
	Region     string
	// Rand returns a number in [0, 1). The default is math/rand/v2.
	Rand func() float64
	// RetryRatio is the number of retries that all entry hosts together may send, as a share of the requests. RetrySlack is the
	// number of retries that are allowed beyond it in the time window by which users measure retries.
	RetryRatio float64
	RetrySlack float64
	// DrainTime is how long a target that leaves may still get requests. The default is defaultDrainTime.
	DrainTime time.Duration
	// PacedTargets limits the requests in flight at each target by what its answers show; see package pace.
	PacedTargets bool
	// StartedAt is the point to which times are relative. It serves to tell the age of targets; without it their age is not known.
	StartedAt time.Time
}

// Dispatcher chooses targets for the requests of one entry host. It is safe for concurrent use. All times that are passed to it are
// relative to the same fixed point.
type Dispatcher struct {
	options Options

	mu       sync.Mutex
	services map[string]*service
	// targets has the targets by ID. hasTargets is set once there was a view.
	targets       map[string]*target
	hasTargets    bool
	targetsByHash map[uint32]*target
	// evacuated is the set of evacuated data centres.
	evacuated map[string]bool
	// baseDuration has the learned base duration by route.
	baseDuration map[string]baseDuration
	// hostCount is the number of entry hosts, localHostCount the number of those in this data centre.
	hostCount, localHostCount int
	// peerInFlight has the last report of each peer by its name.
	peerInFlight map[string]*peerReport
	// queue has the waiting requests in the order of their priority, those with the same priority in the order of arrival.
	queue []*Waiter
	// sequence is the sequence number of the last request that was queued.
	sequence uint64
	// hostIndex is the index of this host among the entry hosts of its data centre.
	hostIndex int
	// notices has what the answers of targets said about further requests, by start of the target. Views do not change it.
	notices map[targetStart]*noticeState
	// lastReturnAt is the time at which the last pause ends.
	lastReturnAt time.Duration
	// loadChanged is set if the requests in flight or the pauses have changed since the last InFlightReport.
	loadChanged bool
	// paceHosts and the fields after it are used only with Options.PacedTargets.
	paceHosts          paceHosts
	paceChanges        []PaceChange
	omittedPaceChanges int
	paceFalls          map[PaceFall]int
}

type service struct {
	targets []*target
	// coldRate is the request rate of a cold target, in requests per second from all entry hosts together.
	coldRate    float64
	retryBudget tokenBucket
	// scheduled is set while slot schedulers assign the targets of the service.
	scheduled bool
	// typical has what the targets of the service in each region usually report.
	typical map[string]*typical
}

// peerReport is the last load report of another entry host.
type peerReport struct {
	// start identifies the process of the peer, by a random number, and sequence the report within it.
	start, sequence uint64
	receivedAt      time.Duration
	// inFlight is the number of requests that the peer has in flight, by target.
	inFlight map[*target]int
	// pausing has the targets that pause for the peer.
	pausing []*target
}

// New returns a Dispatcher without targets.
func New(options Options) *Dispatcher {
	if options.Rand == nil {
		options.Rand = rand.Float64
	}
	if options.DrainTime == 0 {
		options.DrainTime = defaultDrainTime
	}
	return &Dispatcher{
		options: options, services: map[string]*service{}, targets: map[string]*target{}, targetsByHash: map[uint32]*target{},
		evacuated: map[string]bool{}, baseDuration: map[string]baseDuration{}, peerInFlight: map[string]*peerReport{},
		notices: map[targetStart]*noticeState{}, hostCount: 1, localHostCount: 1, paceFalls: map[PaceFall]int{},
	}
}

// TargetHash returns the hash that stands for the ID of a target in load reports.
func TargetHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// SetTargets replaces the targets. The state of targets that were there before with the same start time is kept.
func (d *Dispatcher) SetTargets(now time.Duration, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, isFirstView := d.targets, !d.hasTargets
	d.hasTargets = true
	d.targets, d.targetsByHash = map[string]*target{}, map[uint32]*target{}
	for _, s := range d.services {
		s.targets = nil
	}
	for _, next := range targets {
		next.Slots = max(next.Slots, defaultSlots)
		known, ok := old[next.ID]
		if !ok || known.StartedUnixMs != next.StartedUnixMs {
			known = &target{hash: TargetHash(next.ID), slowdownCorrection: 1}
			if d.options.PacedTargets {
				known.pace = d.newPace(now, next, isFirstView, ok)
			}
		} else {
			known.updatePace(now, next)
		}
		if next.Cold && !known.Cold {
			known.cold = coldTokens{level: d.options.Rand(), updatedAt: now}
		}
		known.Target, known.notices = next, d.notices[next.start()]
		d.targets[next.ID] = known
		d.targetsByHash[known.hash] = known
		s := d.service(next.Service)
		known.typical = s.typicalIn(next.Region)
		s.targets = append(s.targets, known)
	}
	d.setPreferred()
	d.loadChanged = true
}

// SetColdRates sets the request rate of each cold target by service, in requests per second from all entry hosts together.
func (d *Dispatcher) SetColdRates(rates map[string]float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, rate := range rates {
		d.service(name).coldRate = rate
	}
}

// SetEvacuated sets the evacuated data centres, whose targets get no requests.
func (d *Dispatcher) SetEvacuated(dataCentres []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.evacuated
	d.evacuated = map[string]bool{}
	for _, dataCentre := range dataCentres {
		d.evacuated[dataCentre] = true
	}
	for _, t := range d.targets {
		if old[t.DataCentre] && !d.evacuated[t.DataCentre] {
			t.pace.beginLater(0, pace.CauseEvacuationEnd)
		}
	}
}

// SetEntryHosts sets the number of entry hosts in total and in this data centre, among which rates are divided, and the index of
// this host among those of its data centre, starting at 0.
func (d *Dispatcher) SetEntryHosts(total, local, hostIndex int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hostCount, d.localHostCount, d.hostIndex = max(1, total), max(1, local), max(0, hostIndex)
	d.setPreferred()
}

// setPreferred divides the targets of this data centre among its entry hosts. Each host prefers its own part, whose load it knows
// exactly. Of the targets in other regions it prefers a few, because it learns their load only from their responses.
func (d *Dispatcher) setPreferred() {
	offset := TargetHash(d.options.DataCentre) + uint32(d.hostIndex)
	for _, s := range d.services {
		for _, y := range s.typical {
			y.inUse = d.hostCount >= manyHosts
		}
		otherRegion := 0
		for _, t := range s.targets {
			if t.Region != d.options.Region {
				otherRegion++
			}
		}
		groups := uint32(max(1, otherRegion/preferredInOtherRegions))
		index := 0
		for _, t := range s.targets {
			switch {
			case t.Region != d.options.Region:
				t.preferred = t.hash%groups == offset%groups
			case t.DataCentre == d.options.DataCentre:
				t.preferred = index%d.localHostCount == d.hostIndex
				index++
			default:
				t.preferred = false
			}
		}
	}
}

// service returns the state of a service and creates it if there is none yet.
func (d *Dispatcher) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{typical: map[string]*typical{}}
		d.services[name] = s
	}
	return s
}

// Request describes a request for which a target is to be chosen.
type Request struct {
	Service string
	// Route groups requests with a similar processing time, whose base duration is learned.
	Route string
	// AllowedRegions are the regions whose targets may be chosen; if it is empty, all may.
	AllowedRegions []string
	// LargeResponse is set for requests with large responses.
	LargeResponse bool
	// ExcludedTargets are the IDs of targets that must not be chosen, because they were tried before.
	ExcludedTargets []string
	// Owner is the ID of the only target that may be chosen, for a key of an exclusive service. It is empty for other services.
	Owner string
	// Priority is the position of the request in the queue: lower values are served first, 0 is the lowest.
	Priority int
	// RequireFreeSlot restricts the choice to targets that are not cold and probably have a free slot.
	RequireFreeSlot bool
	// ExcludeCold excludes cold targets, whose whole rate is at the disposal of a slot scheduler.
	ExcludeCold bool
	// Candidates restricts the choice to the targets for whose IDs it reports true; nil permits all.
	Candidates func(id string) bool
	// TimeToDeadline is the time left until the deadline of the request. TimeToObjective is the time left until its response loses
	// value; it is 0 or negative if that time has passed.
	TimeToDeadline, TimeToObjective time.Duration
}

// maxUsefulLatency returns the expected latency up to which a request may be sent to a target where it has to wait. A response after
// the objective has lost most of its value, and takes the slot from a request whose response would be in time.
func (r *Request) maxUsefulLatency() time.Duration {
	if r.TimeToObjective > 0 {
		return min(r.TimeToDeadline, r.TimeToObjective)
	}
	return r.TimeToDeadline
}

// Choice is a target that was chosen for a request.
type Choice struct {
	Target
	// ExpectedLatency is the expected time from sending the request to its response.
	ExpectedLatency time.Duration
	// BaseDuration is the expected processing time on an idle target of normal speed.
	BaseDuration time.Duration
	// InFlight is the expected number of requests at the target, without this one.
	InFlight int
	// ReportAge is the age of the last load report of the target, or negative if there is none.
	ReportAge time.Duration

	target *target
	// base, route, requestsAhead and slowdown are the values at the time of the choice. Finish needs them to learn from the response.
	base          time.Duration
	route         string
	requestsAhead float64
	slowdown      float64
	// baseSamples is the number of responses from which the base duration was learned.
	baseSamples int
}

// Reason is the reason why no target was chosen.
type Reason string

// Reasons.
const (
	// ReasonNoTarget means that the service has no target that may run the request.
	ReasonNoTarget Reason = "no-target"
	// ReasonBusy means that all targets have as many requests as they may have.
	ReasonBusy Reason = "busy"
	// ReasonLeaving means that only targets are left which have said that they leave, and whose drain time is over.
	ReasonLeaving Reason = "leaving"
	// ReasonPaused means that all targets have asked this host for a pause.
	ReasonPaused Reason = "paused"
	// ReasonUnreachable means that all targets are in back-off after connection failures.
	ReasonUnreachable Reason = "unreachable"
	// ReasonColdOnly means that only cold targets are left and none may get a request now.
	ReasonColdOnly Reason = "cold"
	// ReasonRefused means that the targets that got the request refused it without running it.
	ReasonRefused Reason = "refused-by-target"
	// ReasonLate means that no target is expected to respond in time.
	ReasonLate Reason = "late"
)

// Choose chooses a target and counts the request as in flight there. Finish must be called for the choice. If no target can be chosen,
// Choose returns nil and the reason.
func (d *Dispatcher) Choose(now time.Duration, r *Request) (*Choice, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.choose(now, r)
}

func (d *Dispatcher) choose(now time.Duration, r *Request) (*Choice, Reason) {
	s := d.service(r.Service)
	base := d.base(r.Route)
	// bestLeaving is used only if no other target can take the request.
	var best, bestInRegion, bestLeaving scoredTarget
	reason := ReasonNoTarget
	for _, t := range s.targets {
		if t.ID == r.Owner {
			t.isOwner = true
		}
		if excluded := d.exclusionReason(now, s, t, r, base); excluded != "" {
			reason = mostPromising(reason, excluded)
			continue
		}
		expected := t.predictLatency(now, base, t.expectedLoad(now))
		cost := d.distanceCost(t, r.LargeResponse, base)
		score := float64(expected+cost) + t.currentFailureRate(now)*float64(failurePenalty)
		if t.peerPauses > 0 {
			score += float64(peerPausePenalty)
		}
		if t.Cold && t.pace != nil {
			// The few hosts that share the rate of the target would use only a part of it if they sent there as rarely as to the others.
			score *= coldScoreFactor
		}
		score *= 1 + scoreJitter*d.options.Rand()
		scored := scoredTarget{t, score, expected}
		if t.notices.isLeaving() {
			if bestLeaving.target == nil || score < bestLeaving.score {
				bestLeaving = scored
			}
			continue
		}
		if best.target == nil || score < best.score {
			best = scored
		}
		if t.Region == d.options.Region && (bestInRegion.target == nil || score < bestInRegion.score) {
			bestInRegion = scored
		}
	}
	if best.target == nil {
		best = bestLeaving
	}
	if best.target == nil {
		return nil, reason
	}
	if d.hostCount >= manyHosts && bestInRegion.isResponsive(r) && bestInRegion.score < best.score+float64(responsiveRegionBonus) {
		best = bestInRegion
	}
	return d.assign(now, r, base, best), ""
}

// scoredTarget is a target with its score for a request and the expected latency. target is nil if there is none.
type scoredTarget struct {
	target   *target
	score    float64
	expected time.Duration
}

// isResponsive reports whether the target is expected to respond well within the objective of the request.
func (c scoredTarget) isResponsive(r *Request) bool {
	return c.target != nil && c.expected < r.TimeToObjective*responsivePercent/100
}

// assign counts a request as in flight at the chosen target.
func (d *Dispatcher) assign(now time.Duration, r *Request, base time.Duration, chosen scoredTarget) *Choice {
	if chosen.target.Cold {
		chosen.target.cold.take()
	}
	return d.count(now, r, base, chosen, chosen.target.expectedLoad(now))
}

// count counts a request as in flight at the chosen target, at which load requests are expected.
func (d *Dispatcher) count(now time.Duration, r *Request, base time.Duration, chosen scoredTarget, load float64) *Choice {
	t := chosen.target
	choice := &Choice{
		Target: t.Target, ExpectedLatency: chosen.expected, BaseDuration: base, InFlight: int(math.Round(load)), ReportAge: -1,
		target: t, base: base, route: r.Route, requestsAhead: t.requestsAhead(load), slowdown: t.slowdownAt(now),
		baseSamples: d.baseDuration[r.Route].samples,
	}
	if t.hasReport {
		choice.ReportAge = now - t.reportAt
	}
	t.ownInFlight++
	d.loadChanged = d.loadChanged || !d.isScheduled(t)
	if t.pace != nil {
		t.pace.sentAt = now
		t.pace.SetIdle(now, false)
		d.collectPaceChanges(t)
	}
	return choice
}

// mostPromising returns that one of two reasons with which a later attempt is more likely to succeed.
func mostPromising(known, next Reason) Reason {
	ascending := []Reason{ReasonNoTarget, ReasonLeaving, ReasonPaused, ReasonUnreachable, ReasonColdOnly, ReasonLate, ReasonBusy}
	if slices.Index(ascending, next) > slices.Index(ascending, known) {
		return next
	}
	return known
}

// exclusionReason returns why a target must not be chosen for a request, or "" if it may.
func (d *Dispatcher) exclusionReason(now time.Duration, s *service, t *target, r *Request, base time.Duration) Reason {
	load := t.reportedLoad(now)
	if t.ownInFlight == 0 && t.hasReport && now-t.reportAt > outdatedReportAge {
		load = min(load, float64(t.peerInFlight))
	}
	limit := t.Slots + queueLimit(r)
	if reason := d.obstacle(now, t, r); reason != "" {
		return reason
	}
	switch {
	case t.Cold && r.ExcludeCold:
		return ReasonColdOnly
	case t.Cold && t.DataCentre != d.options.DataCentre && r.Owner == "":
		return ReasonColdOnly
	case t.Cold && !d.hasColdToken(now, s, t, r.Owner != ""):
		return ReasonColdOnly
	case d.isPaced(now, t, r, load):
		return ReasonBusy
	case r.RequireFreeSlot && (t.Cold || t.requestsAhead(load) > maxAheadForFreeSlot):
		return ReasonBusy
	case load >= float64(limit), t.ownInFlight >= t.notices.inFlightLimit(now, limit):
		return ReasonBusy
	case t.requestsAhead(load) > 0 && t.predictLatency(now, base, load) > r.maxUsefulLatency():
		return ReasonLate
	}
	return ""
}

// obstacle returns why a target must not be chosen for a request, however loaded it is, or "" if it may.
func (d *Dispatcher) obstacle(now time.Duration, t *target, r *Request) Reason {
	switch {
	case !d.permits(t, r), slices.Contains(r.ExcludedTargets, t.ID), r.Candidates != nil && !r.Candidates(t.ID):
		return ReasonNoTarget
	case t.notices.hasLeft(now, d.options.DrainTime), t.notices.isLeaving() && r.RequireFreeSlot:
		return ReasonLeaving
	case t.notices.pauseLeft(now) > 0:
		return ReasonPaused
	case now < t.backOffUntil, t.connectionFailures > 0 && t.ownInFlight > 0:
		// After connection failures, only one request at a time is sent, to find out whether the target is available again.
		return ReasonUnreachable
	}
	return ""
}

// isScheduled reports whether a slot scheduler assigns the target.
func (d *Dispatcher) isScheduled(t *target) bool {
	s := d.services[t.Service]
	return s != nil && s.scheduled
}

// permits reports whether a target may run a request, however loaded it is.
func (d *Dispatcher) permits(t *target, r *Request) bool {
	return (r.Owner == "" || t.ID == r.Owner) && !t.Draining && !d.evacuated[t.DataCentre] &&
		(len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, t.Region))
}

// queueLimit returns the number of requests that may wait at the target of a request.
func queueLimit(r *Request) int {
	if r.Owner != "" {
		return maxQueueAtOwner
	}
	return maxQueueAtTarget
}

// hasColdToken reports whether this host may send a request to a cold target now.
func (d *Dispatcher) hasColdToken(now time.Duration, s *service, t *target, owner bool) bool {
	if share, ok := d.pacedColdShare(s, t); ok && !owner {
		return t.cold.readySaved(now, share)
	}
	return t.cold.ready(now, d.coldRateShare(s, owner), d.options.Rand)
}

// coldRateShare returns the share of this entry host in the request rate of a cold target. Cold targets of shared services get
// requests only from the entry hosts of their own data centre; owners of keys get them from all entry hosts.
func (d *Dispatcher) coldRateShare(s *service, owner bool) float64 {
	if owner {
		return s.coldRate / float64(d.hostCount)
	}
	return s.coldRate / float64(d.localHostCount)
}

// distanceCost returns the cost of sending a request to a target because of the target's distance and because this host does not
// prefer it.
func (d *Dispatcher) distanceCost(t *target, largeResponse bool, base time.Duration) time.Duration {
	otherRegion := t.Region != d.options.Region
	cost := d.options.DistanceCost(t.DataCentre, t.Region, largeResponse)
	if d.hostCount >= manyHosts && (otherRegion || !t.preferred) {
		cost += base * notPreferredPenaltyPercent / 100
	}
	if otherRegion && !t.preferred {
		cost += base * otherRegionPenaltyPercent / 100
	}
	return cost
}
