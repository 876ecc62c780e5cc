package ownership

import (
	"time"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// holderKey is one process that may hold a host lease.
type holderKey struct {
	name     string
	identity uint64
}

// holder is what the leader knows of a host.
type holder struct {
	key holderKey
	// answered is the last time at which a lease was granted, or may have been by an earlier leader.
	answered time.Duration
	// granted is set once this leader granted a lease.
	granted  bool
	draining bool
	// barrier is the least log index that the host must have applied to get a lease.
	barrier uint64
	reports map[string]report
}

// report is the last report of a host about a target.
type report struct {
	*schemav1.TargetReport
	at time.Duration
}

// detachment is the loss of an attachment that the last attached host may not know of yet.
type detachment struct {
	// attachment is the number of the record after the loss, lost the one that was lost.
	attachment, lost uint64
	holder           holderKey
	// index is a log index at which the loss was applied; at is when the leader saw it.
	index uint64
	at    time.Duration
	// stoppedAt is when the host was certain to start no further request; valid when stopped is set.
	stopped   bool
	stoppedAt time.Duration
	// released is set when it has nothing in flight either.
	released bool
}

// eviction is a proposed loss of the attachment of a host whose lease is over.
type eviction struct {
	attachment uint64
	holder     holderKey
}

// holder returns the state of a host process, creating it as after a lease from an earlier leader.
func (d *Driver) holder(key holderKey) *holder {
	h, ok := d.holders[key]
	if !ok {
		h = &holder{key: key, answered: d.startedAt, barrier: d.startIndex, reports: map[string]report{}}
		d.holders[key] = h
	}
	return h
}

func (h *holder) expired(now time.Duration) bool {
	return lease.Expired(h.answered, lease.HostLeaseDuration, now)
}

// alive tells whether the host renews its lease with this leader.
func (h *holder) alive(now time.Duration) bool {
	return h.granted && !h.expired(now)
}

// keepReports stores the reports of a host, which replace its earlier ones. A promise about an attachment holds for
// good, so it counts even when the lease is refused.
func (d *Driver) keepReports(now time.Duration, h *holder, reports []*schemav1.TargetReport) {
	fresh := make(map[string]report, len(reports))
	for _, r := range reports {
		fresh[r.Target] = report{TargetReport: r, at: now}
		if old, ok := h.reports[r.Target]; ok && old.StoppedAttachment != 0 && old.StoppedAttachment == r.StoppedAttachment {
			// The promise is counted from the first time it was made.
			fresh[r.Target] = report{TargetReport: r, at: old.at}
		}
	}
	h.reports = fresh
	for _, watch := range d.targets {
		if watch.detached != nil && watch.detached.holder == h.key {
			watch.detached.note(h.reports[watch.name])
		}
	}
	d.observeReports(now, h)
}

// note takes over the promises of a report about the attachment that was lost.
func (l *detachment) note(r report) {
	if r.TargetReport == nil {
		return
	}
	if r.ReleasedAttachment == l.lost {
		l.released = true
	}
	if r.StoppedAttachment == l.lost && !l.stopped {
		l.stopped, l.stoppedAt = true, r.at
	}
}

// acknowledge notes which losses the host has applied. It reports false when the host must not get a lease: its lease
// was over and a loss counts on that, or it has not applied a loss for too long.
func (d *Driver) acknowledge(now time.Duration, h *holder, applied uint64) bool {
	granted := applied >= h.barrier
	for _, watch := range d.targets {
		if watch.evicting != nil && watch.evicting.holder == h.key {
			granted = false
		}
		l := watch.detached
		if l == nil || l.holder != h.key || l.stopped {
			continue
		}
		switch {
		case applied >= l.index:
			l.stopped, l.stoppedAt = true, now
		case h.expired(now) || now-l.at > ackGrace:
			granted = false
		}
	}
	return granted
}

// clear reports whether the last attached host is certain to send nothing more to an unattached target. Requests in
// flight have their deadlines within the lease at the time of sending, so they end one lease after the host stopped.
func (d *Driver) clear(now time.Duration, watch *targetWatch, record *schemav1.TargetRecord) bool {
	if record.PreviousHost == "" {
		return true
	}
	l := watch.detached
	if l == nil || l.attachment != record.Attachment {
		return false
	}
	if l.released || (l.stopped && lease.Expired(l.stoppedAt, lease.HostLeaseDuration, now)) {
		return true
	}
	h := d.holder(l.holder)
	if !h.expired(now) {
		return false
	}
	h.barrier = max(h.barrier, l.index)
	return true
}
