package host

import (
	"context"
	"time"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/metrics"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// leaderLoop runs the decisions of the group's leader.
func (h *Host) leaderLoop(ctx context.Context) {
	for pause(ctx, leaderStep) {
		h.options.Faults.wait(ctx)
		if g := h.group.Load(); g != nil {
			stepContext, cancel := context.WithTimeout(ctx, callTimeout)
			g.step(stepContext)
			cancel()
		}
	}
}

// renewLoop renews the host lease with the leader of the group.
func (h *Host) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(lease.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.renewNow:
		}
		h.options.Faults.wait(ctx)
		h.renew(ctx)
	}
}

// renewSoon makes the next renewal happen now, because it carries a report that others wait for.
func (h *Host) renewSoon() {
	select {
	case h.renewNow <- struct{}{}:
	default:
	}
}

func (h *Host) renew(ctx context.Context) {
	g := h.group.Load()
	if g == nil {
		return
	}
	status := g.replica.Status()
	if status.LeaderAddress == "" {
		return
	}
	if g.synced.Load() < g.table.AppliedIndex() {
		// Commands that change no target, such as idempotency records, wake no sync, but a new leader asks for all of them.
		h.sync(ctx, g)
	}
	request := &schemav1.RenewRequest{
		Host:       h.settings.GetName(),
		Identity:   h.identity,
		Generation: g.table.Generation(),
		Applied:    g.synced.Load(),
		Targets:    h.manager.TakeReports(),
		Draining:   h.draining.Load(),
	}
	// The lease counts from before the request, see package lease.
	asked := h.clock()
	response, err := h.askRenewal(ctx, status.LeaderID, status.LeaderAddress, request)
	lost := h.leased && !h.lease.Valid()
	granted := err == nil && response.GetGranted() && h.extendLease(g, asked, response)
	if granted {
		h.manager.RenewGrants()
	}
	if lost {
		h.metrics.Scope.Counter(metrics.LeaseLosses).Inc(1)
	}
	h.leased = granted || h.lease.Valid()
	result := "refused"
	if granted {
		result = "granted"
	}
	h.metrics.Scope.Tagged(map[string]string{metrics.TagResult: result}).Counter(metrics.LeaseRenewals).Inc(1)
}

// extendLease takes over a grant of the generation g, unless the host has entered another one in the meantime.
func (h *Host) extendLease(g *group, asked time.Duration, response *schemav1.RenewResponse) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.group.Load() != g {
		return false
	}
	h.lease.Extend(asked, time.Duration(response.GetLeaseMs())*time.Millisecond)
	return true
}

func (h *Host) askRenewal(ctx context.Context, leader uint64, address string, request *schemav1.RenewRequest) (*schemav1.RenewResponse, error) {
	if leader == h.identity {
		return h.handleRenew(ctx, request)
	}
	// A later answer would bring no lease.
	ctx, cancel := context.WithTimeout(ctx, lease.HostLeaseDuration)
	defer cancel()
	response := &schemav1.RenewResponse{}
	return response, h.client.Call(ctx, address, methodRenew, request, response)
}

// syncInterval repeats what a missed change or a failed call left behind.
const syncInterval = 500 * time.Millisecond

// syncLoop brings the attached targets in line with the table.
func (h *Host) syncLoop(ctx context.Context) {
	for {
		h.options.Faults.wait(ctx)
		g := h.group.Load()
		if g == nil {
			if !pause(ctx, lease.RenewInterval) {
				return
			}
			continue
		}
		changed := g.table.Changed()
		h.sync(ctx, g)
		timer := time.NewTimer(syncInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (h *Host) sync(ctx context.Context, g *group) {
	// Read first: what the manager has been told of may be newer than this index, never older.
	applied := g.table.AppliedIndex()
	if h.views.offer(g.table.ControlView()) {
		h.shareLink(h.views.get())
	}
	var mine []*schemav1.TargetRecord
	for _, record := range g.table.TargetsAttachedTo(h.settings.GetName()) {
		// An attachment of an earlier process of this host is not this one's.
		if record.GetAttachedIdentity() == h.identity {
			mine = append(mine, record)
		}
	}
	h.manager.Sync(ctx, mine, g.table.ShardsOf)
	g.markSynced(applied)
	h.gauges(g, len(mine))
}

// gauges reports what this host sees of its data centre.
func (h *Host) gauges(g *group, attached int) {
	scope := h.metrics.Scope
	scope.Gauge(metrics.Targets).Update(float64(attached))
	scope.Gauge(metrics.ConfigRevision).Update(float64(h.views.revision()))
	scope.Gauge(metrics.GroupGeneration).Update(float64(g.table.Generation()))
	leader := 0.0
	if _, leads := g.leads(); leads {
		leader = 1
	}
	scope.Gauge(metrics.GroupLeader).Update(leader)
}

// touchControl notes that the control group was reached.
func (h *Host) touchControl() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controlSeen = h.clock()
}

// controlSilence is how long this host has not reached the control group itself.
func (h *Host) controlSilence() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock() - h.controlSeen
}
