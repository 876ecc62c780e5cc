package member

import (
	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// Storage adapts a write-ahead log to the storage of a replica.
type Storage struct {
	Log *wal.Log
}

// Load implements replication.Storage.
func (s Storage) Load() (replication.PersistentState, error) {
	state, err := s.Log.Load()
	return replication.PersistentState(state), err
}

// Save implements replication.Storage.
func (s Storage) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	return s.Log.Save(hardState, entries, snapshot)
}

// Close implements replication.Storage.
func (s Storage) Close() error { return s.Log.Close() }

// IsEmpty reports whether a member has stored nothing yet.
func IsEmpty(state replication.PersistentState) bool {
	return state.HardState == nil && state.Snapshot == nil && len(state.Entries) == 0
}
