package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// heardRecently reports whether votes must be refused (thesis 4.2.3 and 6.4.1). One tick is added because ticks are
// whole numbers: ElectionMinTicks apart may be up to one tick less in real time.
func (n *Node) heardRecently() bool {
	if n.role == Leader {
		return n.quorumActive(n.membership(), n.config.ElectionMinTicks)
	}
	return n.now-n.heardAt <= n.config.ElectionMinTicks
}

// campaign starts a pre-vote or a vote. force marks a leadership transfer.
func (n *Node) campaign(role Role, force bool) {
	n.becomeFollower(n.term, 0)
	n.role = role
	// A split vote is repeated sooner than after a loss: the voters' promise to the old leader is over by now.
	n.electionDue = n.now + n.config.HeartbeatTicks + uint64(n.config.Rand(int(n.config.ElectionMinTicks)))
	kind, term := schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, n.term+1
	if role == Candidate {
		n.term++
		n.vote = n.config.ID
		kind = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
	}
	n.votes = map[uint64]bool{n.config.ID: true}
	if n.countVotes() {
		return
	}
	for _, member := range n.membership().GetMembers() {
		if member.GetLearner() || member.GetId() == n.config.ID {
			continue
		}
		n.send(&schemav1.RaftMessage{
			Type: kind, To: member.GetId(), Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force,
		})
	}
}

// countVotes moves on when a quorum granted its vote, and reports whether it did.
func (n *Node) countVotes() bool {
	if !quorumOf(n.membership(), func(id uint64) bool { return n.votes[id] }) {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
	} else {
		n.becomeLeader()
	}
	return true
}

func (n *Node) stepVoteRequest(m *schemav1.RaftMessage) {
	preVote := m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE
	// The rule holds whatever the terms are: a member can learn of a higher term by other messages than a vote, and
	// would otherwise grant a vote in that term while the lease of the old leader still counts on it.
	if n.heardRecently() && !m.GetForce() && m.GetTerm() >= n.term {
		return
	}
	if m.GetTerm() > n.term && !preVote {
		n.becomeFollower(m.GetTerm(), 0)
	}
	grant := m.GetTerm() >= n.term && n.log.isUpToDate(m.GetIndex(), m.GetLogTerm())
	if preVote {
		grant = grant && m.GetTerm() > n.term
	} else {
		grant = grant && (n.vote == m.GetFrom() || (n.vote == 0 && n.leader == 0))
	}
	answer := &schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_RESPONSE, To: m.GetFrom(), Reject: !grant,
	}
	if preVote {
		answer.Type = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	}
	if grant {
		answer.Term = m.GetTerm()
		if !preVote {
			n.vote = m.GetFrom()
			n.resetElectionTimer()
		}
	}
	n.send(answer)
}

func (n *Node) stepVoteResponse(m *schemav1.RaftMessage) {
	preVote := m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	if m.GetTerm() > n.term && (m.GetReject() || !preVote) {
		n.becomeFollower(m.GetTerm(), 0)
		return
	}
	expected := (preVote && n.role == PreCandidate && m.GetTerm() == n.term+1) ||
		(!preVote && n.role == Candidate && m.GetTerm() == n.term)
	if expected && !m.GetReject() {
		n.votes[m.GetFrom()] = true
		n.countVotes()
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.config.ID, nil
	n.leaderState = leaderState{progress: map[uint64]*progress{}, termStart: n.log.last() + 1, heartbeatSoon: true}
	// A leader tracks itself even if its own removal is in its log.
	n.trackMember(n.config.ID)
	for _, member := range n.membership().GetMembers() {
		n.trackMember(member.GetId())
	}
	n.appendEntry(schemav1.EntryType_ENTRY_TYPE_COMMAND, nil)
}

func (n *Node) trackMember(id uint64) {
	n.progress[id] = &progress{next: n.log.last() + 1, activeAt: n.now, roundTarget: n.log.last(), roundStart: n.now}
	if id == n.config.ID {
		n.progress[id].match = n.log.stable
	}
}
