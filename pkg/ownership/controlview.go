package ownership

import (
	"maps"
	"slices"
	"sort"
	"sync/atomic"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// delegations holds the shards that are delegated to this data centre: runs of shards by keyspace, ordered by first shard.
type delegations map[string][]*schemav1.DelegationRun

// run returns the run that contains a shard, or nil if the shard is not delegated to this data centre. Shards that are moving
// to another data centre are included.
func (d delegations) run(keyspace string, shard uint32) *schemav1.DelegationRun {
	runs := d[keyspace]
	i := sort.Search(len(runs), func(i int) bool { return runs[i].FirstShard > shard })
	if i == 0 || shard-runs[i-1].FirstShard >= runs[i-1].Count {
		return nil
	}
	return runs[i-1]
}

// epoch returns the delegation epoch of a shard, and false if this data centre may not serve the shard, for instance because it
// is moving to another one.
func (d delegations) epoch(keyspace string, shard uint32) (uint64, bool) {
	run := d.run(keyspace, shard)
	if run == nil || run.NextDataCentre != "" {
		return 0, false
	}
	return run.Epoch, true
}

// setControlView installs a newer view: it adds new keyspaces, starts to stop shards that are delegated away, and sets the
// outcome of the records in progress of removed hosts to unknown. It ignores an older view.
func (t *Table) setControlView(view *schemav1.ControlView) bool {
	if view == nil || view.Index <= t.view.Load().Index {
		return false
	}
	t.installView(view)
	t.applyDelegations()
	t.idempotencyRecords.markUnknown(func(host string, identity uint64) bool { return !containsHost(view.Hosts, host, identity) })
	return true
}

// installView stores the view and updates everything that is derived from it.
func (t *Table) installView(view *schemav1.ControlView) {
	t.view.Store(view)
	t.delegations = delegations{}
	keyspaces := maps.Clone(*t.keyspaces.Load())
	for _, d := range view.Delegations {
		if existing, ok := keyspaces[d.Keyspace]; !ok || len(existing.shards) < int(d.Shards) {
			keyspaces[d.Keyspace] = newKeyspaceState(d, existing)
		}
		t.delegations[d.Keyspace] = t.localRuns(d.Runs)
	}
	t.keyspaces.Store(&keyspaces)
	for _, entry := range *t.targets.Load() {
		t.publish(entry, entry.published.Load().record)
	}
}

// localRuns returns the runs that are delegated to this data centre, ordered by first shard.
func (t *Table) localRuns(runs []*schemav1.DelegationRun) []*schemav1.DelegationRun {
	var own []*schemav1.DelegationRun
	for _, run := range runs {
		if run.DataCentre == t.dataCentre {
			own = append(own, run)
		}
	}
	slices.SortFunc(own, func(a, b *schemav1.DelegationRun) int {
		return compareUint(uint64(a.FirstShard), uint64(b.FirstShard))
	})
	return own
}

// newKeyspaceState returns the state of a keyspace with the entries of existing, which may be nil.
func newKeyspaceState(d *schemav1.KeyspaceDelegation, existing *keyspaceState) *keyspaceState {
	state := &keyspaceState{id: d.Keyspace, service: d.Service, shards: make([]atomic.Pointer[shardEntry], d.Shards)}
	state.hot.Store(&map[uint64]*shardEntry{})
	if existing != nil {
		for i := range existing.shards {
			state.shards[i].Store(existing.shards[i].Load())
		}
		state.hot.Store(existing.hot.Load())
	}
	return state
}

// applyDelegations starts to stop shards that are no longer delegated to this data centre, and gives new fences to those whose
// delegation epoch has increased. It visits keyspaces and shards in a fixed order, so that all replicas give the same fences.
func (t *Table) applyDelegations() {
	keyspaces := *t.keyspaces.Load()
	for _, id := range slices.Sorted(maps.Keys(keyspaces)) {
		var entries []*shardEntry
		keyspaces[id].each(func(entry *shardEntry) { entries = append(entries, entry) })
		slices.SortFunc(entries, func(a, b *shardEntry) int { return compareRecords(a.record, b.record) })
		for _, entry := range entries {
			t.applyDelegation(keyspaces[id], entry)
		}
	}
}

// applyDelegation does the work of applyDelegations for one entry.
func (t *Table) applyDelegation(keyspace *keyspaceState, entry *shardEntry) {
	epoch, delegated := t.delegations.epoch(entry.record.Keyspace, entry.record.Shard)
	switch {
	case delegated && entry.owner != nil && epoch > entry.record.Fence.GetEpoch():
		t.renewFence(keyspace, entry)
	case delegated:
	case entry.owner == nil && entry.record.Hot:
		t.removeShard(keyspace, entry)
	case entry.owner != nil && (entry.record.State == schemav1.ShardState_SHARD_STATE_OWNED ||
		entry.record.NextTarget != ""):
		t.updateShard(keyspace, entry, func(r *schemav1.ShardRecord) {
			r.State, r.NextTarget = schemav1.ShardState_SHARD_STATE_MOVING, ""
		})
	}
}

// ReleasedShards returns the shards that are moving to another data centre and have no owner here any more, for the next poll
// of the control group.
func (t *Table) ReleasedShards() []*schemav1.ShardRange {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keyspaces := *t.keyspaces.Load()
	var released []*schemav1.ShardRange
	for _, id := range slices.Sorted(maps.Keys(t.delegations)) {
		for _, run := range t.delegations[id] {
			if run.NextDataCentre != "" {
				released = append(released, keyspaces[id].unownedIn(run)...)
			}
		}
	}
	return released
}

// unownedIn returns the shards of a run that have no owner and no hot key with an owner, as ranges.
func (k *keyspaceState) unownedIn(run *schemav1.DelegationRun) []*schemav1.ShardRange {
	owned := map[uint32]bool{}
	k.each(func(entry *shardEntry) {
		if entry.owner != nil {
			owned[entry.record.Shard] = true
		}
	})
	var ranges []*schemav1.ShardRange
	open := false
	for shard := run.FirstShard; shard < run.FirstShard+run.Count; shard++ {
		switch {
		case owned[shard]:
			open = false
		case open:
			ranges[len(ranges)-1].Count++
		default:
			ranges = append(ranges, &schemav1.ShardRange{Keyspace: k.id, FirstShard: shard, Count: 1, Epoch: run.Epoch})
			open = true
		}
	}
	return ranges
}

// containsHost reports whether hosts contains the process with the given name and identity.
func containsHost(hosts []*schemav1.Host, name string, identity uint64) bool {
	return slices.ContainsFunc(hosts, func(h *schemav1.Host) bool { return h.Name == name && h.Identity == identity })
}
