package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// heartbeatRound is one broadcast of heartbeats. Lease and reads count from when it was made, never from an answer:
// the follower's promise to refuse votes starts when it receives the heartbeat, which may be long before the answer.
type heartbeatRound struct{ number, madeAt uint64 }

// ReadState answers ReadIndex: once the state machine has applied Index, a read is linearizable.
type ReadState struct {
	ID    uint64
	Index uint64
	// LeadershipLost is set when leadership ended before the read was confirmed.
	LeadershipLost bool
}

type pendingRead struct {
	id, index, round uint64
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatSoon = false
	n.heartbeatDue = n.now + n.config.HeartbeatTicks
	n.round++
	n.rounds = append(n.rounds, heartbeatRound{n.round, n.now})
	for n.rounds[0].madeAt+n.config.ElectionMaxTicks < n.now {
		n.rounds = n.rounds[1:]
	}
	learners := n.now >= n.learnersDue
	if learners {
		n.learnersDue = n.now + n.config.LearnerHeartbeatTicks
	}
	for _, member := range n.membership().GetMembers() {
		id := member.GetId()
		p := n.progress[id]
		if id == n.config.ID || (member.GetLearner() && !learners && p.isComplete(n.log.last())) {
			continue
		}
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, To: id, Context: n.round,
			Commit: min(p.match, n.log.commit), Index: n.log.commit,
		})
	}
	n.confirmReads()
}

func (n *Node) stepHeartbeatResponse(m *schemav1.RaftMessage, p *progress) {
	p.acked = max(p.acked, min(m.GetContext(), n.round))
	n.confirmReads()
	// What the follower knows to be committed matches for certain; this makes up for a lost acknowledgement.
	p.acknowledge(m.GetIndex())
	if p.state == awaitingSnapshot {
		n.retrySnapshot(m.GetFrom(), p, n.config.ElectionMaxTicks)
		return
	}
	if p.isComplete(n.log.last()) {
		p.caughtUp, p.roundTarget, p.roundStart = true, n.log.last(), n.now
		return
	}
	// The follower answers but lacks entries: an append may be lost. A further one is rejected if so.
	p.probeSent = false
	if len(p.inflight) >= n.config.MaxInflightAppends {
		p.inflight = p.inflight[1:]
	}
	n.sendAppend(m.GetFrom(), p)
}

// quorumRound returns the last heartbeat round that a quorum has answered.
func (n *Node) quorumRound() uint64 {
	return quorumValue(n.membership(), func(id uint64) uint64 {
		if id == n.config.ID {
			return n.round
		}
		return n.progress[id].acked
	})
}

// LeaseEnd returns the tick at which the leader lease ends, or 0 without a lease. Until then no other member can be
// leader, provided that clock rates differ by at most 1 %. A leader that has started a leadership transfer has none
// for the rest of its term, because the transfer's votes are granted regardless of the lease.
func (n *Node) LeaseEnd() uint64 {
	if n.role != Leader || n.sealed || !n.committedInTerm() || n.transfer.sent {
		return 0
	}
	confirmed := n.quorumRound()
	for _, round := range n.rounds {
		if round.number == confirmed {
			if end := round.madeAt + n.config.LeaseTicks; end > n.now {
				return end
			}
		}
	}
	return 0
}

func (n *Node) committedInTerm() bool { return n.log.commit >= n.termStart }

// ReadIndex asks for a linearizable read point (thesis 6.4); Ready returns it as a ReadState with the same ID. On a
// member that is not the leader it returns *NotLeaderError.
func (n *Node) ReadIndex(id uint64) error {
	if n.sealed {
		return refused(ReasonSealed)
	}
	if n.role != Leader {
		return &NotLeaderError{LeaderID: n.leader}
	}
	read := pendingRead{id: id}
	if n.committedInTerm() {
		read.index, read.round = n.log.commit, n.round+1
		n.heartbeatSoon = true
	}
	n.reads = append(n.reads, read)
	return nil
}

// startReads gives an index to the reads that came before this term's first commit.
func (n *Node) startReads() {
	if !n.committedInTerm() {
		return
	}
	for i := range n.reads {
		if n.reads[i].index == 0 {
			n.reads[i].index, n.reads[i].round = n.log.commit, n.round+1
			n.heartbeatSoon = true
		}
	}
}

func (n *Node) confirmReads() {
	confirmed := n.quorumRound()
	waiting := n.reads[:0]
	for _, read := range n.reads {
		if read.index != 0 && read.round <= confirmed {
			n.readStates = append(n.readStates, ReadState{ID: read.id, Index: read.index})
		} else {
			waiting = append(waiting, read)
		}
	}
	n.reads = waiting
}

func (n *Node) failReads() {
	for _, read := range n.reads {
		n.readStates = append(n.readStates, ReadState{ID: read.id, LeadershipLost: true})
	}
}
