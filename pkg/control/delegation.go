package control

import (
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// shardDelegation is the delegation of one shard. dataCentre is empty while no data centre serves it; nextDataCentre is set while
// the shard is moving there. The epoch increases with each change of the data centre.
type shardDelegation struct {
	dataCentre     string
	nextDataCentre string
	epoch          uint64
}

// keyspaceDelegation is the delegation of a keyspace, with one entry per shard. Runs of equal entries are merged only in
// messages.
type keyspaceDelegation struct {
	service     string
	homeRegions []string
	shards      []shardDelegation
}

func newKeyspaceDelegation(service string, homeRegions []string, shards uint32) *keyspaceDelegation {
	return &keyspaceDelegation{
		service:     service,
		homeRegions: slices.Clone(homeRegions),
		shards:      make([]shardDelegation, shards),
	}
}

// toProto returns the delegation as a message with runs of equal entries.
func (k *keyspaceDelegation) toProto(id string) *schemav1.KeyspaceDelegation {
	message := &schemav1.KeyspaceDelegation{
		Keyspace:    id,
		Service:     k.service,
		HomeRegions: k.homeRegions,
		Shards:      uint32(len(k.shards)), //nolint:gosec // at most keyspace.MaxShards
	}
	var last *schemav1.DelegationRun
	for shard, entry := range k.shards {
		if last != nil && last.DataCentre == entry.dataCentre && last.NextDataCentre == entry.nextDataCentre && last.Epoch == entry.epoch {
			last.Count++
			continue
		}
		last = &schemav1.DelegationRun{
			FirstShard:     uint32(shard), //nolint:gosec // at most keyspace.MaxShards
			Count:          1,
			DataCentre:     entry.dataCentre,
			NextDataCentre: entry.nextDataCentre,
			Epoch:          entry.epoch,
		}
		message.Runs = append(message.Runs, last)
	}
	return message
}

// delegationFromProto is the inverse of toProto. It ignores shards beyond the number of shards in the message.
func delegationFromProto(message *schemav1.KeyspaceDelegation) *keyspaceDelegation {
	delegation := newKeyspaceDelegation(message.GetService(), message.GetHomeRegions(), message.GetShards())
	for _, run := range message.GetRuns() {
		for shard := run.GetFirstShard(); shard < run.GetFirstShard()+run.GetCount() && shard < message.GetShards(); shard++ {
			delegation.shards[shard] = shardDelegation{dataCentre: run.GetDataCentre(), nextDataCentre: run.GetNextDataCentre(), epoch: run.GetEpoch()}
		}
	}
	return delegation
}

// FindRun returns the run that contains a shard in the delegation of a control view, with its data centre and epoch. It
// returns false if the shard is not delegated.
func FindRun(delegation *schemav1.KeyspaceDelegation, shard uint32) (*schemav1.DelegationRun, bool) {
	runs := delegation.GetRuns()
	position, found := slices.BinarySearchFunc(runs, shard, func(run *schemav1.DelegationRun, wanted uint32) int {
		switch {
		case run.GetFirstShard()+run.GetCount() <= wanted:
			return -1
		case run.GetFirstShard() > wanted:
			return 1
		}
		return 0
	})
	if !found || runs[position].GetDataCentre() == "" {
		return nil, false
	}
	return runs[position], true
}
