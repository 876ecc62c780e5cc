package target

import (
	"context"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// detachedMemory is how long the promise about a lost attachment is repeated. The leader needs it until it has attached
// the target again, which takes one lease at most.
const detachedMemory = 5 * time.Second

// detachedTarget is a target whose attachment this host has lost.
type detachedTarget struct {
	bootID     string
	attachment uint64
	at         time.Duration
	// released is set once nothing is in flight.
	released bool
}

// detach promises, from the next report on, that this host starts no further request under the attachment, and later
// that none is in flight. Without the promise the leader has to wait for a whole lease before another host may send.
// The manager must be locked and the target closed.
func (m *Manager) detach(name string, a *AttachedTarget) {
	record := a.Record()
	lost := &detachedTarget{
		bootID: record.GetAnnouncement().GetBootId(), attachment: record.GetAttachment(), at: m.options.Clock(),
	}
	m.detached[name] = lost
	m.background(func(ctx context.Context) {
		if !a.drainAll(ctx) {
			return
		}
		m.mu.Lock()
		lost.released = true
		m.mu.Unlock()
		m.options.OnAttachmentReleased()
	})
}

// drainAll waits until no request is in flight; each ends at its deadline at the latest.
func (a *AttachedTarget) drainAll(ctx context.Context) bool {
	for {
		changed := a.flights.next()
		if a.flights.count(func(*InFlightRequest) bool { return true }) == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// detachedReports returns the promises about lost attachments.
func (m *Manager) detachedReports(now time.Duration) []*schemav1.TargetReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []*schemav1.TargetReport
	for name, lost := range m.detached {
		if _, again := m.attached[name]; again || now-lost.at > detachedMemory {
			delete(m.detached, name)
			continue
		}
		report := &schemav1.TargetReport{Target: name, BootId: lost.bootID, StoppedAttachment: lost.attachment}
		if lost.released {
			report.ReleasedAttachment = lost.attachment
		}
		reports = append(reports, report)
	}
	return reports
}
