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

// Thresholds of a hot key's load, as fractions of a target's capacity, and how long the load must be beyond them. The gap
// between the thresholds and the delays prevent a key near a threshold from being split and merged again and again.
const (
	splitThreshold = 0.25
	mergeThreshold = 0.125
	splitDelay     = 30 * time.Second
	mergeDelay     = 120 * time.Second
	// hotReportTimeout is how long the last reported share of a key counts if no further report contains the key.
	hotReportTimeout = 2 * time.Second
)

// sortedHotKeys returns the keys of the map, ordered by keyspace and hash.
func sortedHotKeys(observed map[shardKey]*observedHotKey) []shardKey {
	keys := slices.Collect(maps.Keys(observed))
	slices.SortFunc(keys, func(a, b shardKey) int {
		return cmp.Or(strings.Compare(a.keyspace, b.keyspace), cmp.Compare(a.keyHash, b.keyHash))
	})
	return keys
}

// observedHotKey is the observed load of one key hash, as a share of its target's capacity.
type observedHotKey struct {
	share      float64
	reportedAt time.Duration
	// aboveSplit is set while the share is above splitThreshold, belowMerge while it is below mergeThreshold; the times are those
	// of their last changes.
	aboveSplit, belowMerge           bool
	aboveSplitSince, belowMergeSince time.Duration
}

// hotKeyShares holds the summed shares of hot keys, by target and by shard. A split key counts under its own shardKey, a key
// that is not split under that of its shard.
type hotKeyShares struct {
	byShard  map[shardKey]float64
	byTarget map[string]float64
}

// hotKeyShares sums up the shares of all observed hot keys.
func (d *Driver) hotKeyShares() hotKeyShares {
	shares := hotKeyShares{byShard: map[shardKey]float64{}, byTarget: map[string]float64{}}
	split := d.table.hotRecords()
	for key, observed := range d.hotKeys {
		record := split[key]
		if record == nil {
			shards, _ := d.table.shardCount(key.keyspace)
			record = d.table.shardRecord(key.keyspace, keyspace.Shard(key.keyHash, max(shards, 1)))
		}
		if record != nil {
			shares.byShard[shardKeyOf(record)] += observed.share
			shares.byTarget[record.Target] += observed.share
		}
	}
	return shares
}

// hotKeyOf returns the shardKey of a split hot key.
func hotKeyOf(keyspaceID string, keyHash uint64) shardKey {
	return shardKey{keyspace: keyspaceID, hot: true, keyHash: keyHash}
}

// observeHotKeys updates the shares of the busiest keys of a target. A key that is not observed yet is added only if its share
// is above the split threshold.
func (d *Driver) observeHotKeys(now time.Duration, reports []*schemav1.HotKeyReport) {
	for _, r := range reports {
		key := hotKeyOf(r.Keyspace, r.KeyHash)
		observed, ok := d.hotKeys[key]
		if !ok {
			if !(r.Share > splitThreshold) {
				continue
			}
			observed = &observedHotKey{}
			d.hotKeys[key] = observed
		}
		observed.share, observed.reportedAt = clampShare(r.Share), now
	}
}

// hotKeyCommands splits keys that have been above the split threshold for splitDelay, and merges split keys that have been
// below the merge threshold for mergeDelay.
func (d *Driver) hotKeyCommands(now time.Duration) []*schemav1.GroupCommand {
	split := d.table.hotRecords()
	for key := range split {
		if _, ok := d.hotKeys[key]; !ok {
			d.hotKeys[key] = &observedHotKey{share: mergeThreshold, reportedAt: now}
		}
	}
	var commands []*schemav1.GroupCommand
	for _, key := range sortedHotKeys(d.hotKeys) {
		observed := d.hotKeys[key]
		observed.update(now)
		record, isSplit := split[key]
		switch {
		case !isSplit && !observed.aboveSplit:
			delete(d.hotKeys, key)
		case !isSplit && observed.reportedAt-observed.aboveSplitSince >= splitDelay:
			commands = append(commands, d.splitCommands(key)...)
		case isSplit && observed.belowMerge && now-observed.belowMergeSince >= mergeDelay:
			commands = append(commands, d.mergeCommands(now, record)...)
		}
	}
	return commands
}

// update sets the share to zero if the reports have stopped, and updates the position relative to the thresholds.
func (o *observedHotKey) update(now time.Duration) {
	if now-o.reportedAt > hotReportTimeout {
		o.share = 0
	}
	if aboveSplit := o.share > splitThreshold; aboveSplit != o.aboveSplit {
		o.aboveSplit, o.aboveSplitSince = aboveSplit, now
	}
	if belowMerge := o.share < mergeThreshold; belowMerge != o.belowMerge {
		o.belowMerge, o.belowMergeSince = belowMerge, now
	}
}

// splitCommands returns the command that splits a hot key from its shard.
func (d *Driver) splitCommands(key shardKey) []*schemav1.GroupCommand {
	shards, ok := d.table.shardCount(key.keyspace)
	if !ok {
		return nil
	}
	return []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_SplitHotKey{SplitHotKey: &schemav1.SplitHotKey{
		Keyspace: key.keyspace, KeyHash: key.keyHash, Shard: keyspace.Shard(key.keyHash, shards),
	}}}}
}

// mergeCommands returns the command that removes a hot key's entry or, if the key is not yet owned by the owner of its shard,
// the command that moves it there. The move counts against the limit of planned moves.
func (d *Driver) mergeCommands(now time.Duration, hot *schemav1.ShardRecord) []*schemav1.GroupCommand {
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
	d.planner.moveTimes = append(d.planner.moveTimes, now)
	return []*schemav1.GroupCommand{startMovesCommand([]*schemav1.ShardAssignment{assignmentOf(hot, shard.Target)})}
}
