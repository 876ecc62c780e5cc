package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

const (
	// waitDivisor divides the time that a request has left to its objective, or to its deadline if the objective has passed, into the longest
	// time that it waits. A caller that is refused by then can still be answered in time when it comes back.
	waitDivisor = 8
	// defaultDuration is the duration of asks that state none.
	defaultDuration = 100 * time.Millisecond
	// maxDuration bounds stated durations, maxRoundTrip stated round trips and maxDeadline stated deadlines.
	maxDuration, maxRoundTrip, maxDeadline = time.Minute, 250 * time.Millisecond, 10 * time.Minute
	// minWeight bounds the requests at a target to twice its slots, whatever round trips are stated.
	minWeight = 0.5
	// expiryTime is how long after the deadline of its request a turn without a release is free again.
	expiryTime = 200 * time.Millisecond
	// rankShare is the share of the slots that each rank keeps while it has waiting requests.
	rankShare = 0.1
	// maxCreditTurns bounds what a rank may be owed, in turns, because its requests may exclude the targets that become free.
	maxCreditTurns = 10
	// maxWaiting bounds the waiting requests of a group. At its usual 50 to 150 requests a second, more could not be served within seconds.
	maxWaiting = 1024
	// rememberTime is how long decided asks are remembered in order to answer repetitions, and maxRemembered how many. An ask is repeated
	// after 40 ms plus the round trip.
	rememberTime  = 2 * time.Second
	maxRemembered = 8192
	// pollTime is the interval at which conditions are checked that change gradually with time.
	pollTime = 20 * time.Millisecond
	// never is a time that doesn't come.
	never = time.Duration(math.MaxInt64)
	// minRetryAfter and maxRetryAfter bound the retry-after of refusals.
	minRetryAfter, maxRetryAfter = 10 * time.Millisecond, 5 * time.Second
	// noTargetRetryAfter is the retry-after without targets. Targets register within about a second.
	noTargetRetryAfter = time.Second
	// maxColdRate bounds stated cold rates.
	maxColdRate = 1e6
	// meanDurationWeight is the weight of one ask in the mean duration.
	meanDurationWeight = 0.05
)

// Group schedules the slots of a group of targets.
type Group struct {
	options Options
	order   order
	targets []*target
	// left has the targets that have left while turns are in force, as they may come back.
	left     map[uint32]*target
	requests map[AskID]*request
	turns    []*request
	ranks    [maxRank + 1]rankQueue
	waiting  int
	// finished has the finished requests in the order in which they are forgotten.
	finished []finishedRequest
	// nextExpiry is at or before the first expiry of a turn, nextWaiting the next time to check the waiting requests.
	nextExpiry, nextWaiting time.Duration
	meanDuration            time.Duration
	// typicalSlowdown and rate are the mean slowdown of the slots and the turns a second that they can take, as of estimatedAt.
	typicalSlowdown, rate float64
	estimatedAt           time.Duration
	estimated             bool
	decisions             []Decision
}

type finishedRequest struct {
	id       AskID
	forgetAt time.Duration
}

// NewGroup returns a group without targets.
func NewGroup(options Options) *Group {
	return &Group{
		options: options, left: map[uint32]*target{}, requests: map[AskID]*request{}, meanDuration: defaultDuration, typicalSlowdown: 1,
		nextExpiry: never, nextWaiting: never,
	}
}

// SetTargets sets the targets of the group. The returned decisions are those on waiting asks.
func (g *Group) SetTargets(now time.Duration, targets []Target) []Decision {
	old := map[uint32]*target{}
	for _, t := range g.targets {
		old[t.hash] = t
	}
	g.targets = nil
	seen := map[uint32]bool{}
	for _, next := range targets {
		next.Slots = normalSlots(next.Slots)
		if !(next.ColdRate > 0) {
			next.ColdRate = 0
		}
		next.ColdRate = min(next.ColdRate, maxColdRate)
		hash := dispatch.TargetHash(next.ID)
		if seen[hash] {
			continue
		}
		seen[hash] = true
		t := cmp.Or(old[hash], g.left[hash])
		switch {
		case t == nil:
			t = &target{hash: hash}
			t.reset(now, next, g.options)
			t.unknownUntil = now + unknownFullTime
		case t.StartedUnixMs != next.StartedUnixMs:
			t.reset(now, next, g.options)
		case next.Cold && !t.Cold:
			t.coldLevel, t.coldAt = 1, now
		}
		t.Target = next
		delete(old, hash)
		delete(g.left, hash)
		g.targets = append(g.targets, t)
	}
	for hash, t := range old {
		if t.turns > 0 {
			g.left[hash] = t
		}
	}
	slices.SortFunc(g.targets, func(a, b *target) int { return cmp.Compare(a.hash, b.hash) })
	g.estimated = false
	g.eachWaiting(func(r *request) {
		if !g.hasTarget(r) {
			g.refuse(now, r, ReasonNoTarget)
		}
	})
	return g.dispatch(now)
}

// eachWaiting calls visit with all waiting requests, which may remove them.
func (g *Group) eachWaiting(visit func(*request)) {
	for rank := range g.ranks {
		q := &g.ranks[rank]
		for _, r := range append(slices.Clone(q.inTime), q.late...) {
			visit(r)
		}
	}
}

// hasTarget reports whether the group has a target that the request may be sent to.
func (g *Group) hasTarget(r *request) bool {
	return slices.ContainsFunc(g.targets, func(t *target) bool { return !slices.Contains(r.excluded, t.hash) })
}

// Ask adds an ask. The returned decisions may include ones on other asks. If there is none for this ask, it waits, or needs no answer because it
// has been cancelled or released.
func (g *Group) Ask(now time.Duration, ask *Ask) []Decision {
	if known := g.requests[ask.ID]; known != nil {
		if known.phase == granted || known.phase == finished && !known.released {
			return []Decision{known.decision}
		}
		return nil
	}
	g.refreshEstimates(now)
	r := g.newRequest(now, ask)
	g.requests[r.id] = r
	g.meanDuration += time.Duration(float64(r.duration-g.meanDuration) * meanDurationWeight)
	switch {
	case !g.hasTarget(r):
		g.refuse(now, r, ReasonNoTarget)
	case now > r.lastForDeadline:
		g.refuse(now, r, ReasonLate)
	default:
		g.enqueue(now, r)
	}
	decisions := g.dispatch(now)
	if r.phase == waiting && r.onlyFree {
		g.refuse(now, r, ReasonBusy)
		return append(decisions, g.takeDecisions()...)
	}
	return decisions
}

// newRequest returns the request of an ask with all values within their bounds.
func (g *Group) newRequest(now time.Duration, ask *Ask) *request {
	r := &request{id: ask.ID, rank: min(max(ask.Rank, 0), maxRank), excluded: slices.Clone(ask.Excluded), onlyFree: ask.OnlyFree, queued: 1}
	r.duration = min(ask.Duration, maxDuration)
	if r.duration <= 0 {
		r.duration = defaultDuration
	}
	r.roundTrip = min(max(ask.RoundTrip, 0), maxRoundTrip)
	r.weight = max(minWeight, float64(r.duration)/float64(r.duration+r.roundTrip))
	// The stated times were right when the ask was sent.
	toDeadline := min(ask.ToDeadline, maxDeadline)
	r.deadlineAt = now + toDeadline - r.roundTrip/2
	r.objectiveAt = now + min(max(ask.ToObjective, -maxDeadline), toDeadline) - r.roundTrip/2
	if ask.ToDeadline <= 0 {
		r.deadlineAt, r.objectiveAt = now-1, now-1
	}
	// A turn has to reach the asking host, the request the target, and the response the host.
	needed := time.Duration(float64(r.duration)*min(g.typicalSlowdown, 1)) + r.roundTrip*3/2
	r.lastForDeadline = r.deadlineAt - needed
	r.lastForObjective = r.objectiveAt - time.Duration(float64(r.duration)*g.typicalSlowdown) - r.roundTrip*3/2
	left := r.objectiveAt - now
	if now > r.lastForObjective {
		left = r.deadlineAt - now
	}
	r.waitUntil = min(r.lastForDeadline, now+max(0, left/waitDivisor-r.roundTrip))
	return r
}

// enqueue adds a request to its queue. If the group has too many, the least urgent one is refused.
func (g *Group) enqueue(now time.Duration, r *request) {
	r.late = now > r.lastForObjective
	g.ranks[r.rank].add(g.order, r)
	g.waiting++
	if g.waiting > maxWaiting {
		g.refuse(now, g.leastUrgent(), ReasonBusy)
	}
	g.checkAt(r.nextCheck())
}

// nextCheck returns the time at which the state of a waiting request changes with time.
func (r *request) nextCheck() time.Duration {
	if r.late {
		return r.waitUntil + 1
	}
	return min(r.lastForObjective, r.waitUntil) + 1
}

func (g *Group) checkAt(at time.Duration) {
	g.nextWaiting = min(g.nextWaiting, at)
}

// leastUrgent returns the waiting request that would be the last one to get a turn.
func (g *Group) leastUrgent() *request {
	var last *request
	for rank := maxRank; rank >= 0 && last == nil; rank-- {
		g.ranks[rank].each(g.order, func(r *request) bool {
			last = r
			return true
		})
	}
	return last
}

// Cancel removes a waiting ask, or returns the turn that it got.
func (g *Group) Cancel(now time.Duration, id AskID) []Decision {
	return g.Release(now, id, Result{})
}

// Release ends a turn. The result also counts if the turn is not known, for example because the scheduler started after it was given.
func (g *Group) Release(now time.Duration, id AskID, result Result) []Decision {
	r := g.requests[id]
	if r == nil {
		r = &request{id: id, phase: finished}
		g.requests[id] = r
		if t := g.target(result.Target); t != nil {
			t.recordOutcome(now, result.Outcome)
			if result.Load != nil {
				t.recordReport(now, *result.Load, t.turns+1)
			}
		}
		g.finish(now, r)
		r.released = true
		return g.dispatch(now)
	}
	switch r.phase {
	case waiting:
		g.ranks[r.rank].remove(r)
		g.waiting--
		g.finish(now, r)
	case granted:
		// A release that names another target than the turn says nothing about either.
		if t := r.target; result.Target == t.hash && r.process == t.process {
			g.observe(now, r, result)
		}
		g.endTurn(now, r)
	}
	r.released = true
	return g.dispatch(now)
}

// target returns a target by hash, or nil.
func (g *Group) target(hash uint32) *target {
	for _, t := range g.targets {
		if t.hash == hash {
			return t
		}
	}
	return nil
}

// observe learns from the result of a turn.
func (g *Group) observe(now time.Duration, r *request, result Result) {
	t := r.target
	t.recordOutcome(now, result.Outcome)
	slowdown := 1.0
	if t.reportedMean > 0 {
		slowdown = r.grantedSlowdown
	}
	if result.Load != nil {
		t.recordReport(now, *result.Load, t.turns)
		if result.Load.Slowdown > 0 {
			// The slowdown changes during the processing, so its values at the start and at the end count equally.
			slowdown = (slowdown + t.reportedLast) / 2
		}
	}
	switch result.Outcome {
	case dispatch.OutcomeAnswered, dispatch.OutcomeTimedOut, dispatch.OutcomeHedgeLost:
		if result.Latency > 0 {
			processing := max(min(result.Latency, maxDeadline)-r.roundTrip, 0)
			t.learn(float64(processing) / float64(r.duration) / slowdown / r.queued)
		}
	}
	if t.pace != nil && result.Outcome != 0 {
		t.pace.Observe(now, Observation{Outcome: result.Outcome, Latency: result.Latency, Expected: r.expected, Load: result.Load})
	}
}

// endTurn frees the slot of a turn.
func (g *Group) endTurn(now time.Duration, r *request) {
	t := r.target
	if r.process == t.process {
		t.turns--
		t.load -= r.weight
		if t.turns == 0 {
			// Sums of fractions don't return to exactly 0.
			t.load = 0
			delete(g.left, t.hash)
		}
	}
	at := slices.Index(g.turns, r)
	g.turns[at] = g.turns[len(g.turns)-1]
	g.turns = g.turns[:len(g.turns)-1]
	g.finish(now, r)
}

// finish keeps an ask for a while in order to answer repetitions.
func (g *Group) finish(now time.Duration, r *request) {
	r.phase, r.target, r.excluded = finished, nil, nil
	g.finished = append(g.finished, finishedRequest{r.id, now + rememberTime})
	forgotten := 0
	for forgotten < len(g.finished) && (g.finished[forgotten].forgetAt <= now || len(g.finished)-forgotten > maxRemembered) {
		delete(g.requests, g.finished[forgotten].id)
		forgotten++
	}
	g.finished = g.finished[forgotten:]
}

// refuse refuses an ask that waits or is new.
func (g *Group) refuse(now time.Duration, r *request, reason Reason) {
	if slices.Contains(g.ranks[r.rank].inTime, r) || slices.Contains(g.ranks[r.rank].late, r) {
		g.ranks[r.rank].remove(r)
		g.waiting--
	}
	r.decision = Decision{ID: r.id, Reason: reason, RetryAfter: g.retryAfter(now, r.rank)}
	if reason == ReasonNoTarget {
		r.decision.RetryAfter = noTargetRetryAfter
	}
	g.finish(now, r)
	g.decisions = append(g.decisions, r.decision)
}

// retryAfter returns the time in which the waiting requests that are as urgent are expected to get turns.
func (g *Group) retryAfter(now time.Duration, rank int) time.Duration {
	ahead := 1
	for i := range rank + 1 {
		ahead += g.ranks[i].len()
	}
	return min(max(g.waitFor(now, ahead), minRetryAfter), maxRetryAfter)
}

// waitFor returns the time in which a number of turns is expected to become free.
func (g *Group) waitFor(now time.Duration, turns int) time.Duration {
	g.refreshEstimates(now)
	wait := maxRetryAfter
	if g.rate > 0 {
		wait = time.Duration(min(float64(turns)/g.rate*float64(time.Second), float64(maxDeadline)))
	}
	// Without an available target no turn is free before the first of them is.
	first := time.Duration(math.MaxInt64)
	for _, t := range g.targets {
		first = min(first, max(t.fullUntil, t.unknownUntil, t.backOffUntil))
	}
	if len(g.targets) > 0 && first > now {
		wait += first - now
	}
	return wait
}

// Report records a load report of a target that did not arrive with a release.
func (g *Group) Report(now time.Duration, hash uint32, load dispatch.TargetLoad) []Decision {
	if t := g.target(hash); t != nil {
		t.recordReport(now, load, t.turns)
	}
	return g.dispatch(now)
}

// Advance ends turns whose release did not arrive, and decides on waiting asks whose situation has changed with time.
func (g *Group) Advance(now time.Duration) []Decision {
	if now >= g.nextExpiry {
		g.nextExpiry = never
		for _, r := range slices.Clone(g.turns) {
			if now >= r.expiresAt {
				g.endTurn(now, r)
				r.released = true
			} else {
				g.nextExpiry = min(g.nextExpiry, r.expiresAt)
			}
		}
	}
	return g.dispatch(now)
}

// NextAdvance returns the time at which Advance should be called next. ok is false if no call is necessary before the next other call.
func (g *Group) NextAdvance() (at time.Duration, ok bool) {
	at = g.nextExpiry
	if g.waiting > 0 {
		at = min(at, g.nextWaiting)
	}
	return at, at < never
}

// Waits reports whether an ask waits for its turn.
func (g *Group) Waits(id AskID) bool {
	r := g.requests[id]
	return r != nil && r.phase == waiting
}

// State describes how busy the group is.
func (g *Group) State(now time.Duration) State {
	s := State{Waiting: g.waiting}
	inTime := 0
	for i := range g.ranks {
		inTime += len(g.ranks[i].inTime)
	}
	for _, t := range g.targets {
		s.Free += t.free(now)
	}
	if s.Free == 0 || inTime > 0 {
		s.ExpectedWait = g.waitFor(now, inTime+1)
	}
	return s
}

// refreshEstimates updates the typical slowdown and the rate of turns.
func (g *Group) refreshEstimates(now time.Duration) {
	if g.estimated && now < g.estimatedAt+pollTime {
		return
	}
	g.estimated, g.estimatedAt = true, now
	slots, speed, coldRate := 0.0, 0.0, 0.0
	for _, t := range g.targets {
		if t.Cold {
			if t.ColdRate > 0 {
				coldRate += min(t.ColdRate, 1/g.meanDuration.Seconds())
			}
			continue
		}
		slots += float64(t.Slots)
		speed += float64(t.Slots) / t.slowdown(now)
	}
	g.typicalSlowdown = 1
	if slots > 0 {
		g.typicalSlowdown = slots / speed
	}
	g.rate = speed/g.meanDuration.Seconds() + coldRate
}

// dispatch gives turns to waiting requests while targets are available, refuses those that can't run in time, and returns the decisions.
func (g *Group) dispatch(now time.Duration) []Decision {
	if g.waiting > 0 {
		if now >= g.nextWaiting {
			g.checkWaiting(now)
		}
		for g.waiting > 0 && g.grantNext(now) {
		}
		if g.waiting > 0 {
			for _, t := range g.targets {
				g.checkAt(t.nextAvailable(now))
			}
		}
	}
	return g.takeDecisions()
}

func (g *Group) takeDecisions() []Decision {
	decisions := g.decisions
	g.decisions = nil
	return decisions
}

// checkWaiting moves the waiting requests that can't meet their objective behind the others, and gives a place in the queue of a target to those
// that have waited as long as they may, or refuses them.
func (g *Group) checkWaiting(now time.Duration) {
	g.refreshEstimates(now)
	g.nextWaiting = never
	g.eachWaiting(func(r *request) {
		if !r.late && now > r.lastForObjective {
			g.ranks[r.rank].remove(r)
			r.late = true
			g.ranks[r.rank].add(g.order, r)
		}
		if now <= r.waitUntil {
			g.checkAt(r.nextCheck())
			return
		}
		if now > r.lastForDeadline {
			g.refuse(now, r, ReasonLate)
			return
		}
		if t := g.queueTarget(now, r); t != nil {
			r.queued = t.queueFactor(now, r.weight)
			g.grant(now, r, t)
			return
		}
		g.refuse(now, r, ReasonBusy)
	})
}

// queueTarget returns the target with the shortest expected time for a request that has waited as long as it may, or nil if none is expected to
// answer in time.
func (g *Group) queueTarget(now time.Duration, r *request) *target {
	until := r.deadlineAt
	if !r.late {
		until = r.objectiveAt
	}
	var best *target
	// The turn has to reach the asking host, the request the target, and the response the host.
	bestTime := until - now - r.roundTrip*3/2
	for _, t := range g.targets {
		if t.Cold || !t.available(now, r.weight, queueTolerance) || slices.Contains(r.excluded, t.hash) {
			continue
		}
		if expected := t.expectedQueued(now, r.duration, r.weight); expected < bestTime {
			best, bestTime = t, expected
		}
	}
	return best
}

// grantNext gives a turn to the first waiting request for which a target is available.
func (g *Group) grantNext(now time.Duration) bool {
	// A rank that is owed a turn precedes the others, the one that is owed most first.
	owed, full := -1, math.Inf(1)
	for i := range g.ranks {
		if q := &g.ranks[i]; q.len() > 0 && q.credit >= g.meanDuration && (owed < 0 || q.credit > g.ranks[owed].credit) {
			owed = i
		}
	}
	if owed >= 0 && g.grantOf(now, &g.ranks[owed], &full) {
		return true
	}
	for i := range g.ranks {
		if i != owed && g.grantOf(now, &g.ranks[i], &full) {
			return true
		}
	}
	return false
}

// grantOf gives a turn to the first request of a rank for which a target is available. No target is available for a request that takes at
// least full of a slot, which is lowered as that turns out.
func (g *Group) grantOf(now time.Duration, q *rankQueue, full *float64) bool {
	var best *target
	var chosen *request
	q.each(g.order, func(r *request) bool {
		if r.weight >= *full {
			return true
		}
		best, chosen = g.bestTarget(now, r), r
		if best == nil && len(r.excluded) == 0 && !r.onlyFree {
			*full = r.weight
		}
		return best == nil
	})
	if best == nil {
		return false
	}
	g.grant(now, chosen, best)
	return true
}

// bestTarget returns the available target with the shortest expected time for a request, or nil.
func (g *Group) bestTarget(now time.Duration, r *request) *target {
	var best *target
	var bestTime time.Duration
	for _, t := range g.targets {
		if r.onlyFree && t.Cold || !t.available(now, r.weight, fitTolerance) || slices.Contains(r.excluded, t.hash) {
			continue
		}
		// A fast target whose slots are taken is not always better than an idle one that is slower.
		expected := t.expectedQueued(now, r.duration, r.weight)
		if best == nil || expected < bestTime {
			best, bestTime = t, expected
		}
	}
	return best
}

// grant gives a turn at a target to a waiting request.
func (g *Group) grant(now time.Duration, r *request, t *target) {
	for i := range g.ranks {
		if q := &g.ranks[i]; q.len() > 0 {
			q.credit = min(q.credit+time.Duration(float64(r.duration)*rankShare), g.meanDuration*maxCreditTurns)
		}
	}
	q := &g.ranks[r.rank]
	q.credit = max(0, q.credit-r.duration)
	q.remove(r)
	g.waiting--
	slowdown := t.slowdown(now)
	r.phase, r.target, r.process, r.grantedSlowdown = granted, t, t.process, slowdown/t.learned
	r.expected = time.Duration(float64(r.duration)*slowdown*r.queued) + r.roundTrip
	r.expiresAt = r.deadlineAt + expiryTime
	r.decision = Decision{ID: r.id, Turn: t.hash}
	t.turns++
	t.load += r.weight
	if t.Cold {
		t.coldLevel = max(0, t.tokens(now)-1)
	}
	g.turns = append(g.turns, r)
	g.nextExpiry = min(g.nextExpiry, r.expiresAt)
	g.decisions = append(g.decisions, r.decision)
}
