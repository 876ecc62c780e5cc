package raft

import (
	"fmt"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Default timing in ticks. With a tick of 10 ms, election timeouts are 200-400 ms and heartbeats are sent every 50 ms.
const (
	DefaultElectionMinTicks = 20
	DefaultElectionMaxTicks = 40
	DefaultHeartbeatTicks   = 5
	// DefaultLearnerHeartbeatTicks is 500 ms with a tick of 10 ms.
	DefaultLearnerHeartbeatTicks = 50
)

// Default limits; see the fields of Config.
const (
	DefaultMaxAppendBytes      = 256 << 10
	DefaultMaxInflightAppends  = 32
	DefaultMaxUncommittedBytes = 16 << 20
)

// Config holds the parameters of a Node. ID and Rand are required; other fields that are 0 take their defaults.
type Config struct {
	// ID identifies this member in its group; it must not be 0. A member that lost its log must rejoin under a new ID.
	ID uint64
	// ElectionMinTicks is how long a voter refuses to vote after it heard from a leader. Election timeouts are random
	// between ElectionMinTicks+1 and ElectionMaxTicks.
	ElectionMinTicks uint64
	// ElectionMaxTicks is the longest election timeout. A leader that does not hear from a quorum for longer steps down.
	ElectionMaxTicks uint64
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks uint64
	// LearnerHeartbeatTicks is the longer heartbeat interval for learners that have the whole log: they count neither for
	// the lease nor for the quorum, and a data centre may have a hundred of them.
	LearnerHeartbeatTicks uint64
	// LeaseTicks is the length of the leader lease, counted from the tick in which the heartbeat was created. It must be
	// shorter than ElectionMinTicks by the largest error of clock rates, and is at most 99 % of it. The default is 99 % of
	// ElectionMinTicks, rounded down.
	LeaseTicks uint64
	// MaxAppendBytes limits the size of the entries in one append message and of the data in one snapshot chunk. An entry
	// that is larger is sent in a message of its own.
	MaxAppendBytes int
	// MaxInflightAppends limits the unacknowledged append messages per follower.
	MaxInflightAppends int
	// MaxUncommittedBytes limits the total size of the proposals that are not committed yet.
	MaxUncommittedBytes int
	// Rand returns a random number in [0, n).
	Rand func(n int) int
	// TimestampBase is added to the ticks in messages. It must be a new random number above 0 in each process, so that an echo of a timestamp of
	// an earlier process is recognised.
	TimestampBase uint64
}

// PersistentState is the state that a member keeps in durable storage across restarts.
type PersistentState struct {
	// HardState is nil for a new member.
	HardState *schemav1.HardState
	// Snapshot is the latest snapshot. It is nil for a new member that joins an existing group.
	Snapshot *schemav1.Snapshot
	// Entries are the log entries after the snapshot, without a gap.
	Entries []*schemav1.Entry
}

// Index and term of the snapshot that a new group starts with. The index is not 0, so that a joining member with an empty
// log lacks this entry and receives the snapshot, which carries the membership.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// Bootstrap returns the persistent state with which each initial voter of a new group starts. All of them must use the
// same membership and data. data is a snapshot of the state machine, or empty.
func Bootstrap(membership *schemav1.Membership, data []byte) PersistentState {
	return PersistentState{
		HardState: &schemav1.HardState{Term: bootstrapTerm, Commit: bootstrapIndex},
		Snapshot: &schemav1.Snapshot{
			Index: bootstrapIndex, Term: bootstrapTerm, Membership: membership, Data: data,
		},
	}
}

// ConfigError reports an invalid Config, an inconsistent PersistentState or a membership entry that cannot be decoded.
type ConfigError struct{ Problem string }

// Error implements error.
func (e *ConfigError) Error() string { return "raft: " + e.Problem }

func setDefault[T int | uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Largest ratio of LeaseTicks to ElectionMinTicks, as a fraction so that the check uses integers only.
const (
	maxLeaseNumerator   = 99
	maxLeaseDenominator = 100
)

// setDefaultsAndValidate returns *ConfigError if a field is invalid.
func (c *Config) setDefaultsAndValidate() error {
	setDefault(&c.ElectionMinTicks, DefaultElectionMinTicks)
	setDefault(&c.ElectionMaxTicks, DefaultElectionMaxTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.LearnerHeartbeatTicks, DefaultLearnerHeartbeatTicks)
	setDefault(&c.LeaseTicks, c.ElectionMinTicks*maxLeaseNumerator/maxLeaseDenominator)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflightAppends, DefaultMaxInflightAppends)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	switch {
	case c.ID == 0:
		return &ConfigError{"the member ID must not be 0"}
	case c.Rand == nil:
		return &ConfigError{"the source of randomness Rand is missing"}
	case c.ElectionMinTicks >= c.ElectionMaxTicks || c.HeartbeatTicks >= c.ElectionMinTicks:
		return &ConfigError{fmt.Sprintf("tick counts must satisfy heartbeat %d < election minimum %d < election maximum %d",
			c.HeartbeatTicks, c.ElectionMinTicks, c.ElectionMaxTicks)}
	case c.LeaseTicks*maxLeaseDenominator > c.ElectionMinTicks*maxLeaseNumerator:
		return &ConfigError{fmt.Sprintf("lease of %d ticks is longer than 99 %% of the election minimum of %d ticks",
			c.LeaseTicks, c.ElectionMinTicks)}
	}
	return nil
}
