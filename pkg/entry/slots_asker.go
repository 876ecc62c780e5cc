package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/slots"
)

const (
	// slotRepeatDelay and slotSilence are the times, beside the round trip, after which an ask without an answer is repeated, and after
	// which its scheduler counts as unreachable.
	slotRepeatDelay = 40 * time.Millisecond
	slotSilence     = 120 * time.Millisecond
	// slotPollInterval is how often an ask that waits is repeated. It finds out whether the scheduler still runs and whether the turn was lost.
	slotPollInterval = 100 * time.Millisecond
	// minSlotBackOff and maxSlotBackOff bound the time for which an unreachable scheduler is not asked; it doubles with each failure.
	minSlotBackOff = time.Second
	maxSlotBackOff = 8 * time.Second
	// unknownGroupBackOff is the time for which a host is not asked after it has refused an ask for a group that it does not schedule. Its
	// view, or the one of this host, is older than usual for about as long.
	unknownGroupBackOff = 250 * time.Millisecond
	// slotProbeInterval is the time between two asks to a scheduler that was unreachable, until one is answered.
	slotProbeInterval = 250 * time.Millisecond
	// slotStateAge is the time constant with which the state that a group has reported loses its weight. A host asks one group about
	// once a second.
	slotStateAge = time.Second
	// groupSpread and groupSpreadPercent are the difference in cost, as a constant and as a percentage of the usual wait, at which a group
	// is chosen e times less often. Hosts that all chose the group with the lowest wait would fill it before they learn of it.
	groupSpread        = 8 * time.Millisecond
	groupSpreadPercent = 30
	// stallTolerance is the lateness of a timer from which on this process has probably stood still, as under a limit of CPU time. Answers that
	// have arrived meanwhile are handled within stallGrace.
	stallTolerance, stallGrace = 3 * time.Millisecond, 15 * time.Millisecond
	// maxRoundTrip bounds measured round trips.
	maxRoundTrip = 200 * time.Millisecond
	// maxExcluded bounds the excluded targets in an ask. Groups have about 8 targets.
	maxExcluded = 64
)

// usualRoundTrips are the round trips to a scheduler before the first answer, by its distance.
var usualRoundTrips = [...]time.Duration{2 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond}

// slotAnswerKind is the kind of an answer to an ask.
type slotAnswerKind int

const (
	// slotSilent means that the scheduler has not answered.
	slotSilent slotAnswerKind = iota
	slotTurn
	slotRefused
	slotQueued
	// slotTimeOut means that the time of the request was over, slotCancelled that it is not needed any more.
	slotTimeOut
	slotCancelled
)

// slotAnswer is an answer to an ask.
type slotAnswer struct {
	sequence uint64
	kind     slotAnswerKind
	target   uint32
	// group is set for turns.
	group      uint32
	reason     slots.Reason
	retryAfter time.Duration
	state      *schemav1.SlotGroupState
}

// slotAsk is an ask that waits, or whose turn is in use.
type slotAsk struct {
	sequence uint64
	group    *slotGroup
	// answers gets the turn or the refusal, queued a signal when the scheduler has told that the ask waits.
	answers chan slotAnswer
	queued  chan struct{}
	// answered is set once answers has got its only element; turn is the target if it is a turn.
	answered bool
	turn     uint32
	sentAt   time.Duration
	repeated bool
}

// slotHostState is what is known of a host that schedules groups.
type slotHostState struct {
	roundTrip time.Duration
	// failures counts the periods without answer in a row. The host is not asked before blockedUntil, and then only once in a
	// slotProbeInterval until it answers.
	failures     int
	blockedUntil time.Duration
}

// slotGroupInfo is the last state that a group has reported.
type slotGroupInfo struct {
	wait  time.Duration
	at    time.Duration
	known bool
	// closed is the time until which the group is not asked because its host has refused an ask for it.
	closed time.Duration
}

// slotAsker asks schedulers for turns and releases these. It is safe for concurrent use.
type slotAsker struct {
	node *slotNode
	// start identifies the process of this host.
	start uint64
	// silence is slotSilence, except in tests.
	silence time.Duration

	mu       sync.Mutex
	plan     *slotPlan
	sequence uint64
	pending  map[uint64]*slotAsk
	// held has the asks whose turns are in use.
	held   map[*dispatch.Choice]*slotAsk
	hosts  map[string]*slotHostState
	groups map[uint32]*slotGroupInfo
}

func newSlotAsker(n *slotNode, start uint64) *slotAsker {
	return &slotAsker{
		node: n, start: start, silence: slotSilence, plan: &slotPlan{}, pending: map[uint64]*slotAsk{}, held: map[*dispatch.Choice]*slotAsk{},
		hosts: map[string]*slotHostState{}, groups: map[uint32]*slotGroupInfo{},
	}
}

// setPlan sets the groups, and forgets what is known of others.
func (s *slotAsker) setPlan(plan *slotPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	hosts, groups := map[string]*slotHostState{}, map[uint32]*slotGroupInfo{}
	for id, g := range plan.groups {
		hosts[g.host] = s.hostState(g)
		if known := s.groups[id]; known != nil {
			groups[id] = known
		}
	}
	s.hosts, s.groups = hosts, groups
}

// service returns the groups of a service, or nil if it is not scheduled.
func (s *slotAsker) service(name string) *slotService {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.services[name]
}

// hostState returns the state of the host of a group.
func (s *slotAsker) hostState(g *slotGroup) *slotHostState {
	state := s.hosts[g.host]
	if state == nil {
		state = &slotHostState{roundTrip: usualRoundTrips[s.node.host.distance(g.dataCentre)]}
		if g.isLocal() {
			state.roundTrip = 0
		}
		s.hosts[g.host] = state
	}
	return state
}

// groupInfo returns what is known of a group.
func (s *slotAsker) groupInfo(id uint32) *slotGroupInfo {
	info := s.groups[id]
	if info == nil {
		info = &slotGroupInfo{}
		s.groups[id] = info
	}
	return info
}

// isBlocked reports whether the group must not be asked now.
func (s *slotAsker) isBlocked(now time.Duration, g *slotGroup) bool {
	if info := s.groups[g.id]; info != nil && now < info.closed {
		return true
	}
	return now < s.hostState(g).blockedUntil
}

// choose chooses the group to ask for a request: rather one with a short expected wait and a low cost of distance. It returns nil if all
// are unreachable or excluded.
func (s *slotAsker) choose(now time.Duration, service *slotService, r *dispatch.Request, excluded []*slotGroup) *slotGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*slotGroup
	var typical, weights float64
	for _, g := range service.groups {
		if slices.Contains(excluded, g) || len(r.AllowedRegions) > 0 && !slices.Contains(r.AllowedRegions, g.region) || s.isBlocked(now, g) {
			continue
		}
		candidates = append(candidates, g)
		if info := s.groups[g.id]; info != nil && info.known {
			weight := math.Exp(-float64(now-info.at) / float64(slotStateAge))
			typical, weights = typical+weight*float64(info.wait), weights+weight
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	// The weight of 0.5 is that of an idle group, so that old reports alone show no wait.
	typical /= weights + 0.5
	spread := float64(groupSpread) + typical*groupSpreadPercent/100
	costs := make([]float64, len(candidates))
	for i, g := range candidates {
		wait := typical
		if info := s.groups[g.id]; info != nil && info.known {
			wait += (float64(info.wait) - typical) * math.Exp(-float64(now-info.at)/float64(slotStateAge))
		}
		costs[i] = wait + float64(s.node.host.options.Dispatch.DistanceCost(g.dataCentre, g.region, r.LargeResponse))
	}
	least, total := slices.Min(costs), 0.0
	for i, g := range candidates {
		costs[i] = float64(len(g.targets)) * math.Exp(-(costs[i]-least)/spread)
		total += costs[i]
	}
	chosen, draw := candidates[len(candidates)-1], rand.Float64()*total
	for i, g := range candidates {
		if draw -= costs[i]; draw < 0 {
			chosen = g
			break
		}
	}
	if state := s.hostState(chosen); state.failures > 0 {
		state.blockedUntil = now + slotProbeInterval
	}
	return chosen
}

// unreachable returns the IDs of the targets of the service that are in no group or in one that cannot be asked now.
func (s *slotAsker) unreachable(now time.Duration, service *slotService) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := map[string]bool{}
	for id := range service.ungrouped {
		targets[id] = true
	}
	for _, g := range service.groups {
		if s.isBlocked(now, g) {
			for _, id := range g.targets {
				targets[id] = true
			}
		}
	}
	return targets
}

// ask asks the scheduler of a group for a turn and waits for the answer. message returns the ask with the remaining times; its sequence and
// group are set here. A turn must be passed to hold or giveBack.
func (s *slotAsker) ask(ctx context.Context, g *slotGroup, deadline time.Duration, message func(roundTrip time.Duration) *schemav1.SlotAsk) (*slotAsk, slotAnswer) {
	h := s.node.host
	s.mu.Lock()
	s.sequence++
	a := &slotAsk{sequence: s.sequence, group: g, answers: make(chan slotAnswer, 1), queued: make(chan struct{}, 1), sentAt: h.now()}
	s.pending[a.sequence] = a
	roundTrip := s.hostState(g).roundTrip
	s.mu.Unlock()
	send := func() {
		m := message(roundTrip)
		m.Sequence, m.Group = a.sequence, g.id
		s.node.sendAsk(g, m)
	}
	send()
	// sentAt is the time from which an answer is expected, and repeatAt that of the next repetition.
	sentAt := a.sentAt
	repeatAt, silentAt := sentAt+slotRepeatDelay+roundTrip, sentAt+s.silence+roundTrip
	if g.isLocal() {
		repeatAt, silentAt = deadline, deadline
	}
	timer := time.NewTimer(max(0, min(repeatAt, silentAt, deadline)-sentAt))
	defer timer.Stop()
	stalled := false
	for {
		select {
		case answer := <-a.answers:
			return a, answer
		case <-a.queued:
			if g.isLocal() {
				continue
			}
			repeatAt = h.now() + slotPollInterval
			silentAt, stalled = repeatAt+s.silence+roundTrip, false
		case <-ctx.Done():
			return a, s.abandon(a, slotCancelled)
		case <-timer.C:
			now := h.now()
			switch due := min(repeatAt, silentAt); {
			case now >= deadline:
				return a, s.abandon(a, slotTimeOut)
			case now-due > stallTolerance && !stalled:
				stalled = true
				repeatAt, silentAt = max(repeatAt, now+stallGrace), max(silentAt, now+stallGrace)
			case now >= silentAt:
				s.recordSilence(now, g)
				return a, s.abandon(a, slotSilent)
			case now >= repeatAt:
				s.mu.Lock()
				a.repeated = true
				s.mu.Unlock()
				send()
				repeatAt = now + slotRepeatDelay + roundTrip
			}
		}
		timer.Reset(max(0, min(repeatAt, silentAt, deadline)-h.now()))
	}
}

// sendAsk sends an ask to the scheduler of a group.
func (n *slotNode) sendAsk(g *slotGroup, m *schemav1.SlotAsk) {
	if g.isLocal() {
		n.scheduler.receive(n.host.now(), slotOrigin{asker: n.asker.start}, &schemav1.SlotDatagram{Asks: []*schemav1.SlotAsk{m}})
		return
	}
	n.transport.send(slotOrigin{address: g.address, asker: n.asker.start}, m)
}

// sendRelease sends a release to the scheduler at an address; the address of this host is not valid.
func (n *slotNode) sendRelease(address netip.AddrPort, m *schemav1.SlotRelease) {
	if !address.IsValid() {
		n.scheduler.receive(n.host.now(), slotOrigin{asker: n.asker.start}, &schemav1.SlotDatagram{Releases: []*schemav1.SlotRelease{m}})
		return
	}
	n.transport.send(slotOrigin{address: address, asker: n.asker.start}, m)
}

// abandon ends the wait for an ask, and gives a turn back that has arrived in the meantime. It returns an answer of this kind.
func (s *slotAsker) abandon(a *slotAsk, kind slotAnswerKind) slotAnswer {
	s.mu.Lock()
	delete(s.pending, a.sequence)
	turn, answered := a.turn, a.answered
	s.mu.Unlock()
	if !answered || turn != 0 {
		s.node.sendRelease(a.group.address, &schemav1.SlotRelease{Sequence: a.sequence, Group: a.group.id, Target: turn})
	}
	return slotAnswer{sequence: a.sequence, kind: kind}
}

// giveBack releases a turn that was not used.
func (s *slotAsker) giveBack(a *slotAsk) { s.abandon(a, slotCancelled) }

// hold records that the turn of an ask is used by an attempt, until release is called for it.
func (s *slotAsker) hold(a *slotAsk, choice *dispatch.Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[choice] = a
}

// release releases the turn of an attempt that has ended, if it has one.
func (s *slotAsker) release(choice *dispatch.Choice, result dispatch.Result) {
	s.mu.Lock()
	a := s.held[choice]
	if a == nil {
		s.mu.Unlock()
		return
	}
	delete(s.held, choice)
	delete(s.pending, a.sequence)
	current := s.plan.groups[a.group.id]
	s.mu.Unlock()
	m := &schemav1.SlotRelease{
		Sequence: a.sequence, Group: a.group.id, Target: a.turn, Outcome: uint32(max(0, result.Outcome)), LatencyMs: slotMilliseconds(result.Latency),
	}
	if load := result.Report; load != nil {
		m.Load = &schemav1.SlotTargetLoad{
			Running: uint32(max(0, load.Running)), Waiting: uint32(max(0, load.Waiting)), Slots: uint32(max(0, load.Slots)),
			SlowdownPercent: uint32(min(max(0, load.Slowdown), maxReportedSlowdown) * 100),
		}
	}
	s.node.sendRelease(a.group.address, m)
	if current != nil && current.host != a.group.host {
		// The next scheduler learns from the result, too. It ignores the turn, which it did not give.
		s.node.sendRelease(current.address, m)
	}
}

// maxReportedSlowdown bounds the slowdown in a release. Schedulers bound it further.
const maxReportedSlowdown = 1000

// deliver handles an answer to an ask of this host. from is not valid if it is of the scheduler of this host.
func (s *slotAsker) deliver(now time.Duration, from netip.AddrPort, answer slotAnswer) {
	s.mu.Lock()
	a := s.pending[answer.sequence]
	if a == nil {
		s.mu.Unlock()
		if answer.kind == slotTurn {
			// The request has been sent elsewhere, or its caller has left.
			s.node.metrics.lateTurns.Inc(1)
			s.node.sendRelease(from, &schemav1.SlotRelease{Sequence: answer.sequence, Group: answer.group, Target: answer.target})
		}
		return
	}
	defer s.mu.Unlock()
	if a.answered {
		// A repeated answer.
		return
	}
	s.recordAnswer(now, a, answer)
	if answer.kind == slotQueued {
		select {
		case a.queued <- struct{}{}:
		default:
		}
		return
	}
	a.answered, a.turn = true, answer.target
	if answer.kind != slotTurn {
		delete(s.pending, a.sequence)
	}
	a.answers <- answer
}

// recordAnswer learns from an answer about the host and the group. The caller must hold mu.
func (s *slotAsker) recordAnswer(now time.Duration, a *slotAsk, answer slotAnswer) {
	host := s.hostState(a.group)
	if host.failures > 0 {
		klog.InfoS("slot scheduler reachable again", "scheduler", a.group.host, "group", a.group.id, "failures", host.failures)
		s.node.metrics.stateChange("reachable")
		host.failures, host.blockedUntil = 0, 0
	}
	sample := now - a.sentAt
	switch {
	case a.group.isLocal() || a.repeated:
	case sample < host.roundTrip:
		host.roundTrip = max(0, sample)
	case sample < 3*host.roundTrip+5*time.Millisecond:
		// Longer times contain a wait in the queue.
		host.roundTrip = min(host.roundTrip+(sample-host.roundTrip)/64, maxRoundTrip)
	}
	info := s.groupInfo(a.group.id)
	if answer.reason == slots.ReasonUnknownGroup {
		info.closed = now + unknownGroupBackOff
		return
	}
	if answer.state != nil {
		info.wait = time.Duration(answer.state.GetWaitMs()) * time.Millisecond
		info.at, info.known = now, true
	}
}

// recordSilence records that the scheduler of a group has not answered. Asks that were sent before it was blocked do not count again.
func (s *slotAsker) recordSilence(now time.Duration, g *slotGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.hostState(g)
	if host.failures > 0 && now < host.blockedUntil-slotProbeInterval {
		return
	}
	host.failures++
	backOff := min(minSlotBackOff<<min(host.failures-1, 8), maxSlotBackOff)
	host.blockedUntil = now + backOff
	if host.failures == 1 {
		klog.InfoS("slot scheduler unreachable", "scheduler", g.host, "group", g.id, "service", g.service, "backOff", backOff)
		s.node.metrics.stateChange("unreachable")
	}
}

// slotMilliseconds converts a duration for a message, rounded up and at least 0.
func slotMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, (d+time.Millisecond-1)/time.Millisecond), math.MaxInt32))
}
