package replication

import (
	"sync"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// StateMachine is the replicated state machine. Its methods are called from one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result. It must be deterministic: the result and the new state may
	// depend only on the old state, the index and the command.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one. It is not called for the empty snapshot of a new group.
	Restore(snapshot []byte) error
}

// PersistentState is the state of a member that a Storage keeps.
type PersistentState = raft.PersistentState

// Storage stores the state of one member durably.
type Storage interface {
	// Load returns the saved state, which is the zero PersistentState for a new member.
	Load() (PersistentState, error)
	// Save returns once all its arguments are durable. An argument that is nil or empty changes nothing. The snapshot is
	// saved first: stored entries up to its index are dropped, and those after it are kept only if the stored entry at the
	// index of the snapshot has the term of the snapshot. Then entries replace all stored entries from the index of the
	// first of them on.
	Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error
	Close() error
}

// Transport sends batches of messages to other members. Batches may be lost, duplicated, delayed or reordered. Send must
// not block, and the batch must not be changed after the call.
type Transport interface {
	Send(address string, batch *schemav1.RaftBatch)
}

// MemoryStorage keeps the state of a member in memory, for members without a disk. Such a member must not rejoin under the
// same ID after its process has ended. MemoryStorage is safe for concurrent use.
type MemoryStorage struct {
	mutex sync.Mutex
	state PersistentState
}

// NewMemoryStorage returns an empty storage.
func NewMemoryStorage() *MemoryStorage { return &MemoryStorage{} }

// Load implements Storage.
func (s *MemoryStorage) Load() (PersistentState, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.state
	state.Entries = append([]*schemav1.Entry(nil), s.state.Entries...)
	return state, nil
}

// Save implements Storage.
func (s *MemoryStorage) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if snapshot != nil {
		s.state.Entries = entriesAfter(s.state.Entries, snapshot)
		s.state.Snapshot = snapshot
	}
	if len(entries) > 0 {
		keep := len(s.state.Entries)
		for keep > 0 && s.state.Entries[keep-1].GetIndex() >= entries[0].GetIndex() {
			keep--
		}
		s.state.Entries = append(s.state.Entries[:keep], entries...)
	}
	if hardState != nil {
		s.state.HardState = proto.Clone(hardState).(*schemav1.HardState)
	}
	return nil
}

// entriesAfter returns a copy of the entries that follow snapshot, or nil unless the entry at the index of the snapshot has
// its term.
func entriesAfter(entries []*schemav1.Entry, snapshot *schemav1.Snapshot) []*schemav1.Entry {
	for i, entry := range entries {
		if entry.GetIndex() == snapshot.GetIndex() && entry.GetTerm() == snapshot.GetTerm() {
			return append([]*schemav1.Entry(nil), entries[i+1:]...)
		}
	}
	return nil
}

// Close implements Storage.
func (s *MemoryStorage) Close() error { return nil }
