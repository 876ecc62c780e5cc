package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Ready is what the caller must do, in this order: make HardState, Snapshot and Entries durable; send Messages; restore
// Snapshot; apply Committed; answer ReadStates; call Advance.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *schemav1.HardState
	// Snapshot came from the leader and replaces the state machine and the log; nil in most cases.
	Snapshot *schemav1.Snapshot
	// Entries replace stored entries from the index of the first on.
	Entries []*schemav1.Entry
	// Messages may only be sent once the above is durable.
	Messages         []*schemav1.RaftMessage
	CommittedEntries []*schemav1.Entry
	ReadStates       []ReadState
}

// MustSave reports whether there is anything to make durable.
func (r *Ready) MustSave() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// maxCommittedBytes bounds the committed entries of one Ready, so that ticks are not held up by a long backlog.
const maxCommittedBytes = 4 << 20

// Ready returns the pending work, and false if there is none. Each Ready must be followed by Advance.
func (n *Node) Ready() (Ready, bool) {
	n.flushLeader()
	var r Ready
	if n.log.restored {
		r.Snapshot = n.log.snapshot
	}
	r.Entries = n.log.between(n.log.stable+1, n.log.last(), maxInt)
	// A new commit index alone is not worth a sync: after a restart the leader tells it again.
	if n.term != n.saved.GetTerm() || n.vote != n.saved.GetVote() || n.sealed != n.saved.GetSealed() || r.MustSave() {
		r.HardState = &schemav1.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit, Sealed: n.sealed}
	}
	r.CommittedEntries = n.log.between(n.log.applied+1, n.log.commit, maxCommittedBytes)
	r.Messages, n.messages = n.messages, nil
	r.ReadStates, n.readStates = n.readStates, nil
	return r, r.MustSave() || len(r.Messages) > 0 || len(r.CommittedEntries) > 0 || len(r.ReadStates) > 0
}

const maxInt = int(^uint(0) >> 1)

// flushLeader turns the requests since the last Ready into messages, one batch for all of them.
func (n *Node) flushLeader() {
	if n.role != Leader {
		return
	}
	if n.heartbeatSoon {
		n.broadcastHeartbeat()
	}
	if n.appendSoon {
		n.broadcastAppend()
	}
}

// Advance tells that everything in the Ready is done.
func (n *Node) Advance(r Ready) {
	if r.HardState != nil {
		n.saved = r.HardState
	}
	if r.Snapshot != nil {
		n.log.restored = false
	}
	if count := len(r.Entries); count > 0 {
		n.log.stable = r.Entries[count-1].GetIndex()
	}
	if count := len(r.CommittedEntries); count > 0 {
		n.log.applied = r.CommittedEntries[count-1].GetIndex()
	}
	if n.role == Leader {
		// A leader counts itself only for what it has made durable.
		n.progress[n.config.ID].acknowledge(n.log.stable)
		n.maybeCommit()
	}
}

// Compact replaces the log up to index, which must be applied, by a snapshot of the state machine at that index, and
// returns the snapshot to be stored. The last keep entries before it stay in memory for slow followers.
func (n *Node) Compact(index uint64, data []byte, keep uint64) (*schemav1.Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index <= n.log.snapshot.GetIndex() {
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

// LeaderID returns the ID of the leader of the current term as far as known, or 0.
func (n *Node) LeaderID() uint64 { return n.leader }

// Now returns the current tick.
func (n *Node) Now() uint64 { return n.now }

// idleTicks is how long a sealed member may sleep.
const idleTicks = 1000

// NextWakeup returns the tick by which TickBy must be called again if nothing else happens.
func (n *Node) NextWakeup() uint64 {
	switch {
	case n.sealed:
		return n.now + idleTicks
	case n.role == Leader:
		return n.heartbeatDue
	default:
		return n.electionDue
	}
}

// UnappliedEntries returns the entries that are not applied yet.
func (n *Node) UnappliedEntries() []*schemav1.Entry {
	return n.log.between(n.log.applied+1, n.log.last(), maxInt)
}

// Member returns the member with the given ID in the membership in force, or nil.
func (n *Node) Member(id uint64) *schemav1.Member { return findMember(n.membership(), id) }

// MemberStatus is what a leader knows of a member.
type MemberStatus struct {
	Member *schemav1.Member
	// MatchIndex is the last index that the member is known to have. Only set on the leader.
	MatchIndex uint64
	// TicksSinceLastResponse is the time since the member's last answer. Only set on the leader.
	TicksSinceLastResponse uint64
	CaughtUp               bool
}

// Status is a member's view of its group.
type Status struct {
	ID, Term, LeaderID        uint64
	Role                      Role
	Sealed                    bool
	CommitIndex, AppliedIndex uint64
	// LeaderCommitIndex is the highest commit index that a leader has told; it is above Commit while this member lags behind.
	LeaderCommitIndex         uint64
	LastIndex, LastTerm       uint64
	FirstIndex, SnapshotIndex uint64
	Now                       uint64
	Members                   []MemberStatus
}

// Status returns the current view.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Term: n.term, LeaderID: n.leader, Role: n.role, Sealed: n.sealed,
		CommitIndex: n.log.commit, AppliedIndex: n.log.applied, LastIndex: n.log.last(), LastTerm: n.log.lastTerm(),
		LeaderCommitIndex: max(n.leaderCommit, n.log.commit),
		FirstIndex:        n.log.first, SnapshotIndex: n.log.snapshot.GetIndex(), Now: n.now,
	}
	for _, member := range n.membership().GetMembers() {
		status := MemberStatus{Member: member}
		if p := n.progress[member.GetId()]; p != nil {
			status.MatchIndex = p.match
			if member.GetId() != n.config.ID {
				status.TicksSinceLastResponse, status.CaughtUp = n.now-p.activeAt, !member.GetLearner() || n.caughtUp(member.GetId())
			}
		}
		s.Members = append(s.Members, status)
	}
	return s
}
