package ownership

import (
	"maps"
	"time"

	"github.com/ansel1/merry/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// utilisationSmoothing is the weight of a new report in the moving average of a target's utilisation. With a report every
	// 100 ms, the average covers about 10 s.
	utilisationSmoothing = 0.01
	// returnBackOffBase and returnBackOffMax are the shortest and longest time for which a target that was lost gets no shards
	// after its return. The time doubles with each loss, so that a flapping target is used less and less.
	returnBackOffBase = time.Second
	returnBackOffMax  = time.Minute
	// reproposeInterval is the time after which a command that has not taken effect is proposed again.
	reproposeInterval = 60 * time.Millisecond
	// lossResetTime is the time without a loss after which the loss count of a target starts again at zero. For the same time
	// after a loss, the host that failed to reach the target is the last choice for its next attachment.
	lossResetTime = 5 * time.Minute
)

// observedTarget holds what the leader knows about a target in addition to its record in the table.
type observedTarget struct {
	name   string
	bootID string
	// bootSeenAt is when this leader first saw the boot; established is set if the boot was registered before this leader
	// started.
	bootSeenAt  time.Duration
	established bool
	// announcedAt and sequence belong to the last announcement. Most announcements do not change the table.
	announcedAt time.Duration
	sequence    uint64

	// attachment is the attachment number in the last observed record.
	attachment      uint64
	lastDetachment  *detachment
	pendingEviction *eviction
	lastProposal    proposal

	utilisation float64
	latency     time.Duration
	reportedAt  time.Duration
	// slow and fast are set while the latency is above slowFactor or below fastFactor times the median of the peers; the times
	// are those of their last changes.
	slow, fast           bool
	slowSince, fastSince time.Duration
	straggler            bool

	// unreachableFrom is the last attached host that reported the target as unreachable.
	unreachableFrom holderKey

	// warmProposedAt is when a change of the target's warm state was last proposed.
	warmProposedAt time.Duration

	// lost is the last observed value of the record; lossCount and lostAt count the losses and hold the time of the last one.
	// After its return, the target gets no shards before backOffUntil.
	lost         bool
	lossCount    int
	lostAt       time.Duration
	backOffUntil time.Duration
}

// proposal is a command about a target that was proposed at the given time, when the target had the given attachment number.
type proposal struct {
	kind       string
	attachment uint64
	at         time.Duration
}

// observeTable updates the driver from the table if the table has changed since the last call.
func (d *Driver) observeTable(now time.Duration) {
	if d.hasObserved && d.table.changeCount.Load() == d.seenChangeCount {
		return
	}
	first := !d.hasObserved
	targetRecords, index, changeCount := d.table.observation()
	d.hasObserved, d.seenChangeCount, d.targetRecords = true, changeCount, targetRecords
	for _, record := range targetRecords {
		d.observeTarget(now, record, index, first)
	}
	if len(d.targets) > len(targetRecords) {
		maps.DeleteFunc(d.targets, func(name string, _ *observedTarget) bool {
			_, registered := d.table.Target(name)
			return !registered
		})
	}
}

// observeTarget updates the entry of a target from its record. index is a log index that the record contains; first is set
// for the first look at the table, whose targets count as established.
func (d *Driver) observeTarget(now time.Duration, record *schemav1.TargetRecord, index uint64, first bool) {
	a := record.Announcement
	observed, ok := d.targets[a.Target]
	if !ok {
		observed = &observedTarget{name: a.Target, announcedAt: now, established: first}
		d.targets[a.Target] = observed
	}
	if observed.bootID != a.BootId {
		observed.established = observed.established && observed.bootID == ""
		observed.bootID, observed.bootSeenAt, observed.announcedAt, observed.sequence = a.BootId, now, now, a.Sequence
	}
	if a.Sequence > observed.sequence {
		observed.sequence, observed.announcedAt = a.Sequence, now
	}
	observed.observeLoss(now, record.Lost)
	d.observeAttachment(now, observed, record, index)
}

// observeLoss counts losses, and starts the back-off when a lost target returns.
func (o *observedTarget) observeLoss(now time.Duration, lost bool) {
	switch {
	case lost && !o.lost:
		if now-o.lostAt > lossResetTime {
			o.lossCount = 0
		}
		o.lossCount, o.lostAt = o.lossCount+1, now
	case !lost && o.lost:
		o.bootSeenAt, o.established, o.announcedAt = now, false, now
		o.backOffUntil = now + min(returnBackOffBase<<min(o.lossCount-1, 16), returnBackOffMax)
	}
	o.lost = lost
}

// observeAttachment completes a pending eviction and records a detachment if the attachment number of the target has changed.
func (d *Driver) observeAttachment(now time.Duration, observed *observedTarget, record *schemav1.TargetRecord, index uint64) {
	if observed.pendingEviction != nil && record.Attachment != observed.pendingEviction.attachment {
		h := d.holder(observed.pendingEviction.holder)
		h.minAppliedIndex = max(h.minAppliedIndex, index)
		observed.pendingEviction = nil
	}
	if observed.attachment == record.Attachment {
		return
	}
	observed.attachment = record.Attachment
	observed.lastDetachment = nil
	if record.AttachedHost != "" || record.PreviousHost == "" {
		return
	}
	key := holderKey{record.PreviousHost, record.PreviousIdentity}
	observed.lastDetachment = &detachment{
		attachment: record.Attachment, lostAttachment: record.PreviousAttachment, holder: key, index: index, seenAt: now,
	}
	observed.lastDetachment.applyReport(d.holder(key).reports[observed.name])
}

// mayPropose reports whether a command of the given kind may be proposed for the target, and records the proposal. It returns
// false if the same kind was proposed less than reproposeInterval ago and the attachment has not changed since.
func (o *observedTarget) mayPropose(now time.Duration, kind string) bool {
	p := &o.lastProposal
	if p.kind == kind && p.attachment == o.attachment && now-p.at < reproposeInterval {
		return false
	}
	*p = proposal{kind: kind, attachment: o.attachment, at: now}
	return true
}

// observeReports updates utilisation, latency and hot keys of targets from the reports of their attached host.
func (d *Driver) observeReports(now time.Duration, h *holder) {
	for name, r := range h.reports {
		observed, ok := d.targets[name]
		if !ok || observed.bootID != r.BootId || !d.isAttachedTo(name, h.key) {
			continue
		}
		if observed.reportedAt == 0 {
			observed.utilisation = clampShare(r.Utilisation)
		} else {
			observed.utilisation += utilisationSmoothing * (clampShare(r.Utilisation) - observed.utilisation)
		}
		observed.reportedAt = now
		observed.latency = time.Duration(r.LatencyP50Us) * time.Microsecond
		d.observeHotKeys(now, r.HotKeys)
	}
}

// clampShare limits a reported share to between 0 and 1.
func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}

func (d *Driver) isAttachedTo(target string, key holderKey) bool {
	record, ok := d.table.Target(target)
	return ok && record.AttachedHost == key.name && record.AttachedIdentity == key.identity
}

// ErrNoLeaderLease means that this process does not hold the leader lease, so that another one may lead the group.
var ErrNoLeaderLease = merry.Sentinel("the leader lease is not held")

// Announce processes a target's announcement, which any host of the data centre may have received, and returns whether it was
// accepted. Only announcements that change the target's record become commands; the others just show that the target is alive. Without the
// leader lease it returns ErrNoLeaderLease, because the table may be outdated and commands are not proposed.
func (d *Driver) Announce(now time.Duration, announcement *schemav1.Announcement) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.options.HoldsLeaderLease() {
		return false, merry.Wrap(ErrNoLeaderLease)
	}
	d.observeTable(now)
	if !d.table.Accepts(announcement) {
		return false, nil
	}
	record, known := d.table.Target(announcement.Target)
	if !known || record.Announcement.BootId != announcement.BootId {
		d.pendingAnnouncements[announcement.Target] = announcement
		return true, nil
	}
	observed := d.targets[announcement.Target]
	if announcement.Sequence <= observed.sequence {
		return false, nil
	}
	observed.sequence, observed.announcedAt = announcement.Sequence, now
	if record.Lost || announcementChanged(record.Announcement, withLeaving(record, announcement)) {
		d.pendingAnnouncements[announcement.Target] = announcement
	}
	return true, nil
}

// announcementChanged reports whether two announcements of the same boot differ in a field that users of the table need.
func announcementChanged(a, b *schemav1.Announcement) bool {
	return a.Address != b.Address || a.Service != b.Service || a.Slots != b.Slots || a.Draining != b.Draining ||
		a.MaxConnections != b.MaxConnections || a.Token != b.Token || !sameCapabilities(a.Capabilities, b.Capabilities)
}

func sameCapabilities(a, b *schemav1.TargetCapabilities) bool {
	return a.GetFence() == b.GetFence() && a.GetDrain() == b.GetDrain() && a.GetDeadline() == b.GetDeadline() &&
		a.GetCancel() == b.GetCancel() && a.GetLoad() == b.GetLoad()
}

// registrationCommands returns the commands for the announcements that change the table.
func (d *Driver) registrationCommands() []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, name := range sortedKeys(d.pendingAnnouncements) {
		commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_RegisterTarget{
			RegisterTarget: &schemav1.RegisterTarget{Announcement: d.pendingAnnouncements[name]},
		}})
	}
	clear(d.pendingAnnouncements)
	return commands
}

// lossCommands marks targets as lost if their attached host reports them as unreachable or if they have not announced
// themselves within announcementTimeout.
func (d *Driver) lossCommands(now time.Duration) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, record := range d.targetRecords {
		observed := d.targets[record.Announcement.Target]
		if observed == nil || record.Lost {
			continue
		}
		unreachable := d.reportedUnreachable(record)
		if unreachable {
			observed.unreachableFrom = holderKey{record.AttachedHost, record.AttachedIdentity}
		}
		if (unreachable || now-observed.announcedAt > announcementTimeout) && observed.mayPropose(now, "lost") {
			commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MarkTargetLost{
				MarkTargetLost: &schemav1.MarkTargetLost{Target: observed.name, BootId: observed.bootID},
			}})
		}
	}
	return commands
}

// reportedUnreachable reports whether the attached host has reported the present boot of the target as unreachable. Reports of
// other hosts do not count.
func (d *Driver) reportedUnreachable(record *schemav1.TargetRecord) bool {
	if record.AttachedHost == "" {
		return false
	}
	r := d.holder(holderKey{record.AttachedHost, record.AttachedIdentity}).reports[record.Announcement.Target]
	return r.TargetReport != nil && r.Unreachable && r.BootId == record.Announcement.BootId
}
