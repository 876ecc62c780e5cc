package host

import (
	"context"
	"time"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/metrics"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// leaderLoop runs the decisions of the leader of the data centre group.
func (h *Host) leaderLoop(ctx context.Context) {
	for monotonic.Sleep(ctx, leaderStepInterval) {
		h.options.Faults.wait(ctx)
		if g := h.group.Load(); g != nil {
			stepContext, cancel := context.WithTimeout(ctx, callTimeout)
			g.step(stepContext)
			cancel()
		}
	}
}

// renewLoop renews the host lease at the leader of the data centre group.
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

// triggerRenewal starts the next renewal at once, because it carries a report that other hosts wait for.
func (h *Host) triggerRenewal() {
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
	if g.syncedIndex.Load() < g.table.AppliedIndex() {
		// Commands that change no target, such as idempotency records, trigger no sync, but a new leader grants no lease
		// until the host has synced all of them.
		h.syncTargets(ctx, g)
	}
	request := &schemav1.RenewRequest{
		Host:       h.settings.GetName(),
		Identity:   h.identity,
		Generation: g.table.Generation(),
		Applied:    g.syncedIndex.Load(),
		Targets:    h.manager.TakeReports(),
		Draining:   h.draining.Load(),
	}
	// The lease starts before the request is sent, see package lease.
	requestedAt := h.clock()
	response, err := h.callRenew(ctx, status.LeaderID, status.LeaderAddress, request)
	leaseLost := h.leaseWasValid && !h.lease.Valid()
	granted := err == nil && response.GetGranted() && h.extendLease(g, requestedAt, response)
	if granted {
		h.manager.RenewGrants()
	}
	if leaseLost {
		h.metrics.Scope.Counter(metrics.LeaseLosses).Inc(1)
	}
	h.leaseWasValid = granted || h.lease.Valid()
	result := "refused"
	if granted {
		result = "granted"
	}
	h.metrics.Scope.Tagged(map[string]string{metrics.TagResult: result}).Counter(metrics.LeaseRenewals).Inc(1)
}

// extendLease extends the host lease as granted by the leader of g, unless the host has entered another generation since.
func (h *Host) extendLease(g *group, requestedAt time.Duration, response *schemav1.RenewResponse) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.group.Load() != g {
		return false
	}
	h.lease.Extend(requestedAt, time.Duration(response.GetLeaseMs())*time.Millisecond)
	return true
}

func (h *Host) callRenew(ctx context.Context, leader uint64, address string, request *schemav1.RenewRequest) (*schemav1.RenewResponse, error) {
	if leader == h.identity {
		return h.handleRenew(ctx, request)
	}
	// A later response would grant a lease that has already expired.
	ctx, cancel := context.WithTimeout(ctx, lease.HostLeaseDuration)
	defer cancel()
	response := &schemav1.RenewResponse{}
	return response, h.client.Call(ctx, address, methodRenew, request, response)
}

// syncInterval is the longest time between syncs, to recover from missed changes and failed calls.
const syncInterval = 500 * time.Millisecond

// syncLoop updates the attached targets after each change of the ownership table.
func (h *Host) syncLoop(ctx context.Context) {
	for {
		h.options.Faults.wait(ctx)
		g := h.group.Load()
		if g == nil {
			if !monotonic.Sleep(ctx, lease.RenewInterval) {
				return
			}
			continue
		}
		changed := g.table.Changed()
		h.syncTargets(ctx, g)
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

func (h *Host) syncTargets(ctx context.Context, g *group) {
	// The index is read first, so that what the manager gets is never older than the index.
	applied := g.table.AppliedIndex()
	if h.views.installIfNewer(g.table.ControlView()) {
		h.updateLinkShare(h.views.get())
	}
	var attached []*schemav1.TargetRecord
	for _, record := range g.table.TargetsAttachedTo(h.settings.GetName()) {
		// Attachments to an earlier process of this host do not belong to this one.
		if record.GetAttachedIdentity() == h.identity {
			attached = append(attached, record)
		}
	}
	h.manager.Sync(ctx, attached, g.table.ShardsOf)
	g.advanceSyncedIndex(applied)
	h.updateGauges(g, len(attached))
}

// updateGauges updates the metrics that each host reports about its data centre.
func (h *Host) updateGauges(g *group, attached int) {
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

// recordControlContact records that the control group was reached.
func (h *Host) recordControlContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controlReachedAt = h.clock()
}

// sinceControlContact returns the time since this host itself last reached the control group.
func (h *Host) sinceControlContact() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock() - h.controlReachedAt
}
