package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxSnapshotParts bounds the unacknowledged parts of a snapshot, so that a large one does not hold up the heartbeats
// behind it.
const maxSnapshotParts = 4

// snapshotTransfer is the leader's side of a snapshot that is sent in parts.
type snapshotTransfer struct {
	// whole stays the same until it has arrived, even if the leader takes a newer snapshot meanwhile.
	whole *schemav1.Snapshot
	// acked and sent are offsets into its data.
	acked, sent int
	sentAt      uint64
}

// snapshotAssembly is the follower's side. Parts belong together if they come from one leader, which its term names:
// members may encode the same state differently.
type snapshotAssembly struct {
	term, index uint64
	data        []byte
}

func (n *Node) startSnapshot(to uint64, p *progress) {
	p.state, p.inflight = awaitingSnapshot, nil
	p.snapshot = snapshotTransfer{whole: n.log.snapshot}
	n.sendSnapshotParts(to, p)
}

func (n *Node) sendSnapshotParts(to uint64, p *progress) {
	t := &p.snapshot
	size := len(t.whole.GetData())
	for first := t.sent == 0; first || (t.sent < size && t.sent < t.acked+maxSnapshotParts*n.config.MaxAppendBytes); first = false {
		end := min(t.sent+n.config.MaxAppendBytes, size)
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, To: to, Offset: uint64(t.sent), Size: uint64(size),
			Snapshot: &schemav1.Snapshot{
				Index: t.whole.GetIndex(), Term: t.whole.GetTerm(), Membership: t.whole.GetMembership(),
				Data: t.whole.GetData()[t.sent:end],
			},
		})
		t.sent, t.sentAt = end, n.now
	}
}

// retrySnapshot goes back to the last acknowledged part when nothing was sent for the given time.
func (n *Node) retrySnapshot(to uint64, p *progress, ticks uint64) {
	if n.now-p.snapshot.sentAt >= ticks {
		p.snapshot.sent = p.snapshot.acked
		n.sendSnapshotParts(to, p)
	}
}

func (n *Node) stepSnapshotResponse(m *schemav1.RaftMessage, p *progress) {
	t := &p.snapshot
	if p.state != awaitingSnapshot || m.GetIndex() != t.whole.GetIndex() || m.GetOffset() > uint64(len(t.whole.GetData())) {
		return
	}
	offset := int(m.GetOffset())
	switch {
	case m.GetReject():
		// The follower lacks an earlier part, or has restarted. Several parts are refused at once: the wait keeps each
		// refusal from causing another transmission.
		t.acked = offset
		n.retrySnapshot(m.GetFrom(), p, n.config.HeartbeatTicks)
	case offset > t.acked:
		t.acked = offset
		t.sent = max(t.sent, offset)
		n.sendSnapshotParts(m.GetFrom(), p)
	}
}

func (n *Node) stepSnapshot(m *schemav1.RaftMessage) {
	part := m.GetSnapshot()
	if part.GetIndex() > n.log.commit && !n.log.matches(part.GetIndex(), part.GetTerm()) {
		if !n.assemble(m) {
			return
		}
		whole := &schemav1.Snapshot{
			Index: part.GetIndex(), Term: part.GetTerm(), Membership: part.GetMembership(), Data: n.assembly.data,
		}
		n.log.restore(whole)
		n.configurations = memberships{{whole.GetIndex(), orEmpty(whole.GetMembership())}}
	}
	n.log.commit = max(n.log.commit, part.GetIndex())
	if n.assembly.index <= n.log.commit {
		n.assembly = snapshotAssembly{}
	}
	n.send(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Index: n.log.commit,
	})
}

// assemble adds a part and reports whether the snapshot is complete. If it is not, it answers the leader.
func (n *Node) assemble(m *schemav1.RaftMessage) bool {
	a := &n.assembly
	index := m.GetSnapshot().GetIndex()
	if a.term == m.GetTerm() && index < a.index {
		// A late part of an older snapshot.
		return false
	}
	if a.term != m.GetTerm() || a.index != index {
		*a = snapshotAssembly{term: m.GetTerm(), index: index}
	}
	have := uint64(len(a.data))
	if m.GetOffset() == have {
		a.data = append(a.data, m.GetSnapshot().GetData()...)
	}
	if uint64(len(a.data)) == m.GetSize() {
		return true
	}
	n.send(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_RESPONSE, To: m.GetFrom(), Index: index,
		Offset: uint64(len(a.data)), Reject: m.GetOffset() > have,
	})
	return false
}
