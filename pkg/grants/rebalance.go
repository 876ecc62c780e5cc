package grants

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// RecordRequests adds requests for keys of a bucket that an entry host reported.
func (m *Manager) RecordRequests(service string, bucket, count uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadOf(service).AddRequests(m.clock(), bucket, count)
}

// RecordKeyRequests adds requests for one key that an entry host reported.
func (m *Manager) RecordKeyRequests(service string, key, count uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadOf(service).AddKeyRequests(m.clock(), key, count)
}

// RecordResponses adds count responses of an owner that an entry host reported. total is the sum of their latencies.
func (m *Manager) RecordResponses(service, owner string, count uint32, total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadOf(service).AddResponses(m.clock(), owner, count, total)
}

// loadOf returns the load of a service and creates it if there is none yet. m.mu must be held.
func (m *Manager) loadOf(service string) *ServiceLoad {
	load := m.load[service]
	if load == nil {
		load = &ServiceLoad{}
		m.load[service] = load
	}
	return load
}

// rebalanceLoad splits or moves one range of an owner that has far more requests or responds far more slowly than the others. It
// returns false if no owner needs that.
func (m *Manager) rebalanceLoad(ctx context.Context, table *schemav1.KeyTable, candidates []Candidate) bool {
	service := table.GetService()
	m.mu.Lock()
	var action *RangeAction
	if load := m.load[service]; load != nil {
		load.decay(m.clock())
		action = NextHotOwnerAction(table.GetRanges(), candidates, load)
		if action == nil {
			action = m.nextSlowOwnerMove(table, candidates, load)
		}
	}
	m.mu.Unlock()
	if action == nil {
		return false
	}
	r := action.Range
	record := m.beginCall(service, r, false)
	if record == nil {
		return true
	}
	defer m.endCall(record, 0)
	if record.isUnconfirmed(m.clock()) {
		// An earlier grant of the range may still take effect, so it must not move or be split yet.
		return true
	}
	if len(action.Starts) == 0 {
		klog.InfoS("key range moves for its load", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "from", r.GetOwner())
		m.startMove(ctx, service, r)
		return true
	}
	split := &schemav1.RangeSplit{Service: service, First: r.GetFirst(), ExpectedFence: r.GetFence(), Starts: action.Starts}
	result, err := m.proposer.Propose(ctx, &schemav1.RegistryCommand{Split: split})
	klog.InfoS("key range split for its load", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "parts", len(action.Starts)+1,
		"owner", r.GetOwner(), "applied", result.GetApplied(), "err", err)
	if err == nil && result.GetApplied() {
		m.addSplitRecords(service, record, action.Starts)
	}
	return true
}

// nextSlowOwnerMove chooses a move away from a slow owner, or returns nil. m.mu must be held.
func (m *Manager) nextSlowOwnerMove(table *schemav1.KeyTable, candidates []Candidate, load *ServiceLoad) *RangeAction {
	moving := 0
	for _, r := range table.GetRanges() {
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			moving++
		}
	}
	if moving >= maxMovingRanges(len(candidates)) {
		return nil
	}
	now := m.clock()
	r := NextSlowOwnerMove(table.GetRanges(), candidates, load, func(owner string) bool {
		at, ok := m.loadMovedAt[owner]
		return !ok || now-at >= slowMoveInterval
	})
	if r == nil {
		return nil
	}
	m.loadMovedAt[r.GetOwner()] = now
	return &RangeAction{Range: r}
}

// addSplitRecords adds records for the parts of a split range after the first one. What the owner may hold of them is the same.
func (m *Manager) addSplitRecords(service string, record *grantRecord, starts []uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, start := range starts {
		part := *record
		part.callSchedule = callSchedule{nextCallAt: m.clock()}
		m.records[rangeID{service, start}] = &part
	}
}

// startMove marks a range for release by its owner. The next owner is chosen after the release.
func (m *Manager) startMove(ctx context.Context, service string, r *schemav1.KeyRange) {
	m.proposeRangeState(ctx, service, r, schemav1.RangeState_RANGE_STATE_RELEASING)
	m.mu.Lock()
	defer m.mu.Unlock()
	if record := m.records[rangeID{service, r.GetFirst()}]; record != nil {
		record.makeDue(m.clock())
	}
}

// rebalanceKeyCount starts a move of one range if another target has far fewer keys than its owner.
func (m *Manager) rebalanceKeyCount(ctx context.Context, table *schemav1.KeyTable, candidates []Candidate) {
	now := m.clock()
	m.mu.Lock()
	recent := now-m.rebalancedAt[table.GetService()] < rebalanceInterval
	m.mu.Unlock()
	if recent {
		return
	}
	m.mu.Lock()
	r, target := NextKeyCountMove(table.GetRanges(), candidates, m.load[table.GetService()])
	m.mu.Unlock()
	if r == nil {
		return
	}
	m.mu.Lock()
	m.rebalancedAt[table.GetService()] = now
	m.mu.Unlock()
	klog.InfoS("key range moves for balance", "service", table.GetService(), "first", r.GetFirst(), "from", r.GetOwner(), "to", target.GetId())
	m.startMove(ctx, table.GetService(), r)
}
