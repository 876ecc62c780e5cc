package replication

import (
	"errors"
	"fmt"

	"almondrock.example/almondrock/pkg/raft"

	"github.com/ansel1/merry/v2"
)

// NotLeaderError refuses a call that only the leader can serve. Nothing was proposed.
type NotLeaderError struct {
	// LeaderID is the ID of the leader as far as known, or 0.
	LeaderID uint64
	// LeaderAddress is the RPC listener of the leader, or empty.
	LeaderAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("replication: not the leader; the leader is member %d at %q", e.LeaderID, e.LeaderAddress)
}

// RefusedError is a refusal by the leader. Nothing was proposed.
type RefusedError = raft.RefusedError

// ProposalReplacedError reports that another command was chosen in place of the proposed one, which was not and will not be
// applied.
type ProposalReplacedError struct{ Index, Term uint64 }

// Error implements error.
func (e *ProposalReplacedError) Error() string {
	return fmt.Sprintf("replication: the proposal at index %d of term %d was replaced", e.Index, e.Term)
}

// ProposalCompactedError is the cause of an unknown outcome when a snapshot covers the index of the proposal.
type ProposalCompactedError struct{ Index, Term uint64 }

// Error implements error.
func (e *ProposalCompactedError) Error() string {
	return fmt.Sprintf("replication: a snapshot replaced the log at index %d, proposed in term %d", e.Index, e.Term)
}

// OutcomeUnknownError reports that the command may or may not be applied, now or later.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("replication: outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Operation names a call to the storage or the state machine.
type Operation string

// Operations that can fail and stop the replica.
const (
	OperationLoad     Operation = "load"
	OperationSave     Operation = "save"
	OperationSnapshot Operation = "snapshot"
	OperationRestore  Operation = "restore"
	OperationStep     Operation = "step"
)

// OperationError reports why a replica stopped by itself. It has acknowledged nothing that was not durable.
type OperationError struct {
	Operation Operation
	Cause     error
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("replication: %s failed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Cause }

// StoppedError refuses a call because the replica was stopped.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "replication: stopped" }

// WrongGroupError refuses a batch of another group or generation.
type WrongGroupError struct {
	Group      string
	Generation uint64
}

// Error implements error.
func (e *WrongGroupError) Error() string {
	return fmt.Sprintf("replication: not a member of group %q generation %d", e.Group, e.Generation)
}

// external adds a stack and, for a refusal by the core, the leader's address.
func (m *member) external(err error) error {
	var notLeader *raft.NotLeaderError
	if errors.As(err, &notLeader) {
		err = &NotLeaderError{LeaderID: notLeader.LeaderID, LeaderAddress: m.addressOf(notLeader.LeaderID)}
	}
	return merry.WrapSkipping(err, 1)
}
