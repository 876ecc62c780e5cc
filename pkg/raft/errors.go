package raft

import "fmt"

// NotLeaderError refuses a call that only the leader can serve.
type NotLeaderError struct {
	// LeaderID is the member ID of the current leader, or 0 if it is not known.
	LeaderID uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("raft: not the leader; the leader is member %d", e.LeaderID)
}

// RefusalReason is why a member refused a call. A call that is refused has changed nothing.
type RefusalReason string

// Reasons for refusing a call.
const (
	ReasonSealed                  RefusalReason = "the member is sealed"
	ReasonTransferInProgress      RefusalReason = "leadership is being transferred"
	ReasonTooManyUncommittedBytes RefusalReason = "too many bytes of proposals are not committed yet"
	ReasonEmptyCommand            RefusalReason = "the command is empty, which is reserved for the no-op entry of a new leader"
	ReasonMembershipChangePending RefusalReason = "another membership change is not committed yet"
	ReasonNoCommitInTerm          RefusalReason = "no entry of this term is committed yet"
	ReasonUnknownMember           RefusalReason = "the group has no such member"
	ReasonMemberExists            RefusalReason = "the member exists already"
	ReasonNotLearner              RefusalReason = "the member is not a learner"
	ReasonNotVoter                RefusalReason = "the member is not a voter"
	ReasonNotCaughtUp             RefusalReason = "the learner has not caught up with the log"
	ReasonNoActiveQuorum          RefusalReason = "the remaining active voters would not form a quorum"
	ReasonIndexNotCompactable     RefusalReason = "the index is not applied yet or is already compacted"
)

// RefusedError refuses a call for a reason that may no longer hold later.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return "raft: " + string(e.Reason) }

func refused(reason RefusalReason) error { return &RefusedError{Reason: reason} }

// ConflictError reports that an entry sent by a leader differs from a committed entry at the same index. Either a log was
// damaged or a member that lost its log rejoined under its old ID. The member that gets this error must stop.
type ConflictError struct {
	// Index is the index of the conflicting entry, CommitIndex the commit index of this member.
	Index, CommitIndex uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("raft: entry %d conflicts with the log, which is committed up to %d", e.Index, e.CommitIndex)
}
