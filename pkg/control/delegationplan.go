package control

import (
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/placement"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxDelegationMoves limits the shards of one keyspace that move at the same time, so that a data centre that returns takes
// over gradually. Moves away from a data centre that operators have taken out are not limited.
const maxDelegationMoves = 16

// reportCollectionDelay is how long a new leader collects reports from data centres before it delegates by capacity.
const reportCollectionDelay = time.Second

// exclusiveKeyspaces returns the keyspaces of the exclusive services of a configuration. Only they have owners and are
// delegated.
func exclusiveKeyspaces(configuration *schemav1.Configuration) []config.Keyspace {
	if configuration == nil {
		return nil
	}
	snapshot, err := config.Compile(configuration)
	if err != nil {
		// An accepted configuration compiled when it was checked. A release that cannot compile it delegates nothing.
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Keyspaces()), func(k config.Keyspace) bool { return !k.Exclusive })
}

// delegationCommands returns commands that delegate each shard without data centre, and move shards away from data centres
// that are out of service and back to those that returned.
func (d *Driver) delegationCommands(now time.Duration) []*schemav1.ControlCommand {
	if now-d.leaderSince < reportCollectionDelay {
		return nil
	}
	var commands []*schemav1.ControlCommand
	for _, configured := range exclusiveKeyspaces(d.state.Configuration()) {
		commands = append(commands, d.delegateKeyspace(now, configured)...)
	}
	return commands
}

// delegateKeyspace returns the delegation commands for one keyspace. A data centre that only stopped reporting keeps its shards.
func (d *Driver) delegateKeyspace(now time.Duration, configured config.Keyspace) []*schemav1.ControlCommand {
	dataCentres, capacity := d.describeDataCentres(now, configured.Service)
	if capacity == 0 {
		// No data centre could serve the shards, and a plan without capacities would have to be undone later.
		return nil
	}
	current := d.state.delegatedShards(configured)
	if hasNoDelegation(current) && d.awaitsCapacity(now, configured.Service, dataCentres) {
		return nil
	}
	input := placement.DataCentreInput{
		DataCentres: dataCentres,
		HomeRegions: configured.HomeRegions,
		Owners:      make([]string, len(current)),
		Pinned:      make([]bool, len(current)),
		MovesLeft:   maxDelegationMoves,
	}
	for shard, entry := range current {
		input.Owners[shard] = entry.dataCentre
		if entry.nextDataCentre != "" {
			input.Owners[shard], input.Pinned[shard] = entry.nextDataCentre, true
			input.MovesLeft = max(0, input.MovesLeft-1)
		}
	}
	plan := placement.PlanDataCentres(input)
	var commands []*schemav1.ControlCommand
	for _, change := range append(plan.Assignments, plan.Moves...) {
		commands = append(commands, redelegateCommands(configured.ID, current, change)...)
	}
	return commands
}

// awaitsCapacity reports whether the first delegation of a service should wait for more data centres to report capacity.
// Without the wait, the first data centre to report targets would get all shards, and most of them would move within seconds.
func (d *Driver) awaitsCapacity(now time.Duration, service string, dataCentres []placement.DataCentre) bool {
	since, ok := d.capacitySince[service]
	if !ok {
		since = now
		d.capacitySince[service] = now
	}
	missing := slices.ContainsFunc(dataCentres, func(c placement.DataCentre) bool { return c.Capacity == 0 && !c.OutOfService && !c.Lost })
	return missing && now-since < firstDelegationWait
}

// hasNoDelegation reports whether none of the shards has a data centre.
func hasNoDelegation(shards []shardDelegation) bool {
	return !slices.ContainsFunc(shards, func(s shardDelegation) bool { return s.dataCentre != "" })
}

// redelegateCommands returns the commands for a planned change. It uses one command for each run of shards with the same
// present data centre and epoch, because a command contains both.
func redelegateCommands(id string, current []shardDelegation, change placement.DelegationChange) []*schemav1.ControlCommand {
	var commands []*schemav1.ControlCommand
	var last *schemav1.Redelegate
	for shard := change.FirstShard; shard < change.FirstShard+change.Count; shard++ {
		entry := current[shard]
		if last != nil && last.GetDataCentre() == entry.dataCentre && last.GetRanges()[0].GetEpoch() == entry.epoch {
			last.GetRanges()[0].Count++
			continue
		}
		last = &schemav1.Redelegate{
			DataCentre:     entry.dataCentre,
			NextDataCentre: change.To,
			Ranges:         []*schemav1.ShardRange{{Keyspace: id, FirstShard: shard, Count: 1, Epoch: entry.epoch}},
		}
		commands = append(commands, &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Redelegate{Redelegate: last}})
	}
	return commands
}

// describeDataCentres returns the planner's view of all data centres for a service, and the total number of slots of those
// that may get shards.
func (d *Driver) describeDataCentres(now time.Duration, service string) (dataCentres []placement.DataCentre, capacity float64) {
	for _, configured := range d.state.Configuration().GetDataCentres() {
		report, reported := d.dataCentreReports[configured.GetName()]
		dataCentre := placement.DataCentre{
			Name:         configured.GetName(),
			Region:       configured.GetRegion(),
			Capacity:     float64(report.capacity[service]),
			OutOfService: configured.GetOut(),
			Lost:         configured.GetLost() && d.lostDelayElapsed(now, configured.GetName()),
			Unreachable:  !reported || now-report.receivedAt > capacityTimeout,
		}
		if !dataCentre.OutOfService && !dataCentre.Lost && !dataCentre.Unreachable {
			capacity += dataCentre.Capacity
		}
		dataCentres = append(dataCentres, dataCentre)
	}
	return dataCentres, capacity
}

// lostDelayElapsed reports whether lostDataCentreDelay has passed since the first call for the data centre.
func (d *Driver) lostDelayElapsed(now time.Duration, name string) bool {
	since, ok := d.lostSince[name]
	if !ok {
		d.lostSince[name] = now
		return false
	}
	return now-since >= lostDataCentreDelay
}

// delegatedShards returns a copy of the delegation of a keyspace by shard. If there is none yet, all entries are empty.
func (s *State) delegatedShards(configured config.Keyspace) []shardDelegation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if delegation, ok := s.delegations[configured.ID]; ok {
		return slices.Clone(delegation.shards)
	}
	return make([]shardDelegation, configured.Shards)
}
