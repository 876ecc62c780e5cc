package grants

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Timing of grants.
const (
	// Validity outlasts an election and a renewal that fails once, and is short enough that the keys of a lost target are
	// served again within seconds.
	Validity = 3 * time.Second
	// renewEvery gives a renewal two further tries before the hold ends.
	renewEvery = Validity / 3
	// clockError is by how much a target's clock may run slow.
	clockError = 0.02
	// margin covers the way of a call that was given up, whose bytes may still arrive.
	margin = 500 * time.Millisecond
	// callTimeout bounds a grant; it is over the round trip between regions with one retransmission.
	callTimeout = 600 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the work on the keys has ended.
	releaseTimeout = 2500 * time.Millisecond
	// retryPause is the time between tries of a grant that failed.
	retryPause = 150 * time.Millisecond
	// tryFor is how long a renewal is tried again before the keys of a silent owner are left to expire.
	tryFor = 700 * time.Millisecond
	// settle is how long the registrations of a service must have been unchanged before its keys are first divided.
	settle = 800 * time.Millisecond
	// rebalancePause is the time between moves of balance.
	rebalancePause = 700 * time.Millisecond
	// silentPause is how long a target that left its calls unanswered gets no keys. It may be down without having said so.
	silentPause = 10 * time.Second
	// joinPause is how long a target must have been known and warm before it gets keys from others.
	joinPause = time.Second
)

// certain is the time after the end of a call at which the grant that it may have given is over.
const certain = Validity + time.Duration(float64(Validity)*clockError) + margin

// Manager keeps the grants of all exclusive services while its host leads. Step is called from one goroutine.
type Manager struct {
	state   *registry.State
	log     Proposer
	granter Granter
	clock   func() time.Duration
	tasks   sync.WaitGroup

	mu    sync.Mutex
	holds map[holdKey]*hold
	// seen is when each target was first seen fit to own keys.
	seen      map[string]time.Duration
	changedAt map[string]time.Duration
	members   map[string]int
	movedAt   map[string]time.Duration
	// shiftedAt is when an owner last lost or got keys because of its time to answer.
	shiftedAt map[string]time.Duration
	// pending has the chosen owners of ranges whose choice is not committed yet.
	pending map[holdKey]string
	// heat has the rates of requests by service.
	heat map[string]*ServiceLoad
	// silentUntil is until when a target gets no keys because it left calls unanswered.
	silentUntil map[string]time.Duration
}

type holdKey struct {
	service string
	first   uint32
}

// hold is what the leader knows of one grant.
type hold struct {
	fence uint64
	busy  bool
	// next is when the next call is due, end when the grant is certainly over.
	next, end time.Duration
	// unsure is until when a grant that got no answer may still be carried out: targets may do so seconds later, also after
	// a release, but a grant's time counts from its arrival.
	unsure   time.Duration
	handover string
	// released is set when the owner has given the keys back.
	released bool
	// failing is set after a failed call until one succeeds.
	failing      bool
	failingSince time.Duration
	// unused is set while no call has carried the fence to any process.
	unused bool
}

// New returns a keeper for a host that has just become the leader. The last leader may have renewed every grant just
// before, so each is taken as held for a full time from now.
func New(state *registry.State, log Proposer, granter Granter, clock func() time.Duration) *Manager {
	return &Manager{
		state: state, log: log, granter: granter, clock: clock, holds: map[holdKey]*hold{}, seen: map[string]time.Duration{},
		changedAt: map[string]time.Duration{}, members: map[string]int{}, movedAt: map[string]time.Duration{},
		silentUntil: map[string]time.Duration{}, pending: map[holdKey]string{}, heat: map[string]*ServiceLoad{},
		shiftedAt: map[string]time.Duration{},
	}
}

// Wait returns when all calls have ended. ctx of Step must have ended.
func (k *Manager) Wait() { k.tasks.Wait() }

// Step starts the calls that are due. services are those of the configuration in force.
func (k *Manager) Step(ctx context.Context, services map[string]routes.Service) {
	if !k.log.HoldsLeaderLease() {
		return
	}
	byService := map[string][]*schemav1.Registration{}
	targets := k.state.Targets()
	k.forgetEnded(targets)
	for _, target := range targets {
		byService[target.GetService()] = append(byService[target.GetService()], target)
	}
	for name, service := range services {
		if !service.Exclusive {
			continue
		}
		candidates := k.candidates(name, byService[name])
		table := k.state.Keys(name)
		if table == nil {
			k.first(ctx, name, candidates)
			continue
		}
		for _, r := range table.GetRanges() {
			k.stepRange(ctx, table, r, candidates)
		}
		if !k.spread(ctx, table, candidates) {
			k.rebalance(ctx, table, candidates)
		}
	}
}

// keptEnded is the number of ended targets that may be remembered, so that they are not looked for in each step.
const keptEnded = 256

// forgetEnded drops what is remembered of targets that have ended.
func (k *Manager) forgetEnded(targets []*schemav1.Registration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if max(len(k.seen), len(k.silentUntil), len(k.shiftedAt)) <= len(targets)+keptEnded {
		return
	}
	live := map[string]bool{}
	for _, target := range targets {
		live[target.GetId()] = true
	}
	ended := func(id string, _ time.Duration) bool { return !live[id] }
	maps.DeleteFunc(k.seen, ended)
	maps.DeleteFunc(k.silentUntil, ended)
	maps.DeleteFunc(k.shiftedAt, ended)
}

// candidates are the ready targets of a service. Those that are cold or new are unfit.
func (k *Manager) candidates(service string, targets []*schemav1.Registration) []Candidate {
	now := k.clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	var candidates []Candidate
	for _, target := range targets {
		if target.GetLife() != schemav1.Life_LIFE_READY || k.state.IsEvacuated(target.GetDataCentre()) {
			delete(k.seen, target.GetId())
			continue
		}
		since, ok := k.seen[target.GetId()]
		if !ok || target.GetCold() {
			since = now
			k.seen[target.GetId()] = now
		}
		candidates = append(candidates, Candidate{Registration: target, LastResort: target.GetCold() || now-since < joinPause || now < k.silentUntil[target.GetId()]})
	}
	if k.members[service] != len(candidates) {
		k.members[service], k.changedAt[service] = len(candidates), now
	}
	return candidates
}

func (k *Manager) first(ctx context.Context, service string, candidates []Candidate) {
	k.mu.Lock()
	settled := k.clock()-k.changedAt[service] >= settle
	k.mu.Unlock()
	if len(candidates) == 0 || !settled {
		return
	}
	owners := make([]*schemav1.Registration, 0, len(candidates))
	for _, c := range candidates {
		owners = append(owners, c.Registration)
	}
	command := &schemav1.RegistryCommand{Keys: &schemav1.KeyTable{Service: service, Ranges: InitialRanges(owners)}}
	if _, err := k.log.Propose(ctx, command); err != nil {
		klog.ErrorS(err, "first key ranges not decided", "service", service)
		return
	}
	klog.InfoS("key ranges divided", "service", service, "owners", len(owners))
}

// claim returns the hold of a range, marked as busy, unless it is busy already or, with dueOnly, no call is due.
func (k *Manager) claim(service string, r *schemav1.KeyRange, dueOnly bool) *hold {
	now := k.clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	key := holdKey{service, r.GetFirst()}
	h, ok := k.holds[key]
	if !ok {
		h = &hold{fence: r.GetFence(), end: now + certain, unsure: now + certain, next: now}
		k.holds[key] = h
	}
	if r.GetFence() < h.fence {
		// The table was read before the last change of this range.
		return nil
	}
	if r.GetFence() > h.fence {
		// Another leader committed the fence and may have granted keys under it.
		*h = hold{fence: r.GetFence(), end: now + certain, unsure: now + certain, next: now, busy: h.busy}
	}
	if h.busy || (dueOnly && now < h.next) {
		return nil
	}
	h.busy = true
	return h
}

func (k *Manager) done(h *hold, pause time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.busy = false
	h.next = k.clock() + pause
}

func (k *Manager) stepRange(ctx context.Context, table *schemav1.KeyTable, r *schemav1.KeyRange, candidates []Candidate) {
	h := k.claim(table.GetService(), r, true)
	if h == nil {
		return
	}
	k.tasks.Go(func() { k.done(h, k.act(ctx, table, r, h, candidates)) })
}

// act makes the one call that a range needs now, and returns the time until the next.
func (k *Manager) act(ctx context.Context, table *schemav1.KeyTable, r *schemav1.KeyRange, h *hold, candidates []Candidate) time.Duration {
	service := table.GetService()
	owner, _ := k.state.Target(r.GetOwner())
	current := owner != nil && owner.GetLife() != schemav1.Life_LIFE_GONE && owner.GetStartedUnixMs() == r.GetOwnerStartedUnixMs()
	restarted := owner != nil && owner.GetStartedUnixMs() > r.GetOwnerStartedUnixMs()
	fit := current && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.GetId() == r.GetOwner() })
	now := k.clock()
	switch {
	case r.GetOwner() == "":
		return k.assign(ctx, service, r, table, candidates, "", "owner missing")
	case restarted:
		// The start that held the keys is over.
		return k.assign(ctx, service, r, table, candidates, "", "owner restarted")
	case r.GetState() == schemav1.RangeState_RANGE_STATE_RELEASING, !fit && current:
		return k.release(ctx, service, r, h, table, candidates, owner)
	case !current:
		// An ended target may work for a while yet, and holds its keys as long.
		if now >= h.end {
			return k.assign(ctx, service, r, table, candidates, "", "owner ended")
		}
		if owner != nil {
			return k.release(ctx, service, r, h, table, candidates, owner)
		}
		return retryPause
	default:
		return k.renew(ctx, service, r, h, table, candidates, owner)
	}
}

func (k *Manager) call(owner *schemav1.Registration, r *schemav1.KeyRange) *Grant {
	return &Grant{
		Address: owner.GetAddress(), Target: owner.GetId(), First: r.GetFirst(), Last: r.GetLast(), Fence: r.GetFence(), Validity: Validity,
	}
}

func (k *Manager) renew(
	ctx context.Context, service string, r *schemav1.KeyRange, h *hold, table *schemav1.KeyTable, candidates []Candidate,
	owner *schemav1.Registration,
) time.Duration {
	if h.failing && k.clock()-h.failingSince >= tryFor && Owner(table.GetRanges(), candidates, r.GetOwner(), nil) != nil {
		// Each further call could extend the hold, and so put off the time at which the keys can move.
		if k.clock() < h.end {
			return min(retryPause, h.end-k.clock())
		}
		k.distrust(r.GetOwner())
		return k.assign(ctx, service, r, table, candidates, r.GetOwner(), "owner silent until its hold ended")
	}
	g := k.call(owner, r)
	g.Handover, g.Renewal = h.handover, !h.unused
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !k.log.HoldsLeaderLease() {
		return retryPause
	}
	err := k.granter.Grant(callCtx, g)
	if errors.Is(err, ErrConnectionClosed) {
		return k.refence(ctx, service, r, h)
	}
	h.unused = h.unused && err != nil && neverArrived(err)
	if err == nil {
		h.end, h.failing, h.handover = k.clock()+certain, false, ""
		if r.GetState() != schemav1.RangeState_RANGE_STATE_GRANTING {
			return renewEvery
		}
		k.setState(ctx, service, r, schemav1.RangeState_RANGE_STATE_ACTIVE)
		return renewEvery / 2
	}
	klog.InfoS("grant failed", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "fence", r.GetFence(),
		"target", r.GetOwner(), "err", err)
	if isFenced(err) {
		return k.assign(ctx, service, r, table, candidates, "", "higher fence known to the target")
	}
	if !neverArrived(err) {
		// The call may have arrived, at the latest now, and may be carried out later: its time counts from its arrival.
		h.unsure = k.clock() + certain
		h.end = max(h.end, h.unsure)
	}
	if !h.failing {
		h.failing, h.failingSince = true, k.clock()
	} else {
		k.distrust(r.GetOwner())
	}
	return retryPause
}

// refence raises the fence of a range that stays with its owner. What the owner holds under the old fence stays held.
func (k *Manager) refence(ctx context.Context, service string, r *schemav1.KeyRange, h *hold) time.Duration {
	change := &schemav1.RangeChange{Service: service, ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
		First: r.GetFirst(), Last: r.GetLast(), Owner: r.GetOwner(), OwnerStartedUnixMs: r.GetOwnerStartedUnixMs(), State: r.GetState(),
	}}
	result, err := k.log.Propose(ctx, &schemav1.RegistryCommand{Range: change})
	klog.V(1).InfoS("fence raised for a new connection", "service", service, "first", r.GetFirst(), "target", r.GetOwner(),
		"fence", result.GetFence(), "applied", result.GetApplied(), "err", err)
	if err != nil || !result.GetApplied() {
		return retryPause
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h.fence, h.unused = result.GetFence(), true
	return 0
}

// distrust keeps keys away from a target that is registered but does not answer.
func (k *Manager) distrust(target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silentUntil[target] = k.clock() + silentPause
}

// release takes keys back from an owner that is to lose them.
func (k *Manager) release(
	ctx context.Context, service string, r *schemav1.KeyRange, h *hold, table *schemav1.KeyTable, candidates []Candidate,
	owner *schemav1.Registration,
) time.Duration {
	if k.clock() >= h.end {
		return k.assign(ctx, service, r, table, candidates, r.GetOwner(), "hold ended")
	}
	if next := Owner(table.GetRanges(), candidates, r.GetOwner(), nil); next == nil {
		return retryPause
	}
	if h.released {
		if wait := h.unsure - k.clock(); wait > 0 {
			return min(wait, retryPause)
		}
		return k.assign(ctx, service, r, table, candidates, r.GetOwner(), "released")
	}
	if h.unused {
		// The owner holds the keys under an older fence, if at all, so that this one would not release them for certain.
		return min(retryPause, h.end-k.clock())
	}
	callCtx, cancel := context.WithTimeout(ctx, min(releaseTimeout, h.end-k.clock()))
	defer cancel()
	handover, err := k.granter.Release(callCtx, k.call(owner, r))
	if err != nil {
		klog.InfoS("release failed", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "fence", r.GetFence(),
			"target", r.GetOwner(), "err", err)
		return retryPause
	}
	k.mu.Lock()
	h.handover, h.released = handover, true
	k.mu.Unlock()
	if h.unsure > k.clock() {
		return retryPause
	}
	return k.assign(ctx, service, r, table, candidates, r.GetOwner(), "released")
}

// assign commits the next owner of a range that nobody holds any more.
func (k *Manager) assign(
	ctx context.Context, service string, r *schemav1.KeyRange, table *schemav1.KeyTable, candidates []Candidate, avoid, reason string,
) time.Duration {
	if current := k.state.Keys(service); current != nil {
		table = current
	}
	key := holdKey{service, r.GetFirst()}
	next := k.plan(key, table, candidates, avoid)
	if next == nil {
		return retryPause
	}
	defer k.planned(key)
	change := &schemav1.RangeChange{Service: service, ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
		First: r.GetFirst(), Last: r.GetLast(), Owner: next.GetId(), OwnerStartedUnixMs: next.GetStartedUnixMs(),
		State: schemav1.RangeState_RANGE_STATE_GRANTING,
	}}
	result, err := k.log.Propose(ctx, &schemav1.RegistryCommand{Range: change})
	if err != nil {
		klog.ErrorS(err, "key range not moved", "service", service, "first", r.GetFirst())
		return retryPause
	}
	klog.InfoS("key range assigned", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "from", r.GetOwner(),
		"to", next.GetId(), "fence", result.GetFence(), "applied", result.GetApplied(), "reason", reason)
	if result.GetApplied() {
		k.mu.Lock()
		defer k.mu.Unlock()
		h := k.holds[key]
		h.fence, h.unused, h.failing, h.released, h.unsure, h.end = result.GetFence(), true, false, false, 0, k.clock()
	}
	return 0
}

// plan chooses the next owner of a range, taking into account the choices for other ranges that are not committed yet.
// Otherwise all ranges of a lost owner would go to the same target.
func (k *Manager) plan(key holdKey, table *schemav1.KeyTable, candidates []Candidate, avoid string) *schemav1.Registration {
	k.mu.Lock()
	defer k.mu.Unlock()
	ranges := slices.Clone(table.GetRanges())
	for i, r := range ranges {
		if owner, ok := k.pending[holdKey{key.service, r.GetFirst()}]; ok {
			ranges[i] = &schemav1.KeyRange{First: r.GetFirst(), Last: r.GetLast(), Owner: owner}
		}
	}
	next := Owner(ranges, candidates, avoid, k.heat[key.service])
	if next != nil {
		k.pending[key] = next.GetId()
		k.shiftedAt[next.GetId()] = k.clock()
	}
	return next
}

func (k *Manager) planned(key holdKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, key)
}

func (k *Manager) setState(ctx context.Context, service string, r *schemav1.KeyRange, state schemav1.RangeState) {
	change := &schemav1.RangeChange{Service: service, ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
		First: r.GetFirst(), Last: r.GetLast(), Owner: r.GetOwner(), OwnerStartedUnixMs: r.GetOwnerStartedUnixMs(),
		Fence: r.GetFence(), State: state,
	}}
	if _, err := k.log.Propose(ctx, &schemav1.RegistryCommand{Range: change}); err != nil {
		klog.ErrorS(err, "state of a key range not committed", "service", service, "first", r.GetFirst(), "state", state)
	}
}
