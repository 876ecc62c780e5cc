package raft

import "fmt"

// NotLeaderError refuses a call that only the leader can serve.
type NotLeaderError struct {
	// Leader is the ID of the leader as far as known, or 0.
	Leader uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("raft: not the leader; the leader is member %d", e.Leader)
}

// Reason tells why a leader refused a call. Nothing was appended.
type Reason string

// Reasons of refusals.
const (
	Sealed          Reason = "the member is sealed"
	Transferring    Reason = "leadership is being transferred"
	TooManyPending  Reason = "too many bytes wait for a quorum"
	EmptyCommand    Reason = "an empty command is reserved for the no-op of a new leader"
	ChangePending   Reason = "another membership change is not committed yet"
	TermUncommitted Reason = "no entry of this term is committed yet"
	UnknownMember   Reason = "no such member"
	MemberExists    Reason = "the member exists already"
	NotLearner      Reason = "the member is not a learner"
	NotVoter        Reason = "the member is not a voter"
	NotCaughtUp     Reason = "the learner has not caught up with the log"
	QuorumAtRisk    Reason = "the remaining active voters are no quorum"
	NotCommitted    Reason = "the index is not applied or already compacted"
)

// RefusedError refuses a call for a reason that may pass.
type RefusedError struct{ Reason Reason }

// Error implements error.
func (e *RefusedError) Error() string { return "raft: " + string(e.Reason) }

func refused(reason Reason) error { return &RefusedError{Reason: reason} }

// ConflictError reports that a leader's entry contradicts a committed entry. It means that a log was damaged or that
// a member returned without its log under its old ID; the member must stop.
type ConflictError struct {
	Index, Commit uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("raft: entry %d conflicts with the log, which is committed up to %d", e.Index, e.Commit)
}
