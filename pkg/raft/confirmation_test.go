package raft

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const heartbeatMessage = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT

// respond delivers a response of member 2 to the heartbeats so far, sent at the given time by its clock.
func respond(n *Node, sentAt uint64) {
	GinkgoHelper()
	Expect(n.Step(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE, From: 2, To: 1, Term: n.term, Context: n.roundNumber,
		Index: n.progress[2].matchIndex, SentAt: sentAt,
	})).To(Succeed())
}

// heartbeatEchoes lets a heartbeat interval pass and returns the echoes in the heartbeats, by receiver.
func heartbeatEchoes(n *Node) map[uint64]uint64 {
	n.TickBy(DefaultHeartbeatTicks)
	echoes := map[uint64]uint64{}
	for _, m := range drain(n) {
		if m.GetType() == heartbeatMessage {
			echoes[m.GetTo()] = m.GetEcho()
		}
	}
	return echoes
}

var _ = Describe("confirmations by a leader", func() {
	// Guards against an older configuration that entry hosts take as their first view: after the loss of all machines, a new leader reports the
	// commit index from its own log before it knows what was committed (incident inc-4dbc on sbfa-fitting-large: 47 instead of 50).
	It("are given only once it has committed an entry of its own term", func() {
		n := newTestLeader(4, 5)
		n.TickBy(DefaultHeartbeatTicks)
		drain(n)
		respond(n, 77)
		Expect(heartbeatEchoes(n)).To(Equal(map[uint64]uint64{2: 0, 3: 0}))
		Expect(n.confirmations.known).To(BeFalse())
		acknowledgeAsMember2(n, 4)
		respond(n, 78)
		Expect(heartbeatEchoes(n)).To(Equal(map[uint64]uint64{2: 78, 3: 0}))
		Expect(n.confirmations.known).To(BeTrue())
	})

	// Guards against a member that counts as up to date without the last acknowledged entries, and passes them off as a first view: the
	// message is created before the commit in the term of the leader, and sent after it.
	It("are given only in messages that have a commit index of its own term", func() {
		n := newTestLeader(4, 5)
		n.TickBy(DefaultHeartbeatTicks)
		drain(n)
		respond(n, 77)
		Expect(n.Step(&schemav1.RaftMessage{
			Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, From: 3, To: 1, Term: n.term, Index: 4, SentAt: 50,
		})).To(Succeed())
		Expect(n.LeaseEnd()).To(BeNumerically(">", n.now))
		earlier, confirmed := 0, 0
		for _, m := range drain(n) {
			switch {
			case m.GetType() != appendMessage:
			case m.GetCommit() < 4:
				earlier++
				Expect(m.GetEcho()).To(BeZero())
			case m.GetEcho() != 0:
				confirmed++
			}
		}
		Expect(earlier).To(BeNumerically(">", 0))
		Expect(confirmed).To(BeNumerically(">", 0))
	})

	It("end with its lease, also for its own state", func() {
		n := newTestLeader()
		acknowledgeAsMember2(n, 2)
		n.TickBy(DefaultHeartbeatTicks)
		drain(n)
		respond(n, 77)
		Expect(heartbeatEchoes(n)).To(HaveKeyWithValue(uint64(2), uint64(77)))
		completeAt := n.confirmations.completeAt
		Expect(completeAt).To(Equal(n.now))
		n.TickBy(DefaultElectionMinTicks)
		Expect(n.Role()).To(Equal(Leader))
		Expect(heartbeatEchoes(n)).To(HaveKeyWithValue(uint64(2), uint64(0)))
		Expect(n.confirmations.completeAt).To(Equal(completeAt))
	})
})

var _ = Describe("state of a follower", func() {
	var n *Node
	const base = 1 << 40
	heartbeat := func(echo, index uint64) {
		GinkgoHelper()
		Expect(n.Step(&schemav1.RaftMessage{
			Type: heartbeatMessage, From: 2, To: 1, Term: n.term, Commit: min(index, n.log.lastIndex()), Index: index, Echo: echo,
		})).To(Succeed())
		drain(n)
	}
	BeforeEach(func() {
		n = newTestNode(&schemav1.HardState{Term: 5}, 5, 5)
		n.config.TimestampBase = base
		n.TickBy(10)
	})

	// Guards against a host that was cut off, frozen or down, and counts as up to date as soon as it hears from a leader again.
	It("is complete only up to the time of its message that the leader has received", func() {
		heartbeat(0, 3)
		Expect(n.confirmations.known).To(BeFalse())
		heartbeat(base+7, 3)
		Expect(n.confirmations.known).To(BeTrue())
		Expect(n.confirmations.completeAt).To(BeEquivalentTo(7))
		n.TickBy(10)
		heartbeat(base+6, 3)
		Expect(n.confirmations.completeAt).To(BeEquivalentTo(7), "an older confirmation that arrives late")
	})

	It("is not complete while it lacks entries that the leader has committed", func() {
		heartbeat(base+7, 4)
		Expect(n.confirmations.known).To(BeFalse())
		n.TickBy(5)
		heartbeat(base+12, 9)
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendMessage, From: 2, To: 1, Term: 5, Index: 3, LogTerm: 5, Commit: 4, Entries: []*schemav1.Entry{{Index: 4, Term: 5}},
		})).To(Succeed())
		drain(n)
		Expect(n.confirmations.completeAt).To(BeEquivalentTo(7), "entry 4 is applied, entry 9 is not")
	})

	It("is not confirmed by timestamps of an earlier process", func() {
		heartbeat(base-3, 3)
		heartbeat(base+11, 3)
		Expect(n.confirmations.known).To(BeFalse())
	})
})
