package target

import (
	"context"

	"almondrock.example/almondrock/pkg/limit"
)

// Gate is the admission control of one target; package limit implements it.
type Gate interface {
	// Acquire waits for a slot. Its error is an apierr refusal that says not-run.
	Acquire(ctx context.Context, ticket Ticket) (Permit, error)
	// Boot sets the target's boot id and number of slots. A new boot id starts the ramp for a cold target again.
	Boot(bootID string, slots uint32)
}

// Permit is the use of one slot.
type Permit interface {
	// Release returns the slot. Calls after the first do nothing.
	Release(outcome Outcome)
}

// Aliases of the types of package limit for the data path.
type (
	// Ticket is a request for one slot.
	Ticket = limit.Ticket
	// Result says how an admitted request ended.
	Result = limit.Result
	// Outcome reports to the gate how an admitted request went.
	Outcome = limit.Outcome
)

// Results of an admitted request.
const (
	Success   = limit.Success
	Failure   = limit.Failure
	Shed      = limit.Shed
	Cancelled = limit.Cancelled
)

// warmReporter is a gate that knows whether a target is past its cold start.
type warmReporter interface {
	Warm() bool
}

// isWarm reports whether the target is past its cold start. It returns false when the gate does not know.
func (a *AttachedTarget) isWarm() bool {
	gate, ok := a.gate.(warmReporter)
	return ok && gate.Warm()
}
