package replication

import (
	"math/rand/v2"
	"time"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/jonboulle/clockwork"
)

// Defaults of Options.
const (
	DefaultTick                     = 10 * time.Millisecond
	DefaultSnapshotThresholdEntries = 10_000
	DefaultSnapshotThresholdBytes   = 8 << 20
	DefaultRetainedEntries          = 1_000
)

// Options has the parts and settings of a replica.
type Options struct {
	// ID of the member, never 0. A member that lost its storage must return under a new ID.
	ID uint64
	// Address is the RPC listener of this member.
	Address string
	// Group and Generation must match those of incoming batches.
	Group      string
	Generation uint64
	// InitialMembers are the voters of a new group, the same on all of them. It is empty for a member that joins an
	// existing group, and ignored if the storage is not empty.
	InitialMembers []*schemav1.Member
	// InitialSnapshot is a snapshot of the state machine that a new group starts from; it may be empty.
	InitialSnapshot []byte

	Storage      Storage
	Transport    Transport
	StateMachine StateMachine
	Clock        clockwork.Clock
	// Rand returns a number in [0, n); by default a random one.
	Rand func(n int) int

	// Tick is the resolution of time. The election and heartbeat times are multiples of it, see package raft.
	Tick time.Duration
	// SnapshotThresholdEntries and SnapshotBytes are how much may be applied since the last snapshot before the next one is
	// taken. Bytes are also compared with the size of the last snapshot, so that a large state is not written again
	// for a little log.
	SnapshotThresholdEntries uint64
	SnapshotThresholdBytes   int
	// RetainedEntries stay in memory after a snapshot, for followers that are slightly behind.
	RetainedEntries uint64
	// Raft overrides sizes and timing of the core; ID and Rand are set from above.
	Raft raft.Config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o *Options) complete() {
	setDefault(&o.Tick, DefaultTick)
	setDefault(&o.SnapshotThresholdEntries, DefaultSnapshotThresholdEntries)
	setDefault(&o.SnapshotThresholdBytes, DefaultSnapshotThresholdBytes)
	setDefault(&o.RetainedEntries, DefaultRetainedEntries)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.IntN
	}
	o.Raft.ID, o.Raft.Rand = o.ID, o.Rand
}
