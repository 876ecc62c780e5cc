package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// mustRefuseVotes reports whether this member must ignore vote requests, because it heard from a leader at most a
// minimum election timeout ago or is a leader with an active quorum (thesis 4.2.3 and 6.4.1). The comparison includes one
// more tick because ticks are whole numbers: two events that are ElectionMinTicks apart may be up to one tick closer in
// real time.
func (n *Node) mustRefuseVotes() bool {
	if n.role == Leader {
		return n.isQuorumActive(n.membership(), n.config.ElectionMinTicks)
	}
	return n.now-n.lastLeaderContactAt <= n.config.ElectionMinTicks
}

// campaign starts a pre-vote (role PreCandidate) or an election (role Candidate). force marks the election of a leadership
// transfer, for which voters vote although they hear from the leader.
func (n *Node) campaign(role Role, force bool) {
	n.becomeFollower(n.term, 0)
	n.role = role
	// After a split vote the next attempt comes sooner than after the loss of a leader: the time in which voters refuse
	// votes on behalf of the old leader is over by now.
	n.electionTimeoutAt = n.now + n.config.HeartbeatTicks + uint64(n.config.Rand(int(n.config.ElectionMinTicks)))
	messageType, term := schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, n.term+1
	if role == Candidate {
		n.term++
		n.vote = n.config.ID
		messageType = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
	}
	n.votes = map[uint64]bool{n.config.ID: true}
	if n.maybeWinElection() {
		return
	}
	for _, member := range n.membership().GetMembers() {
		if member.GetLearner() || member.GetId() == n.config.ID {
			continue
		}
		n.send(&schemav1.RaftMessage{
			Type: messageType, To: member.GetId(), Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Force: force,
		})
	}
}

// maybeWinElection proceeds to the election after a won pre-vote, and to leadership after a won election. It reports
// whether a quorum has granted its votes.
func (n *Node) maybeWinElection() bool {
	if !hasQuorum(n.membership(), func(id uint64) bool { return n.votes[id] }) {
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
	// Votes are refused also if the request has the term of this member: the member can learn of a higher term from
	// another message than a vote request, and would otherwise grant a vote in that term while the lease of the old leader
	// still relies on the refusal.
	if n.mustRefuseVotes() && !m.GetForce() && m.GetTerm() >= n.term {
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
	response := &schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_RESPONSE, To: m.GetFrom(), Reject: !grant,
	}
	if preVote {
		response.Type = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE
	}
	if grant {
		response.Term = m.GetTerm()
		if !preVote {
			n.vote = m.GetFrom()
			n.resetElectionTimer()
		}
	}
	n.send(response)
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
		n.maybeWinElection()
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.config.ID, nil
	n.leaderState = leaderState{progress: map[uint64]*progress{}, termStartIndex: n.log.lastIndex() + 1, heartbeatPending: true}
	// A leader tracks itself even if its own removal is in its log.
	n.trackMember(n.config.ID)
	for _, member := range n.membership().GetMembers() {
		n.trackMember(member.GetId())
	}
	n.appendEntry(schemav1.EntryType_ENTRY_TYPE_COMMAND, nil)
}

func (n *Node) trackMember(id uint64) {
	n.progress[id] = &progress{nextIndex: n.log.lastIndex() + 1, lastResponseAt: n.now, catchUpTarget: n.log.lastIndex(), catchUpStart: n.now}
	if id == n.config.ID {
		n.progress[id].matchIndex = n.log.durableIndex
	}
}
