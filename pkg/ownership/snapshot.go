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

// SnapshotError is returned by Restore for a snapshot that can't be this table's state. The table is unchanged.
type SnapshotError struct {
	// Reason is "malformed", "format", "data-centre" or "generation".
	Reason string
	Detail string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("group snapshot refused: %s: %s", e.Reason, e.Detail)
}

func snapshotError(reason, format string, args ...any) error {
	return merry.Wrap(&SnapshotError{Reason: reason, Detail: fmt.Sprintf(format, args...)})
}

// Snapshot returns the whole state as a serialised GroupSnapshot. Equal states give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	// Records are immutable, so commands may go on while they are encoded.
	snapshot := t.snapshot()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, merry.Wrap(err)
}

func (t *Table) snapshot() *schemav1.GroupSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return &schemav1.GroupSnapshot{
		Format: snapshotFormat, DataCentre: t.dataCentre, Generation: t.generation, FenceCounter: t.fenceCounter,
		Targets: t.Targets(), Shards: t.Shards(), Records: t.records.sorted(), ControlView: t.view.Load(),
		Applied: t.applied.Load(),
	}
}

// Restore replaces the state. A snapshot of an earlier generation starts this one: all owners get new fences, because
// the end of the old log may be lost, and records in progress become unknown for the same reason.
func (t *Table) Restore(encoded []byte) error {
	var snapshot schemav1.GroupSnapshot
	if err := proto.Unmarshal(encoded, &snapshot); err != nil {
		return snapshotError("malformed", "%v", err)
	}
	switch {
	case snapshot.Format != snapshotFormat:
		return snapshotError("format", "format %d, want %d", snapshot.Format, snapshotFormat)
	case snapshot.DataCentre != t.dataCentre:
		return snapshotError("data-centre", "of %q, want %q", snapshot.DataCentre, t.dataCentre)
	case snapshot.Generation > t.generation:
		return snapshotError("generation", "generation %d, want at most %d", snapshot.Generation, t.generation)
	}
	fresh := NewTable(t.dataCentre, t.generation)
	fresh.load(&snapshot)
	if snapshot.Generation < t.generation {
		fresh.startGeneration()
	}
	t.adopt(fresh)
	t.notify()
	return nil
}

// adopt takes over the state of a table that nobody else uses.
func (t *Table) adopt(fresh *Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenceCounter, t.byOwner, t.records = fresh.fenceCounter, fresh.byOwner, fresh.records
	t.delegations = fresh.delegations
	t.view.Store(fresh.view.Load())
	t.targets.Store(fresh.targets.Load())
	t.keyspaces.Store(fresh.keyspaces.Load())
	t.applied.Store(fresh.applied.Load())
	t.changes.Add(1)
}

func (t *Table) load(snapshot *schemav1.GroupSnapshot) {
	t.fenceCounter = snapshot.FenceCounter
	t.applied.Store(snapshot.Applied)
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
			t.put(keyspace, record)
		}
	}
	for _, record := range snapshot.Records {
		t.records.replace(record)
	}
}

// keyspaceFor returns the keyspace of a record, also when the view no longer names it and its shards still stop.
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

func (k *keyspaceState) serviceOr(fallback string) string {
	if k == nil {
		return fallback
	}
	return k.service
}

// startGeneration makes a state of an earlier generation the first of this one, whose log starts anew.
func (t *Table) startGeneration() {
	t.applied.Store(0)
	for _, target := range t.Targets() {
		t.refenceShardsOf(target.Announcement.Target)
		if target.AttachedHost != "" {
			t.updateTarget(target, func(r *schemav1.TargetRecord) { r.Attachment = t.nextAttachment(r.Attachment) })
		}
	}
	t.records.abandon(func(string, uint64) bool { return true })
}
