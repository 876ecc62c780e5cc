package placement

import (
	"cmp"
	"strings"

	"almondrock.example/almondrock/pkg/internal/order"
)

// TargetState says which shards a target may get and whether it keeps those it has.
type TargetState int

// States of a target.
const (
	// Ready targets get their full share.
	Ready TargetState = iota
	// Cold targets have started recently and get part of their share.
	Cold
	// Draining targets get no shards, and their shards move away.
	Draining
	// Lost targets get no shards; the caller decides when their shards count as unowned.
	Lost
)

const (
	// ColdShare is the fraction of a cold target's capacity that counts when it receives shards.
	ColdShare = 0.25
	// StragglerShare is the fraction of an even share of load down to which shards move away from a straggler.
	StragglerShare = 0.5
	// BalanceMargin is the hysteresis of balance moves, as a fraction of the mean utilisation: the receiver must end up below
	// the donor's present utilisation by at least this much, so that noise in the observed loads causes no moves.
	BalanceMargin = 0.10
	// baseLoad is a load added in equal parts to all shards, as a fraction of the total capacity. It spreads idle shards, and
	// keeps load differences that are small against the capacity from causing moves.
	baseLoad = 0.2
	// roundingTolerance is the relative rounding error allowed for in sums of loads.
	roundingTolerance = 1e-6
	// maxSlots is the largest capacity or load, in slots, that the planner counts for a target or shard.
	maxSlots = 1024
)

// Target describes a target of the planned service.
type Target struct {
	Name string
	// Capacity is in slots. More than 1,024 counts as 1,024, and zero or less counts as 1.
	Capacity float64
	State    TargetState
	// Straggler is set for a target whose latency has been far above the median of its peers for a long time.
	Straggler bool
}

// ShardID identifies a shard of a keyspace or, if Hot is set, one hot key of that shard.
type ShardID struct {
	Keyspace string
	Shard    uint32
	Hot      bool
	KeyHash  uint64
}

// Shard describes a shard or hot key of the planned service.
type Shard struct {
	ID ShardID
	// Owner is the name of the owning target; empty if the shard has none.
	Owner string
	// Load is the observed load: the average number of slots in use.
	Load float64
	// Pinned is set for a shard that must not move, because it is already moving or its owner is being replaced.
	Pinned bool
	// RecentlyMoved is set for a shard that moved a short time ago and must not move again for balance.
	RecentlyMoved bool
}

// Input is the input of PlanTargets: the state of one service in a data centre.
type Input struct {
	Targets []Target
	Shards  []Shard
	// MovesLeft is the number of planned moves that the limit per minute still allows.
	MovesLeft int
	// DrainMovesLeft is a number of moves beyond MovesLeft that only drains may use, because a draining target must stop
	// getting new requests within a few seconds.
	DrainMovesLeft int
}

// Reason says why a shard gets a new owner.
type Reason string

// Reasons in descending order of priority.
const (
	ReasonUnowned   Reason = "unowned"
	ReasonDrain     Reason = "drain"
	ReasonStraggler Reason = "straggler"
	ReasonImbalance Reason = "imbalance"
)

// OwnerChange makes target To the owner of a shard; From is empty if the shard had none.
type OwnerChange struct {
	ID       ShardID
	From, To string
	Reason   Reason
}

// Plan is the result of PlanTargets: assignments of shards without owner, and planned moves of the others.
type Plan struct {
	Assignments []OwnerChange
	Moves       []OwnerChange
}

// CompareIDs orders shard IDs by keyspace, shard and key hash; its result is like that of cmp.Compare.
func CompareIDs(a, b ShardID) int {
	return cmp.Or(strings.Compare(a.Keyspace, b.Keyspace), cmp.Compare(a.Shard, b.Shard),
		cmp.Compare(a.KeyHash, b.KeyHash), order.CompareBools(a.Hot, b.Hot))
}
