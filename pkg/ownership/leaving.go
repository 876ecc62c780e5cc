package ownership

import (
	"time"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// setTargetLeaving records that the present boot of a target leaves (I9).
func (t *Table) setTargetLeaving(command *schemav1.SetTargetLeaving) bool {
	record, ok := t.Target(command.GetTarget())
	if !ok || record.Leaving || record.Announcement.BootId != command.GetBootId() {
		return false
	}
	t.updateTarget(record, func(r *schemav1.TargetRecord) {
		r.Leaving = true
		r.Announcement = withLeaving(r, r.Announcement)
	})
	return true
}

// withLeaving returns an announcement of the boot in a record, as draining if that boot leaves.
func withLeaving(record *schemav1.TargetRecord, announcement *schemav1.Announcement) *schemav1.Announcement {
	if !record.Leaving || announcement.Draining {
		return announcement
	}
	draining := proto.Clone(announcement).(*schemav1.Announcement)
	draining.Draining = true
	return draining
}

// leavingCommands records which targets leave, as reported by their attached hosts.
func (d *Driver) leavingCommands(now time.Duration) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, record := range d.targetRecords {
		observed := d.targets[record.Announcement.Target]
		if observed == nil || record.Leaving || record.AttachedHost == "" {
			continue
		}
		r := d.holder(holderKey{record.AttachedHost, record.AttachedIdentity}).reports[record.Announcement.Target]
		if r.TargetReport == nil || !r.Leaving || r.BootId != record.Announcement.BootId || !observed.mayPropose(now, "leaving") {
			continue
		}
		commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetTargetLeaving{
			SetTargetLeaving: &schemav1.SetTargetLeaving{Target: observed.name, BootId: observed.bootID},
		}})
	}
	return commands
}
