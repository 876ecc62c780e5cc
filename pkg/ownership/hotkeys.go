package ownership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"almondrock.example/almondrock/pkg/keyspace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Thresholds of hot keys, as parts of a target's capacity. The gap between them and the times keep a key near a
// threshold from being split and merged in turn.
const (
	splitShare = 0.25
	mergeShare = 0.125
	splitTime  = 30 * time.Second
	mergeTime  = 120 * time.Second
	// hotSilence is how long a key that no report names keeps its last share.
	hotSilence = 2 * time.Second
)

// sortedHot returns the keys of watches in order of keyspace and hash.
func sortedHot(watches map[shardKey]*hotWatch) []shardKey {
	keys := slices.Collect(maps.Keys(watches))
	slices.SortFunc(keys, func(a, b shardKey) int {
		return cmp.Or(strings.Compare(a.keyspace, b.keyspace), cmp.Compare(a.keyHash, b.keyHash))
	})
	return keys
}

// hotWatch is the observed share of one key hash.
type hotWatch struct {
	share      float64
	reportedAt time.Duration
	// above and below are set, with the time, while the share is beyond a threshold.
	above, below           bool
	aboveSince, belowSince time.Duration
}

// hotShares are the shares of hot keys by their own record, or that of their shard before the split, and by target.
type hotShares struct {
	byShard  map[shardKey]float64
	byTarget map[string]float64
}

func (d *Driver) hotShares() hotShares {
	shares := hotShares{byShard: map[shardKey]float64{}, byTarget: map[string]float64{}}
	split := d.table.hotRecords()
	for key, watch := range d.hot {
		record := split[key]
		if record == nil {
			shards, _ := d.table.shardCount(key.keyspace)
			record = d.table.shardRecord(key.keyspace, keyspace.Shard(key.keyHash, max(shards, 1)))
		}
		if record != nil {
			shares.byShard[keyOf(record)] += watch.share
			shares.byTarget[record.Target] += watch.share
		}
	}
	return shares
}

func hotKey(keyspaceID string, keyHash uint64) shardKey {
	return shardKey{keyspace: keyspaceID, hot: true, keyHash: keyHash}
}

// observeHotKeys takes over the busiest keys of a target. Keys that are neither split nor near it are not kept.
func (d *Driver) observeHotKeys(now time.Duration, reports []*schemav1.HotKeyReport) {
	for _, r := range reports {
		key := hotKey(r.Keyspace, r.KeyHash)
		watch, ok := d.hot[key]
		if !ok {
			if !(r.Share > splitShare) {
				continue
			}
			watch = &hotWatch{}
			d.hot[key] = watch
		}
		watch.share, watch.reportedAt = clampShare(r.Share), now
	}
}

// hotKeys splits keys that have been hot for long and merges those that have cooled down.
func (d *Driver) hotKeys(now time.Duration) []*schemav1.GroupCommand {
	split := d.table.hotRecords()
	for key := range split {
		if _, ok := d.hot[key]; !ok {
			d.hot[key] = &hotWatch{share: mergeShare, reportedAt: now}
		}
	}
	var commands []*schemav1.GroupCommand
	for _, key := range sortedHot(d.hot) {
		watch := d.hot[key]
		watch.update(now)
		record, isSplit := split[key]
		switch {
		case !isSplit && !watch.above:
			delete(d.hot, key)
		case !isSplit && watch.reportedAt-watch.aboveSince >= splitTime:
			commands = append(commands, d.split(key)...)
		case isSplit && watch.below && now-watch.belowSince >= mergeTime:
			commands = append(commands, d.merge(now, record)...)
		}
	}
	return commands
}

func (w *hotWatch) update(now time.Duration) {
	if now-w.reportedAt > hotSilence {
		w.share = 0
	}
	if above := w.share > splitShare; above != w.above {
		w.above, w.aboveSince = above, now
	}
	if below := w.share < mergeShare; below != w.below {
		w.below, w.belowSince = below, now
	}
}

func (d *Driver) split(key shardKey) []*schemav1.GroupCommand {
	shards, ok := d.table.shardCount(key.keyspace)
	if !ok {
		return nil
	}
	return []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_SplitHotKey{SplitHotKey: &schemav1.SplitHotKey{
		Keyspace: key.keyspace, KeyHash: key.keyHash, Shard: keyspace.Shard(key.keyHash, shards),
	}}}}
}

// merge removes a hot key's entry, after moving it to the owner of its shard.
func (d *Driver) merge(now time.Duration, hot *schemav1.ShardRecord) []*schemav1.GroupCommand {
	owned := schemav1.ShardState_SHARD_STATE_OWNED
	shard := d.table.shardRecord(hot.Keyspace, hot.Shard)
	if shard == nil || hot.State != owned || shard.State != owned {
		return nil
	}
	if shard.Target == hot.Target {
		return []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_MergeHotKey{
			MergeHotKey: &schemav1.MergeHotKey{Keyspace: hot.Keyspace, KeyHash: hot.KeyHash},
		}}}
	}
	if d.movesLeft(now) == 0 {
		return nil
	}
	d.planner.moves = append(d.planner.moves, now)
	return []*schemav1.GroupCommand{startMoves([]*schemav1.ShardAssignment{assignmentOf(hot, shard.Target)})}
}
