package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// stepLeaderMessage handles append, heartbeat and snapshot messages.
func (n *Node) stepLeaderMessage(m *schemav1.RaftMessage) error {
	if m.GetTerm() < n.term {
		// The higher term in the response makes a leader that was replaced step down.
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Reject: true,
			Index: m.GetIndex(),
		})
		return nil
	}
	if m.GetTerm() > n.term || n.role != Follower || n.leader != m.GetFrom() {
		n.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	n.lastLeaderContactAt = n.now
	n.resetElectionTimer()
	switch m.GetType() {
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		n.confirmFromEcho(m.GetEcho(), m.GetCommit())
		return n.stepAppend(m)
	case schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		n.stepSnapshot(m)
	default:
		n.confirmFromEcho(m.GetEcho(), m.GetIndex())
		n.log.commitIndex = max(n.log.commitIndex, min(m.GetCommit(), n.log.lastIndex()))
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE, To: m.GetFrom(),
			Context: m.GetContext(), Index: n.log.commitIndex,
		})
	}
	return nil
}

func (n *Node) stepAppend(m *schemav1.RaftMessage) error {
	response := &schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Index: m.GetIndex(),
	}
	entries := m.GetEntries()
	switch {
	case m.GetIndex() < n.log.commitIndex && m.GetIndex()+uint64(len(entries)) <= n.log.commitIndex:
		// A delayed message: all its entries are committed here already, so they match.
		response.Index = n.log.commitIndex
	case m.GetIndex() < n.log.firstIndex-1:
		// The log no longer has the entry before the first one of the message, so it is committed. The entries up to the
		// commit index match and are skipped.
		entries = entries[n.log.commitIndex-m.GetIndex():]
		fallthrough
	case n.log.matches(m.GetIndex(), m.GetLogTerm()):
		if err := n.acceptEntries(entries); err != nil {
			return err
		}
		response.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		n.log.commitIndex = max(n.log.commitIndex, min(m.GetCommit(), response.Index))
	default:
		response.Reject = true
		response.RejectHint = n.lastPossibleMatch(m.GetIndex(), m.GetLogTerm())
	}
	n.send(response)
	return nil
}

// lastPossibleMatch returns the last index at which the log may match that of a leader whose entry at index has the given
// term. Entries of higher terms cannot match, and committed entries always do.
func (n *Node) lastPossibleMatch(index, term uint64) uint64 {
	hint := min(index, n.log.lastIndex())
	for hint > n.log.commitIndex {
		if ownTerm, _ := n.log.term(hint); ownTerm <= term {
			break
		}
		hint--
	}
	return hint
}

// acceptEntries appends entries of the leader to the log, which must match the leader's log up to the entry before them.
// Own entries that conflict with them are removed. It returns *ConflictError if a committed entry conflicts, and
// *ConfigError if a membership entry cannot be decoded.
func (n *Node) acceptEntries(entries []*schemav1.Entry) error {
	for i, entry := range entries {
		if n.log.matches(entry.GetIndex(), entry.GetTerm()) {
			continue
		}
		if entry.GetIndex() <= n.log.commitIndex {
			return &ConflictError{Index: entry.GetIndex(), CommitIndex: n.log.commitIndex}
		}
		if entry.GetIndex() <= n.log.lastIndex() {
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
