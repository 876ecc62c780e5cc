package grants

import (
	"context"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Grant is the permission for a target to serve the keys of a range exclusively, and the content of the calls for it.
type Grant struct {
	// Address is the host and port of the target, Target its ID.
	Address string
	Target  string
	// First and Last are the first and the last key of the range.
	First, Last uint32
	// Fence is the fence of the range. Targets refuse grants with a lower fence than they have seen.
	Fence uint64
	// Validity is how long the target may serve the keys after the arrival of a grant call.
	Validity time.Duration
	// Handover is the data that the previous owner returned at the release, or empty.
	Handover string
	// Renewal is set if an earlier call may have carried this fence. The call may then use only the connection of that call, because
	// another process may have taken over the address since, and must not get the keys under the same fence.
	Renewal bool
	// BeforeSend is called once the connection of a grant call is open, right before the call is sent. After an error it is not sent. The
	// leader may have been replaced while the connection was opened.
	BeforeSend func() error
}

// Granter calls targets about key ranges.
type Granter interface {
	// Grant gives or renews a grant. It fails with a StaleFenceError if the target has seen a higher fence, with a StatusError if
	// the target refuses the call, with ErrConnectionClosed if g is a renewal and the connection of the earlier call is closed, and with
	// the error of g.BeforeSend.
	Grant(ctx context.Context, g *Grant) error
	// Release ends a grant. It returns the handover for the next owner once the work on the keys has ended.
	Release(ctx context.Context, g *Grant) (handover string, err error)
}

// Proposer commits commands to the registry.
type Proposer interface {
	// Propose returns the result of the command after it was committed and applied. After an error it is open whether the command
	// will be applied.
	Propose(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error)
	// HoldsLeaderLease reports whether this host may act as the leader now, because no other host can be the leader.
	HoldsLeaderLease() bool
}
