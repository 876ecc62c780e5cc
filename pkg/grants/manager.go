package grants

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Timing of grants.
const (
	// Validity is the time for which a target may serve keys after it receives a grant or renewal. It is longer than a leader
	// election plus one failed renewal, and short enough that the keys of a lost target are served again within seconds.
	Validity = 3 * time.Second
	// renewInterval is the time between renewals of a grant. It allows two more attempts before the grant expires.
	renewInterval = Validity / 3
	// maxClockError is the fraction by which a target's clock may run slow.
	maxClockError = 0.02
	// deliveryMargin is the time in which the bytes of an abandoned call may still arrive at the target.
	deliveryMargin = 500 * time.Millisecond
	// grantTimeout is the timeout of a grant call. It is longer than a round trip between regions with one retransmission.
	grantTimeout = 600 * time.Millisecond
	// releaseTimeout is the timeout of a release call. Targets respond to it only when their work on the keys has ended.
	releaseTimeout = 2500 * time.Millisecond
	// retryInterval is the time until the next attempt after a failed call, or until the next check of a range that cannot make
	// progress yet.
	retryInterval = 150 * time.Millisecond
	// renewRetryPeriod is how long failed renewals are retried. After that the grant of an unresponsive owner is left to expire.
	renewRetryPeriod = 700 * time.Millisecond
	// settlePeriod is how long the number of candidates of a service must be unchanged before its keys are first assigned.
	settlePeriod = 800 * time.Millisecond
	// rebalanceInterval is the minimum time between moves that even out the number of keys per owner, per service.
	rebalanceInterval = 700 * time.Millisecond
	// unresponsivePeriod is how long a target that did not respond to calls gets no keys. It may be down without having announced it.
	unresponsivePeriod = 10 * time.Second
	// ownersPerAction is the number of owners for each of which one split or move for load may begin in each step. A step takes 0.1 s and each
	// action about one commit, and keys that become busy among hundreds of owners need tens of actions within a second or two.
	ownersPerAction = 32
	// minReadyTime is how long a target must have been registered, ready and warm before it gets keys from other targets.
	minReadyTime = time.Second
)

// maxGrantAge is the time after the end of a grant call from which on the grant has certainly expired at the target.
const maxGrantAge = Validity + time.Duration(float64(Validity)*maxClockError) + deliveryMargin

// Manager assigns the key ranges of all exclusive services to targets, renews the grants and moves ranges, while its host is the
// leader of the registry. Step must be called from one goroutine.
type Manager struct {
	state    *registry.State
	proposer Proposer
	granter  Granter
	clock    func() time.Duration
	tasks    sync.WaitGroup
	// Term is the term of the leader, for log lines. It must be set before the first Step.
	Term uint64

	// mu guards the fields below.
	mu      sync.Mutex
	records map[rangeID]*grantRecord
	// readySince is the time since which each target has been registered, ready and warm, by target.
	readySince map[string]time.Duration
	// candidatesChangedAt is when candidateCounts last changed, by service.
	candidatesChangedAt map[string]time.Duration
	// candidateCounts is the number of candidates, by service.
	candidateCounts map[string]int
	// rebalancedAt is when a range was last moved to even out the number of keys, by service.
	rebalancedAt map[string]time.Duration
	// loadMovedAt is when a target last was assigned a range, or began to give one up because it responds slowly, by target.
	loadMovedAt map[string]time.Duration
	// plannedOwners has the next owners of ranges that were chosen but are not committed yet.
	plannedOwners map[rangeID]string
	// load has the request rates and the latencies of responses, by service.
	load map[string]*ServiceLoad
	// unresponsiveUntil is the time until which a target gets no keys because it did not respond to calls, by target.
	unresponsiveUntil map[string]time.Duration
}

// rangeID identifies a key range by its service and first key.
type rangeID struct {
	service string
	first   uint32
}

// New returns a manager for a host that has just become the leader. The previous leader may have renewed every grant just
// before, so each grant is assumed to be valid for its full time from now. clock returns the time since a fixed point.
func New(state *registry.State, proposer Proposer, granter Granter, clock func() time.Duration) *Manager {
	return &Manager{
		state: state, proposer: proposer, granter: granter, clock: clock, records: map[rangeID]*grantRecord{},
		readySince:          map[string]time.Duration{},
		candidatesChangedAt: map[string]time.Duration{}, candidateCounts: map[string]int{}, rebalancedAt: map[string]time.Duration{},
		unresponsiveUntil: map[string]time.Duration{}, plannedOwners: map[rangeID]string{}, load: map[string]*ServiceLoad{},
		loadMovedAt: map[string]time.Duration{},
	}
}

// Wait returns when all calls have ended. The context that was passed to Step must have been cancelled.
func (m *Manager) Wait() { m.tasks.Wait() }

// Step starts the calls to targets and the moves of ranges that are due. services are those of the configuration in force.
func (m *Manager) Step(ctx context.Context, services map[string]routes.Service) {
	if !m.proposer.HoldsLeaderLease() {
		return
	}
	byService := map[string][]*schemav1.Registration{}
	targets := m.state.Targets()
	m.forgetEnded(targets)
	for _, target := range targets {
		byService[target.GetService()] = append(byService[target.GetService()], target)
	}
	for name, service := range services {
		if !service.Exclusive {
			continue
		}
		candidates := m.candidates(name, byService[name])
		table := m.state.Keys(name)
		if table == nil {
			m.assignInitialRanges(ctx, name, candidates)
			continue
		}
		for _, r := range table.GetRanges() {
			m.stepRange(ctx, table, r, candidates)
		}
		if !m.rebalanceLoads(ctx, table, candidates) {
			m.rebalanceKeyCount(ctx, table, candidates)
		}
	}
}

// rebalanceLoads takes load from hot and slow owners, with one action for each ownersPerAction candidates. It returns false if none was needed.
func (m *Manager) rebalanceLoads(ctx context.Context, table *schemav1.KeyTable, candidates []Candidate) bool {
	service, acted := table.GetService(), false
	for range max(1, len(candidates)/ownersPerAction) {
		if !m.rebalanceLoad(ctx, table, candidates) {
			return acted
		}
		acted = true
		// The next action follows from what this one has changed.
		if table = m.state.Keys(service); table == nil {
			break
		}
	}
	return acted
}

// maxEndedKept is the number of ended targets that may be remembered before they are removed, so that not every step searches for them.
const maxEndedKept = 256

// forgetEnded deletes what is remembered of ended targets once there are more than maxEndedKept.
func (m *Manager) forgetEnded(targets []*schemav1.Registration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if max(len(m.readySince), len(m.unresponsiveUntil), len(m.loadMovedAt)) <= len(targets)+maxEndedKept {
		return
	}
	live := map[string]bool{}
	for _, target := range targets {
		live[target.GetId()] = true
	}
	ended := func(id string, _ time.Duration) bool { return !live[id] }
	maps.DeleteFunc(m.readySince, ended)
	maps.DeleteFunc(m.unresponsiveUntil, ended)
	maps.DeleteFunc(m.loadMovedAt, ended)
}

// candidates returns the ready targets of a service outside evacuated data centres. Targets that are cold, new or unresponsive are
// marked as a last resort.
func (m *Manager) candidates(service string, targets []*schemav1.Registration) []Candidate {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []Candidate
	for _, target := range targets {
		if target.GetLife() != schemav1.Life_LIFE_READY || m.state.IsEvacuated(target.GetDataCentre()) {
			delete(m.readySince, target.GetId())
			continue
		}
		since, ok := m.readySince[target.GetId()]
		if !ok || target.GetCold() {
			since = now
			m.readySince[target.GetId()] = now
		}
		candidates = append(candidates, Candidate{
			Registration: target,
			LastResort:   target.GetCold() || now-since < minReadyTime || now < m.unresponsiveUntil[target.GetId()],
		})
	}
	if m.candidateCounts[service] != len(candidates) {
		m.candidateCounts[service], m.candidatesChangedAt[service] = len(candidates), now
	}
	return candidates
}

// assignInitialRanges commits the first key table of a service.
func (m *Manager) assignInitialRanges(ctx context.Context, service string, candidates []Candidate) {
	m.mu.Lock()
	settled := m.clock()-m.candidatesChangedAt[service] >= settlePeriod
	m.mu.Unlock()
	if len(candidates) == 0 || !settled {
		return
	}
	owners := make([]*schemav1.Registration, 0, len(candidates))
	for _, c := range candidates {
		owners = append(owners, c.Registration)
	}
	command := &schemav1.RegistryCommand{Keys: &schemav1.KeyTable{Service: service, Ranges: InitialRanges(owners)}}
	if _, err := m.proposer.Propose(ctx, command); err != nil {
		klog.ErrorS(err, "initial key ranges not committed", "service", service)
		return
	}
	klog.InfoS("initial key ranges committed", "service", service, "owners", len(owners))
}

// beginCall returns the record of a range and marks it as having a call in progress. It returns nil if there already is a call in
// progress, if r is outdated, or, with dueOnly, if no call is due yet. endCall must be called for a returned record.
func (m *Manager) beginCall(service string, r *schemav1.KeyRange, dueOnly bool) *grantRecord {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	key := rangeID{service, r.GetFirst()}
	record, ok := m.records[key]
	if !ok {
		inherited := inheritedRecord(r.GetFence(), now)
		record = &inherited
		m.records[key] = record
	}
	if record.callInProgress || r.GetFence() < record.fence {
		// A call in progress records its result under the fence with which it began. With a lower fence, the table was read before the
		// latest change of this range.
		return nil
	}
	if r.GetFence() > record.fence {
		// Another leader committed this fence and may have granted keys with it.
		*record = inheritedRecord(r.GetFence(), now)
	}
	if dueOnly && now < record.nextCallAt {
		return nil
	}
	record.callInProgress = true
	return record
}

// endCall ends the call of a record; the next call is due after pause.
func (m *Manager) endCall(record *grantRecord, pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record.ended(m.clock(), pause)
}

// stepRange starts the call for a range if one is due.
func (m *Manager) stepRange(ctx context.Context, table *schemav1.KeyTable, r *schemav1.KeyRange, candidates []Candidate) {
	record := m.beginCall(table.GetService(), r, true)
	if record == nil {
		return
	}
	m.tasks.Go(func() {
		pause := retryInterval
		defer func() { m.endCall(record, pause) }()
		guard.Do("key range", func() { pause = m.processRange(ctx, table, r, record, candidates) })
	})
}

// processRange makes the call or proposal that a range needs now, and returns the time until the next one.
func (m *Manager) processRange(
	ctx context.Context, table *schemav1.KeyTable, r *schemav1.KeyRange, record *grantRecord, candidates []Candidate,
) time.Duration {
	service := table.GetService()
	owner, _ := m.state.Target(r.GetOwner())
	current := owner != nil && owner.GetLife() != schemav1.Life_LIFE_GONE && owner.GetStartedUnixMs() == r.GetOwnerStartedUnixMs()
	restarted := owner != nil && owner.GetStartedUnixMs() > r.GetOwnerStartedUnixMs()
	now := m.clock()
	switch {
	case r.GetOwner() == "":
		return m.assign(ctx, service, r, table, candidates, "", "owner missing")
	case restarted:
		return m.reassignRestarted(ctx, service, r, record, table, candidates, owner)
	case r.GetState() == schemav1.RangeState_RANGE_STATE_RELEASING && current && isCandidate(candidates, r.GetOwner()) &&
		Owner(table.GetRanges(), candidates, r.GetOwner(), nil) == nil:
		// All targets to which the keys could have moved are gone.
		return m.changeRange(ctx, service, r, record, r.GetOwnerStartedUnixMs(), schemav1.RangeState_RANGE_STATE_GRANTING, "no other candidate")
	case r.GetState() == schemav1.RangeState_RANGE_STATE_RELEASING, current && !isCandidate(candidates, r.GetOwner()):
		return m.release(ctx, service, r, record, table, candidates, owner)
	case !current:
		// The process of a target that was marked as gone may keep running for a while, and holds its keys until the grant expires.
		if record.isExpired(now) {
			return m.assign(ctx, service, r, table, candidates, "", "owner ended")
		}
		if owner != nil {
			return m.release(ctx, service, r, record, table, candidates, owner)
		}
		return retryInterval
	default:
		return m.renew(ctx, service, r, record, table, candidates, owner)
	}
}

// isCandidate reports whether a target is among the candidates.
func isCandidate(candidates []Candidate, target string) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return c.GetId() == target })
}

// newGrant returns the grant of a range for a call to its owner.
func (m *Manager) newGrant(owner *schemav1.Registration, r *schemav1.KeyRange) *Grant {
	return &Grant{
		Address: owner.GetAddress(), Target: owner.GetId(), First: r.GetFirst(), Last: r.GetLast(), Fence: r.GetFence(), Validity: Validity,
	}
}

// renew grants a range to its owner for the first time or renews the grant. It assigns the range to another target if the owner
// has not responded until its grant expired, and raises the fence if the owner knows a higher one.
func (m *Manager) renew(
	ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, table *schemav1.KeyTable, candidates []Candidate,
	owner *schemav1.Registration,
) time.Duration {
	if record.failing && m.clock()-record.failingSince >= renewRetryPeriod &&
		Owner(table.GetRanges(), candidates, r.GetOwner(), nil) != nil {
		// Each further call could extend the grant, and so delay the time at which the keys can move.
		if now := m.clock(); !record.isExpired(now) {
			return min(retryInterval, record.expiresAt-now)
		}
		m.markUnresponsive(r.GetOwner())
		return m.assign(ctx, service, r, table, candidates, r.GetOwner(), "owner unresponsive until its grant expired")
	}
	if pause, confirmed := m.grant(ctx, service, r, record, owner); !confirmed {
		return pause
	}
	if r.GetState() != schemav1.RangeState_RANGE_STATE_GRANTING {
		return renewInterval
	}
	m.proposeRangeState(ctx, service, r, schemav1.RangeState_RANGE_STATE_ACTIVE)
	return renewInterval / 2
}

// grant calls the owner of a range with a grant and records the result. If the owner has not confirmed the grant, pause is the time until
// the next attempt.
func (m *Manager) grant(
	ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, owner *schemav1.Registration,
) (pause time.Duration, confirmed bool) {
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if m.checkLease() != nil {
		return retryInterval, false
	}
	if record.changeable {
		return m.raiseFence(ctx, service, r, record, "may still be moved by an earlier proposal"), false
	}
	g := m.newGrant(owner, r)
	g.BeforeSend = m.checkLease
	phase, wasFailing, began := record.phase, record.failing, m.clock()
	g.Handover, g.Renewal = record.handover, record.beginGrant()
	err := m.granter.Grant(callCtx, g)
	if errors.Is(err, ErrConnectionClosed) {
		return m.raiseFence(ctx, service, r, record, "connection closed"), false
	}
	now := m.clock()
	if err == nil {
		record.grantConfirmed(now)
		// Renewals are not logged: each range is renewed once a second.
		if phase == phaseUnused || wasFailing {
			m.logCall("key range granted", service, r, owner, record, phase, now-began)
		}
		return 0, true
	}
	m.logCall("grant failed", service, r, owner, record, phase, now-began, "renewal", g.Renewal, "noEffect", hadNoEffect(err), "err", err)
	if errors.Is(err, errLeaseEnded) {
		return retryInterval, false
	}
	if isStaleFence(err) {
		// The owner may hold the keys under an older fence, so they must not move at once.
		return max(retryInterval, m.raiseFence(ctx, service, r, record, "target has a higher fence")), false
	}
	if !hadNoEffect(err) {
		record.grantUnconfirmed(now)
	}
	if record.grantFailed(now) {
		m.markUnresponsive(r.GetOwner())
	}
	return retryInterval, false
}

// checkLease returns an error if another host may be the leader.
func (m *Manager) checkLease() error {
	if !m.proposer.HoldsLeaderLease() {
		return merry.Wrap(errLeaseEnded)
	}
	return nil
}

// reassignRestarted gives a range whose owner has started again to the best candidate. The process to which the keys were granted first has
// ended. But a call names only the ID of the target, so that one since the restart may have granted the keys to the new process, which
// then has to release them before they can move.
func (m *Manager) reassignRestarted(
	ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, table *schemav1.KeyTable, candidates []Candidate,
	owner *schemav1.Registration,
) time.Duration {
	const reason = "owner restarted"
	now := m.clock()
	switch {
	case record.isExpired(now):
		return m.assign(ctx, service, r, table, candidates, "", reason)
	case record.isUnconfirmed(now):
		// A call without a response may still grant the keys to the new process, also after a release. No other target can have them until
		// then, so it serves them meanwhile.
		return m.changeRange(ctx, service, r, record, owner.GetStartedUnixMs(), schemav1.RangeState_RANGE_STATE_GRANTING, reason)
	case !record.canRelease() && !isCandidate(candidates, r.GetOwner()):
		return min(retryInterval, record.expiresAt-now)
	case !record.canRelease():
		// The new process may hold the keys under an earlier fence. A grant under the current one replaces it, and can be released.
		if pause, confirmed := m.grant(ctx, service, r, record, owner); !confirmed {
			return pause
		}
	}
	// The new process may never have held the keys, so the next owner cannot rely on its handover.
	if _, released := m.callRelease(ctx, service, r, record, owner); !released {
		return retryInterval
	}
	record.ownerReleased(m.clock(), "")
	return m.assign(ctx, service, r, table, candidates, "", reason)
}

// raiseFence raises the fence of a range that stays with its owner. A grant that the owner has under the old fence stays valid.
func (m *Manager) raiseFence(ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, reason string) time.Duration {
	return m.changeRange(ctx, service, r, record, r.GetOwnerStartedUnixMs(), r.GetState(), reason)
}

// changeRange commits a start of the owner and a state of a range that stays with its owner, under a higher fence. A grant that the owner has
// under the old fence stays valid.
func (m *Manager) changeRange(
	ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, ownerStarted int64, state schemav1.RangeState, reason string,
) time.Duration {
	change := &schemav1.RangeChange{Service: service, ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
		First: r.GetFirst(), Last: r.GetLast(), Owner: r.GetOwner(), OwnerStartedUnixMs: ownerStarted, State: state,
	}}
	result, err := m.proposer.Propose(ctx, &schemav1.RegistryCommand{Range: change})
	klog.InfoS("fence raised", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "target", r.GetOwner(),
		"ownerStarted", ownerStarted, "fence", result.GetFence(), "previousFence", r.GetFence(), "term", m.Term,
		"applied", result.GetApplied(), "reason", reason, "err", err)
	if err != nil || !result.GetApplied() {
		return retryInterval
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	record.fenceRaised(result.GetFence())
	return 0
}

// markUnresponsive excludes a target that is registered but does not respond from getting keys for unresponsivePeriod.
func (m *Manager) markUnresponsive(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsiveUntil[target] = m.clock() + unresponsivePeriod
}

// release asks the owner of a range to release it, and assigns the range to another target as soon as no grant of the owner can be
// valid any more. While there is no other candidate, it makes no call.
func (m *Manager) release(
	ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, table *schemav1.KeyTable, candidates []Candidate,
	owner *schemav1.Registration,
) time.Duration {
	if now := m.clock(); record.isExpired(now) {
		return m.assign(ctx, service, r, table, candidates, r.GetOwner(), "grant "+record.phase.String()+" and expired")
	}
	if next := Owner(table.GetRanges(), candidates, r.GetOwner(), nil); next == nil {
		return retryInterval
	}
	if !record.canRelease() {
		return min(retryInterval, record.expiresAt-m.clock())
	}
	handover, released := m.callRelease(ctx, service, r, record, owner)
	if !released {
		return retryInterval
	}
	now := m.clock()
	record.ownerReleased(now, handover)
	if !record.isExpired(now) {
		return min(retryInterval, record.expiresAt-now)
	}
	return m.assign(ctx, service, r, table, candidates, r.GetOwner(), "released")
}

// callRelease asks the owner of a range to release it, until its grant has expired.
func (m *Manager) callRelease(
	ctx context.Context, service string, r *schemav1.KeyRange, record *grantRecord, owner *schemav1.Registration,
) (handover string, released bool) {
	began := m.clock()
	callCtx, cancel := context.WithTimeout(ctx, min(releaseTimeout, record.expiresAt-began))
	defer cancel()
	handover, err := m.granter.Release(callCtx, m.newGrant(owner, r))
	if err != nil {
		m.logCall("release failed", service, r, owner, record, record.phase, m.clock()-began, "err", err)
	} else {
		m.logCall("key range released", service, r, owner, record, record.phase, m.clock()-began)
	}
	return handover, err == nil
}

// logCall logs the result of a call to the owner of a range. phase is the phase of the record before the call.
func (m *Manager) logCall(
	message, service string, r *schemav1.KeyRange, owner *schemav1.Registration, record *grantRecord, phase grantPhase, took time.Duration,
	extra ...any,
) {
	now := m.clock()
	klog.InfoS(message, append([]any{
		"service", service, "first", r.GetFirst(), "last", r.GetLast(), "fence", r.GetFence(), "target", r.GetOwner(),
		"address", owner.GetAddress(), "ownerStarted", owner.GetStartedUnixMs(), "term", m.Term, "took", took,
		"phase", phase.String(), "expiresIn", record.expiresAt - now, "unconfirmedFor", max(0, record.unconfirmedUntil-now),
	}, extra...)...)
}

// assign chooses and commits the next owner of a range that no target holds any more. avoid is a target to pass over, or empty.
func (m *Manager) assign(
	ctx context.Context, service string, r *schemav1.KeyRange, table *schemav1.KeyTable, candidates []Candidate, avoid, reason string,
) time.Duration {
	if current := m.state.Keys(service); current != nil {
		table = current
	}
	key := rangeID{service, r.GetFirst()}
	next := m.planOwner(key, table, candidates, avoid)
	if next == nil {
		return retryInterval
	}
	defer m.forgetPlan(key)
	m.mu.Lock()
	phase, expiresAt := m.records[key].phase, m.records[key].expiresAt
	m.mu.Unlock()
	change := &schemav1.RangeChange{Service: service, ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
		First: r.GetFirst(), Last: r.GetLast(), Owner: next.GetId(), OwnerStartedUnixMs: next.GetStartedUnixMs(),
		State: schemav1.RangeState_RANGE_STATE_GRANTING,
	}}
	result, err := m.proposer.Propose(ctx, &schemav1.RegistryCommand{Range: change})
	if err != nil {
		klog.ErrorS(err, "new owner of key range not committed", "service", service, "first", r.GetFirst())
		m.mu.Lock()
		defer m.mu.Unlock()
		m.records[key].changeable = true
		return retryInterval
	}
	klog.InfoS("key range assigned", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "from", r.GetOwner(),
		"to", next.GetId(), "address", next.GetAddress(), "ownerStarted", next.GetStartedUnixMs(), "fence", result.GetFence(),
		"previousFence", r.GetFence(), "term", m.Term, "phase", phase.String(), "expiredFor", m.clock()-expiresAt,
		"applied", result.GetApplied(), "reason", reason)
	if result.GetApplied() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.records[key].assigned(result.GetFence(), m.clock())
	}
	return 0
}

// planOwner chooses the next owner of a range. It takes into account the choices for other ranges that are not committed yet;
// without that, all ranges of a lost owner would go to the same target.
func (m *Manager) planOwner(key rangeID, table *schemav1.KeyTable, candidates []Candidate, avoid string) *schemav1.Registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	ranges := slices.Clone(table.GetRanges())
	for i, r := range ranges {
		if owner, ok := m.plannedOwners[rangeID{key.service, r.GetFirst()}]; ok {
			ranges[i] = &schemav1.KeyRange{First: r.GetFirst(), Last: r.GetLast(), Owner: owner}
		}
	}
	next := Owner(ranges, candidates, avoid, m.load[key.service])
	if next != nil {
		m.plannedOwners[key] = next.GetId()
		m.loadMovedAt[next.GetId()] = m.clock()
	}
	return next
}

// forgetPlan removes the planned owner of a range after its proposal has ended.
func (m *Manager) forgetPlan(key rangeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.plannedOwners, key)
}

// proposeRangeState commits a new state of a range, without a change of owner and fence.
func (m *Manager) proposeRangeState(ctx context.Context, service string, r *schemav1.KeyRange, state schemav1.RangeState) {
	change := &schemav1.RangeChange{Service: service, ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
		First: r.GetFirst(), Last: r.GetLast(), Owner: r.GetOwner(), OwnerStartedUnixMs: r.GetOwnerStartedUnixMs(),
		Fence: r.GetFence(), State: state,
	}}
	if _, err := m.proposer.Propose(ctx, &schemav1.RegistryCommand{Range: change}); err != nil {
		klog.ErrorS(err, "state of key range not committed", "service", service, "first", r.GetFirst(), "state", state)
	}
}
