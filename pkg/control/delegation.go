package control

import (
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// shardDelegation is the delegation of one shard. An empty data centre means that nobody serves it yet.
type shardDelegation struct {
	dataCentre string
	next       string
	epoch      uint64
}

// keyspaceDelegation holds one entry per shard; runs of equal entries are merged only when written out.
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

// message writes the delegation as runs of equal shards.
func (k *keyspaceDelegation) message(id string) *schemav1.KeyspaceDelegation {
	out := &schemav1.KeyspaceDelegation{
		Keyspace:    id,
		Service:     k.service,
		HomeRegions: k.homeRegions,
		Shards:      uint32(len(k.shards)), //nolint:gosec // at most keyspace.MaxShards
	}
	var last *schemav1.DelegationRun
	for shard, entry := range k.shards {
		if last != nil && last.DataCentre == entry.dataCentre && last.NextDataCentre == entry.next && last.Epoch == entry.epoch {
			last.Count++
			continue
		}
		last = &schemav1.DelegationRun{
			FirstShard:     uint32(shard), //nolint:gosec // at most keyspace.MaxShards
			Count:          1,
			DataCentre:     entry.dataCentre,
			NextDataCentre: entry.next,
			Epoch:          entry.epoch,
		}
		out.Runs = append(out.Runs, last)
	}
	return out
}

// delegationFrom reads a delegation back; shards outside its size are ignored.
func delegationFrom(message *schemav1.KeyspaceDelegation) *keyspaceDelegation {
	out := newKeyspaceDelegation(message.GetService(), message.GetHomeRegions(), message.GetShards())
	for _, run := range message.GetRuns() {
		for shard := run.GetFirstShard(); shard < run.GetFirstShard()+run.GetCount() && shard < message.GetShards(); shard++ {
			out.shards[shard] = shardDelegation{dataCentre: run.GetDataCentre(), next: run.GetNextDataCentre(), epoch: run.GetEpoch()}
		}
	}
	return out
}

// FindRun returns the data centre and epoch of a shard in a view's delegation.
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
