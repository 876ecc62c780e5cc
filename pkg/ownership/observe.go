package ownership

import (
	"maps"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// utilisationSmoothing is the weight of a new report. Reports come every 100 ms, so the mean covers about 10 s.
	utilisationSmoothing = 0.01
	// holdBase and holdMax bound how long a target that was lost again gets no shards after its return; the time
	// doubles with each loss, so that a target that flaps stays out of use.
	holdBase = time.Second
	holdMax  = time.Minute
	// proposeInterval is the time after which a command that has no effect yet is proposed again.
	proposeInterval = 60 * time.Millisecond
	// calmTime without a loss clears the count of losses.
	calmTime = 5 * time.Minute
)

// targetWatch is what the leader observes of a target beyond its record.
type targetWatch struct {
	name   string
	bootID string
	// bootAt is when the boot was first seen; established boots were there before this leader.
	bootAt      time.Duration
	established bool
	// announcedAt and sequence are of the last announcement; most of them are not in the table.
	announcedAt time.Duration
	sequence    uint64

	attachment uint64
	detached   *detachment
	evicting   *eviction
	proposed   proposal

	utilisation float64
	latency     time.Duration
	reportedAt  time.Duration
	// slow and fast tell on which side of the straggler bounds the latency is, with the time of the change.
	slow, fast           bool
	slowSince, fastSince time.Duration
	straggler            bool

	// failedHost is the last host that could not reach the target.
	failedHost holderKey

	// warmAt is the last proposal about the cold start.
	warmAt time.Duration

	lost      bool
	losses    int
	lostAt    time.Duration
	holdUntil time.Duration
}

// proposal is the last command about a target.
type proposal struct {
	kind       string
	attachment uint64
	at         time.Duration
}

// observe takes over what the table has applied since the last call.
func (d *Driver) observe(now time.Duration) {
	if d.observing && d.table.changes.Load() == d.observed {
		return
	}
	first := !d.observing
	records, index, changes := d.table.observation()
	d.observing, d.observed, d.records = true, changes, records
	for _, record := range records {
		d.observeTarget(now, record, index, first)
	}
	if len(d.targets) > len(records) {
		maps.DeleteFunc(d.targets, func(name string, _ *targetWatch) bool {
			_, registered := d.table.Target(name)
			return !registered
		})
	}
}

func (d *Driver) observeTarget(now time.Duration, record *schemav1.TargetRecord, index uint64, first bool) {
	a := record.Announcement
	watch, ok := d.targets[a.Target]
	if !ok {
		watch = &targetWatch{name: a.Target, announcedAt: now, established: first}
		d.targets[a.Target] = watch
	}
	if watch.bootID != a.BootId {
		watch.established = watch.established && watch.bootID == ""
		watch.bootID, watch.bootAt, watch.announcedAt, watch.sequence = a.BootId, now, now, a.Sequence
	}
	if a.Sequence > watch.sequence {
		watch.sequence, watch.announcedAt = a.Sequence, now
	}
	watch.observeLoss(now, record.Lost)
	d.observeAttachment(now, watch, record, index)
}

// observeLoss counts losses and keeps a target that returns out of use for a while.
func (w *targetWatch) observeLoss(now time.Duration, lost bool) {
	switch {
	case lost && !w.lost:
		if now-w.lostAt > calmTime {
			w.losses = 0
		}
		w.losses, w.lostAt = w.losses+1, now
	case !lost && w.lost:
		w.bootAt, w.established, w.announcedAt = now, false, now
		w.holdUntil = now + min(holdBase<<min(w.losses-1, 16), holdMax)
	}
	w.lost = lost
}

// observeAttachment notes losses of attachments and completes evictions.
func (d *Driver) observeAttachment(now time.Duration, watch *targetWatch, record *schemav1.TargetRecord, index uint64) {
	if watch.evicting != nil && record.Attachment != watch.evicting.attachment {
		h := d.holder(watch.evicting.holder)
		h.barrier = max(h.barrier, index)
		watch.evicting = nil
	}
	if watch.attachment == record.Attachment {
		return
	}
	watch.attachment = record.Attachment
	watch.detached = nil
	if record.AttachedHost != "" || record.PreviousHost == "" {
		return
	}
	key := holderKey{record.PreviousHost, record.PreviousIdentity}
	watch.detached = &detachment{
		attachment: record.Attachment, lost: record.PreviousAttachment, holder: key, index: index, at: now,
	}
	watch.detached.note(d.holder(key).reports[watch.name])
}

// mayPropose reports whether a command of the given kind about the target is due: its last one has been applied, with a
// change of the attachment, or is overdue.
func (w *targetWatch) mayPropose(now time.Duration, kind string) bool {
	p := &w.proposed
	if p.kind == kind && p.attachment == w.attachment && now-p.at < proposeInterval {
		return false
	}
	*p = proposal{kind: kind, attachment: w.attachment, at: now}
	return true
}

// observeReports takes over the load and latency that the attached host measured.
func (d *Driver) observeReports(now time.Duration, h *holder) {
	for name, r := range h.reports {
		watch, ok := d.targets[name]
		if !ok || watch.bootID != r.BootId || !d.attachedTo(name, h.key) {
			continue
		}
		if watch.reportedAt == 0 {
			watch.utilisation = clampShare(r.Utilisation)
		} else {
			watch.utilisation += utilisationSmoothing * (clampShare(r.Utilisation) - watch.utilisation)
		}
		watch.reportedAt = now
		watch.latency = time.Duration(r.LatencyP50Us) * time.Microsecond
		d.observeHotKeys(now, r.HotKeys)
	}
}

func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}

func (d *Driver) attachedTo(target string, key holderKey) bool {
	record, ok := d.table.Target(target)
	return ok && record.AttachedHost == key.name && record.AttachedIdentity == key.identity
}

// Announce takes an announcement that any host of the data centre has received. Only those that change the record
// become commands; the others just keep the target alive. It reports whether the announcement is believed.
func (d *Driver) Announce(now time.Duration, announcement *schemav1.Announcement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	if !d.table.Accepts(announcement) {
		return false
	}
	record, known := d.table.Target(announcement.Target)
	if !known || record.Announcement.BootId != announcement.BootId {
		d.announced[announcement.Target] = announcement
		return true
	}
	watch := d.targets[announcement.Target]
	if announcement.Sequence <= watch.sequence {
		return false
	}
	watch.sequence, watch.announcedAt = announcement.Sequence, now
	if record.Lost || differs(record.Announcement, announcement) {
		d.announced[announcement.Target] = announcement
	}
	return true
}

// differs tells whether an announcement of the same boot changes anything that the table is used for.
func differs(a, b *schemav1.Announcement) bool {
	return a.Address != b.Address || a.Service != b.Service || a.Slots != b.Slots || a.Draining != b.Draining ||
		a.MaxConnections != b.MaxConnections || a.Token != b.Token || !sameCapabilities(a.Capabilities, b.Capabilities)
}

func sameCapabilities(a, b *schemav1.TargetCapabilities) bool {
	return a.GetFence() == b.GetFence() && a.GetDrain() == b.GetDrain() && a.GetDeadline() == b.GetDeadline() &&
		a.GetCancel() == b.GetCancel() && a.GetLoad() == b.GetLoad()
}

// registrations proposes the announcements that change the table.
func (d *Driver) registrations() []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, name := range sortedKeys(d.announced) {
		commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_RegisterTarget{
			RegisterTarget: &schemav1.RegisterTarget{Announcement: d.announced[name]},
		}})
	}
	clear(d.announced)
	return commands
}

// losses marks targets as lost that their attached host can't reach or that have not announced themselves for long.
func (d *Driver) losses(now time.Duration) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, record := range d.records {
		watch := d.targets[record.Announcement.Target]
		if watch == nil || record.Lost {
			continue
		}
		unreachable := d.reportedUnreachable(record)
		if unreachable {
			watch.failedHost = holderKey{record.AttachedHost, record.AttachedIdentity}
		}
		if (unreachable || now-watch.announcedAt > announceExpiry) && watch.mayPropose(now, "lost") {
			commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MarkTargetLost{
				MarkTargetLost: &schemav1.MarkTargetLost{Target: watch.name, BootId: watch.bootID},
			}})
		}
	}
	return commands
}

// reportedUnreachable looks at the attached host's last report; other hosts have no say.
func (d *Driver) reportedUnreachable(record *schemav1.TargetRecord) bool {
	if record.AttachedHost == "" {
		return false
	}
	r := d.holder(holderKey{record.AttachedHost, record.AttachedIdentity}).reports[record.Announcement.Target]
	return r.TargetReport != nil && r.Unreachable && r.BootId == record.Announcement.BootId
}
