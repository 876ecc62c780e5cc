package ownership

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// warmRepeat is how long a proposal about the cold start of a target may take before it is repeated.
const warmRepeat = 100 * time.Millisecond

// setTargetWarm records whether the present boot of a target is past its cold start. A lost target is cold (I3).
func (t *Table) setTargetWarm(command *schemav1.SetTargetWarm) bool {
	record, ok := t.Target(command.GetTarget())
	if !ok || record.Lost || record.Announcement.BootId != command.GetBootId() || record.Warm == command.GetWarm() {
		return false
	}
	t.updateTarget(record, func(r *schemav1.TargetRecord) { r.Warm = command.GetWarm() })
	return true
}

// warmth takes over from the attached hosts which targets are past their cold start. Without it each loss of a host
// would send its warm targets back to one request at a time.
func (d *Driver) warmth(now time.Duration) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for _, record := range d.records {
		watch := d.targets[record.Announcement.Target]
		if watch == nil || record.Lost || record.AttachedHost == "" || now-watch.warmAt < warmRepeat {
			continue
		}
		r := d.holder(holderKey{record.AttachedHost, record.AttachedIdentity}).reports[record.Announcement.Target]
		if r.TargetReport == nil || r.BootId != record.Announcement.BootId || r.Warm == record.Warm {
			continue
		}
		watch.warmAt = now
		commands = append(commands, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetTargetWarm{
			SetTargetWarm: &schemav1.SetTargetWarm{Target: watch.name, BootId: watch.bootID, Warm: r.Warm},
		}})
	}
	return commands
}
