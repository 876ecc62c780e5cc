package control

import (
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/placement"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxDelegationMoves bounds the shards of one keyspace that move at once, so that a data centre that returns takes
// over gradually. A data centre that operators take out is emptied without this bound.
const maxDelegationMoves = 16

// collectDelay lets a new leader hear from every data centre before it delegates by their capacity.
const collectDelay = time.Second

// keyspacesOf returns the exclusive keyspaces of a configuration; only they have owners and are delegated.
func keyspacesOf(configuration *schemav1.Configuration) []config.Keyspace {
	if configuration == nil {
		return nil
	}
	snapshot, err := config.Compile(configuration)
	if err != nil {
		// An accepted configuration compiled when it was checked; a release that cannot compile it delegates nothing.
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Keyspaces()), func(k config.Keyspace) bool { return !k.Exclusive })
}

// delegations proposes a data centre for each shard that has none, and moves shards away from data centres that are
// out, and towards those that returned.
func (d *Driver) delegations(now time.Duration) []*schemav1.ControlCommand {
	if now-d.leaderSince < collectDelay {
		return nil
	}
	var commands []*schemav1.ControlCommand
	for _, wanted := range keyspacesOf(d.state.Configuration()) {
		commands = append(commands, d.delegateKeyspace(now, wanted)...)
	}
	return commands
}

// delegateKeyspace plans one keyspace. A data centre that is merely silent keeps its shards (hold).
func (d *Driver) delegateKeyspace(now time.Duration, wanted config.Keyspace) []*schemav1.ControlCommand {
	centres, capacity := d.centres(now, wanted.Service)
	if capacity == 0 {
		// Nothing could serve the shards, and a plan without capacities would have to be undone.
		return nil
	}
	current := d.state.shards(wanted)
	if isUndelegated(current) && d.gathersCapacity(now, wanted.Service, centres) {
		return nil
	}
	input := placement.DataCentreInput{
		DataCentres: centres,
		HomeRegions: wanted.HomeRegions,
		Owners:      make([]string, len(current)),
		Pinned:      make([]bool, len(current)),
		MovesLeft:   maxDelegationMoves,
	}
	for shard, entry := range current {
		input.Owners[shard] = entry.dataCentre
		if entry.next != "" {
			input.Owners[shard], input.Pinned[shard] = entry.next, true
			input.MovesLeft = max(0, input.MovesLeft-1)
		}
	}
	plan := placement.PlanDataCentres(input)
	var commands []*schemav1.ControlCommand
	for _, change := range append(plan.Assignments, plan.Moves...) {
		commands = append(commands, redelegations(wanted.ID, current, change)...)
	}
	return commands
}

// gathersCapacity reports whether the first delegation of a service should wait for further data centres. Without it the
// first one to report its targets gets all shards, and most of them move again within seconds.
func (d *Driver) gathersCapacity(now time.Duration, service string, centres []placement.DataCentre) bool {
	since, ok := d.offered[service]
	if !ok {
		since = now
		d.offered[service] = now
	}
	missing := slices.ContainsFunc(centres, func(c placement.DataCentre) bool { return c.Capacity == 0 && !c.OutOfService && !c.Lost })
	return missing && now-since < gatherCapacity
}

func isUndelegated(shards []shardDelegation) bool {
	return !slices.ContainsFunc(shards, func(s shardDelegation) bool { return s.dataCentre != "" })
}

// redelegations splits a change where the present delegation or its epoch differs, because a command names both.
func redelegations(id string, current []shardDelegation, change placement.DelegationChange) []*schemav1.ControlCommand {
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

// centres describes the data centres for the planner, and returns the slots that they offer to a service in all.
func (d *Driver) centres(now time.Duration, service string) (centres []placement.DataCentre, capacity float64) {
	for _, dataCentre := range d.state.Configuration().GetDataCentres() {
		report, heard := d.reports[dataCentre.GetName()]
		centre := placement.DataCentre{
			Name:         dataCentre.GetName(),
			Region:       dataCentre.GetRegion(),
			Capacity:     float64(report.capacity[service]),
			OutOfService: dataCentre.GetOut(),
			Lost:         dataCentre.GetLost() && d.lostLongEnough(now, dataCentre.GetName()),
			Unreachable:  !heard || now-report.at > capacityFresh,
		}
		if !centre.OutOfService && !centre.Lost && !centre.Unreachable {
			capacity += centre.Capacity
		}
		centres = append(centres, centre)
	}
	return centres, capacity
}

// lostLongEnough starts the wait at the first call.
func (d *Driver) lostLongEnough(now time.Duration, name string) bool {
	since, ok := d.lostSince[name]
	if !ok {
		d.lostSince[name] = now
		return false
	}
	return now-since >= lostDelay
}

// shards returns a copy of the delegation of a keyspace, or one without data centres if it has none yet.
func (s *State) shards(wanted config.Keyspace) []shardDelegation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if delegation, ok := s.delegations[wanted.ID]; ok {
		return slices.Clone(delegation.shards)
	}
	return make([]shardDelegation, wanted.Shards)
}
