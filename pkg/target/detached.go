package target

import (
	"context"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// detachedReportTime is how long the end of an attachment is reported. The leader needs the report until it has attached
// the target again, which takes at most one lease.
const detachedReportTime = 5 * time.Second

// detachedTarget is a target whose attachment this host has lost.
type detachedTarget struct {
	bootID     string
	attachment uint64
	detachedAt time.Duration
	// released is set when no request is in flight any more.
	released bool
}

// detach makes the following reports say that this host starts no further request under the attachment and, once that is
// so, that none is in flight either. Without these reports the leader must wait for a whole lease before another host may
// send. The caller must hold m.mu and must have closed the target.
func (m *Manager) detach(name string, a *AttachedTarget) {
	record := a.Record()
	entry := &detachedTarget{
		bootID: record.GetAnnouncement().GetBootId(), attachment: record.GetAttachment(), detachedAt: m.options.Clock(),
	}
	m.detached[name] = entry
	m.background(func(ctx context.Context) {
		if !a.drainAll(ctx) {
			return
		}
		m.mu.Lock()
		entry.released = true
		m.mu.Unlock()
		m.options.OnAttachmentReleased()
	})
}

// drainAll waits until no request is in flight, and returns false when ctx ends first. Each request ends at its deadline at
// the latest.
func (a *AttachedTarget) drainAll(ctx context.Context) bool {
	for {
		changed := a.inFlightRequests.nextChange()
		if a.inFlightRequests.count(func(*InFlightRequest) bool { return true }) == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// detachedReports returns the reports about lost attachments.
func (m *Manager) detachedReports(now time.Duration) []*schemav1.TargetReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []*schemav1.TargetReport
	for name, entry := range m.detached {
		if _, again := m.attached[name]; again || now-entry.detachedAt > detachedReportTime {
			delete(m.detached, name)
			continue
		}
		report := &schemav1.TargetReport{Target: name, BootId: entry.bootID, StoppedAttachment: entry.attachment}
		if entry.released {
			report.ReleasedAttachment = entry.attachment
		}
		reports = append(reports, report)
	}
	return reports
}
