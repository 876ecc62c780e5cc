package ownership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxPastBoots bounds the remembered boots of a target. An announcement of an older boot would have to be late by as
// many restarts.
const maxPastBoots = 16

// Bounds of the number of targets: from idleTargets on, lost ones without shards are forgotten, and beyond maxTargets
// new ones are refused. A data centre of the size to design for has about 100.
const (
	idleTargets = 1024
	maxTargets  = 4096
)

// generationShift puts the generation into the high half of attachment numbers, so that a number that was lost with
// the tail of an earlier generation is never given out again.
const generationShift = 32

// registerTarget records an announcement. Late ones, and those that contradict a live target of the same name, are
// ignored.
func (t *Table) registerTarget(announcement *schemav1.Announcement) bool {
	if !t.wellFormed(announcement) {
		return false
	}
	state, ok := (*t.targets.Load())[announcement.Target]
	if !ok {
		t.forgetIdleTargets()
		if len(*t.targets.Load()) >= maxTargets {
			return false
		}
		t.addTarget(&schemav1.TargetRecord{Announcement: announcement})
		return true
	}
	record := state.published.Load().record
	known := record.Announcement
	if !t.consistent(record, announcement) {
		return false
	}
	if announcement.BootId == known.BootId {
		if announcement.Sequence <= known.Sequence {
			return false
		}
		t.updateTarget(record, func(r *schemav1.TargetRecord) { r.Announcement, r.Lost = announcement, false })
		return true
	}
	t.restartTarget(record, announcement)
	return true
}

func (t *Table) wellFormed(a *schemav1.Announcement) bool {
	return a.GetTarget() != "" && a.GetService() != "" && a.GetAddress() != "" && a.GetBootId() != "" &&
		(a.GetDataCentre() == "" || a.GetDataCentre() == t.dataCentre)
}

// consistent tells whether an announcement may come from the registered target. While that target is alive, another
// address is another process that uses its name. A target that owns shards can't change its service.
func (t *Table) consistent(record *schemav1.TargetRecord, announcement *schemav1.Announcement) bool {
	known := record.Announcement
	if slices.Contains(record.PastBootIds, announcement.BootId) {
		return false
	}
	if !record.Lost && announcement.Address != known.Address {
		return false
	}
	return announcement.Service == known.Service || len(t.byOwner[announcement.Target]) == 0
}

// restartTarget takes a new boot of a known target: its shards keep it as owner, but the process has forgotten all
// grants, so each gets a new fence.
func (t *Table) restartTarget(record *schemav1.TargetRecord, announcement *schemav1.Announcement) {
	t.updateTarget(record, func(r *schemav1.TargetRecord) {
		r.PastBootIds = append(slices.Clone(r.PastBootIds), r.Announcement.BootId)
		if excess := len(r.PastBootIds) - maxPastBoots; excess > 0 {
			r.PastBootIds = r.PastBootIds[excess:]
		}
		r.Announcement, r.Lost, r.Warm = announcement, false, false
	})
	t.refenceShardsOf(announcement.Target)
}

// forgetIdleTargets removes lost targets without shards once there are many names, so that targets which come back
// under ever new names don't fill the table.
func (t *Table) forgetIdleTargets() {
	targets := *t.targets.Load()
	if len(targets) < idleTargets {
		return
	}
	kept := maps.Clone(targets)
	for name, state := range targets {
		if state.published.Load().record.Lost && len(t.byOwner[name]) == 0 {
			delete(kept, name)
		}
	}
	t.targets.Store(&kept)
}

// markTargetLost marks the boot of a target as lost and detaches it.
func (t *Table) markTargetLost(command *schemav1.MarkTargetLost) bool {
	record, ok := t.Target(command.GetTarget())
	if !ok || record.Lost || record.Announcement.BootId != command.GetBootId() {
		return false
	}
	t.updateTarget(record, func(r *schemav1.TargetRecord) {
		r.Lost, r.Warm = true, false
		t.detach(r)
	})
	return true
}

// attachTarget attaches a target to a host of the data centre, or detaches it. Attaching gives all shards of the
// target new fences: a target that checks them then refuses what the previous host sends late.
func (t *Table) attachTarget(command *schemav1.AttachTarget) bool {
	record, ok := t.Target(command.GetTarget())
	if !ok || record.Attachment != command.GetExpectedAttachment() {
		return false
	}
	if command.Host == "" {
		if record.AttachedHost == "" {
			return false
		}
		t.updateTarget(record, t.detach)
		return true
	}
	identity, ok := t.hostIdentity(command.Host)
	if !ok || record.Lost {
		return false
	}
	t.updateTarget(record, func(r *schemav1.TargetRecord) {
		r.AttachedHost, r.AttachedIdentity = command.Host, identity
		r.PreviousHost, r.PreviousIdentity, r.PreviousAttachment = "", 0, 0
		r.Attachment = t.nextAttachment(r.Attachment)
	})
	t.refenceShardsOf(command.Target)
	return true
}

// detach remembers the last attached host, which may send until it learns of the change or its lease ends.
func (t *Table) detach(r *schemav1.TargetRecord) {
	if r.AttachedHost == "" {
		return
	}
	r.PreviousHost, r.PreviousIdentity, r.PreviousAttachment = r.AttachedHost, r.AttachedIdentity, r.Attachment
	r.AttachedHost, r.AttachedIdentity = "", 0
	r.Attachment = t.nextAttachment(r.Attachment)
}

// nextAttachment returns a number above all that the target had. It follows the counter of the group, so that this
// also holds for a target that was forgotten in between.
func (t *Table) nextAttachment(current uint64) uint64 {
	t.fenceCounter++
	return max(current, t.generation<<generationShift+t.fenceCounter) + 1
}

// hostIdentity returns the identity of a host of this data centre in the control view.
func (t *Table) hostIdentity(name string) (uint64, bool) {
	for _, host := range t.view.Load().Hosts {
		if host.Name == name && host.DataCentre == t.dataCentre {
			return host.Identity, true
		}
	}
	return 0, false
}

// publish pairs a record with the host that may send.
func (t *Table) publish(state *targetState, record *schemav1.TargetRecord) {
	published := &publishedTarget{record: record}
	if identity, ok := t.hostIdentity(record.AttachedHost); ok && identity == record.AttachedIdentity {
		published.host = record.AttachedHost
	}
	state.published.Store(published)
}

func (t *Table) addTarget(record *schemav1.TargetRecord) {
	state := &targetState{}
	t.publish(state, record)
	targets := maps.Clone(*t.targets.Load())
	targets[record.Announcement.Target] = state
	t.targets.Store(&targets)
}

// updateTarget publishes a changed copy of record.
func (t *Table) updateTarget(record *schemav1.TargetRecord, change func(*schemav1.TargetRecord)) {
	updated := proto.CloneOf(record)
	change(updated)
	t.publish((*t.targets.Load())[record.Announcement.Target], updated)
}
