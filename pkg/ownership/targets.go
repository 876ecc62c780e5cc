package ownership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxPastBoots limits the remembered earlier boots of a target. An announcement of a forgotten boot would have to be late by
// as many restarts.
const maxPastBoots = 16

// Limits of the number of targets. When a new target registers, lost targets without shards are removed if there are at least
// pruneThreshold targets, and the new one is refused if there are still maxTargets. The design size is about 100 targets per
// data centre.
const (
	pruneThreshold = 1024
	maxTargets     = 4096
)

// generationShift puts the generation into the upper half of attachment numbers, so that a number that was lost with the end
// of an earlier generation's log is never used again.
const generationShift = 32

// registerTarget records an announcement. It ignores late announcements, and those that contradict a live target of the same
// name.
func (t *Table) registerTarget(announcement *schemav1.Announcement) bool {
	if !t.wellFormed(announcement) {
		return false
	}
	entry, ok := (*t.targets.Load())[announcement.Target]
	if !ok {
		t.pruneLostTargets()
		if len(*t.targets.Load()) >= maxTargets {
			return false
		}
		t.addTarget(&schemav1.TargetRecord{Announcement: announcement})
		return true
	}
	record := entry.published.Load().record
	known := record.Announcement
	if !t.consistent(record, announcement) {
		return false
	}
	if announcement.BootId == known.BootId {
		if announcement.Sequence <= known.Sequence {
			return false
		}
		t.updateTarget(record, func(r *schemav1.TargetRecord) { r.Announcement, r.Lost = withLeaving(r, announcement), false })
		return true
	}
	t.restartTarget(record, announcement)
	return true
}

// wellFormed reports whether an announcement is complete and not of another data centre.
func (t *Table) wellFormed(a *schemav1.Announcement) bool {
	return a.GetTarget() != "" && a.GetService() != "" && a.GetAddress() != "" && a.GetBootId() != "" &&
		(a.GetDataCentre() == "" || a.GetDataCentre() == t.dataCentre)
}

// consistent reports whether an announcement may come from the registered target. While that target is alive, a different
// address means that another process uses its name. A target that owns shards cannot change its service.
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

// restartTarget records a new boot of a known target. The target stays the owner of its shards, but the new process does not
// know the fences of the old one, so each shard gets a new fence.
func (t *Table) restartTarget(record *schemav1.TargetRecord, announcement *schemav1.Announcement) {
	t.updateTarget(record, func(r *schemav1.TargetRecord) {
		r.PastBootIds = append(slices.Clone(r.PastBootIds), r.Announcement.BootId)
		if excess := len(r.PastBootIds) - maxPastBoots; excess > 0 {
			r.PastBootIds = r.PastBootIds[excess:]
		}
		r.Announcement, r.Lost, r.Warm, r.Leaving = announcement, false, false, false
	})
	t.renewFencesOf(announcement.Target)
}

// pruneLostTargets removes lost targets without shards once there are pruneThreshold targets, so that targets that return
// under new names again and again do not fill the table.
func (t *Table) pruneLostTargets() {
	targets := *t.targets.Load()
	if len(targets) < pruneThreshold {
		return
	}
	kept := maps.Clone(targets)
	for name, entry := range targets {
		if entry.published.Load().record.Lost && len(t.byOwner[name]) == 0 {
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

// attachTarget attaches a target to a host of the data centre, or detaches it if the host is empty. Attaching gives all shards
// of the target new fences, so that a target that checks fences refuses late requests of the previous host.
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
	t.renewFencesOf(command.Target)
	return true
}

// detach removes the attached host from a record and keeps it as the previous host, which may send requests until it learns of
// the change or its lease expires.
func (t *Table) detach(r *schemav1.TargetRecord) {
	if r.AttachedHost == "" {
		return
	}
	r.PreviousHost, r.PreviousIdentity, r.PreviousAttachment = r.AttachedHost, r.AttachedIdentity, r.Attachment
	r.AttachedHost, r.AttachedIdentity = "", 0
	r.Attachment = t.nextAttachment(r.Attachment)
}

// nextAttachment returns an attachment number that is higher than all earlier ones of the target. It is derived from the
// fence counter of the group, so that this also holds for a target that was removed from the table in between.
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

// publish makes record the current record of a target, together with the host that may send requests to it.
func (t *Table) publish(entry *targetEntry, record *schemav1.TargetRecord) {
	published := &publishedTarget{record: record}
	if identity, ok := t.hostIdentity(record.AttachedHost); ok && identity == record.AttachedIdentity {
		published.host = record.AttachedHost
	}
	entry.published.Store(published)
}

func (t *Table) addTarget(record *schemav1.TargetRecord) {
	entry := &targetEntry{}
	t.publish(entry, record)
	targets := maps.Clone(*t.targets.Load())
	targets[record.Announcement.Target] = entry
	t.targets.Store(&targets)
}

// updateTarget applies change to a copy of record and publishes the copy.
func (t *Table) updateTarget(record *schemav1.TargetRecord, change func(*schemav1.TargetRecord)) {
	updated := proto.CloneOf(record)
	change(updated)
	t.publish((*t.targets.Load())[record.Announcement.Target], updated)
}
