package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/decisionlog"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// drainParts is the part of a draining host's targets that are without attachment at the same time: one in four.
const drainParts = 4

// rebalanceInterval is the time between moves of attachments that only level the hosts; each one stops a target until
// its requests have ended.
const rebalanceInterval = 5 * time.Second

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// hostLoad is a host that may be attached to targets, with the sum of their weights.
type hostLoad struct {
	*holder
	weight  int
	targets int
}

// attachments attaches targets that have no host, or whose host's lease is over, and detaches those of draining hosts.
func (d *Driver) attachments(now time.Duration) []*schemav1.GroupCommand {
	if d.gathering(now) {
		return nil
	}
	records := d.records
	hosts := d.hostLoads(now, records)
	var commands []*schemav1.GroupCommand
	for _, record := range records {
		if command := d.attachment(now, record, hosts); command != nil {
			commands = append(commands, &schemav1.GroupCommand{
				Command: &schemav1.GroupCommand_AttachTarget{AttachTarget: command},
			})
		}
	}
	commands = append(commands, d.detachments(now, records, hosts)...)
	return append(commands, d.rebalance(now, records, hosts)...)
}

// rebalance takes one target at a time from the host with the most weight, when a host with much less could have it. It
// waits while any target is without host, since that one may level the hosts.
func (d *Driver) rebalance(now time.Duration, records []*schemav1.TargetRecord, hosts []*hostLoad) []*schemav1.GroupCommand {
	if len(hosts) < 2 || now-d.rebalancedAt < rebalanceInterval {
		return nil
	}
	byWeight := func(a, b *hostLoad) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.key.name, b.key.name))
	}
	least, most := slices.MinFunc(hosts, byWeight), slices.MaxFunc(hosts, byWeight)
	var candidate *schemav1.TargetRecord
	for _, record := range records {
		switch {
		case record.AttachedHost == "" && !record.Lost:
			return nil
		case candidate == nil && most.key == (holderKey{record.AttachedHost, record.AttachedIdentity}) &&
			most.weight-least.weight >= 2*attachmentWeight(record):
			candidate = record
		}
	}
	if candidate == nil {
		return nil
	}
	d.rebalancedAt = now
	return []*schemav1.GroupCommand{detach(candidate)}
}

func detach(record *schemav1.TargetRecord) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AttachTarget{AttachTarget: &schemav1.AttachTarget{
		Target: record.Announcement.Target, ExpectedAttachment: record.Attachment,
	}}}
}

// gathering tells whether a new leader still waits for hosts to renew.
func (d *Driver) gathering(now time.Duration) bool {
	if now-d.startedAt >= gatherTime {
		return false
	}
	for _, host := range d.table.ControlView().Hosts {
		if host.DataCentre == d.table.DataCentre() && !d.holder(holderKey{host.Name, host.Identity}).alive(now) {
			return true
		}
	}
	return false
}

// hostLoads returns the hosts of the control view that renew their lease and don't drain.
func (d *Driver) hostLoads(now time.Duration, records []*schemav1.TargetRecord) []*hostLoad {
	var hosts []*hostLoad
	byKey := map[holderKey]*hostLoad{}
	for _, host := range d.table.ControlView().Hosts {
		h := d.holder(holderKey{host.Name, host.Identity})
		if host.DataCentre == d.table.DataCentre() && h.alive(now) && !h.draining {
			hosts = append(hosts, &hostLoad{holder: h})
			byKey[h.key] = hosts[len(hosts)-1]
		}
	}
	for _, record := range records {
		if h := byKey[holderKey{record.AttachedHost, record.AttachedIdentity}]; h != nil {
			h.weight += attachmentWeight(record)
			h.targets++
		}
	}
	return hosts
}

// attachmentWeight is the number of requests that a target can keep running through one host: its slots, or its
// connection limit if that is lower.
func attachmentWeight(record *schemav1.TargetRecord) int {
	slots, connections := record.Announcement.Slots, record.Announcement.MaxConnections
	if connections > 0 {
		slots = min(slots, connections)
	}
	return int(max(min(slots, maxSlots), 1))
}

// attachment returns the command that attaches a target, or nil when it stays as it is.
func (d *Driver) attachment(now time.Duration, record *schemav1.TargetRecord, hosts []*hostLoad) *schemav1.AttachTarget {
	watch := d.targets[record.Announcement.Target]
	if watch == nil || record.Lost || len(hosts) == 0 {
		return nil
	}
	attached := holderKey{record.AttachedHost, record.AttachedIdentity}
	if record.AttachedHost == "" {
		if !d.clear(now, watch, record) {
			return nil
		}
	} else if !d.holder(attached).expired(now) {
		return nil
	}
	if !watch.mayPropose(now, "attach") {
		return nil
	}
	host := d.chooseHost(now, record, hosts)
	if record.AttachedHost != "" {
		// Until this is applied the old host gets no lease.
		watch.evicting = &eviction{attachment: record.Attachment, holder: attached}
	}
	host.weight += attachmentWeight(record)
	host.targets++
	d.options.DecisionLog.LogPlacement(&decisionlog.PlacementDecision{
		Kind: "attach", From: record.AttachedHost, To: host.key.name, Reason: "target " + watch.name,
	})
	return &schemav1.AttachTarget{
		Target: watch.name, Host: host.key.name, ExpectedAttachment: record.Attachment,
	}
}

// chooseHost returns the host with the least weight. A host that could not reach the target lately is the last choice.
func (d *Driver) chooseHost(now time.Duration, record *schemav1.TargetRecord, hosts []*hostLoad) *hostLoad {
	watch := d.targets[record.Announcement.Target]
	failed := func(h *hostLoad) int {
		if watch.failedHost == h.key && now-watch.lostAt < calmTime {
			return 1
		}
		return 0
	}
	return slices.MinFunc(hosts, func(a, b *hostLoad) int {
		return cmp.Or(cmp.Compare(failed(a), failed(b)), cmp.Compare(a.weight, b.weight),
			cmp.Compare(a.targets, b.targets), cmp.Compare(a.key.name, b.key.name))
	})
}

// detachments takes targets from draining hosts, a part at a time.
func (d *Driver) detachments(now time.Duration, records []*schemav1.TargetRecord, hosts []*hostLoad) []*schemav1.GroupCommand {
	if len(hosts) == 0 {
		return nil
	}
	var commands []*schemav1.GroupCommand
	for _, key := range d.drainingHosts(now) {
		var attached []*schemav1.TargetRecord
		between := 0
		for _, record := range records {
			switch {
			case key == holderKey{record.AttachedHost, record.AttachedIdentity}:
				attached = append(attached, record)
			case record.AttachedHost == "" && key == holderKey{record.PreviousHost, record.PreviousIdentity}:
				between++
			}
		}
		allowed := max((len(attached)+between+drainParts-1)/drainParts-between, 0)
		for _, record := range attached[:min(allowed, len(attached))] {
			commands = append(commands, detach(record))
		}
	}
	return commands
}

func (d *Driver) drainingHosts(now time.Duration) []holderKey {
	var keys []holderKey
	for key, h := range d.holders {
		if h.draining && h.alive(now) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b holderKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.identity, b.identity))
	})
	return keys
}
