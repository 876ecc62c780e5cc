package ownership

import (
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Accepts reports whether an announcement may come from the target that it names: it is complete, of this data centre,
// of no earlier boot, and does not contradict a live target of the same name.
func (t *Table) Accepts(announcement *schemav1.Announcement) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.wellFormed(announcement) {
		return false
	}
	record, ok := t.Target(announcement.Target)
	return !ok || t.consistent(record, announcement)
}

// observation returns the targets together with the index of the last applied command, so that whoever has applied this
// index has applied every loss in the records.
func (t *Table) observation() (records []*schemav1.TargetRecord, applied, changes uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.Targets(), t.applied.Load(), t.changes.Load()
}

// CapacityByService returns the sum of slots of the ready targets by service, for the next poll of the control group.
func (t *Table) CapacityByService() map[string]uint32 {
	capacity := map[string]uint32{}
	for _, record := range t.Targets() {
		if a := record.Announcement; !record.Lost && !a.Draining && record.AttachedHost != "" {
			capacity[a.Service] += max(min(a.Slots, maxSlots), 1)
		}
	}
	return capacity
}

// planShards returns by service the records that a plan is about, in order: those of all shards delegated here, made up
// where there is none yet, hot keys, and shards that still stop.
func (t *Table) planShards() map[string][]*schemav1.ShardRecord {
	t.mu.RLock()
	defer t.mu.RUnlock()
	byService := map[string][]*schemav1.ShardRecord{}
	keyspaces := *t.keyspaces.Load()
	for _, id := range sortedKeys(keyspaces) {
		state := keyspaces[id]
		byService[state.service] = append(byService[state.service], t.planShardsOf(state)...)
	}
	return byService
}

func (t *Table) planShardsOf(state *keyspaceState) []*schemav1.ShardRecord {
	var records []*schemav1.ShardRecord
	for i := range state.shards {
		shard := uint32(i) //nolint:gosec // a keyspace has at most 65,536 shards
		entry := state.shards[i].Load()
		_, delegated := t.delegations.epoch(state.id, shard)
		switch {
		case entry != nil && (delegated || entry.owner != nil):
			records = append(records, entry.record)
		case delegated:
			records = append(records, &schemav1.ShardRecord{Keyspace: state.id, Shard: shard})
		}
	}
	var hot []*schemav1.ShardRecord
	for _, entry := range *state.hot.Load() {
		hot = append(hot, entry.record)
	}
	slices.SortFunc(hot, compareRecords)
	return append(records, hot...)
}

// hotRecords returns the records of all hot keys.
func (t *Table) hotRecords() map[shardKey]*schemav1.ShardRecord {
	records := map[shardKey]*schemav1.ShardRecord{}
	for id, state := range *t.keyspaces.Load() {
		for keyHash, entry := range *state.hot.Load() {
			records[hotKey(id, keyHash)] = entry.record
		}
	}
	return records
}

// shardRecord returns the record of a shard, or nil.
func (t *Table) shardRecord(keyspace string, shard uint32) *schemav1.ShardRecord {
	state, ok := (*t.keyspaces.Load())[keyspace]
	if !ok || int(shard) >= len(state.shards) {
		return nil
	}
	entry := state.shards[shard].Load()
	if entry == nil {
		return nil
	}
	return entry.record
}

// shardCount returns the number of shards of a keyspace in the control view.
func (t *Table) shardCount(keyspace string) (uint32, bool) {
	for _, d := range t.ControlView().Delegations {
		if d.Keyspace == keyspace {
			return d.Shards, d.Shards > 0
		}
	}
	return 0, false
}
