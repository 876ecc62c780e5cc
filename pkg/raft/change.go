package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// ProposeChange appends a membership change to the leader's log and returns the index and term of the entry. At most one
// change may be uncommitted at a time, and the leader must have committed an entry of its own term first (Ongaro, raft-dev
// 2015, "bug in single-server membership changes"). It returns *NotLeaderError or *RefusedError if nothing was appended.
func (n *Node) ProposeChange(change *schemav1.MembershipChange) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if !n.hasCommittedInTerm() {
		return 0, 0, refused(ReasonNoCommitInTerm)
	}
	if n.configurations.current().index > n.log.commitIndex {
		return 0, 0, refused(ReasonMembershipChangePending)
	}
	if err := n.validateChange(change); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(change)
	if err != nil {
		return 0, 0, err
	}
	entry := n.appendEntry(schemav1.EntryType_ENTRY_TYPE_MEMBERSHIP, data)
	if n.configurations, err = n.configurations.append(entry); err != nil {
		return 0, 0, err
	}
	id := change.GetMember().GetId()
	switch change.GetKind() {
	case schemav1.MembershipChange_KIND_ADD_LEARNER:
		n.trackMember(id)
	case schemav1.MembershipChange_KIND_PROMOTE:
		// The new voter counts for the lease from now on, but as a learner it may not have received a heartbeat for long.
		n.heartbeatPending = true
	case schemav1.MembershipChange_KIND_REMOVE:
		if id != n.config.ID {
			delete(n.progress, id)
		}
	}
	return entry.GetIndex(), entry.GetTerm(), nil
}

// validateChange returns *RefusedError if the change does not fit the current membership or would leave no active quorum.
func (n *Node) validateChange(change *schemav1.MembershipChange) error {
	id := change.GetMember().GetId()
	member := findMember(n.membership(), id)
	if change.GetKind() == schemav1.MembershipChange_KIND_ADD_LEARNER {
		if member != nil || id == 0 {
			return refused(ReasonMemberExists)
		}
		return nil
	}
	if member == nil {
		return refused(ReasonUnknownMember)
	}
	if change.GetKind() == schemav1.MembershipChange_KIND_PROMOTE {
		if !member.GetLearner() {
			return refused(ReasonNotLearner)
		}
		if !n.caughtUp(id) {
			return refused(ReasonNotCaughtUp)
		}
	}
	// The change takes effect at once and is committed by a quorum of the new membership. If too few of its voters are
	// active, the group could not commit anything any more.
	if !n.isQuorumActive(applyChange(n.membership(), change), n.config.ElectionMinTicks) {
		return refused(ReasonNoActiveQuorum)
	}
	return nil
}

// caughtUp reports whether a member keeps up with the log and has responded recently.
func (n *Node) caughtUp(id uint64) bool {
	p := n.progress[id]
	return p.caughtUp && p.state == replicating && n.now-p.lastResponseAt <= n.activityWindow(id, n.config.ElectionMinTicks)
}

// leadershipTransfer is a leadership transfer in progress. It is zero if there is none.
type leadershipTransfer struct {
	// targetID is the member that takes over, deadline the tick at which the transfer fails.
	targetID, deadline uint64
	// timeoutNowSent is set once the target was told to start an election.
	timeoutNowSent bool
}

// TransferLeadership starts to hand leadership over to the voter with ID to, which takes over once it has the whole log
// (thesis 3.10). Proposals are refused meanwhile. If the voter was told to start an election and does not win it in time,
// the leader steps down, because it cannot hold a lease for the rest of its term. Errors are *NotLeaderError and
// *RefusedError.
func (n *Node) TransferLeadership(to uint64) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	if !isVoter(n.membership(), to) || to == n.config.ID {
		return refused(ReasonNotVoter)
	}
	n.leadershipTransfer = leadershipTransfer{targetID: to, deadline: n.now + n.config.ElectionMaxTicks}
	n.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow tells the target of a transfer to start an election if it has the whole log.
func (n *Node) maybeSendTimeoutNow() {
	t := &n.leadershipTransfer
	if n.role != Leader || t.targetID == 0 || t.timeoutNowSent || n.progress[t.targetID] == nil ||
		n.progress[t.targetID].matchIndex < n.log.lastIndex() {
		return
	}
	t.timeoutNowSent = true
	n.send(&schemav1.RaftMessage{Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, To: t.targetID})
}

// expireTransfer ends a transfer that has passed its deadline. It reports whether the leader must step down, because the
// target was already told to start an election.
func (n *Node) expireTransfer() bool {
	if n.leadershipTransfer.targetID == 0 || n.now < n.leadershipTransfer.deadline {
		return false
	}
	if n.leadershipTransfer.timeoutNowSent {
		return true
	}
	n.leadershipTransfer = leadershipTransfer{}
	return false
}

// stepTimeoutNow starts an election at once, on request of the leader.
func (n *Node) stepTimeoutNow(m *schemav1.RaftMessage) {
	if m.GetTerm() == n.term && n.role == Follower && n.leader == m.GetFrom() && isVoter(n.membership(), n.config.ID) {
		n.campaign(Candidate, true)
	}
}
