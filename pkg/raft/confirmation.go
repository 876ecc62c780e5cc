package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// confirmation states that everything that the group had committed by the tick at is in the log up to index.
type confirmation struct{ at, index uint64 }

// confirmations keeps up to which tick the applied entries are known to be complete. The zero value knows nothing.
type confirmations struct {
	known      bool
	completeAt uint64
	// waiting has the oldest and the newest confirmation whose index is not applied yet. The oldest is kept because a member that always
	// lags a little would otherwise never reach the newest.
	waiting []confirmation
}

// add records a confirmation. Confirmations may arrive out of order.
func (c *confirmations) add(added confirmation, applied uint64) {
	c.advance(applied)
	switch count := len(c.waiting); {
	case c.known && added.at <= c.completeAt, count > 0 && added.at <= c.waiting[count-1].at:
		return
	case count < 2:
		c.waiting = append(c.waiting, added)
	default:
		c.waiting[1] = added
	}
	c.advance(applied)
}

// advance completes the confirmations up to the applied index.
func (c *confirmations) advance(applied uint64) {
	for len(c.waiting) > 0 && c.waiting[0].index <= applied {
		c.known, c.completeAt = true, c.waiting[0].at
		c.waiting = c.waiting[1:]
	}
}

// timestamp returns the current tick in the form in which leaders return it in echoes.
func (n *Node) timestamp() uint64 { return n.config.TimestampBase + n.now }

// confirmFromEcho records what the echo in a leader's message confirms. index is the leader's commit index. Echoes of timestamps of an
// earlier process of this member are ignored.
func (n *Node) confirmFromEcho(echo, index uint64) {
	if at := echo - n.config.TimestampBase; echo != 0 && at <= n.now {
		n.confirmations.add(confirmation{at, index}, n.log.appliedIndex)
	}
}

// confirmAsLeader records that the state of a leader is complete at this tick while it holds its lease, because no other member can have
// committed anything.
func (n *Node) confirmAsLeader() {
	if n.LeaseEnd() > n.now {
		n.confirmations.add(confirmation{n.now, n.log.commitIndex}, n.log.appliedIndex)
	}
}

// addEchoes completes the messages of a leader that have its commit index. It does so when they are handed out, because the lease is then
// computed once for all of them. Without the lease there may be another leader, whose commits this member does not know. A message from before
// the first commit in the term may lack commits of earlier leaders.
func (n *Node) addEchoes() {
	if len(n.messages) == 0 || n.LeaseEnd() <= n.now {
		return
	}
	for _, m := range n.messages {
		index := uint64(0)
		switch m.GetType() {
		case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
			index = m.GetCommit()
		case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT:
			index = m.GetIndex()
		}
		if p := n.progress[m.GetTo()]; p != nil && index >= n.termStartIndex {
			m.Echo = p.sentAt
		}
	}
}
