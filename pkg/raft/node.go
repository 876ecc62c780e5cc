package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Role is the role of a member in the current term.
type Role int

// Roles of a member. A PreCandidate asks whether it could win an election; a Candidate takes part in one.
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

// Node is one member of a Raft group. It is not safe for concurrent use.
type Node struct {
	config Config
	log    *entryLog
	// configurations is never empty; the last one is in force.
	configurations configurationHistory

	role Role
	// vote is the member that this one voted for in term, or 0.
	term, vote uint64
	// leader is the ID of the leader of term, or 0 if it is not known.
	leader uint64
	sealed bool
	// savedHardState is the hard state that is stored durably.
	savedHardState *schemav1.HardState

	// now is the current tick; the start of the node is tick 0.
	now uint64
	// lastLeaderContactAt is the tick of the last message from a valid leader. It starts at 0, so that a voter refuses votes
	// for a while after a restart: a leader's lease may rely on heartbeats that the voter acknowledged before the restart.
	lastLeaderContactAt uint64
	// confirmations tells how old the applied state may be.
	confirmations confirmations
	// electionTimeoutAt is the tick of the next election attempt.
	electionTimeoutAt uint64

	// votes holds the members that granted their vote to this candidate or pre-candidate.
	votes map[uint64]bool

	leaderState
	assembly snapshotAssembly

	messages   []*schemav1.RaftMessage
	readStates []ReadState
}

// leaderState is the state that only a leader has. It is zero in the other roles.
type leaderState struct {
	// progress of each member, this one included, by member ID.
	progress map[uint64]*progress
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex         uint64
	nextHeartbeatAt        uint64
	nextLearnerHeartbeatAt uint64
	// roundNumber is the number of the last heartbeat round; recentRounds has the recent rounds, the oldest first.
	roundNumber  uint64
	recentRounds []heartbeatRound
	// heartbeatPending and appendPending make the next Ready broadcast heartbeats or new entries.
	heartbeatPending   bool
	appendPending      bool
	pendingReads       []pendingRead
	uncommittedBytes   int
	leadershipTransfer leadershipTransfer
}

// New returns a member with the given persistent state. A member with an empty state waits for a leader to contact it. The
// error is a *ConfigError.
func New(config Config, state PersistentState) (*Node, error) {
	if err := config.setDefaultsAndValidate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(state)
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, log: log}
	n.configurations = configurationHistory{{log.snapshot.GetIndex(), orEmpty(log.snapshot.GetMembership())}}
	for _, entry := range log.entries {
		if n.configurations, err = n.configurations.append(entry); err != nil {
			return nil, err
		}
	}
	n.term, n.vote = state.HardState.GetTerm(), state.HardState.GetVote()
	n.sealed = state.HardState.GetSealed()
	n.savedHardState = &schemav1.HardState{Term: n.term, Vote: n.vote, Commit: log.commitIndex, Sealed: n.sealed}
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

// resetElectionTimer sets a random election timeout. It is longer than the time in which votes are refused, because a
// candidate votes for itself and must refuse that vote for as long as any other.
func (n *Node) resetElectionTimer() {
	spread := int(n.config.ElectionMaxTicks - n.config.ElectionMinTicks)
	n.electionTimeoutAt = n.now + n.config.ElectionMinTicks + 1 + uint64(n.config.Rand(spread))
}

// Tick advances time by one tick.
func (n *Node) Tick() { n.TickBy(1) }

// TickBy advances time by ticks. After a pause of the process it must be called with all the ticks that passed, before any
// other call, so that a leader does not rely on a lease that ended during the pause.
func (n *Node) TickBy(ticks uint64) {
	n.now += ticks
	switch {
	case n.sealed:
	case n.role == Leader:
		n.tickLeader()
	case n.now >= n.electionTimeoutAt:
		n.resetElectionTimer()
		if n.mayCampaign() {
			n.campaign(PreCandidate, false)
		}
	}
}

// mayCampaign reports whether this member may start an election: it is a voter, or its removal is not committed yet. A
// leader that removes itself may have the only log that can win an election (thesis 4.2.2).
func (n *Node) mayCampaign() bool {
	current := n.configurations.current()
	if isVoter(current.membership, n.config.ID) {
		return true
	}
	return current.index > n.log.commitIndex && isVoter(n.configurations.at(current.index-1), n.config.ID)
}

// tickLeader steps down without an active quorum, or requests a heartbeat when one is due.
func (n *Node) tickLeader() {
	if !n.isQuorumActive(n.membership(), n.config.ElectionMaxTicks) || n.expireTransfer() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now >= n.nextHeartbeatAt {
		n.heartbeatPending = true
	}
	n.confirmAsLeader()
}

// isQuorumActive reports whether a quorum of membership has responded within the last ticks.
func (n *Node) isQuorumActive(membership *schemav1.Membership, ticks uint64) bool {
	return hasQuorum(membership, func(id uint64) bool {
		if id == n.config.ID {
			return true
		}
		p := n.progress[id]
		return p != nil && n.now-p.lastResponseAt <= n.activityWindow(id, ticks)
	})
}

// activityWindow returns the number of ticks within which a member must have responded to count as active: ticks, plus the
// longer heartbeat interval for a learner.
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

// Seal makes this member stop taking part in its group permanently: it never votes, starts an election or acknowledges
// entries again, also after a restart. Messages that Ready has not returned yet are dropped. The seal is in force once the
// hard state of the next Ready is durable.
func (n *Node) Seal() {
	n.becomeFollower(n.term, 0)
	n.sealed = true
	n.messages = nil
}

// Step handles a message from another member. An error means that the logs conflict or this member's log is damaged; the
// member must stop.
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
		return n.stepLeaderMessage(m)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		n.stepTimeoutNow(m)
		return nil
	}
	n.stepResponse(m)
	return nil
}

// stepResponse handles responses to the messages of a leader.
func (n *Node) stepResponse(m *schemav1.RaftMessage) {
	if m.GetTerm() > n.term {
		n.becomeFollower(m.GetTerm(), 0)
		return
	}
	p := n.progress[m.GetFrom()]
	if n.role != Leader || m.GetTerm() < n.term || p == nil {
		return
	}
	p.lastResponseAt, p.sentAt = n.now, m.GetSentAt()
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE:
		n.stepAppendResponse(m, p)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE:
		n.stepHeartbeatResponse(m, p)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		n.stepSnapshotResponse(m, p)
	}
}

// send queues a message for the next Ready. Its term is that of this member, unless m already has one, as in pre-votes.
func (n *Node) send(m *schemav1.RaftMessage) {
	m.From = n.config.ID
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE,
		schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE,
		schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_RESPONSE:
		m.SentAt = n.timestamp()
	}
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
