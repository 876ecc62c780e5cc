package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Ready is the work that the caller must do, in this order: store HardState, Snapshot and Entries durably; send Messages;
// restore the state machine from Snapshot; apply CommittedEntries; handle ReadStates; call Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *schemav1.HardState
	// Snapshot was received from the leader and replaces the state machine and the log. It is nil in most cases.
	Snapshot *schemav1.Snapshot
	// Entries replace all stored entries from the index of the first one on.
	Entries []*schemav1.Entry
	// Messages may be sent only once HardState, Snapshot and Entries are durable.
	Messages         []*schemav1.RaftMessage
	CommittedEntries []*schemav1.Entry
	ReadStates       []ReadState
}

// MustSave reports whether there is anything to store durably.
func (r *Ready) MustSave() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// maxCommittedBytes limits the size of the committed entries in one Ready, so that a long backlog does not delay ticks.
const maxCommittedBytes = 4 << 20

// Ready returns the pending work, and false if there is none. Each Ready must be followed by Advance.
func (n *Node) Ready() (Ready, bool) {
	n.queueLeaderMessages()
	var r Ready
	if n.log.snapshotUnsaved {
		r.Snapshot = n.log.snapshot
	}
	r.Entries = n.log.between(n.log.durableIndex+1, n.log.lastIndex(), maxInt)
	// A new commit index alone does not need to be stored: after a restart the leader sends it again.
	if n.term != n.savedHardState.GetTerm() || n.vote != n.savedHardState.GetVote() ||
		n.sealed != n.savedHardState.GetSealed() || r.MustSave() {
		r.HardState = &schemav1.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commitIndex, Sealed: n.sealed}
	}
	r.CommittedEntries = n.log.between(n.log.appliedIndex+1, n.log.commitIndex, maxCommittedBytes)
	r.Messages, n.messages = n.messages, nil
	r.ReadStates, n.readStates = n.readStates, nil
	return r, r.MustSave() || len(r.Messages) > 0 || len(r.CommittedEntries) > 0 || len(r.ReadStates) > 0
}

const maxInt = int(^uint(0) >> 1)

// queueLeaderMessages queues the heartbeats and appends that were requested since the last Ready. Requests are collected
// until then, so that one broadcast serves all of them.
func (n *Node) queueLeaderMessages() {
	if n.role != Leader {
		return
	}
	if n.heartbeatPending {
		n.broadcastHeartbeat()
	}
	if n.appendPending {
		n.broadcastAppend()
	}
	n.addEchoes()
}

// Advance confirms that all work of r is done.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.savedHardState = r.HardState
	}
	if r.Snapshot != nil {
		n.log.snapshotUnsaved = false
	}
	if count := len(r.Entries); count > 0 {
		n.log.durableIndex = r.Entries[count-1].GetIndex()
	}
	if count := len(r.CommittedEntries); count > 0 {
		n.log.appliedIndex = r.CommittedEntries[count-1].GetIndex()
	}
	n.confirmations.advance(n.log.appliedIndex)
	if n.role == Leader {
		// For the commit index, a leader counts its own entries only once they are durable.
		n.progress[n.config.ID].acknowledge(n.log.durableIndex)
		n.maybeCommit()
	}
}

// Compact replaces the log up to index by a snapshot with the given state machine data and returns the snapshot, which the
// caller must store. The entry at index must be applied, or the call is refused with a *RefusedError. The last keep
// entries up to index stay in memory for followers that are slightly behind.
func (n *Node) Compact(index uint64, data []byte, keep uint64) (*schemav1.Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.appliedIndex || index <= n.log.snapshot.GetIndex() {
		return nil, refused(ReasonIndexNotCompactable)
	}
	n.log.snapshot = &schemav1.Snapshot{Index: index, Term: term, Membership: n.configurations.at(index), Data: data}
	if index > keep {
		n.log.compact(index - keep)
	}
	n.configurations = n.configurations.compact(index)
	return n.log.snapshot, nil
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// LeaderID returns the ID of the leader of the current term, or 0 if it is not known.
func (n *Node) LeaderID() uint64 { return n.leader }

// CompleteAt returns the last tick at which the applied state is known to have had everything that the group had committed by then, and
// false if there is none.
func (n *Node) CompleteAt() (uint64, bool) { return n.confirmations.completeAt, n.confirmations.known }

// Now returns the current tick. A node starts at tick 0.
func (n *Node) Now() uint64 { return n.now }

// sealedWakeupTicks is the interval between wake-ups of a sealed member, which has nothing to do at any tick.
const sealedWakeupTicks = 1000

// NextWakeup returns the tick by which TickBy must be called again if nothing else happens.
func (n *Node) NextWakeup() uint64 {
	switch {
	case n.sealed:
		return n.now + sealedWakeupTicks
	case n.role == Leader:
		return n.nextHeartbeatAt
	default:
		return n.electionTimeoutAt
	}
}

// UnappliedEntries returns the entries after the last applied one. They may or may not be committed.
func (n *Node) UnappliedEntries() []*schemav1.Entry {
	return n.log.between(n.log.appliedIndex+1, n.log.lastIndex(), maxInt)
}

// Member returns the member with the given ID in the current membership, or nil.
func (n *Node) Member(id uint64) *schemav1.Member { return findMember(n.membership(), id) }

// MemberStatus describes one member of the group. All fields but Member are set on the leader only.
type MemberStatus struct {
	Member *schemav1.Member
	// MatchIndex is the last index at which the member's log is known to match the leader's.
	MatchIndex uint64
	// TicksSinceLastResponse is the number of ticks since the member's last response; 0 for the leader itself.
	TicksSinceLastResponse uint64
	// CaughtUp is set for voters and for learners that may be promoted; it is not set for the leader itself.
	CaughtUp bool
}

// Status describes the group as this member knows it.
type Status struct {
	ID, Term, LeaderID        uint64
	Role                      Role
	Sealed                    bool
	CommitIndex, AppliedIndex uint64
	LastIndex, LastTerm       uint64
	FirstIndex, SnapshotIndex uint64
	Now                       uint64
	Members                   []MemberStatus
	// CommittedVoters is the number of voters of the membership at CommitIndex. A majority of them has stored the log up to there.
	CommittedVoters int
}

// Status returns the current status.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Term: n.term, LeaderID: n.leader, Role: n.role, Sealed: n.sealed,
		CommitIndex: n.log.commitIndex, AppliedIndex: n.log.appliedIndex, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(),
		FirstIndex: n.log.firstIndex, SnapshotIndex: n.log.snapshot.GetIndex(), Now: n.now,
	}
	for _, member := range n.configurations.at(n.log.commitIndex).GetMembers() {
		if !member.GetLearner() {
			s.CommittedVoters++
		}
	}
	for _, member := range n.membership().GetMembers() {
		status := MemberStatus{Member: member}
		if p := n.progress[member.GetId()]; p != nil {
			status.MatchIndex = p.matchIndex
			if member.GetId() != n.config.ID {
				status.TicksSinceLastResponse, status.CaughtUp = n.now-p.lastResponseAt, !member.GetLearner() || n.caughtUp(member.GetId())
			}
		}
		s.Members = append(s.Members, status)
	}
	return s
}
