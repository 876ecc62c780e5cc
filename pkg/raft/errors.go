package raft

import "fmt"

// NotLeaderError refuses a call that only the leader can serve.
type NotLeaderError struct {
	// LeaderID is the ID of the leader as far as known, or 0.
	LeaderID uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("raft: not the leader; the leader is member %d", e.LeaderID)
}

// RefusalReason tells why a leader refused a call. Nothing was appended.
type RefusalReason string

// Reasons of refusals.
const (
	ReasonSealed                  RefusalReason = "the member is sealed"
	ReasonTransferInProgress      RefusalReason = "leadership is being transferred"
	ReasonTooManyUncommittedBytes RefusalReason = "too many bytes wait for a quorum"
	ReasonEmptyCommand            RefusalReason = "an empty command is reserved for the no-op of a new leader"
	ReasonMembershipChangePending RefusalReason = "another membership change is not committed yet"
	ReasonNoCommitInTerm          RefusalReason = "no entry of this term is committed yet"
	ReasonUnknownMember           RefusalReason = "no such member"
	ReasonMemberExists            RefusalReason = "the member exists already"
	ReasonNotLearner              RefusalReason = "the member is not a learner"
	ReasonNotVoter                RefusalReason = "the member is not a voter"
	ReasonNotCaughtUp             RefusalReason = "the learner has not caught up with the log"
	ReasonNoActiveQuorum          RefusalReason = "the remaining active voters are no quorum"
	ReasonIndexNotCompactable     RefusalReason = "the index is not applied or already compacted"
)

// RefusedError refuses a call for a reason that may pass.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return "raft: " + string(e.Reason) }

func refused(reason RefusalReason) error { return &RefusedError{Reason: reason} }

// ConflictError reports that a leader's entry contradicts a committed entry. It means that a log was damaged or that
// a member returned without its log under its old ID; the member must stop.
type ConflictError struct {
	Index, CommitIndex uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("raft: entry %d conflicts with the log, which is committed up to %d", e.Index, e.CommitIndex)
}
