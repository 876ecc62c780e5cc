package raft

import (
	"fmt"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Default timing with a tick of 10 ms: election 200-400 ms, heartbeat 50 ms.
const (
	DefaultElectionMinTicks = 20
	DefaultElectionMaxTicks = 40
	DefaultHeartbeatTicks   = 5
	// DefaultLearnerHeartbeatTicks is 500 ms with a tick of 10 ms.
	DefaultLearnerHeartbeatTicks = 50
)

// Default sizes.
const (
	DefaultMaxAppendBytes      = 256 << 10
	DefaultMaxInflightAppends  = 32
	DefaultMaxUncommittedBytes = 16 << 20
)

// Config has the parameters of a Node. Zero fields take the defaults above.
type Config struct {
	// ID of this member, never 0. A member that lost its log must return under a new ID.
	ID uint64
	// ElectionMinTicks is how long a voter refuses votes after it heard from a leader. Election timeouts are drawn
	// from ElectionMinTicks+1 to ElectionMaxTicks.
	ElectionMinTicks uint64
	// ElectionMaxTicks is also how long a leader stays in office without hearing from a quorum.
	ElectionMaxTicks uint64
	HeartbeatTicks   uint64
	// LearnerHeartbeatTicks is the longer interval for learners that have the whole log: they count neither for the lease nor for the quorum,
	// and a data centre may have a hundred of them.
	LearnerHeartbeatTicks uint64
	// LeaseTicks is the length of the leader lease, counted from the tick in which the heartbeat was made. It must be
	// below ElectionMinTicks by the clock-rate error bound. The default is 99 % of ElectionMinTicks, rounded down.
	LeaseTicks uint64
	// MaxAppendBytes bounds the entries of one append message and the data of one part of a snapshot; a single larger
	// entry is sent alone.
	MaxAppendBytes int
	// MaxInflightAppends bounds the unacknowledged append messages per follower.
	MaxInflightAppends int
	// MaxUncommittedBytes bounds the proposals that wait for a quorum.
	MaxUncommittedBytes int
	// Rand returns a number in [0, n).
	Rand func(n int) int
}

// PersistentState is what a member has stored durably.
type PersistentState struct {
	// HardState is nil for a new member.
	HardState *schemav1.HardState
	// Snapshot is nil for a new member that joins an existing group.
	Snapshot *schemav1.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*schemav1.Entry
}

// bootstrapIndex is not 0, so that a joining member with an empty log lacks it and receives the first snapshot, which
// carries the membership.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// Bootstrap returns the state with which every first voter of a new group starts. All of them must use the same
// membership and data; data is a snapshot of the state machine, or empty.
func Bootstrap(membership *schemav1.Membership, data []byte) PersistentState {
	return PersistentState{
		HardState: &schemav1.HardState{Term: bootstrapTerm, Commit: bootstrapIndex},
		Snapshot: &schemav1.Snapshot{
			Index: bootstrapIndex, Term: bootstrapTerm, Membership: membership, Data: data,
		},
	}
}

// ConfigError reports an invalid Config or a State that does not fit together.
type ConfigError struct{ Problem string }

// Error implements error.
func (e *ConfigError) Error() string { return "raft: " + e.Problem }

func setDefault[T int | uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// lease bound as a fraction, to stay in integers.
const (
	leaseNumerator   = 99
	leaseDenominator = 100
)

func (c *Config) complete() error {
	setDefault(&c.ElectionMinTicks, DefaultElectionMinTicks)
	setDefault(&c.ElectionMaxTicks, DefaultElectionMaxTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.LearnerHeartbeatTicks, DefaultLearnerHeartbeatTicks)
	setDefault(&c.LeaseTicks, c.ElectionMinTicks*leaseNumerator/leaseDenominator)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflightAppends, DefaultMaxInflightAppends)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	switch {
	case c.ID == 0:
		return &ConfigError{"the member ID is 0"}
	case c.Rand == nil:
		return &ConfigError{"no source of randomness"}
	case c.ElectionMinTicks >= c.ElectionMaxTicks || c.HeartbeatTicks >= c.ElectionMinTicks:
		return &ConfigError{fmt.Sprintf("need heartbeat %d < election minimum %d < election maximum %d",
			c.HeartbeatTicks, c.ElectionMinTicks, c.ElectionMaxTicks)}
	case c.LeaseTicks*leaseDenominator > c.ElectionMinTicks*leaseNumerator:
		return &ConfigError{fmt.Sprintf("lease of %d ticks is over 99 %% of the election minimum %d",
			c.LeaseTicks, c.ElectionMinTicks)}
	}
	return nil
}
