package replication

import (
	"errors"
	"fmt"

	"almondrock.example/almondrock/pkg/raft"

	"github.com/ansel1/merry/v2"
)

// NotLeaderError refuses a call that only the leader can serve. Nothing was proposed.
type NotLeaderError struct {
	// LeaderID is the member ID of the current leader, or 0 if it is not known.
	LeaderID uint64
	// LeaderAddress is the RPC address of the leader, or empty if it is not known.
	LeaderAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("replication: not the leader; the leader is member %d at %q", e.LeaderID, e.LeaderAddress)
}

// RefusedError reports that this member refused the call. Nothing was proposed.
type RefusedError = raft.RefusedError

// ProposalReplacedError reports that another entry was committed at the index of the proposal. The proposed command was not
// applied and never will be.
type ProposalReplacedError struct{ Index, Term uint64 }

// Error implements error.
func (e *ProposalReplacedError) Error() string {
	return fmt.Sprintf("replication: another entry was committed at index %d in place of the proposal of term %d", e.Index, e.Term)
}

// ProposalCompactedError is the cause of an unknown outcome if a snapshot from the leader covers the index of the proposal,
// so that this member does not see which command was committed there.
type ProposalCompactedError struct{ Index, Term uint64 }

// Error implements error.
func (e *ProposalCompactedError) Error() string {
	return fmt.Sprintf("replication: a snapshot replaced the log at index %d of a proposal of term %d", e.Index, e.Term)
}

// OutcomeUnknownError reports that the command may have been applied, may be applied later, or may never be applied.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("replication: outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Operation names an operation of a replica that stops the replica if it fails.
type Operation string

// Operations on the storage (load, save) and the state machine (snapshot, restore), and the handling of a Raft message
// (step).
const (
	OperationLoad     Operation = "load"
	OperationSave     Operation = "save"
	OperationSnapshot Operation = "snapshot"
	OperationRestore  Operation = "restore"
	OperationStep     Operation = "step"
)

// OperationError reports which operation failed and stopped the replica. The replica has acknowledged nothing that was not
// durable.
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

// StoppedError refuses a call because Stop was called.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "replication: the replica was stopped" }

// WrongGroupError refuses a batch of messages for another group or generation.
type WrongGroupError struct {
	Group      string
	Generation uint64
}

// Error implements error.
func (e *WrongGroupError) Error() string {
	return fmt.Sprintf("replication: the replica is not a member of group %q, generation %d", e.Group, e.Generation)
}

// publicError converts an error of package raft to one of this package, with the address of the leader, and adds a stack
// trace.
func (d *driver) publicError(err error) error {
	var notLeader *raft.NotLeaderError
	if errors.As(err, &notLeader) {
		err = &NotLeaderError{LeaderID: notLeader.LeaderID, LeaderAddress: d.addressOf(notLeader.LeaderID)}
	}
	return merry.WrapSkipping(err, 1)
}
