package ownership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// assignShard gives a shard an owner. It applies when the shard has none, or when its owner is lost, gone or
// unattached since the plan was made: the leader then made sure that nobody sends to the old owner any more.
func (t *Table) assignShard(a *schemav1.ShardAssignment) bool {
	keyspace, entry := t.lookup(a)
	if keyspace == nil || counterOf(entry) != a.ExpectedFenceCounter || !t.eligible(keyspace, a.Target) {
		return false
	}
	epoch, delegated := t.delegations.epoch(a.Keyspace, a.Shard)
	if !delegated || (a.Hot && entry == nil) {
		return false
	}
	if entry != nil && entry.owner != nil {
		owner := entry.owner.published.Load().record
		if owner.AttachedHost != "" || owner.Attachment != a.ExpectedOwnerAttachment {
			return false
		}
	}
	t.put(keyspace, &schemav1.ShardRecord{
		Keyspace: a.Keyspace, Shard: a.Shard, Hot: a.Hot, KeyHash: a.KeyHash,
		State: schemav1.ShardState_SHARD_STATE_OWNED, Target: a.Target, Fence: t.nextFence(epoch),
	})
	return true
}

// startMove stops the owner of a shard in favour of another target. An empty target takes the shard from its owner
// without a successor, as for a merge into a shard that has none.
func (t *Table) startMove(a *schemav1.ShardAssignment) bool {
	keyspace, entry := t.lookup(a)
	if keyspace == nil || entry == nil || entry.owner == nil || counterOf(entry) != a.ExpectedFenceCounter {
		return false
	}
	if a.Target == entry.record.Target || (a.Target != "" && !t.eligible(keyspace, a.Target)) {
		return false
	}
	if _, delegated := t.delegations.epoch(a.Keyspace, a.Shard); !delegated {
		return false
	}
	t.update(keyspace, entry, func(r *schemav1.ShardRecord) {
		r.State, r.NextTarget = schemav1.ShardState_SHARD_STATE_MOVING, a.Target
	})
	return true
}

// finishMove hands a released shard to the next target. It gets no owner when the next target is lost or the shard is
// delegated away; then the leader assigns it again or control takes it over.
func (t *Table) finishMove(a *schemav1.ShardAssignment) bool {
	keyspace, entry := t.lookup(a)
	if keyspace == nil || entry == nil || counterOf(entry) != a.ExpectedFenceCounter ||
		entry.record.State != schemav1.ShardState_SHARD_STATE_MOVING {
		return false
	}
	next := entry.record.NextTarget
	epoch, delegated := t.delegations.epoch(a.Keyspace, a.Shard)
	if !delegated || next == "" || !t.eligible(keyspace, next) {
		t.disown(keyspace, entry)
		return true
	}
	t.update(keyspace, entry, func(r *schemav1.ShardRecord) {
		r.State, r.Target, r.NextTarget = schemav1.ShardState_SHARD_STATE_OWNED, next, ""
		r.Fence = t.nextFence(epoch)
	})
	return true
}

// disown leaves a shard without owner. It keeps its fence, against which later commands are checked. A hot key of a
// shard that is delegated away is forgotten.
func (t *Table) disown(keyspace *keyspaceState, entry *shardEntry) {
	if _, delegated := t.delegations.epoch(entry.record.Keyspace, entry.record.Shard); !delegated && entry.record.Hot {
		t.remove(keyspace, entry)
		return
	}
	t.update(keyspace, entry, func(r *schemav1.ShardRecord) {
		r.State, r.Target, r.NextTarget = schemav1.ShardState_SHARD_STATE_UNASSIGNED, "", ""
	})
}

// splitHotKey gives a hot key an entry of its own, first with the owner of its shard.
func (t *Table) splitHotKey(command *schemav1.SplitHotKey) bool {
	change := &schemav1.ShardAssignment{Keyspace: command.Keyspace, Shard: command.Shard}
	keyspace, entry := t.lookup(change)
	if keyspace == nil || entry == nil || entry.record.State != schemav1.ShardState_SHARD_STATE_OWNED {
		return false
	}
	if _, exists := (*keyspace.hot.Load())[command.KeyHash]; exists {
		return false
	}
	t.put(keyspace, &schemav1.ShardRecord{
		Keyspace: command.Keyspace, Shard: command.Shard, Hot: true, KeyHash: command.KeyHash,
		State: schemav1.ShardState_SHARD_STATE_OWNED, Target: entry.record.Target,
		Fence: t.nextFence(entry.record.Fence.GetEpoch()),
	})
	return true
}

// mergeHotKey removes the entry of a hot key whose owner also owns the shard. The shard gets a new fence, above that
// of the hot key.
func (t *Table) mergeHotKey(command *schemav1.MergeHotKey) bool {
	keyspace := (*t.keyspaces.Load())[command.Keyspace]
	if keyspace == nil {
		return false
	}
	hot, ok := (*keyspace.hot.Load())[command.KeyHash]
	if !ok || hot.record.State != schemav1.ShardState_SHARD_STATE_OWNED {
		return false
	}
	shard := keyspace.shards[hot.record.Shard].Load()
	if shard == nil || shard.record.State != schemav1.ShardState_SHARD_STATE_OWNED ||
		shard.record.Target != hot.record.Target {
		return false
	}
	t.remove(keyspace, hot)
	t.refence(keyspace, shard)
	return true
}

// eligible tells whether a target may become the owner of a shard of the keyspace.
func (t *Table) eligible(keyspace *keyspaceState, target string) bool {
	record, ok := t.Target(target)
	return ok && !record.Lost && record.Announcement.Service == keyspace.service
}

// lookup returns the keyspace and the entry that a change is about; either may be nil.
func (t *Table) lookup(a *schemav1.ShardAssignment) (*keyspaceState, *shardEntry) {
	keyspace := (*t.keyspaces.Load())[a.Keyspace]
	if keyspace == nil || int(a.Shard) >= len(keyspace.shards) {
		return nil, nil
	}
	if !a.Hot {
		return keyspace, keyspace.shards[a.Shard].Load()
	}
	entry := (*keyspace.hot.Load())[a.KeyHash]
	if entry != nil && entry.record.Shard != a.Shard {
		return nil, nil
	}
	return keyspace, entry
}

func counterOf(entry *shardEntry) uint64 {
	if entry == nil {
		return 0
	}
	return entry.record.Fence.GetCounter()
}

// refenceShardsOf gives new fences to all shards of target, in order so that replicas agree.
func (t *Table) refenceShardsOf(target string) {
	owned := slices.Collect(maps.Values(t.byOwner[target]))
	slices.SortFunc(owned, func(a, b *shardEntry) int { return compareRecords(a.record, b.record) })
	for _, entry := range owned {
		t.refence((*t.keyspaces.Load())[entry.record.Keyspace], entry)
	}
}

// refence gives a shard a new fence under the current epoch, or the old one if the shard is delegated away.
func (t *Table) refence(keyspace *keyspaceState, entry *shardEntry) {
	epoch, delegated := t.delegations.epoch(entry.record.Keyspace, entry.record.Shard)
	if !delegated {
		epoch = entry.record.Fence.GetEpoch()
	}
	t.update(keyspace, entry, func(r *schemav1.ShardRecord) { r.Fence = t.nextFence(epoch) })
}

func keyOf(r *schemav1.ShardRecord) shardKey {
	return shardKey{keyspace: r.Keyspace, shard: r.Shard, hot: r.Hot, keyHash: r.KeyHash}
}

// update publishes a changed copy of the entry's record.
func (t *Table) update(keyspace *keyspaceState, entry *shardEntry, change func(*schemav1.ShardRecord)) {
	updated := proto.CloneOf(entry.record)
	change(updated)
	t.put(keyspace, updated)
}

// put publishes a record and keeps the index by owner.
func (t *Table) put(keyspace *keyspaceState, record *schemav1.ShardRecord) {
	entry := &shardEntry{record: record}
	if record.Target != "" {
		entry.owner = (*t.targets.Load())[record.Target]
	}
	var old *shardEntry
	if record.Hot {
		hot := maps.Clone(*keyspace.hot.Load())
		old, hot[record.KeyHash] = hot[record.KeyHash], entry
		keyspace.hot.Store(&hot)
	} else {
		old = keyspace.shards[record.Shard].Swap(entry)
	}
	t.unindex(old)
	if record.Target != "" {
		if t.byOwner[record.Target] == nil {
			t.byOwner[record.Target] = map[shardKey]*shardEntry{}
		}
		t.byOwner[record.Target][keyOf(record)] = entry
	}
}

// remove forgets an entry.
func (t *Table) remove(keyspace *keyspaceState, entry *shardEntry) {
	if entry.record.Hot {
		hot := maps.Clone(*keyspace.hot.Load())
		delete(hot, entry.record.KeyHash)
		keyspace.hot.Store(&hot)
	} else {
		keyspace.shards[entry.record.Shard].Store(nil)
	}
	t.unindex(entry)
}

func (t *Table) unindex(entry *shardEntry) {
	if entry == nil || entry.record.Target == "" {
		return
	}
	owned := t.byOwner[entry.record.Target]
	delete(owned, keyOf(entry.record))
	if len(owned) == 0 {
		delete(t.byOwner, entry.record.Target)
	}
}
