package ownership

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// assignShard gives a shard an owner. It takes effect only if the shard has no owner, or if the owner is unattached, as lost
// targets are, and its attachment has not changed since the plan was made: the leader then made sure that nobody sends
// requests to the old owner any more.
func (t *Table) assignShard(a *schemav1.ShardAssignment) bool {
	keyspace, entry := t.lookup(a)
	if keyspace == nil || fenceCounterOf(entry) != a.ExpectedFenceCounter || !t.eligible(keyspace, a.Target) {
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
	t.putShard(keyspace, &schemav1.ShardRecord{
		Keyspace: a.Keyspace, Shard: a.Shard, Hot: a.Hot, KeyHash: a.KeyHash,
		State: schemav1.ShardState_SHARD_STATE_OWNED, Target: a.Target, Fence: t.nextFence(epoch),
	})
	return true
}

// startMove makes the owner of a shard stop serving it, so that another target can take over. If the target is empty, the
// shard is left without owner, as for the merge of a hot key into a shard that has no owner.
func (t *Table) startMove(a *schemav1.ShardAssignment) bool {
	keyspace, entry := t.lookup(a)
	if keyspace == nil || entry == nil || entry.owner == nil || fenceCounterOf(entry) != a.ExpectedFenceCounter {
		return false
	}
	if a.Target == entry.record.Target || (a.Target != "" && !t.eligible(keyspace, a.Target)) {
		return false
	}
	if _, delegated := t.delegations.epoch(a.Keyspace, a.Shard); !delegated {
		return false
	}
	t.updateShard(keyspace, entry, func(r *schemav1.ShardRecord) {
		r.State, r.NextTarget = schemav1.ShardState_SHARD_STATE_MOVING, a.Target
	})
	return true
}

// finishMove gives a released shard to the next target. If that target is lost or the shard is delegated away, the shard is
// left without owner; then the leader assigns it again, or the control group completes the delegation.
func (t *Table) finishMove(a *schemav1.ShardAssignment) bool {
	keyspace, entry := t.lookup(a)
	if keyspace == nil || entry == nil || fenceCounterOf(entry) != a.ExpectedFenceCounter ||
		entry.record.State != schemav1.ShardState_SHARD_STATE_MOVING {
		return false
	}
	next := entry.record.NextTarget
	epoch, delegated := t.delegations.epoch(a.Keyspace, a.Shard)
	if !delegated || next == "" || !t.eligible(keyspace, next) {
		t.clearOwner(keyspace, entry)
		return true
	}
	t.updateShard(keyspace, entry, func(r *schemav1.ShardRecord) {
		r.State, r.Target, r.NextTarget = schemav1.ShardState_SHARD_STATE_OWNED, next, ""
		r.Fence = t.nextFence(epoch)
	})
	return true
}

// clearOwner leaves a shard without owner. The record keeps its fence, which later commands are checked against. The entry of
// a hot key whose shard is delegated away is removed.
func (t *Table) clearOwner(keyspace *keyspaceState, entry *shardEntry) {
	if _, delegated := t.delegations.epoch(entry.record.Keyspace, entry.record.Shard); !delegated && entry.record.Hot {
		t.removeShard(keyspace, entry)
		return
	}
	t.updateShard(keyspace, entry, func(r *schemav1.ShardRecord) {
		r.State, r.Target, r.NextTarget = schemav1.ShardState_SHARD_STATE_UNASSIGNED, "", ""
	})
}

// splitHotKey creates a separate entry for a hot key. Its first owner is that of its shard.
func (t *Table) splitHotKey(command *schemav1.SplitHotKey) bool {
	change := &schemav1.ShardAssignment{Keyspace: command.Keyspace, Shard: command.Shard}
	keyspace, entry := t.lookup(change)
	if keyspace == nil || entry == nil || entry.record.State != schemav1.ShardState_SHARD_STATE_OWNED {
		return false
	}
	if _, exists := (*keyspace.hot.Load())[command.KeyHash]; exists {
		return false
	}
	t.putShard(keyspace, &schemav1.ShardRecord{
		Keyspace: command.Keyspace, Shard: command.Shard, Hot: true, KeyHash: command.KeyHash,
		State: schemav1.ShardState_SHARD_STATE_OWNED, Target: entry.record.Target,
		Fence: t.nextFence(entry.record.Fence.GetEpoch()),
	})
	return true
}

// mergeHotKey removes the entry of a hot key that has the same owner as its shard. The shard gets a new fence, which is higher
// than that of the hot key.
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
	t.removeShard(keyspace, hot)
	t.renewFence(keyspace, shard)
	return true
}

// eligible reports whether a target may become the owner of a shard of the keyspace.
func (t *Table) eligible(keyspace *keyspaceState, target string) bool {
	record, ok := t.Target(target)
	return ok && !record.Lost && record.Announcement.Service == keyspace.service
}

// lookup returns the keyspace and the entry that a change refers to; either may be nil.
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

// fenceCounterOf returns the fence counter of an entry, or zero if entry is nil.
func fenceCounterOf(entry *shardEntry) uint64 {
	if entry == nil {
		return 0
	}
	return entry.record.Fence.GetCounter()
}

// renewFencesOf gives new fences to all shards of target. It does so in a fixed order, so that all replicas give the same
// fences.
func (t *Table) renewFencesOf(target string) {
	owned := slices.Collect(maps.Values(t.byOwner[target]))
	slices.SortFunc(owned, func(a, b *shardEntry) int { return compareRecords(a.record, b.record) })
	for _, entry := range owned {
		t.renewFence((*t.keyspaces.Load())[entry.record.Keyspace], entry)
	}
}

// renewFence gives a shard a new fence under the current delegation epoch, or under the old epoch if the shard is delegated
// away.
func (t *Table) renewFence(keyspace *keyspaceState, entry *shardEntry) {
	epoch, delegated := t.delegations.epoch(entry.record.Keyspace, entry.record.Shard)
	if !delegated {
		epoch = entry.record.Fence.GetEpoch()
	}
	t.updateShard(keyspace, entry, func(r *schemav1.ShardRecord) { r.Fence = t.nextFence(epoch) })
}

func shardKeyOf(r *schemav1.ShardRecord) shardKey {
	return shardKey{keyspace: r.Keyspace, shard: r.Shard, hot: r.Hot, keyHash: r.KeyHash}
}

// updateShard applies change to a copy of the entry's record and publishes the copy.
func (t *Table) updateShard(keyspace *keyspaceState, entry *shardEntry, change func(*schemav1.ShardRecord)) {
	updated := proto.CloneOf(entry.record)
	change(updated)
	t.putShard(keyspace, updated)
}

// putShard publishes a record and updates the index by owner.
func (t *Table) putShard(keyspace *keyspaceState, record *schemav1.ShardRecord) {
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
		t.byOwner[record.Target][shardKeyOf(record)] = entry
	}
}

// removeShard removes an entry from the table.
func (t *Table) removeShard(keyspace *keyspaceState, entry *shardEntry) {
	if entry.record.Hot {
		hot := maps.Clone(*keyspace.hot.Load())
		delete(hot, entry.record.KeyHash)
		keyspace.hot.Store(&hot)
	} else {
		keyspace.shards[entry.record.Shard].Store(nil)
	}
	t.unindex(entry)
}

// unindex removes an entry from the index by owner.
func (t *Table) unindex(entry *shardEntry) {
	if entry == nil || entry.record.Target == "" {
		return
	}
	owned := t.byOwner[entry.record.Target]
	delete(owned, shardKeyOf(entry.record))
	if len(owned) == 0 {
		delete(t.byOwner, entry.record.Target)
	}
}
