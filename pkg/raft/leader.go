package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Propose appends a command to the leader's log and returns the index and term of its entry. The command is committed if
// the entry that is eventually committed at that index has that term. It returns *NotLeaderError or *RefusedError if
// nothing was appended.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if len(command) == 0 {
		return 0, 0, refused(ReasonEmptyCommand)
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(command) > n.config.MaxUncommittedBytes {
		return 0, 0, refused(ReasonTooManyUncommittedBytes)
	}
	entry := n.appendEntry(schemav1.EntryType_ENTRY_TYPE_COMMAND, command)
	return entry.GetIndex(), entry.GetTerm(), nil
}

// checkCanPropose returns an error unless this member is a leader that may append entries.
func (n *Node) checkCanPropose() error {
	switch {
	case n.sealed:
		return refused(ReasonSealed)
	case n.role != Leader:
		return &NotLeaderError{LeaderID: n.leader}
	case n.leadershipTransfer.targetID != 0:
		return refused(ReasonTransferInProgress)
	}
	return nil
}

func (n *Node) appendEntry(kind schemav1.EntryType, data []byte) *schemav1.Entry {
	entry := &schemav1.Entry{Term: n.term, Index: n.log.lastIndex() + 1, Type: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.uncommittedBytes += entrySize(entry)
	n.appendPending = true
	return entry
}

// broadcastAppend sends new entries to all members that may be sent appends now.
func (n *Node) broadcastAppend() {
	n.appendPending = false
	for _, member := range n.membership().GetMembers() {
		if id := member.GetId(); id != n.config.ID {
			n.sendEntries(id, n.progress[id])
		}
	}
}

// sendEntries sends the entries that the follower lacks, up to the limit of appends in flight.
func (n *Node) sendEntries(to uint64, p *progress) {
	for p.nextIndex <= n.log.lastIndex() && n.sendAppend(to, p) {
		continue
	}
}

// sendAppend sends one append message, which may have no entries, or starts to send a snapshot if the log does not reach
// back to the entries that the follower lacks. It reports whether it sent an append.
func (n *Node) sendAppend(to uint64, p *progress) bool {
	if p.isPaused(n.config.MaxInflightAppends) {
		return false
	}
	previousTerm, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		n.startSnapshotTransfer(to, p)
		return false
	}
	previous := p.nextIndex - 1
	entries := n.log.between(p.nextIndex, n.log.lastIndex(), n.config.MaxAppendBytes)
	n.send(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: to, Index: previous, LogTerm: previousTerm,
		Commit: n.log.commitIndex, Entries: entries,
	})
	p.recordSent(previous+uint64(len(entries)), len(entries) == 0)
	return true
}

func (n *Node) stepAppendResponse(m *schemav1.RaftMessage, p *progress) {
	if m.GetReject() {
		n.stepAppendRejection(m, p)
		return
	}
	advanced := p.acknowledge(m.GetIndex())
	p.updateCaughtUp(n.log.lastIndex(), n.now, n.config.ElectionMinTicks)
	if advanced && n.maybeCommit() {
		return
	}
	n.sendEntries(m.GetFrom(), p)
	n.maybeSendTimeoutNow()
}

// stepAppendRejection goes further back in the log for a follower whose log does not match, and sends one append from
// there. Outdated rejections are ignored.
func (n *Node) stepAppendRejection(m *schemav1.RaftMessage, p *progress) {
	switch {
	case p.state == replicating && m.GetIndex() > p.matchIndex:
		p.probe(p.matchIndex + 1)
	case p.state == probing && m.GetIndex() == p.nextIndex-1:
		p.probe(min(m.GetIndex(), m.GetRejectHint()+1))
	default:
		return
	}
	n.sendAppend(m.GetFrom(), p)
}

// maybeCommit advances the commit index to the last entry that a quorum has, if that entry is of this term (thesis 3.6.2).
// It reports whether the commit index advanced.
func (n *Node) maybeCommit() bool {
	index := quorumValue(n.membership(), func(id uint64) uint64 { return n.progress[id].matchIndex })
	if index <= n.log.commitIndex || !n.log.matches(index, n.term) {
		return false
	}
	for i := n.log.commitIndex + 1; i <= index; i++ {
		n.uncommittedBytes -= entrySize(n.log.entries[i-n.log.firstIndex])
	}
	// Entries of earlier terms were never added to uncommittedBytes.
	n.uncommittedBytes = max(n.uncommittedBytes, 0)
	n.log.commitIndex = index
	n.assignReadIndexes()
	n.broadcastCommit()
	n.maybeSendTimeoutNow()
	if findMember(n.membership(), n.config.ID) == nil && n.configurations.current().index <= index {
		// A leader that removed itself steps down once the removal is committed (thesis 4.2.2).
		n.queueLeaderMessages()
		n.becomeFollower(n.term, 0)
	}
	return true
}

// broadcastCommit sends the new commit index to all followers, with the entries that they lack or in an empty append.
func (n *Node) broadcastCommit() {
	for _, member := range n.membership().GetMembers() {
		id := member.GetId()
		if p := n.progress[id]; id != n.config.ID && n.sendAppend(id, p) {
			n.sendEntries(id, p)
		}
	}
}
