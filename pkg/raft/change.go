package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// ProposeChange appends a membership change to the leader's log. At most one may be uncommitted, and the leader must
// have committed an entry of its own term first (Ongaro, raft-dev 2015, "bug in single-server membership changes").
// Errors are *NotLeaderError and *RefusedError.
func (n *Node) ProposeChange(change *schemav1.MembershipChange) (index, term uint64, err error) {
	if err := n.mayAppend(); err != nil {
		return 0, 0, err
	}
	if !n.committedInTerm() {
		return 0, 0, refused(ReasonNoCommitInTerm)
	}
	if n.configurations.current().index > n.log.commit {
		return 0, 0, refused(ReasonMembershipChangePending)
	}
	if err := n.checkChange(change); err != nil {
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
		// The new voter counts for the lease from now on, and its last heartbeat may be old.
		n.heartbeatSoon = true
	case schemav1.MembershipChange_KIND_REMOVE:
		if id != n.config.ID {
			delete(n.progress, id)
		}
	}
	return entry.GetIndex(), entry.GetTerm(), nil
}

func (n *Node) checkChange(change *schemav1.MembershipChange) error {
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
	// The change itself is committed by the new quorum: without one it would block the group.
	if !n.quorumActive(changed(n.membership(), change), n.config.ElectionMinTicks) {
		return refused(ReasonNoActiveQuorum)
	}
	return nil
}

func (n *Node) caughtUp(id uint64) bool {
	p := n.progress[id]
	return p.caughtUp && p.state == replicating && n.now-p.activeAt <= n.activityWindow(id, n.config.ElectionMinTicks)
}

// transfer is a leadership transfer in progress.
type transfer struct {
	target, due uint64
	// sent is set once the target was told to campaign.
	sent bool
}

// TransferLeadership hands leadership to a voter once it has the whole log (thesis 3.10). Proposals are refused
// meanwhile. If the target was told to campaign and does not win in time, the leader steps down, because it can hold no
// lease any more.
func (n *Node) TransferLeadership(to uint64) error {
	if err := n.mayAppend(); err != nil {
		return err
	}
	if !isVoter(n.membership(), to) || to == n.config.ID {
		return refused(ReasonNotVoter)
	}
	n.transfer = transfer{target: to, due: n.now + n.config.ElectionMaxTicks}
	n.continueTransfer()
	return nil
}

func (n *Node) continueTransfer() {
	t := &n.transfer
	if n.role != Leader || t.target == 0 || t.sent || n.progress[t.target] == nil ||
		n.progress[t.target].match < n.log.last() {
		return
	}
	t.sent = true
	n.send(&schemav1.RaftMessage{Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, To: t.target})
}

// transferFailed ends a transfer that is overdue. It reports whether the leader must step down.
func (n *Node) transferFailed() bool {
	if n.transfer.target == 0 || n.now < n.transfer.due {
		return false
	}
	if n.transfer.sent {
		return true
	}
	n.transfer = transfer{}
	return false
}

func (n *Node) stepTimeoutNow(m *schemav1.RaftMessage) {
	if m.GetTerm() == n.term && n.role == Follower && n.leader == m.GetFrom() && isVoter(n.membership(), n.config.ID) {
		n.campaign(Candidate, true)
	}
}
