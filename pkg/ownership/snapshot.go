package ownership

import (
	"fmt"
	"maps"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// snapshotFormat is the version of GroupSnapshot that this release writes and reads.
const snapshotFormat = 1

// SnapshotError is returned by Restore for a snapshot that cannot become the state of this table. The table is unchanged.
type SnapshotError struct {
	// Reason is "malformed", "format", "data-centre" or "generation".
	Reason string
	Detail string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("group snapshot refused: %s: %s", e.Reason, e.Detail)
}

// snapshotError returns a SnapshotError with a formatted detail.
func snapshotError(reason, format string, args ...any) error {
	return merry.Wrap(&SnapshotError{Reason: reason, Detail: fmt.Sprintf(format, args...)})
}

// Snapshot returns the whole state as a serialised GroupSnapshot. Equal states have equal snapshots, byte for byte.
func (t *Table) Snapshot() ([]byte, error) {
	// Records are immutable, so commands can be applied during the encoding.
	snapshot := t.snapshot()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, merry.Wrap(err)
}

func (t *Table) snapshot() *schemav1.GroupSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return &schemav1.GroupSnapshot{
		Format: snapshotFormat, DataCentre: t.dataCentre, Generation: t.generation, FenceCounter: t.fenceCounter,
		Targets: t.Targets(), Shards: t.Shards(), Records: t.idempotencyRecords.sorted(), RecordMinute: t.idempotencyRecords.minute, ControlView: t.view.Load(),
		Applied: t.appliedIndex.Load(),
	}
}

// Restore replaces the state by a snapshot. A snapshot of an earlier generation becomes the initial state of this one. Since
// the end of the earlier log may be lost, all owned shards then get new fences and all attachments new numbers, and the outcome
// of records in progress becomes unknown.
func (t *Table) Restore(encoded []byte) error {
	var snapshot schemav1.GroupSnapshot
	if err := proto.Unmarshal(encoded, &snapshot); err != nil {
		return snapshotError("malformed", "%v", err)
	}
	switch {
	case snapshot.Format != snapshotFormat:
		return snapshotError("format", "format %d, want %d", snapshot.Format, snapshotFormat)
	case snapshot.DataCentre != t.dataCentre:
		return snapshotError("data-centre", "data centre %q, want %q", snapshot.DataCentre, t.dataCentre)
	case snapshot.Generation > t.generation:
		return snapshotError("generation", "generation %d, want at most %d", snapshot.Generation, t.generation)
	}
	fresh := NewTable(t.dataCentre, t.generation)
	fresh.load(&snapshot)
	if snapshot.Generation < t.generation {
		fresh.startGeneration()
	}
	t.replaceState(fresh)
	t.notify()
	return nil
}

// replaceState replaces the state by that of a table that nobody else uses.
func (t *Table) replaceState(fresh *Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenceCounter, t.byOwner, t.idempotencyRecords = fresh.fenceCounter, fresh.byOwner, fresh.idempotencyRecords
	t.delegations = fresh.delegations
	t.view.Store(fresh.view.Load())
	t.targets.Store(fresh.targets.Load())
	t.keyspaces.Store(fresh.keyspaces.Load())
	t.appliedIndex.Store(fresh.appliedIndex.Load())
	t.changeCount.Add(1)
}

// load fills an empty table from a snapshot.
func (t *Table) load(snapshot *schemav1.GroupSnapshot) {
	t.fenceCounter = snapshot.FenceCounter
	t.appliedIndex.Store(snapshot.Applied)
	view := snapshot.ControlView
	if view == nil {
		view = &schemav1.ControlView{}
	}
	t.view.Store(view)
	for _, record := range snapshot.Targets {
		t.addTarget(record)
	}
	t.installView(view)
	for _, record := range snapshot.Shards {
		if keyspace := t.keyspaceFor(record); keyspace != nil {
			t.putShard(keyspace, record)
		}
	}
	t.idempotencyRecords.minute = snapshot.RecordMinute
	for _, record := range snapshot.Records {
		t.idempotencyRecords.replace(record)
	}
}

// keyspaceFor returns the keyspace of a record. It creates or enlarges the keyspace if the control view no longer contains it
// but shards of it are still stopping.
func (t *Table) keyspaceFor(record *schemav1.ShardRecord) *keyspaceState {
	keyspaces := *t.keyspaces.Load()
	keyspace, ok := keyspaces[record.Keyspace]
	if ok && int(record.Shard) < len(keyspace.shards) {
		return keyspace
	}
	grown := newKeyspaceState(&schemav1.KeyspaceDelegation{
		Keyspace: record.Keyspace, Service: keyspace.serviceOr(""), Shards: max(2*record.Shard, 256),
	}, keyspace)
	updated := maps.Clone(keyspaces)
	updated[record.Keyspace] = grown
	t.keyspaces.Store(&updated)
	return grown
}

// serviceOr returns the service of the keyspace, or fallback if k is nil.
func (k *keyspaceState) serviceOr(fallback string) string {
	if k == nil {
		return fallback
	}
	return k.service
}

// startGeneration turns the state of an earlier generation into the initial state of this one, whose log starts at index 0.
func (t *Table) startGeneration() {
	t.appliedIndex.Store(0)
	for _, target := range t.Targets() {
		t.renewFencesOf(target.Announcement.Target)
		if target.AttachedHost != "" {
			t.updateTarget(target, func(r *schemav1.TargetRecord) { r.Attachment = t.nextAttachment(r.Attachment) })
		}
	}
	t.idempotencyRecords.markUnknown(func(string, uint64) bool { return true })
}
