package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Propose appends a command to the leader's log and returns its index and term. The command is chosen if the entry
// committed at that index has that term. Errors are *NotLeaderError and *RefusedError.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if err := n.mayAppend(); err != nil {
		return 0, 0, err
	}
	if len(command) == 0 {
		return 0, 0, refused(ReasonEmptyCommand)
	}
	if n.uncommitted > 0 && n.uncommitted+len(command) > n.config.MaxUncommittedBytes {
		return 0, 0, refused(ReasonTooManyUncommittedBytes)
	}
	entry := n.appendEntry(schemav1.EntryType_ENTRY_TYPE_COMMAND, command)
	return entry.GetIndex(), entry.GetTerm(), nil
}

func (n *Node) mayAppend() error {
	switch {
	case n.sealed:
		return refused(ReasonSealed)
	case n.role != Leader:
		return &NotLeaderError{LeaderID: n.leader}
	case n.transfer.target != 0:
		return refused(ReasonTransferInProgress)
	}
	return nil
}

func (n *Node) appendEntry(kind schemav1.EntryType, data []byte) *schemav1.Entry {
	entry := &schemav1.Entry{Term: n.term, Index: n.log.last() + 1, Type: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.uncommitted += entrySize(entry)
	n.appendSoon = true
	return entry
}

// broadcastAppend sends what is new to all members that are not paused.
func (n *Node) broadcastAppend() {
	n.appendSoon = false
	for _, member := range n.membership().GetMembers() {
		if id := member.GetId(); id != n.config.ID {
			n.sendEntries(id, n.progress[id])
		}
	}
}

// sendEntries sends all entries that the follower lacks, as far as the window allows.
func (n *Node) sendEntries(to uint64, p *progress) {
	for p.next <= n.log.last() && n.sendAppend(to, p) {
		continue
	}
}

// sendAppend sends one append message, possibly empty, or a snapshot when the log no longer reaches back far enough.
func (n *Node) sendAppend(to uint64, p *progress) bool {
	if p.isPaused(n.config.MaxInflightAppends) {
		return false
	}
	previousTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(to, p)
		return false
	}
	previous := p.next - 1
	entries := n.log.between(p.next, n.log.last(), n.config.MaxAppendBytes)
	n.send(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: to, Index: previous, LogTerm: previousTerm,
		Commit: n.log.commit, Entries: entries,
	})
	p.sent(previous+uint64(len(entries)), len(entries) == 0)
	return true
}

func (n *Node) stepAppendResponse(m *schemav1.RaftMessage, p *progress) {
	if m.GetReject() {
		n.stepAppendRejection(m, p)
		return
	}
	news := p.acknowledge(m.GetIndex())
	p.trackRound(n.log.last(), n.now, n.config.ElectionMinTicks)
	if news && n.maybeCommit() {
		return
	}
	n.sendEntries(m.GetFrom(), p)
	n.continueTransfer()
}

func (n *Node) stepAppendRejection(m *schemav1.RaftMessage, p *progress) {
	switch {
	case p.state == replicating && m.GetIndex() > p.match:
		p.probe(p.match + 1)
	case p.state == probing && m.GetIndex() == p.next-1:
		p.probe(min(m.GetIndex(), m.GetRejectHint()+1))
	default:
		return
	}
	n.sendAppend(m.GetFrom(), p)
}

// maybeCommit advances the commit index to the last entry of this term that a quorum has (thesis 3.6.2).
func (n *Node) maybeCommit() bool {
	index := quorumValue(n.membership(), func(id uint64) uint64 { return n.progress[id].match })
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return false
	}
	for i := n.log.commit + 1; i <= index; i++ {
		n.uncommitted -= entrySize(n.log.entries[i-n.log.first])
	}
	// Entries of earlier terms were not counted.
	n.uncommitted = max(n.uncommitted, 0)
	n.log.commit = index
	n.startReads()
	n.shareCommit()
	n.continueTransfer()
	if findMember(n.membership(), n.config.ID) == nil && n.configurations.current().index <= index {
		// A leader that removed itself leaves once the removal is committed (thesis 4.2.2).
		n.flushLeader()
		n.becomeFollower(n.term, 0)
	}
	return true
}

// shareCommit tells followers of the new commit index together with new entries, or alone.
func (n *Node) shareCommit() {
	for _, member := range n.membership().GetMembers() {
		id := member.GetId()
		if p := n.progress[id]; id != n.config.ID && n.sendAppend(id, p) {
			n.sendEntries(id, p)
		}
	}
}
