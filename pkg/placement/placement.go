package placement

import (
	"cmp"
	"strings"

	"almondrock.example/almondrock/pkg/internal/order"
)

// TargetState tells what work a target may get.
type TargetState int

// States of a target.
const (
	// Ready targets take their full share.
	Ready TargetState = iota
	// Cold targets have started lately and take a part of their share.
	Cold
	// Draining targets take nothing and give away what they own.
	Draining
	// Lost targets take nothing; the caller decides when their shards count as unowned.
	Lost
)

const (
	// ColdShare is the part of its capacity up to which a cold target is filled.
	ColdShare = 0.25
	// StragglerShare is the part of its capacity down to which a straggler is emptied.
	StragglerShare = 0.5
	// BalanceMargin is the hysteresis of balance moves, as a part of the mean utilisation: a move has to lower the utilisation
	// of the owner's place by at least this much, so that noise in observed loads moves nothing.
	BalanceMargin = 0.10
	// baseLoad is a load that counts in addition, as a part of the whole capacity, the same for each shard. It spreads
	// idle shards, and keeps differences in load that are small against the capacity from moving shards.
	baseLoad = 0.2
	// rounding is the relative error allowed in sums of loads.
	rounding = 1e-6
	// maxCapacity bounds what a target's announcement can claim.
	maxCapacity = 1024
)

// Target is a target of the service that is planned.
type Target struct {
	Name string
	// Capacity is in slots; what exceeds 1,024 is not believed, and zero or less counts as 1.
	Capacity float64
	State    TargetState
	// Straggler is set for a target whose latency has been far over the median of its peers for long.
	Straggler bool
}

// ShardID names a shard of a keyspace, or a hot key when Hot is set.
type ShardID struct {
	Keyspace string
	Shard    uint32
	Hot      bool
	KeyHash  uint64
}

// Shard is a shard or hot key of the service.
type Shard struct {
	ID ShardID
	// Owner is the name of the owning target; empty when the shard has none.
	Owner string
	// Load is the observed load in slots in use on average.
	Load float64
	// Pinned shards don't move at all, since they are moving already or their owner is being replaced.
	Pinned bool
	// RecentlyMoved shards have moved lately and don't move again for balance.
	RecentlyMoved bool
}

// Input is the state of one service in a data centre.
type Input struct {
	Targets []Target
	Shards  []Shard
	// MovesLeft is the number of planned moves that the cap still allows in this minute.
	MovesLeft int
	// DrainMovesLeft is a number of moves above the cap that only drains may use, since a leaving target must not get
	// new work for longer than a few seconds.
	DrainMovesLeft int
}

// Reason tells why a shard gets a new owner.
type Reason string

// Reasons in order of priority.
const (
	ReasonUnowned   Reason = "unowned"
	ReasonDrain     Reason = "drain"
	ReasonStraggler Reason = "straggler"
	ReasonImbalance Reason = "imbalance"
)

// OwnerChange gives a shard to target To.
type OwnerChange struct {
	ID       ShardID
	From, To string
	Reason   Reason
}

// Plan is the result of a planning round: assignments of shards without owner and planned moves of the others.
type Plan struct {
	Assignments []OwnerChange
	Moves       []OwnerChange
}

// CompareIDs orders shard ids.
func CompareIDs(a, b ShardID) int {
	return cmp.Or(strings.Compare(a.Keyspace, b.Keyspace), cmp.Compare(a.Shard, b.Shard),
		cmp.Compare(a.KeyHash, b.KeyHash), order.CompareBools(a.Hot, b.Hot))
}
