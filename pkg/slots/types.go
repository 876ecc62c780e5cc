package slots

import (
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

// Target is a target of a group. A target that drains, or whose data centre is evacuated, is not passed to a group.
type Target struct {
	ID string
	// StartedUnixMs is the start time of the target's process. A change means that the requests of the earlier process are gone.
	StartedUnixMs int64
	// Slots is the number of requests that the target processes at the same time. Below 1 it counts as 1, above maxSlots as maxSlots.
	Slots int
	// Cold is set while the target may get at most ColdRate requests a second. ColdRate is what this group may send, so it has to leave room for
	// hosts that select directly and for a second scheduler while views differ.
	Cold     bool
	ColdRate float64
}

// AskID identifies an ask: the random number that the asking host chose at its start, and a sequence number.
type AskID struct{ Start, Sequence uint64 }

// Ask is a request for a turn.
type Ask struct {
	ID AskID
	// Excluded has the hashes of targets that the request may not be sent to.
	Excluded []uint32
	// Rank is the urgency of the request; 0 is the most urgent. Values outside 0 to maxRank count as the nearest of them.
	Rank int
	// ToObjective and ToDeadline are the remaining times of the request. 0 or less means that the time has passed. A request without an
	// objective states its deadline as the objective.
	ToObjective, ToDeadline time.Duration
	// Duration is the expected duration of the request at a target of normal speed.
	Duration time.Duration
	// RoundTrip is the round trip between the asking host and the scheduler.
	RoundTrip time.Duration
	// OnlyFree is set if the request should be refused as busy rather than wait.
	OnlyFree bool
}

// Reason is the reason of a decision.
type Reason int

// Reasons of decisions.
const (
	// ReasonTurn means that the ask got a turn.
	ReasonTurn Reason = iota
	// ReasonBusy means that there is no free slot, or that the queue is full.
	ReasonBusy
	// ReasonLate means that the request can't be answered before its deadline.
	ReasonLate
	// ReasonNoTarget means that the group has no target that the request may be sent to.
	ReasonNoTarget
	// ReasonUnknownGroup means that the host doesn't schedule the group. A Group never gives it; the host that receives the ask does.
	ReasonUnknownGroup
)

// String implements fmt.Stringer. The names are those of the messages and metrics.
func (r Reason) String() string {
	names := [...]string{"turn", "busy", "late", "no-target", "unknown-group"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Decision is the answer to an ask.
type Decision struct {
	ID AskID
	// Turn is the hash of the target that the request may be sent to (dispatch.TargetHash), if Reason is ReasonTurn. Otherwise it is 0.
	Turn   uint32
	Reason Reason
	// RetryAfter is the time after which capacity is expected, if the ask is refused.
	RetryAfter time.Duration
}

// Result is the result of a turn.
type Result struct {
	// Target is the hash of the target of the turn. Without a target, the ask is cancelled.
	Target uint32
	// Outcome is the outcome of the request, or 0 if the turn was not used.
	Outcome dispatch.Outcome
	// Latency is the time from sending the request to the response or failure.
	Latency time.Duration
	// Load is the load report that arrived with the response, or nil.
	Load *dispatch.TargetLoad
}

// State describes how busy a group is.
type State struct {
	// Free is the number of slots that are free now and Waiting the number of asks in the queue.
	Free, Waiting int
	// ExpectedWait is the time that a request of normal duration and the most urgent rank that waits is expected to wait for its turn.
	ExpectedWait time.Duration
}

// Observation is a result at a target, for its Pace.
type Observation struct {
	Outcome dispatch.Outcome
	// Latency is the observed latency, Expected the latency that the target was expected to have at its usual speed.
	Latency, Expected time.Duration
	Load              *dispatch.TargetLoad
}

// Pace limits the requests in flight at one target.
type Pace interface {
	// Limit returns the number of requests in flight that the target may have.
	Limit(now time.Duration) float64
	// Observe records a result at the target.
	Observe(now time.Duration, o Observation)
}

// Options configures a Group.
type Options struct {
	// NewPace returns the pace of a target that has just become known or has restarted. Without it, only the slots of the targets limit the
	// requests in flight.
	NewPace func(now time.Duration, target Target) Pace
}
