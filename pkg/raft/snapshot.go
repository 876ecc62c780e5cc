package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// maxInflightSnapshotChunks limits the unacknowledged chunks of a snapshot, so that a large snapshot does not delay the
// heartbeats that are sent after it.
const maxInflightSnapshotChunks = 4

// snapshotTransfer is a leader's progress in sending a snapshot to a member in chunks.
type snapshotTransfer struct {
	// fullSnapshot stays the same until the member has received it, even if the leader takes a newer snapshot meanwhile.
	fullSnapshot *schemav1.Snapshot
	// ackedOffset and sentOffset are the numbers of acknowledged and sent bytes of its data.
	ackedOffset, sentOffset int
	// lastSentAt is the tick at which the last chunk was sent.
	lastSentAt uint64
}

// snapshotAssembly holds the chunks that a follower has received. Only chunks from the same leader, which its term
// identifies, form one snapshot, because members may encode the same state differently.
type snapshotAssembly struct {
	term, index uint64
	data        []byte
}

func (n *Node) startSnapshotTransfer(to uint64, p *progress) {
	p.state, p.inflight = awaitingSnapshot, nil
	p.pendingSnapshot = snapshotTransfer{fullSnapshot: n.log.snapshot}
	n.sendSnapshotChunks(to, p)
}

// sendSnapshotChunks sends the next chunks, up to the limit of chunks in flight. The first chunk is sent in any case, so
// that an empty snapshot is sent too.
func (n *Node) sendSnapshotChunks(to uint64, p *progress) {
	t := &p.pendingSnapshot
	size := len(t.fullSnapshot.GetData())
	for first := t.sentOffset == 0; first || (t.sentOffset < size &&
		t.sentOffset < t.ackedOffset+maxInflightSnapshotChunks*n.config.MaxAppendBytes); first = false {
		end := min(t.sentOffset+n.config.MaxAppendBytes, size)
		n.send(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, To: to, Offset: uint64(t.sentOffset), Size: uint64(size),
			Snapshot: &schemav1.Snapshot{
				Index: t.fullSnapshot.GetIndex(), Term: t.fullSnapshot.GetTerm(), Membership: t.fullSnapshot.GetMembership(),
				Data: t.fullSnapshot.GetData()[t.sentOffset:end],
			},
		})
		t.sentOffset, t.lastSentAt = end, n.now
	}
}

// retrySnapshotTransfer sends again from the last acknowledged chunk on if nothing was sent for the given number of ticks.
func (n *Node) retrySnapshotTransfer(to uint64, p *progress, ticks uint64) {
	if n.now-p.pendingSnapshot.lastSentAt >= ticks {
		p.pendingSnapshot.sentOffset = p.pendingSnapshot.ackedOffset
		n.sendSnapshotChunks(to, p)
	}
}

func (n *Node) stepSnapshotResponse(m *schemav1.RaftMessage, p *progress) {
	t := &p.pendingSnapshot
	if p.state != awaitingSnapshot || m.GetIndex() != t.fullSnapshot.GetIndex() || m.GetOffset() > uint64(len(t.fullSnapshot.GetData())) {
		return
	}
	offset := int(m.GetOffset())
	switch {
	case m.GetReject():
		// The follower lacks an earlier chunk or has restarted, and then it rejects several chunks in a row. The waiting time
		// keeps each of these rejections from causing another transmission.
		t.ackedOffset = offset
		n.retrySnapshotTransfer(m.GetFrom(), p, n.config.HeartbeatTicks)
	case offset > t.ackedOffset:
		t.ackedOffset = offset
		t.sentOffset = max(t.sentOffset, offset)
		n.sendSnapshotChunks(m.GetFrom(), p)
	}
}

func (n *Node) stepSnapshot(m *schemav1.RaftMessage) {
	chunk := m.GetSnapshot()
	if chunk.GetIndex() > n.log.commitIndex && !n.log.matches(chunk.GetIndex(), chunk.GetTerm()) {
		if !n.assemble(m) {
			return
		}
		snapshot := &schemav1.Snapshot{
			Index: chunk.GetIndex(), Term: chunk.GetTerm(), Membership: chunk.GetMembership(), Data: n.assembly.data,
		}
		n.log.restore(snapshot)
		n.configurations = configurationHistory{{snapshot.GetIndex(), orEmpty(snapshot.GetMembership())}}
	}
	n.log.commitIndex = max(n.log.commitIndex, chunk.GetIndex())
	if n.assembly.index <= n.log.commitIndex {
		n.assembly = snapshotAssembly{}
	}
	n.send(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.GetFrom(), Index: n.log.commitIndex,
	})
}

// assemble adds a chunk and reports whether the snapshot is complete. If it is not, assemble responds to the leader with
// the offset of the next chunk, unless the chunk belongs to an older snapshot.
func (n *Node) assemble(m *schemav1.RaftMessage) bool {
	a := &n.assembly
	index := m.GetSnapshot().GetIndex()
	if a.term == m.GetTerm() && index < a.index {
		// A delayed chunk of an older snapshot.
		return false
	}
	if a.term != m.GetTerm() || a.index != index {
		*a = snapshotAssembly{term: m.GetTerm(), index: index}
	}
	received := uint64(len(a.data))
	if m.GetOffset() == received {
		a.data = append(a.data, m.GetSnapshot().GetData()...)
	}
	if uint64(len(a.data)) == m.GetSize() {
		return true
	}
	n.send(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_RESPONSE, To: m.GetFrom(), Index: index,
		Offset: uint64(len(a.data)), Reject: m.GetOffset() > received,
	})
	return false
}
