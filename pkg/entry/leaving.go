package entry

import (
	"context"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// leavingReportInterval is how often targets that leave are looked for in the view as ready, and reported again. A commit and the update
	// of the view take less, so that one report is enough while the registry can be reached.
	leavingReportInterval = 400 * time.Millisecond
	// maxLeavingReports bounds the reports that are sent at the same time.
	maxLeavingReports = 16
)

// notifyTargetLeaves wakes the reporter of targets that leave.
func (h *Host) notifyTargetLeaves() {
	select {
	case h.targetLeaves <- struct{}{}:
	default:
	}
}

// reportLeavingTargets tells the registry which targets have said that they leave, until the view shows them as draining.
func (h *Host) reportLeavingTargets(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-h.targetLeaves:
		case <-time.After(leavingReportInterval):
		case <-ctx.Done():
			return
		}
		if leaving := h.dispatcher.LeavingTargets(); len(leaving) > 0 {
			h.reportLeaving(ctx, leaving[:min(len(leaving), maxLeavingReports)])
		}
	}
}

// reportLeaving tells the registry that targets leave. What fails is repeated by the caller, and logged by passOn.
func (h *Host) reportLeaving(ctx context.Context, targets []dispatch.Target) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reports sync.WaitGroup
	for _, t := range targets {
		reports.Go(func() {
			guard.Do("report leaving target", func() {
				_ = h.passOn(ctx, &schemav1.TargetAnnouncement{
					Registration: &schemav1.Registration{Id: t.ID, StartedUnixMs: t.StartedUnixMs}, Leaving: true,
				})
			})
		})
	}
	reports.Wait()
}
