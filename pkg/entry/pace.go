package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// paceInterval is how often waiting requests are looked at while limits grow with time. Nothing else tells that one may be sent.
	paceInterval = 100 * time.Millisecond
	// paceRecordInterval is how often changes of paces are logged and counted.
	paceRecordInterval = time.Second
	// maxPaceLogLines bounds the lines about changes of paces each paceRecordInterval. A target that many hosts use may change at each of them.
	maxPaceLogLines = 20
)

// paceHosts converts the entry hosts of a view to those of the dispatcher.
func paceHosts(hosts []*schemav1.EntryHost) []dispatch.HostName {
	names := make([]dispatch.HostName, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, dispatch.HostName{Name: host.GetName(), DataCentre: host.GetDataCentre()})
	}
	return names
}

// followPaces sends waiting requests as the limits of targets grow, and logs and counts the changes of paces, until ctx ends.
func (h *Host) followPaces(ctx context.Context) {
	if !h.options.Dispatch.PacedTargets {
		<-ctx.Done()
		return
	}
	for recordedAt := h.now(); ctx.Err() == nil; monotonic.Sleep(ctx, paceInterval) {
		now := h.now()
		h.dispatcher.DispatchWaiting(now)
		if now-recordedAt >= paceRecordInterval {
			recordedAt = now
			h.recordPaces(now)
		}
	}
}

// recordPaces logs and counts the changes of paces since the last call.
func (h *Host) recordPaces(now time.Duration) {
	for service, counts := range h.dispatcher.PaceCounts(now) {
		h.requestMetrics.recordPaces(service, counts)
	}
	for fall, count := range h.dispatcher.TakePaceFalls() {
		h.requestMetrics.recordPaceFalls(fall.Service, fall.Cause, count)
	}
	changes, omitted := h.dispatcher.TakePaceChanges()
	logged := changes[:min(len(changes), maxPaceLogLines)]
	for _, change := range logged {
		klog.InfoS("pace of target changed", "target", change.Target.ID, "started", change.Target.StartedUnixMs, "service", change.Target.Service,
			"cause", change.Cause, "state", change.State, "limit", change.Limit)
	}
	if further := omitted + len(changes) - len(logged); further > 0 {
		klog.InfoS("further changes of the pace of targets", "count", further)
	}
}
