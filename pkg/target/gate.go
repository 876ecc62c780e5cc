package target

import (
	"context"

	"almondrock.example/almondrock/pkg/limit"
)

// Gate is the admission control of one target; package limit implements it.
type Gate interface {
	// Acquire waits for a slot. It fails with an apierr refusal of a request that was not run.
	Acquire(ctx context.Context, ticket Ticket) (Permit, error)
	// Boot tells the gate the boot id and slots in force; a new boot id starts the ramp of a cold target.
	Boot(bootID string, slots uint32)
}

// Permit is one slot in use.
type Permit interface {
	// Release gives the slot back; calls after the first do nothing.
	Release(outcome Outcome)
}

// The types of package limit, under the names that the data path uses.
type (
	// Ticket is a request for one slot.
	Ticket = limit.Ticket
	// Result tells how an admitted request ended.
	Result = limit.Result
	// Outcome is what the gate learns from an admitted request.
	Outcome = limit.Outcome
)

// Results of an admitted request.
const (
	Success   = limit.Success
	Failure   = limit.Failure
	Shed      = limit.Shed
	Cancelled = limit.Cancelled
)

// warmer is a gate that knows when a target is past its cold start.
type warmer interface {
	Warm() bool
}

// isWarm reports whether the target is past its cold start; false when the gate can't tell.
func (a *AttachedTarget) isWarm() bool {
	gate, ok := a.gate.(warmer)
	return ok && gate.Warm()
}
