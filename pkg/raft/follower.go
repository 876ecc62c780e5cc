package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// stepFromLeader handles appends, heartbeats and snapshots.
func (n *Node) stepFromLeader(m *schemav1.RaftMessage) error {
	if m.GetTerm() < n.term {
		// The higher term in the answer tells a leader that was replaced to step down.
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Reject: true,
			Index: m.GetIndex(),
		})
		return nil
	}
	if m.GetTerm() > n.term || n.role != Follower || n.leader != m.GetFrom() {
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	n.heardAt = n.now
	n.resetElectionTimer()
	n.noteLeaderCommit(m)
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		return n.stepAppend(m)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		n.stepSnapshot(m)
	default:
		n.log.commit = max(n.log.commit, min(m.GetCommit(), n.log.last()))
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE, To: m.GetFrom(),
			Context: m.GetContext(), Index: n.log.commit,
		})
	}
	return nil
}

// noteLeaderCommit keeps the leader's commit index, which is above this member's own while it lags behind.
func (n *Node) noteLeaderCommit(m *schemav1.RaftMessage) {
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT:
		n.leaderCommit = max(n.leaderCommit, m.GetIndex())
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		n.leaderCommit = max(n.leaderCommit, m.GetCommit())
	}
}

func (n *Node) stepAppend(m *schemav1.RaftMessage) error {
	answer := &schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Index: m.GetIndex(),
	}
	entries := m.GetEntries()
	switch {
	case m.GetIndex() < n.log.commit && m.GetIndex()+uint64(len(entries)) <= n.log.commit:
		// An old message: everything up to the commit index is known to match.
		answer.Index = n.log.commit
	case m.GetIndex() < n.log.first-1:
		entries = entries[n.log.commit-m.GetIndex():]
		fallthrough
	case n.log.matches(m.GetIndex(), m.GetLogTerm()):
		if err := n.acceptEntries(entries); err != nil {
			return err
		}
		answer.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		n.log.commit = max(n.log.commit, min(m.GetCommit(), answer.Index))
	default:
		answer.Reject = true
		answer.RejectHint = n.shareableIndex(m.GetIndex(), m.GetLogTerm())
	}
	n.send(answer)
	return nil
}

// shareableIndex returns the last index that may match a leader's log in which the entry at index has the given term.
// Entries of higher terms cannot match, and committed ones must.
func (n *Node) shareableIndex(index, term uint64) uint64 {
	hint := min(index, n.log.last())
	for hint > n.log.commit {
		if own, _ := n.log.term(hint); own <= term {
			break
		}
		hint--
	}
	return hint
}

// acceptEntries appends entries whose predecessor matches, and removes own entries that contradict them.
func (n *Node) acceptEntries(entries []*schemav1.Entry) error {
	for i, entry := range entries {
		if n.log.matches(entry.GetIndex(), entry.GetTerm()) {
			continue
		}
		if entry.GetIndex() <= n.log.commit {
			return &ConflictError{Index: entry.GetIndex(), CommitIndex: n.log.commit}
		}
		if entry.GetIndex() <= n.log.last() {
			n.log.truncate(entry.GetIndex())
			n.configurations = n.configurations.truncate(entry.GetIndex())
		}
		for _, added := range entries[i:] {
			configurations, err := n.configurations.append(added)
			if err != nil {
				return err
			}
			n.configurations = configurations
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		return nil
	}
	return nil
}
