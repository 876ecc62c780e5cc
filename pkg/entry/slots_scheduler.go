package entry

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/slots"
)

const (
	// maxWaitingAsks bounds the asks of one group that wait.
	maxWaitingAsks = 1024
	// waitingAskMargin is how long after its deadline an ask is remembered whose host has not released it, and maxAskSilence the time after
	// which one is forgotten that its host does not repeat. It repeats waiting asks every slotPollInterval.
	waitingAskMargin, maxAskSilence = time.Second, 3 * time.Second
	// maxSlotDuration bounds the times in asks. No deadline of a route is longer.
	maxSlotDuration = 10 * time.Minute
	// minAdvanceDelay is the least time between two calls of Advance.
	minAdvanceDelay = time.Millisecond
)

// slotScheduler schedules the groups of targets that are assigned to this host. It is safe for concurrent use.
type slotScheduler struct {
	node *slotNode

	mu     sync.Mutex
	groups map[uint32]*hostedGroup
	timer  *time.Timer
	// advanceAt is when timer fires, or 0 if it is not set.
	advanceAt time.Duration
	closed    bool
}

// hostedGroup is a group that this host schedules.
type hostedGroup struct {
	info  *slotGroup
	group *slots.Group
	// waiting has the asks that have not been decided on.
	waiting map[slots.AskID]waitingAsk
	swept   time.Duration
}

// waitingAsk is an ask that has not been decided on.
type waitingAsk struct {
	origin  slotOrigin
	expires time.Duration
}

// slotReply is an answer to a host.
type slotReply struct {
	to     slotOrigin
	answer slotAnswer
	// later is set if the answer may wait for the next datagram.
	later bool
}

func newSlotScheduler(n *slotNode) *slotScheduler {
	return &slotScheduler{node: n, groups: map[uint32]*hostedGroup{}}
}

// setPlan starts and stops scheduling groups so that this host schedules those that the plan assigns to it.
func (s *slotScheduler) setPlan(now time.Duration, plan *slotPlan, v *view) {
	s.mu.Lock()
	var replies []slotReply
	for id, g := range s.groups {
		if next := plan.groups[id]; next == nil || !next.isLocal() {
			klog.InfoS("stops scheduling slots", "service", g.info.service, "group", id, "waiting", len(g.waiting))
			s.node.metrics.stateChange("stopped")
			replies = append(replies, g.refuseAll()...)
			delete(s.groups, id)
		}
	}
	for id, info := range plan.groups {
		if !info.isLocal() || s.closed {
			continue
		}
		g := s.groups[id]
		if g == nil {
			klog.InfoS("starts scheduling slots", "service", info.service, "group", id, "targets", len(info.targets))
			s.node.metrics.stateChange("started")
			g = &hostedGroup{group: slots.NewGroup(slots.Options{}), waiting: map[slots.AskID]waitingAsk{}}
			s.groups[id] = g
		}
		g.info = info
		replies = append(replies, g.replies(now, g.group.SetTargets(now, groupTargets(info, v)))...)
	}
	s.arm(now)
	s.mu.Unlock()
	s.send(replies)
}

// groupTargets returns the targets of a group that may get requests.
func groupTargets(info *slotGroup, v *view) []slots.Target {
	var targets []slots.Target
	for _, id := range info.targets {
		t := v.targets[id]
		if t == nil || t.GetLife() != schemav1.Life_LIFE_READY || slices.Contains(v.evacuated, t.GetDataCentre()) {
			continue
		}
		targets = append(targets, slots.Target{
			ID: id, StartedUnixMs: t.GetStartedUnixMs(), Slots: int(t.GetSlots()), Cold: t.GetCold(),
			ColdRate: groupColdRate(v.table.Configuration.Services[info.service].ColdRate),
		})
	}
	return targets
}

// groupColdRate returns the rate at which a scheduler sends requests to a cold target. While views differ, two hosts may schedule the same
// target, and together they must stay under 1.5 times the rate and 8 more requests. Hosts that select directly leave cold targets out.
func groupColdRate(rate float64) float64 { return min(rate, 0.75*rate+3) }

// receive handles the asks and releases of a datagram.
func (s *slotScheduler) receive(now time.Duration, origin slotOrigin, datagram *schemav1.SlotDatagram) {
	var replies []slotReply
	s.mu.Lock()
	// Releases first, because they make slots free.
	for _, m := range datagram.GetReleases() {
		if g := s.groups[m.GetGroup()]; g != nil {
			replies = append(replies, g.release(now, origin, m)...)
		}
	}
	for _, m := range datagram.GetAsks() {
		if g := s.groups[m.GetGroup()]; g != nil {
			replies = append(replies, g.ask(now, origin, m)...)
			continue
		}
		replies = append(replies, slotReply{to: origin, answer: slotAnswer{sequence: m.GetSequence(), kind: slotRefused, reason: slots.ReasonUnknownGroup}})
	}
	s.arm(now)
	s.mu.Unlock()
	s.send(replies)
}

// ask handles one ask.
func (g *hostedGroup) ask(now time.Duration, origin slotOrigin, m *schemav1.SlotAsk) []slotReply {
	g.sweep(now)
	id := slots.AskID{Start: origin.asker, Sequence: m.GetSequence()}
	_, repeated := g.waiting[id]
	if !repeated && len(g.waiting) >= maxWaitingAsks {
		state := g.group.State(now)
		return []slotReply{{to: origin, answer: slotAnswer{sequence: id.Sequence, kind: slotRefused, reason: slots.ReasonBusy, retryAfter: state.ExpectedWait, state: slotState(state)}}}
	}
	duration := func(ms uint32) time.Duration { return min(time.Duration(ms)*time.Millisecond, maxSlotDuration) }
	excluded := m.GetExcluded()
	ask := &slots.Ask{
		ID: id, Excluded: excluded[:min(len(excluded), maxExcluded)], Rank: int(m.GetRank()), ToObjective: duration(m.GetToObjectiveMs()), ToDeadline: duration(m.GetToDeadlineMs()),
		Duration: duration(m.GetDurationMs()), RoundTrip: duration(m.GetRoundTripMs()), OnlyFree: m.GetOnlyFree(),
	}
	expires := now + ask.ToDeadline + waitingAskMargin
	if origin.address.IsValid() {
		expires = min(expires, now+maxAskSilence)
	}
	g.waiting[id] = waitingAsk{origin: origin, expires: expires}
	replies := g.replies(now, g.group.Ask(now, ask))
	if !g.group.Waits(id) {
		// Decided on, or released before.
		delete(g.waiting, id)
	} else if origin.address.IsValid() {
		replies = append(replies, slotReply{to: origin, later: !repeated, answer: slotAnswer{sequence: id.Sequence, kind: slotQueued, state: slotState(g.group.State(now))}})
	}
	return replies
}

// release handles one release.
func (g *hostedGroup) release(now time.Duration, origin slotOrigin, m *schemav1.SlotRelease) []slotReply {
	id := slots.AskID{Start: origin.asker, Sequence: m.GetSequence()}
	delete(g.waiting, id)
	if m.GetTarget() == 0 {
		return g.replies(now, g.group.Cancel(now, id))
	}
	result := slots.Result{Target: m.GetTarget(), Outcome: dispatch.Outcome(m.GetOutcome()), Latency: min(time.Duration(m.GetLatencyMs())*time.Millisecond, maxSlotDuration)}
	if m.GetOutcome() > uint32(dispatch.OutcomeReplaced) {
		result.Outcome = 0
	}
	if load := m.GetLoad(); load != nil {
		result.Load = &dispatch.TargetLoad{
			Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()), Slowdown: float64(load.GetSlowdownPercent()) / 100,
		}
	}
	return g.replies(now, g.group.Release(now, id, result))
}

// replies returns the answers that tell the asking hosts of decisions.
func (g *hostedGroup) replies(now time.Duration, decisions []slots.Decision) []slotReply {
	var replies []slotReply
	// A turn for an ask that is not remembered any more is free again, and may be given to another one.
	for i := 0; i < len(decisions); i++ {
		d := decisions[i]
		w, ok := g.waiting[d.ID]
		if !ok {
			if d.Reason == slots.ReasonTurn {
				decisions = append(decisions[:len(decisions):len(decisions)], g.group.Release(now, d.ID, slots.Result{Target: d.Turn})...)
			}
			continue
		}
		delete(g.waiting, d.ID)
		answer := slotAnswer{sequence: d.ID.Sequence, kind: slotRefused, reason: d.Reason, retryAfter: d.RetryAfter}
		if d.Reason == slots.ReasonTurn {
			answer.kind, answer.target, answer.group = slotTurn, d.Turn, g.info.id
		}
		replies = append(replies, slotReply{to: w.origin, answer: answer})
	}
	if len(replies) > 0 {
		state := slotState(g.group.State(now))
		for i := range replies {
			replies[i].answer.state = state
		}
	}
	return replies
}

// refuseAll refuses the waiting asks because the group is not scheduled by this host any more.
func (g *hostedGroup) refuseAll() []slotReply {
	var replies []slotReply
	for id, w := range g.waiting {
		replies = append(replies, slotReply{to: w.origin, answer: slotAnswer{sequence: id.Sequence, kind: slotRefused, reason: slots.ReasonUnknownGroup}})
	}
	clear(g.waiting)
	return replies
}

// sweep forgets waiting asks whose deadline is long over.
func (g *hostedGroup) sweep(now time.Duration) {
	if now-g.swept < waitingAskMargin {
		return
	}
	g.swept = now
	for id, w := range g.waiting {
		if now > w.expires {
			delete(g.waiting, id)
		}
	}
}

// arm sets the timer to the next time at which a group has something to do. The caller must hold mu.
func (s *slotScheduler) arm(now time.Duration) {
	next := time.Duration(0)
	for _, g := range s.groups {
		if at, ok := g.group.NextAdvance(); ok && (next == 0 || at < next) {
			next = max(at, now+minAdvanceDelay)
		}
	}
	if s.closed || next == 0 || s.advanceAt != 0 && s.advanceAt <= next {
		// A timer that fires too early sets itself again.
		return
	}
	s.advanceAt = next
	if s.timer == nil {
		s.timer = time.AfterFunc(next-now, func() { guard.Do("advance slot scheduler", s.advance) })
		return
	}
	s.timer.Reset(next - now)
}

// advance lets the groups decide on what has changed with time.
func (s *slotScheduler) advance() {
	now := s.node.host.now()
	var replies []slotReply
	s.mu.Lock()
	s.advanceAt = 0
	for _, g := range s.groups {
		if at, ok := g.group.NextAdvance(); ok && at <= now {
			replies = append(replies, g.replies(now, g.group.Advance(now))...)
		}
		g.sweep(now)
	}
	s.arm(now)
	s.mu.Unlock()
	s.send(replies)
}

// close refuses all waiting asks and all later ones.
func (s *slotScheduler) close() {
	s.mu.Lock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	var replies []slotReply
	for _, g := range s.groups {
		replies = append(replies, g.refuseAll()...)
	}
	clear(s.groups)
	s.mu.Unlock()
	s.send(replies)
}

// send sends answers. The caller must not hold mu.
func (s *slotScheduler) send(replies []slotReply) {
	for _, r := range replies {
		if !r.to.address.IsValid() {
			s.node.asker.deliver(s.node.host.now(), netip.AddrPort{}, r.answer)
			continue
		}
		message := r.answer.message()
		if r.later {
			s.node.transport.sendLater(r.to, message, queuedDelay)
			continue
		}
		s.node.transport.send(r.to, message)
	}
}

// message encodes the answer.
func (a *slotAnswer) message() proto.Message {
	switch a.kind {
	case slotTurn:
		return &schemav1.SlotTurn{Sequence: a.sequence, Target: a.target, Group: a.group, State: a.state}
	case slotQueued:
		return &schemav1.SlotQueued{Sequence: a.sequence, State: a.state}
	default:
		return &schemav1.SlotRefusal{Sequence: a.sequence, Reason: schemav1.SlotRefusalReason(a.reason), RetryAfterMs: slotMilliseconds(a.retryAfter), State: a.state}
	}
}

// slotState encodes the state of a group.
func slotState(state slots.State) *schemav1.SlotGroupState {
	return &schemav1.SlotGroupState{
		Free: uint32(max(0, state.Free)), Waiting: uint32(max(0, state.Waiting)), WaitMs: slotMilliseconds(state.ExpectedWait),
	}
}
