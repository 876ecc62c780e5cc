package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// heartbeatRound is one broadcast of heartbeats. The lease and the confirmation of reads count from the tick in which the
// round was created, never from a response: a follower refuses votes from when it receives the heartbeat on, which may be
// long before the leader receives the response.
type heartbeatRound struct{ number, createdAt uint64 }

// ReadState is the result of ReadIndex. A read is linearizable once the state machine has applied the entry at Index.
type ReadState struct {
	// ID is the ID that was passed to ReadIndex.
	ID    uint64
	Index uint64
	// LeadershipLost is set if leadership ended before the read was confirmed. Index is then 0.
	LeadershipLost bool
}

// pendingRead is a call of ReadIndex that waits until a quorum has responded to the heartbeat round roundNumber. index and
// roundNumber are 0 until the leader has committed an entry of its term.
type pendingRead struct {
	id, index, roundNumber uint64
}

// broadcastHeartbeat starts a heartbeat round. Learners that have the whole log are left out of most rounds.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatPending = false
	n.nextHeartbeatAt = n.now + n.config.HeartbeatTicks
	n.roundNumber++
	n.recentRounds = append(n.recentRounds, heartbeatRound{n.roundNumber, n.now})
	for n.recentRounds[0].createdAt+n.config.ElectionMaxTicks < n.now {
		n.recentRounds = n.recentRounds[1:]
	}
	includeLearners := n.now >= n.nextLearnerHeartbeatAt
	if includeLearners {
		n.nextLearnerHeartbeatAt = n.now + n.config.LearnerHeartbeatTicks
	}
	for _, member := range n.membership().GetMembers() {
		id := member.GetId()
		p := n.progress[id]
		if id == n.config.ID || (member.GetLearner() && !includeLearners && p.hasWholeLog(n.log.lastIndex())) {
			continue
		}
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, To: id, Context: n.roundNumber,
			Commit: min(p.matchIndex, n.log.commitIndex), Index: n.log.commitIndex,
		})
	}
	n.confirmReads()
}

func (n *Node) stepHeartbeatResponse(m *schemav1.RaftMessage, p *progress) {
	p.ackedRound = max(p.ackedRound, min(m.GetContext(), n.roundNumber))
	n.confirmReads()
	// Entries that the follower knows to be committed match the leader's, so the response also replaces a lost
	// acknowledgement of an append or a snapshot.
	p.acknowledge(m.GetIndex())
	if p.state == awaitingSnapshot {
		n.retrySnapshotTransfer(m.GetFrom(), p, n.config.ElectionMaxTicks)
		return
	}
	if p.hasWholeLog(n.log.lastIndex()) {
		p.caughtUp, p.catchUpTarget, p.catchUpStart = true, n.log.lastIndex(), n.now
		return
	}
	// The follower responds but lacks entries, so an append may be lost. If so, it rejects the append sent now.
	p.probeSent = false
	if len(p.inflight) >= n.config.MaxInflightAppends {
		p.inflight = p.inflight[1:]
	}
	n.sendAppend(m.GetFrom(), p)
}

// quorumAckedRound returns the number of the last heartbeat round that a quorum has responded to.
func (n *Node) quorumAckedRound() uint64 {
	return quorumValue(n.membership(), func(id uint64) uint64 {
		if id == n.config.ID {
			return n.roundNumber
		}
		return n.progress[id].ackedRound
	})
}

// LeaseEnd returns the tick at which the leader lease ends, or 0 if this member holds no lease. Until then no other member
// can be leader, provided that clock rates differ by at most 1 %. A leader that has told another member to take over holds
// no lease for the rest of its term, because voters grant the votes for a transfer regardless of the lease.
func (n *Node) LeaseEnd() uint64 {
	if n.role != Leader || n.sealed || !n.hasCommittedInTerm() || n.leadershipTransfer.timeoutNowSent {
		return 0
	}
	confirmed := n.quorumAckedRound()
	for _, round := range n.recentRounds {
		if round.number == confirmed {
			if end := round.createdAt + n.config.LeaseTicks; end > n.now {
				return end
			}
		}
	}
	return 0
}

// hasCommittedInTerm reports whether the leader has committed an entry of its term.
func (n *Node) hasCommittedInTerm() bool { return n.log.commitIndex >= n.termStartIndex }

// ReadIndex requests the index up to which the state machine must be applied for a linearizable read (thesis 6.4). Ready
// returns it later as a ReadState with the same ID. Errors are *NotLeaderError and, on a sealed member, *RefusedError.
func (n *Node) ReadIndex(id uint64) error {
	if n.sealed {
		return refused(ReasonSealed)
	}
	if n.role != Leader {
		return &NotLeaderError{LeaderID: n.leader}
	}
	read := pendingRead{id: id}
	if n.hasCommittedInTerm() {
		read.index, read.roundNumber = n.log.commitIndex, n.roundNumber+1
		n.heartbeatPending = true
	}
	n.pendingReads = append(n.pendingReads, read)
	return nil
}

// assignReadIndexes sets the index of the reads that were requested before the leader committed an entry of its term.
func (n *Node) assignReadIndexes() {
	if !n.hasCommittedInTerm() {
		return
	}
	for i := range n.pendingReads {
		if n.pendingReads[i].index == 0 {
			n.pendingReads[i].index, n.pendingReads[i].roundNumber = n.log.commitIndex, n.roundNumber+1
			n.heartbeatPending = true
		}
	}
}

// confirmReads returns the reads whose heartbeat round a quorum has responded to.
func (n *Node) confirmReads() {
	confirmed := n.quorumAckedRound()
	waiting := n.pendingReads[:0]
	for _, read := range n.pendingReads {
		if read.index != 0 && read.roundNumber <= confirmed {
			n.readStates = append(n.readStates, ReadState{ID: read.id, Index: read.index})
		} else {
			waiting = append(waiting, read)
		}
	}
	n.pendingReads = waiting
}

// failReads ends all pending reads when leadership is lost.
func (n *Node) failReads() {
	for _, read := range n.pendingReads {
		n.readStates = append(n.readStates, ReadState{ID: read.id, LeadershipLost: true})
	}
}
