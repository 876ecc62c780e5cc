package control

import (
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/config"
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

func (d *Driver) delegateKeyspace(now time.Duration, wanted config.Keyspace) []*schemav1.ControlCommand {
	weights := d.weights(now, wanted)
	if len(weights) == 0 {
		return nil
	}
	current := d.state.shards(wanted)
	present := make([]string, len(current))
	pending := 0
	for shard, entry := range current {
		switch {
		case entry.next != "":
			present[shard] = entry.next
			pending++
		case d.mustLeave(now, entry.dataCentre):
			present[shard] = ""
		default:
			present[shard] = entry.dataCentre
		}
	}
	target := d.planner.Plan(present, weights, max(0, maxDelegationMoves-pending))
	return d.redelegations(now, wanted.ID, current, target)
}

// redelegations groups changed shards into ranges with the same present and next data centre.
func (d *Driver) redelegations(now time.Duration, id string, current []shardDelegation, target []string) []*schemav1.ControlCommand {
	var commands []*schemav1.ControlCommand
	var last *schemav1.Redelegate
	var lastEpoch uint64
	for shard, entry := range current {
		next := target[shard]
		if next == "" || next == entry.dataCentre || entry.next != "" || (d.isLost(entry.dataCentre) && !d.lostLongEnough(now, entry.dataCentre)) {
			last = nil
			continue
		}
		if last != nil && last.GetDataCentre() == entry.dataCentre && last.GetNextDataCentre() == next && lastEpoch == entry.epoch {
			last.GetRanges()[0].Count++
			continue
		}
		lastEpoch = entry.epoch
		last = &schemav1.Redelegate{
			DataCentre:     entry.dataCentre,
			NextDataCentre: next,
			Ranges: []*schemav1.ShardRange{{
				Keyspace: id, FirstShard: uint32(shard), Count: 1, Epoch: entry.epoch, //nolint:gosec // at most keyspace.MaxShards
			}},
		}
		commands = append(commands, &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Redelegate{Redelegate: last}})
	}
	return commands
}

// weights returns the slots that each eligible data centre offers to the service of wanted.
func (d *Driver) weights(now time.Duration, wanted config.Keyspace) map[string]uint32 {
	weights := map[string]uint32{}
	regions := map[string]bool{}
	for _, region := range wanted.HomeRegions {
		regions[region] = true
	}
	for _, dataCentre := range d.state.Configuration().GetDataCentres() {
		report, ok := d.reports[dataCentre.GetName()]
		if !ok || now-report.at > capacityFresh || dataCentre.GetOut() || dataCentre.GetLost() {
			continue
		}
		if len(regions) > 0 && !regions[dataCentre.GetRegion()] {
			continue
		}
		if capacity := report.capacity[wanted.Service]; capacity > 0 {
			weights[dataCentre.GetName()] = capacity
		}
	}
	return weights
}

// mustLeave reports whether a data centre may not keep its shards. One that is merely silent keeps them (hold).
func (d *Driver) mustLeave(now time.Duration, name string) bool {
	for _, dataCentre := range d.state.Configuration().GetDataCentres() {
		if dataCentre.GetName() == name {
			return dataCentre.GetOut() || (dataCentre.GetLost() && d.lostLongEnough(now, name))
		}
	}
	return false
}

func (d *Driver) isLost(name string) bool {
	for _, dataCentre := range d.state.Configuration().GetDataCentres() {
		if dataCentre.GetName() == name {
			return dataCentre.GetLost()
		}
	}
	return false
}

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
