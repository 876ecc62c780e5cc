package replication

import (
	"math/rand/v2"
	"time"

	"almondrock.example/almondrock/pkg/internal/pauses"
	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/jonboulle/clockwork"
)

// Defaults of the fields of Options.
const (
	DefaultTick                     = 10 * time.Millisecond
	DefaultSnapshotThresholdEntries = 10_000
	DefaultSnapshotThresholdBytes   = 8 << 20
	DefaultRetainedEntries          = 1_000
)

// Options holds the dependencies and settings of a replica.
type Options struct {
	// ID identifies the member in its group; it must not be 0. A member that lost its storage must rejoin under a new ID.
	ID uint64
	// Address is the RPC address of this member.
	Address string
	// Group and Generation identify the group. Batches with other values are refused.
	Group      string
	Generation uint64
	// InitialMembers are the voters of a new group. They must be the same on all of them. The list is empty for a member
	// that joins an existing group, and ignored if the storage is not empty.
	InitialMembers []*schemav1.Member
	// InitialSnapshot is the snapshot of the state machine that a new group starts from; it may be empty.
	InitialSnapshot []byte

	Storage      Storage
	Transport    Transport
	StateMachine StateMachine
	// Clock must go on while the machine is suspended, because the leader lease depends on it. The default does.
	Clock clockwork.Clock
	// Rand returns a random number in [0, n). The default is rand.IntN of math/rand/v2.
	Rand func(n int) int

	// Tick is the duration of a tick of package raft. Election timeouts and heartbeat intervals are multiples of it.
	Tick time.Duration
	// A snapshot is taken once SnapshotThresholdEntries entries or SnapshotThresholdBytes bytes were applied since the last
	// one. The bytes must also reach the size of the last snapshot, so that a large state is not written again after little
	// new log.
	SnapshotThresholdEntries uint64
	SnapshotThresholdBytes   int
	// RetainedEntries is the number of entries that stay in memory after a snapshot, for followers that are slightly behind.
	RetainedEntries uint64
	// Raft overrides the limits and timing of package raft. Its ID and Rand are replaced by those of Options.
	Raft raft.Config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.SnapshotThresholdEntries, DefaultSnapshotThresholdEntries)
	setDefault(&o.SnapshotThresholdBytes, DefaultSnapshotThresholdBytes)
	setDefault(&o.RetainedEntries, DefaultRetainedEntries)
	if o.Clock == nil {
		o.Clock = pauses.NewClock()
	}
	if o.Rand == nil {
		o.Rand = rand.IntN
	}
	o.Raft.ID, o.Raft.Rand = o.ID, o.Rand
	// 32 bits make it unlikely enough that a delayed echo of an earlier process is taken for a current one, and take half of the bytes.
	setDefault(&o.Raft.TimestampBase, uint64(rand.Uint32())+1)
}
