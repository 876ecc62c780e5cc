package grants

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// RecordRequests takes the requests for keys of a bucket that an entry host has seen.
func (k *Manager) RecordRequests(service string, bucket, count uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heatOf(service).AddRequests(k.clock(), bucket, count)
}

// RecordResponses takes the answers of an owner of keys that an entry host has seen.
func (k *Manager) RecordResponses(service, owner string, count uint32, total time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heatOf(service).AddResponses(k.clock(), owner, count, total)
}

// heatOf returns the rates of a service, new ones if there are none. k.mu is held.
func (k *Manager) heatOf(service string) *ServiceLoad {
	heat := k.heat[service]
	if heat == nil {
		heat = &ServiceLoad{}
		k.heat[service] = heat
	}
	return heat
}

// spread takes one step to spread the requests of an owner that has far more than the others. It reports whether it did.
func (k *Manager) spread(ctx context.Context, table *schemav1.KeyTable, candidates []Candidate) bool {
	service := table.GetService()
	k.mu.Lock()
	var step *RangeAction
	if heat := k.heat[service]; heat != nil {
		heat.decay(k.clock())
		step = NextHotOwnerAction(table.GetRanges(), candidates, heat)
		if step == nil {
			step = k.shift(table, candidates, heat)
		}
	}
	k.mu.Unlock()
	if step == nil {
		return false
	}
	r := step.Range
	parent := k.claim(service, r, false)
	if parent == nil {
		return true
	}
	defer k.done(parent, 0)
	if parent.unsure > k.clock() {
		// The range cannot move yet.
		return true
	}
	if len(step.Starts) == 0 {
		klog.InfoS("key range moves for its load", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "from", r.GetOwner())
		k.startMove(ctx, service, r)
		return true
	}
	split := &schemav1.RangeSplit{Service: service, First: r.GetFirst(), ExpectedFence: r.GetFence(), Starts: step.Starts}
	result, err := k.log.Propose(ctx, &schemav1.RegistryCommand{Split: split})
	klog.InfoS("key range split for its load", "service", service, "first", r.GetFirst(), "last", r.GetLast(), "parts", len(step.Starts)+1,
		"owner", r.GetOwner(), "applied", result.GetApplied(), "err", err)
	if err == nil {
		k.shareHold(service, parent, step.Starts)
	}
	return true
}

// shift chooses a move away from a slow owner. k.mu is held.
func (k *Manager) shift(table *schemav1.KeyTable, candidates []Candidate, heat *ServiceLoad) *RangeAction {
	moving := 0
	for _, r := range table.GetRanges() {
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			moving++
		}
	}
	if moving >= maxMoving {
		return nil
	}
	now := k.clock()
	r := NextSlowOwnerMove(table.GetRanges(), candidates, heat, func(owner string) bool {
		at, ok := k.shiftedAt[owner]
		return !ok || now-at >= shiftPause
	})
	if r == nil {
		return nil
	}
	k.shiftedAt[r.GetOwner()] = now
	return &RangeAction{Range: r}
}

// shareHold gives the parts of a range that was split the hold of the whole.
func (k *Manager) shareHold(service string, whole *hold, starts []uint32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, start := range starts {
		k.holds[holdKey{service, start}] = &hold{fence: whole.fence, end: whole.end, next: k.clock()}
	}
}

// startMove takes a range back from its owner; the next owner is chosen when it is free.
func (k *Manager) startMove(ctx context.Context, service string, r *schemav1.KeyRange) {
	k.setState(ctx, service, r, schemav1.RangeState_RANGE_STATE_RELEASING)
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.holds[holdKey{service, r.GetFirst()}]; h != nil {
		h.next = k.clock()
	}
}

// rebalance moves one range to a target that has far fewer.
func (k *Manager) rebalance(ctx context.Context, table *schemav1.KeyTable, candidates []Candidate) {
	now := k.clock()
	k.mu.Lock()
	recent := now-k.movedAt[table.GetService()] < rebalancePause
	k.mu.Unlock()
	if recent {
		return
	}
	k.mu.Lock()
	r, target := NextKeyCountMove(table.GetRanges(), candidates, k.heat[table.GetService()])
	k.mu.Unlock()
	if r == nil {
		return
	}
	k.mu.Lock()
	k.movedAt[table.GetService()] = now
	k.mu.Unlock()
	klog.InfoS("key range moves for balance", "service", table.GetService(), "first", r.GetFirst(), "from", r.GetOwner(), "to", target.GetId())
	k.startMove(ctx, table.GetService(), r)
}
