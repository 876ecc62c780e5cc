package grants

import (
	"context"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Grant is one call to a target.
type Grant struct {
	Address     string
	Target      string
	First, Last uint32
	Fence       uint64
	Validity    time.Duration
	// Handover is what the last owner gave; empty when there is none.
	Handover string
	// Renewal is set when a call has carried this fence before. It then may go only over the connection of that call:
	// another process may have the address since, and must not get the keys under the same fence.
	Renewal bool
}

// Granter calls targets.
type Granter interface {
	// Grant gives or renews keys. It fails with a FencedError if the target knows a higher fence, and a renewal with
	// ErrNoConnection if the connection of the first call is closed.
	Grant(ctx context.Context, g *Grant) error
	// Release ends a grant and returns the handover once the work on the keys has ended.
	Release(ctx context.Context, g *Grant) (handover string, err error)
}

// Proposer proposes commands to the registry.
type Proposer interface {
	Propose(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error)
	// HoldsLeaderLease reports whether this host may act as the leader right now.
	HoldsLeaderLease() bool
}
