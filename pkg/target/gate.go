package target

import (
	"context"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
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

// Ticket is a request for one slot.
type Ticket struct {
	Class  schemav1.RequestClass
	Tenant string
	// Weight is the tenant's share; 1 when 0.
	Weight uint32
	// Deadline is the time left.
	Deadline time.Duration
}

// Result tells how an admitted request ended.
type Result int

// Results of an admitted request, in the order that package limit uses.
const (
	// Success is a complete answer, whatever its status says about the caller's own mistakes.
	Success Result = iota
	// Failure is a lost connection, a time-out, or an answer that blames the target.
	Failure
	// Shed is a refusal by the target before it ran the request.
	Shed
	// Cancelled is a request whose caller or sender gave up.
	Cancelled
)

// Outcome is what the gate learns from an admitted request.
type Outcome struct {
	Result  Result
	Latency time.Duration
}

// warmer is a gate that knows when a target is past its cold start.
type warmer interface {
	Warm() bool
}

// isWarm reports whether the target is past its cold start; false when the gate can't tell.
func (a *Attached) isWarm() bool {
	gate, ok := a.gate.(warmer)
	return ok && gate.Warm()
}
