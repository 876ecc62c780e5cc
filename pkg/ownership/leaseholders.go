package ownership

import (
	"time"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// holderKey identifies a host process that may hold a host lease. A restarted host has the same name and a new identity.
type holderKey struct {
	name     string
	identity uint64
}

// holder is what the leader knows about the lease and the reports of a host process.
type holder struct {
	key holderKey
	// lastGrantAt is when a lease was last granted, or the latest time at which an earlier leader may have granted one.
	lastGrantAt time.Duration
	// grantedByThisLeader is set once this leader has granted a lease.
	grantedByThisLeader bool
	draining            bool
	// minAppliedIndex is the log index up to which the host must have applied the table to get a lease.
	minAppliedIndex uint64
	reports         map[string]report
}

// report is the last report of a host about a target. receivedAt is when the leader received it, or the time of the first
// report with the same stopped attachment.
type report struct {
	*schemav1.TargetReport
	receivedAt time.Duration
}

// detachment records that a target lost its attachment to a host which may not know about that yet.
type detachment struct {
	// attachment is the target's attachment number after the loss, lostAttachment the number before it.
	attachment, lostAttachment uint64
	holder                     holderKey
	// A table that has applied the log up to index contains the loss. seenAt is when the leader saw the loss.
	index  uint64
	seenAt time.Duration
	// stopped is set once the host is certain to start no further request to the target, as of stoppedAt.
	stopped   bool
	stoppedAt time.Duration
	// released is set once the host has no request to the target in flight either.
	released bool
}

// eviction is a proposed but not yet applied change of a target's attachment away from a host whose lease has expired.
type eviction struct {
	attachment uint64
	holder     holderKey
}

// holder returns the entry of a host process. A new entry assumes that an earlier leader granted a lease at startedAt.
func (d *Driver) holder(key holderKey) *holder {
	h, ok := d.holders[key]
	if !ok {
		h = &holder{key: key, lastGrantAt: d.startedAt, minAppliedIndex: d.startIndex, reports: map[string]report{}}
		d.holders[key] = h
	}
	return h
}

// expired reports whether the lease of the host is certain to be over.
func (h *holder) expired(now time.Duration) bool {
	return lease.Expired(h.lastGrantAt, lease.HostLeaseDuration, now)
}

// holdsLease reports whether this leader has granted the host a lease that has not expired.
func (h *holder) holdsLease(now time.Duration) bool {
	return h.grantedByThisLeader && !h.expired(now)
}

// storeReports replaces the reports of a host. A stopped or released attachment in a report stays so for ever, so it counts
// even if the lease is then refused.
func (d *Driver) storeReports(now time.Duration, h *holder, reports []*schemav1.TargetReport) {
	latest := make(map[string]report, len(reports))
	for _, r := range reports {
		latest[r.Target] = report{TargetReport: r, receivedAt: now}
		if old, ok := h.reports[r.Target]; ok && old.StoppedAttachment != 0 && old.StoppedAttachment == r.StoppedAttachment {
			// The time of a stopped attachment is that of the first report which contains it.
			latest[r.Target] = report{TargetReport: r, receivedAt: old.receivedAt}
		}
	}
	h.reports = latest
	for _, observed := range d.targets {
		if observed.lastDetachment != nil && observed.lastDetachment.holder == h.key {
			observed.lastDetachment.applyReport(h.reports[observed.name])
		}
	}
	d.observeReports(now, h)
}

// applyReport records what the host reports about the lost attachment: stopped or released.
func (d *detachment) applyReport(r report) {
	if r.TargetReport == nil {
		return
	}
	if r.ReleasedAttachment == d.lostAttachment {
		d.released = true
	}
	if r.StoppedAttachment == d.lostAttachment && !d.stopped {
		d.stopped, d.stoppedAt = true, r.receivedAt
	}
}

// acknowledgeDetachments records which detachments the host has applied, given the log index up to which it has applied the
// table. It returns false if the host must not get a lease: a change of an attachment relies on the expiry of its lease, or
// the host has not applied a detachment within detachmentAckGrace.
func (d *Driver) acknowledgeDetachments(now time.Duration, h *holder, applied uint64) bool {
	granted := applied >= h.minAppliedIndex
	for _, observed := range d.targets {
		if observed.pendingEviction != nil && observed.pendingEviction.holder == h.key {
			granted = false
		}
		detached := observed.lastDetachment
		if detached == nil || detached.holder != h.key || detached.stopped {
			continue
		}
		switch {
		case applied >= detached.index:
			detached.stopped, detached.stoppedAt = true, now
		case h.expired(now) || now-detached.seenAt > detachmentAckGrace:
			granted = false
		}
	}
	return granted
}

// previousHostStopped reports whether the last attached host of an unattached target is certain to have no request to it in
// flight and to start none. The deadline of each request lies within the lease that was valid when the request was sent, so
// all requests have ended one lease duration after the host stopped. If the result relies on the expiry of the host's lease,
// the host gets no further lease before it has applied the detachment.
func (d *Driver) previousHostStopped(now time.Duration, observed *observedTarget, record *schemav1.TargetRecord) bool {
	if record.PreviousHost == "" {
		return true
	}
	detached := observed.lastDetachment
	if detached == nil || detached.attachment != record.Attachment {
		return false
	}
	if detached.released || (detached.stopped && lease.Expired(detached.stoppedAt, lease.HostLeaseDuration, now)) {
		return true
	}
	h := d.holder(detached.holder)
	if !h.expired(now) {
		return false
	}
	h.minAppliedIndex = max(h.minAppliedIndex, detached.index)
	return true
}
