package pace

import "time"

// State is the state of a controller.
type State int

// States.
const (
	// Steady means that the limit is at least the number of slots.
	Steady State = iota
	// Growing means that the limit grows after the target has returned.
	Growing
	// Reduced means that the limit is below the number of slots because of bad answers.
	Reduced
	// StateCount is the number of states.
	StateCount
)

// String implements fmt.Stringer.
func (s State) String() string {
	names := [...]string{"steady", "growing", "reduced"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Cause is the cause of a change of a controller.
type Cause int

// Causes. Those up to CauseLinkHealed are ways in which a target returns.
const (
	// CauseStart is the start of a target.
	CauseStart Cause = iota + 1
	// CauseRestart is a new start under the same ID.
	CauseRestart
	// CauseWarm is the end of the cold time.
	CauseWarm
	// CauseEvacuationEnd is the end of the evacuation of the data centre.
	CauseEvacuationEnd
	// CausePauseEnd is the end of a pause that the target asked for.
	CausePauseEnd
	// CauseBackOffEnd is the end of a back-off after connection failures.
	CauseBackOffEnd
	// CauseSpellEnd is the end of a series of slow or failed answers.
	CauseSpellEnd
	// CauseLinkHealed is the return of a target that had been out of reach.
	CauseLinkHealed
	// CauseGrown means that the limit has grown to the number of slots.
	CauseGrown
	// CauseRefused is a refusal by the target.
	CauseRefused
	// CauseFailed is a failed request.
	CauseFailed
	// CauseQueued means that more than Queue requests wait at the target.
	CauseQueued
	// CauseSlow is a series of answers that took far longer than expected.
	CauseSlow
)

// String implements fmt.Stringer.
func (c Cause) String() string {
	names := [...]string{
		"", "start", "restart", "warm", "evacuation-end", "pause-end", "back-off-end", "spell-end", "link-healed", "grown", "refused", "failed",
		"queued", "slow",
	}
	if c < 0 || int(c) >= len(names) {
		return "unknown"
	}
	return names[c]
}

// Outcome is the way in which a request at a target ended.
type Outcome int

// Outcomes. Others are ignored.
const (
	// Answered is a complete response that does not indicate a failure of the target.
	Answered Outcome = iota + 1
	// Refused means that the target refused the request without running it.
	Refused
	// Failed is a failure of the target or of the connection, or a time-out.
	Failed
	// Abandoned means that the response was no longer needed. It would have taken longer than Latency.
	Abandoned
)

// Load is the load that a target reports with a response. It still counts the request of the response as running.
type Load struct {
	Running, Waiting int
}

// waiting returns the number of waiting requests, 0 without a report.
func (r *Load) waiting() int {
	if r == nil {
		return 0
	}
	return max(0, r.Waiting)
}

// Observation is the end of one request.
type Observation struct {
	Outcome Outcome
	// Latency is the time since the request was sent, Expected the latency that was expected then, with the slowdown that the target had
	// reported. Expected is 0 if nothing was expected.
	Latency, Expected time.Duration
	// Report is the load report that came with the response, or nil.
	Report *Load
}

// Change is a change of the state of a controller, or a fall of its limit.
type Change struct {
	State State
	// StateChanged is set if the state was another one before, or the target has returned again.
	StateChanged bool
	// Fall is set if the limit fell because of an answer.
	Fall  bool
	Cause Cause
	Limit float64
}

// maxChanges bounds the changes that are kept until TakeChanges. The caller takes them after each call.
const maxChanges = 8

// setState records a change.
func (c *Controller) setState(state State, cause Cause, fall bool) {
	changed := state != c.state
	c.state = state
	if (changed || fall) && len(c.changes) < maxChanges {
		c.changes = append(c.changes, Change{State: state, StateChanged: changed, Fall: fall, Cause: cause, Limit: c.limit})
	}
}

// TakeChanges returns the changes since the last call.
func (c *Controller) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}
