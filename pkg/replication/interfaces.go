package replication

import (
	"sync"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// StateMachine is the replicated state. Its methods are called from one goroutine.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic: it depends on the state and the command only.
	Apply(index uint64, command []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state. It is not called for the empty snapshot of a new group.
	Restore(snapshot []byte) error
}

// PersistentState is what a Storage has kept.
type PersistentState = raft.PersistentState

// Storage makes the state of one member durable.
type Storage interface {
	// Load returns what was saved; the zero State for a new member.
	Load() (PersistentState, error)
	// Save returns once everything given is durable. Each argument may be nil or empty and then changes nothing. The
	// snapshot comes first: entries up to its index are dropped, and entries after it are kept only if the stored entry
	// at its index has its term. Then entries replace all stored entries from the index of the first on.
	Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error
	Close() error
}

// Transport sends to other members, best effort: batches may be lost, repeated, late or out of order. Send must not
// block; the batch must not be changed after the call.
type Transport interface {
	Send(address string, batch *schemav1.RaftBatch)
}

// MemoryStorage keeps the state of a member without a disk. Such a member must not return under the same ID after its
// process ended. It is safe for concurrent use.
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

// entriesAfter returns a copy of the entries that follow snapshot, or nothing if they belong to another history.
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
