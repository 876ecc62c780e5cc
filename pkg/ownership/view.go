package ownership

import (
	"maps"
	"slices"
	"sort"
	"sync/atomic"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// delegations answers which shards are delegated to this data centre: runs by keyspace in order of their first shard.
type delegations map[string][]*schemav1.DelegationRun

// run returns the run of this data centre that covers a shard, also while the shard moves away.
func (d delegations) run(keyspace string, shard uint32) *schemav1.DelegationRun {
	runs := d[keyspace]
	i := sort.Search(len(runs), func(i int) bool { return runs[i].FirstShard > shard })
	if i == 0 || shard-runs[i-1].FirstShard >= runs[i-1].Count {
		return nil
	}
	return runs[i-1]
}

// epoch returns the delegation epoch of a shard that this data centre may serve.
func (d delegations) epoch(keyspace string, shard uint32) (uint64, bool) {
	run := d.run(keyspace, shard)
	if run == nil || run.NextDataCentre != "" {
		return 0, false
	}
	return run.Epoch, true
}

// setControlView installs a newer view: new keyspaces appear, shards that are delegated away start to stop, and
// records of hosts that are gone become unknown.
func (t *Table) setControlView(view *schemav1.ControlView) bool {
	if view == nil || view.Index <= t.view.Load().Index {
		return false
	}
	t.installView(view)
	t.followDelegations()
	t.records.abandon(func(host string, identity uint64) bool { return !present(view.Hosts, host, identity) })
	return true
}

// installView sets the view and what is derived from it.
func (t *Table) installView(view *schemav1.ControlView) {
	t.view.Store(view)
	t.delegations = delegations{}
	keyspaces := maps.Clone(*t.keyspaces.Load())
	for _, d := range view.Delegations {
		if existing, ok := keyspaces[d.Keyspace]; !ok || len(existing.shards) < int(d.Shards) {
			keyspaces[d.Keyspace] = newKeyspaceState(d, existing)
		}
		t.delegations[d.Keyspace] = t.ownRuns(d.Runs)
	}
	t.keyspaces.Store(&keyspaces)
	for _, state := range *t.targets.Load() {
		t.publish(state, state.published.Load().record)
	}
}

func (t *Table) ownRuns(runs []*schemav1.DelegationRun) []*schemav1.DelegationRun {
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

// followDelegations stops shards that are no longer delegated to this data centre and gives new fences to those whose
// epoch rose. Keyspaces and shards are visited in order so that replicas agree.
func (t *Table) followDelegations() {
	keyspaces := *t.keyspaces.Load()
	for _, id := range slices.Sorted(maps.Keys(keyspaces)) {
		var entries []*shardEntry
		keyspaces[id].each(func(entry *shardEntry) { entries = append(entries, entry) })
		slices.SortFunc(entries, func(a, b *shardEntry) int { return compareRecords(a.record, b.record) })
		for _, entry := range entries {
			t.followDelegation(keyspaces[id], entry)
		}
	}
}

func (t *Table) followDelegation(keyspace *keyspaceState, entry *shardEntry) {
	epoch, delegated := t.delegations.epoch(entry.record.Keyspace, entry.record.Shard)
	switch {
	case delegated && entry.owner != nil && epoch > entry.record.Fence.GetEpoch():
		t.refence(keyspace, entry)
	case delegated:
	case entry.owner == nil && entry.record.Hot:
		t.remove(keyspace, entry)
	case entry.owner != nil && (entry.record.State == schemav1.ShardState_SHARD_STATE_OWNED ||
		entry.record.NextTarget != ""):
		t.update(keyspace, entry, func(r *schemav1.ShardRecord) {
			r.State, r.NextTarget = schemav1.ShardState_SHARD_STATE_MOVING, ""
		})
	}
}

// ReleasedShards returns the shards that move to another data centre and have stopped here, for the next poll of the control
// group.
func (t *Table) ReleasedShards() []*schemav1.ShardRange {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keyspaces := *t.keyspaces.Load()
	var released []*schemav1.ShardRange
	for _, id := range slices.Sorted(maps.Keys(t.delegations)) {
		for _, run := range t.delegations[id] {
			if run.NextDataCentre != "" {
				released = append(released, keyspaces[id].releasedIn(run)...)
			}
		}
	}
	return released
}

// releasedIn returns the parts of a run that have no owner, neither by shard nor by hot key.
func (k *keyspaceState) releasedIn(run *schemav1.DelegationRun) []*schemav1.ShardRange {
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

func present(hosts []*schemav1.Host, name string, identity uint64) bool {
	return slices.ContainsFunc(hosts, func(h *schemav1.Host) bool { return h.Name == name && h.Identity == identity })
}
