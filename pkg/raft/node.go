package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Role of a member in its term.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	config Config
	log    *entryLog
	// configurations is never empty; the last one is in force.
	configurations memberships

	role       Role
	term, vote uint64
	leader     uint64
	sealed     bool
	saved      *schemav1.HardState

	now uint64
	// heardAt is the tick of the last message from a valid leader. It starts at 0, the tick of the start, so that a
	// restarted voter keeps the promise that its acknowledgements before the restart made to a leader's lease.
	heardAt uint64
	// leaderCommit is the highest commit index that a leader has told.
	leaderCommit uint64
	// electionDue is the tick of the next election attempt.
	electionDue uint64

	// votes received as a candidate.
	votes map[uint64]bool

	leaderState
	assembly snapshotAssembly

	messages   []*schemav1.RaftMessage
	readStates []ReadState
}

// leaderState is only meaningful in the leader role.
type leaderState struct {
	progress     map[uint64]*progress
	termStart    uint64
	heartbeatDue uint64
	learnersDue  uint64
	// round numbers heartbeat broadcasts; rounds has the tick of each recent one.
	round         uint64
	rounds        []heartbeatRound
	heartbeatSoon bool
	appendSoon    bool
	reads         []pendingRead
	uncommitted   int
	transfer      transfer
}

// New returns a member with the given stored state. A member with an empty state waits for a leader to contact it.
func New(config Config, state PersistentState) (*Node, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(state)
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, log: log}
	n.configurations = memberships{{log.snapshot.GetIndex(), orEmpty(log.snapshot.GetMembership())}}
	for _, entry := range log.entries {
		if n.configurations, err = n.configurations.append(entry); err != nil {
			return nil, err
		}
	}
	n.term, n.vote = state.HardState.GetTerm(), state.HardState.GetVote()
	n.sealed = state.HardState.GetSealed()
	n.saved = &schemav1.HardState{Term: n.term, Vote: n.vote, Commit: log.commit, Sealed: n.sealed}
	n.resetElectionTimer()
	return n, nil
}

func orEmpty(membership *schemav1.Membership) *schemav1.Membership {
	if membership == nil {
		return &schemav1.Membership{}
	}
	return membership
}

func (n *Node) membership() *schemav1.Membership { return n.configurations.current().membership }

// resetElectionTimer draws a timeout above the time in which votes are refused: a candidate votes for itself, and that
// vote is bound by the same promise.
func (n *Node) resetElectionTimer() {
	spread := int(n.config.ElectionMaxTicks - n.config.ElectionMinTicks)
	n.electionDue = n.now + n.config.ElectionMinTicks + 1 + uint64(n.config.Rand(spread))
}

// Tick advances time by one tick.
func (n *Node) Tick() { n.TickBy(1) }

// TickBy advances time by ticks. After a pause of the process it must be called with all the ticks that passed, before
// any other call, so that a leader that was paused does not trust a lease that is over.
func (n *Node) TickBy(ticks uint64) {
	n.now += ticks
	switch {
	case n.sealed:
	case n.role == Leader:
		n.tickLeader()
	case n.now >= n.electionDue:
		n.resetElectionTimer()
		if n.mayCampaign() {
			n.campaign(PreCandidate, false)
		}
	}
}

// mayCampaign also lets a voter campaign whose own removal is not committed yet: a leader that removes itself may have
// the only log that can win (thesis 4.2.2).
func (n *Node) mayCampaign() bool {
	current := n.configurations.current()
	if isVoter(current.membership, n.config.ID) {
		return true
	}
	return current.index > n.log.commit && isVoter(n.configurations.at(current.index-1), n.config.ID)
}

func (n *Node) tickLeader() {
	if !n.quorumActive(n.membership(), n.config.ElectionMaxTicks) || n.transferFailed() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.heartbeatDue {
		n.heartbeatSoon = true
	}
}

// quorumActive reports whether a quorum of membership answered within the last ticks.
func (n *Node) quorumActive(membership *schemav1.Membership, ticks uint64) bool {
	return quorumOf(membership, func(id uint64) bool {
		if id == n.config.ID {
			return true
		}
		p := n.progress[id]
		return p != nil && n.now-p.activeAt <= n.activityWindow(id, ticks)
	})
}

// activityWindow adds the longer heartbeat interval of a learner to ticks.
func (n *Node) activityWindow(id, ticks uint64) uint64 {
	if isVoter(n.membership(), id) {
		return ticks
	}
	return ticks + n.config.LearnerHeartbeatTicks
}

func (n *Node) becomeFollower(term, leader uint64) {
	if n.role == Leader {
		n.failReads()
	}
	if term != n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader = Follower, leader
	n.votes = nil
	n.leaderState = leaderState{}
	n.resetElectionTimer()
}

// Seal stops this member for good: it never votes, campaigns or acknowledges again, also after a restart. Messages
// that were not taken by Ready are dropped. The seal is in force once the hard state of the next Ready is durable.
func (n *Node) Seal() {
	n.becomeFollower(n.term, 0)
	n.sealed = true
	n.messages = nil
}

// Step handles a message from another member. An error means that this member's log is damaged and it must stop.
func (n *Node) Step(m *schemav1.RaftMessage) error {
	if n.sealed || m.GetTo() != n.config.ID {
		return nil
	}
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		n.stepVoteRequest(m)
		return nil
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_RESPONSE,
		schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE:
		n.stepVoteResponse(m)
		return nil
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT,
		schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		return n.stepFromLeader(m)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		n.stepTimeoutNow(m)
		return nil
	}
	n.stepResponse(m)
	return nil
}

// stepResponse handles answers to a leader.
func (n *Node) stepResponse(m *schemav1.RaftMessage) {
	if m.GetTerm() > n.term {
		n.becomeFollower(m.GetTerm(), 0)
		return
	}
	p := n.progress[m.GetFrom()]
	if n.role != Leader || m.GetTerm() < n.term || p == nil {
		return
	}
	p.activeAt = n.now
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE:
		n.stepAppendResponse(m, p)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE:
		n.stepHeartbeatResponse(m, p)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		n.stepSnapshotResponse(m, p)
	}
}

// send queues a message for the next Ready. The term is the sender's, unless m has one (pre-votes).
func (n *Node) send(m *schemav1.RaftMessage) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
