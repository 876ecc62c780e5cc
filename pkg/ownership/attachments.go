package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/decisionlog"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// drainBatchDivisor limits how many of a draining host's targets may be unattached at the same time: one in four.
const drainBatchDivisor = 4

// rebalanceInterval is the minimum time between detachments that only balance the hosts. Each of them stops a target until
// its requests have ended.
const rebalanceInterval = 5 * time.Second

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// hostLoad is a host that targets may be attached to, with its present load.
type hostLoad struct {
	*holder
	// weight is the sum of attachmentWeight over the attached targets, and targets their number.
	weight  int
	targets int
}

// attachmentCommands attaches targets that have no host or whose host's lease has expired, detaches targets from draining
// hosts, and balances the hosts. It does nothing while a new leader waits for lease renewals.
func (d *Driver) attachmentCommands(now time.Duration) []*schemav1.GroupCommand {
	if d.awaitingRenewals(now) {
		return nil
	}
	targetRecords := d.targetRecords
	hosts := d.hostLoads(now, targetRecords)
	var commands []*schemav1.GroupCommand
	for _, record := range targetRecords {
		if command := d.attachCommand(now, record, hosts); command != nil {
			commands = append(commands, &schemav1.GroupCommand{
				Command: &schemav1.GroupCommand_AttachTarget{AttachTarget: command},
			})
		}
	}
	commands = append(commands, d.drainCommands(now, targetRecords, hosts)...)
	return append(commands, d.rebalanceCommands(now, targetRecords, hosts)...)
}

// rebalanceCommands detaches one target from the host with the most weight, if the host with the least weight would still not
// have more than the other after taking it. It does nothing while a target without host is waiting, because attaching that
// target may balance the hosts by itself.
func (d *Driver) rebalanceCommands(now time.Duration, records []*schemav1.TargetRecord, hosts []*hostLoad) []*schemav1.GroupCommand {
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
	return []*schemav1.GroupCommand{detachCommand(candidate)}
}

// detachCommand returns the command that takes a target from its attached host.
func detachCommand(record *schemav1.TargetRecord) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AttachTarget{AttachTarget: &schemav1.AttachTarget{
		Target: record.Announcement.Target, ExpectedAttachment: record.Attachment,
	}}}
}

// awaitingRenewals reports whether this leader is new and some hosts have not renewed their leases with it yet.
func (d *Driver) awaitingRenewals(now time.Duration) bool {
	if now-d.startedAt >= renewalWait {
		return false
	}
	for _, host := range d.table.ControlView().Hosts {
		if host.DataCentre == d.table.DataCentre() && !d.holder(holderKey{host.Name, host.Identity}).holdsLease(now) {
			return true
		}
	}
	return false
}

// hostLoads returns the hosts that targets may be attached to: those of the control view that hold a lease from this leader
// and are not draining.
func (d *Driver) hostLoads(now time.Duration, records []*schemav1.TargetRecord) []*hostLoad {
	var hosts []*hostLoad
	byKey := map[holderKey]*hostLoad{}
	for _, host := range d.table.ControlView().Hosts {
		h := d.holder(holderKey{host.Name, host.Identity})
		if host.DataCentre == d.table.DataCentre() && h.holdsLease(now) && !h.draining {
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

// attachmentWeight returns the number of requests that a target can process at the same time through one host: its slots,
// or its connection limit if that is lower.
func attachmentWeight(record *schemav1.TargetRecord) int {
	slots, connections := record.Announcement.Slots, record.Announcement.MaxConnections
	if connections > 0 {
		slots = min(slots, connections)
	}
	return int(max(min(slots, maxSlots), 1))
}

// attachCommand returns the command that attaches a target to a host, or nil if the attachment must not change now. A target
// that has a host changes it only after the lease of that host has expired.
func (d *Driver) attachCommand(now time.Duration, record *schemav1.TargetRecord, hosts []*hostLoad) *schemav1.AttachTarget {
	observed := d.targets[record.Announcement.Target]
	if observed == nil || record.Lost || len(hosts) == 0 {
		return nil
	}
	attached := holderKey{record.AttachedHost, record.AttachedIdentity}
	if record.AttachedHost == "" {
		if !d.previousHostStopped(now, observed, record) {
			return nil
		}
	} else if !d.holder(attached).expired(now) {
		return nil
	}
	if !observed.mayPropose(now, "attach") {
		return nil
	}
	host := d.chooseHost(now, record, hosts)
	if record.AttachedHost != "" {
		// The old host gets no lease until the command has been applied.
		observed.pendingEviction = &eviction{attachment: record.Attachment, holder: attached}
	}
	host.weight += attachmentWeight(record)
	host.targets++
	d.options.DecisionLog.LogPlacement(&decisionlog.PlacementDecision{
		Kind: "attach", From: record.AttachedHost, To: host.key.name, Reason: "target " + observed.name,
	})
	return &schemav1.AttachTarget{
		Target: observed.name, Host: host.key.name, ExpectedAttachment: record.Attachment,
	}
}

// chooseHost returns the host with the least weight. A host that recently failed to reach the target is chosen only if there
// is no other.
func (d *Driver) chooseHost(now time.Duration, record *schemav1.TargetRecord, hosts []*hostLoad) *hostLoad {
	observed := d.targets[record.Announcement.Target]
	recentlyFailed := func(h *hostLoad) int {
		if observed.unreachableFrom == h.key && now-observed.lostAt < lossResetTime {
			return 1
		}
		return 0
	}
	return slices.MinFunc(hosts, func(a, b *hostLoad) int {
		return cmp.Or(cmp.Compare(recentlyFailed(a), recentlyFailed(b)), cmp.Compare(a.weight, b.weight),
			cmp.Compare(a.targets, b.targets), cmp.Compare(a.key.name, b.key.name))
	})
}

// drainCommands detaches targets from draining hosts, a part of each host's targets at a time.
func (d *Driver) drainCommands(now time.Duration, records []*schemav1.TargetRecord, hosts []*hostLoad) []*schemav1.GroupCommand {
	if len(hosts) == 0 {
		return nil
	}
	var commands []*schemav1.GroupCommand
	for _, key := range d.drainingHosts(now) {
		var attached []*schemav1.TargetRecord
		detachedCount := 0
		for _, record := range records {
			switch {
			case key == holderKey{record.AttachedHost, record.AttachedIdentity}:
				attached = append(attached, record)
			case record.AttachedHost == "" && key == holderKey{record.PreviousHost, record.PreviousIdentity}:
				detachedCount++
			}
		}
		detachable := max((len(attached)+detachedCount+drainBatchDivisor-1)/drainBatchDivisor-detachedCount, 0)
		for _, record := range attached[:min(detachable, len(attached))] {
			commands = append(commands, detachCommand(record))
		}
	}
	return commands
}

// drainingHosts returns the hosts that hold a lease and report that they are draining, ordered by name and identity.
func (d *Driver) drainingHosts(now time.Duration) []holderKey {
	var keys []holderKey
	for key, h := range d.holders {
		if h.draining && h.holdsLease(now) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b holderKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.identity, b.identity))
	})
	return keys
}
