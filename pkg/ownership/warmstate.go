package ownership

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// warmReproposeInterval is the time after which a change of a target's warm state that has not taken effect is proposed again.
const warmReproposeInterval = 100 * time.Millisecond

// setTargetWarm records whether the present boot of a target has completed its cold start. A lost target is cold (I3).
func (t *Table) setTargetWarm(command *schemav1.SetTargetWarm) bool {
	record, ok := t.Target(command.GetTarget())
	if !ok || record.Lost || record.Announcement.BootId != command.GetBootId() || record.Warm == command.GetWarm() {
		return false
	}
	t.updateTarget(record, func(r *schemav1.TargetRecord) { r.Warm = command.GetWarm() })
	return true
}

// warmStateCommands records which targets have completed their cold start, as reported by their attached hosts. Without that
// record, the loss of a host would restart the cold start of its targets at one request at a time.
func (d *Driver) warmStateCommands(now time.Duration) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, record := range d.targetRecords {
		observed := d.targets[record.Announcement.Target]
		if observed == nil || record.Lost || record.AttachedHost == "" || now-observed.warmProposedAt < warmReproposeInterval {
			continue
		}
		r := d.holder(holderKey{record.AttachedHost, record.AttachedIdentity}).reports[record.Announcement.Target]
		if r.TargetReport == nil || r.BootId != record.Announcement.BootId || r.Warm == record.Warm {
			continue
		}
		observed.warmProposedAt = now
		commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetTargetWarm{
			SetTargetWarm: &schemav1.SetTargetWarm{Target: observed.name, BootId: observed.bootID, Warm: r.Warm},
		}})
	}
	return commands
}
