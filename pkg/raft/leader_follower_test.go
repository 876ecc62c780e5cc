package raft

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// newTestLeader returns member 1 of three voters as the leader of term 6. Its log has uncommitted entries with the given
// older terms.
func newTestLeader(terms ...uint64) *Node {
	GinkgoHelper()
	n := newTestNode(&schemav1.HardState{Term: 5}, terms...)
	n.term, n.role = 6, Candidate
	n.becomeLeader()
	drain(n)
	return n
}

// acknowledgeAsMember2 delivers an acknowledgement of the log up to index by member 2.
func acknowledgeAsMember2(n *Node, index uint64) {
	GinkgoHelper()
	Expect(n.Step(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, From: 2, To: 1, Term: n.term, Index: index,
	})).To(Succeed())
	drain(n)
}

var _ = Describe("a leader", func() {
	// A later leader could still replace an entry of an older term that a majority has (thesis, figure 3.7).
	It("commits entries of older terms only together with an entry of its own term", func() {
		n := newTestLeader(4, 5)
		acknowledgeAsMember2(n, 3)
		Expect(n.Status().CommitIndex).To(Equal(uint64(bootstrapIndex)))
		acknowledgeAsMember2(n, 4)
		Expect(n.Status().CommitIndex).To(Equal(uint64(4)))
	})

	// With a higher commit index the follower would commit entries of its own that the leader is about to replace.
	It("sends a follower no commit index beyond the entries that are known to match", func() {
		n := newTestLeader(4, 5)
		acknowledgeAsMember2(n, 4)
		n.TickBy(DefaultHeartbeatTicks)
		sentCommit := map[uint64]uint64{}
		for _, m := range drain(n) {
			sentCommit[m.GetTo()] = m.GetCommit()
		}
		Expect(sentCommit).To(Equal(map[uint64]uint64{2: 4, 3: 0}))
	})

	It("limits the number and the size of the appends to a slow follower", func() {
		n := newTestLeader()
		n.config.MaxInflightAppends, n.config.MaxAppendBytes = 3, 100
		acknowledgeAsMember2(n, 2)
		for range 20 {
			_, _, err := n.Propose(make([]byte, 40))
			Expect(err).NotTo(HaveOccurred())
		}
		count := 0
		for _, m := range drain(n) {
			if m.GetTo() == 2 && m.GetType() == appendMessage {
				Expect(len(m.GetEntries())).To(Equal(1))
				count++
			}
		}
		Expect(count).To(Equal(3))
	})

	It("refuses proposals beyond the limit of uncommitted bytes and accepts them again after a commit", func() {
		n := newTestLeader()
		n.config.MaxUncommittedBytes = 200
		_, _, err := n.Propose(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = n.Propose(make([]byte, 100))
		Expect(err).To(Equal(refused(ReasonTooManyUncommittedBytes)))
		drain(n)
		acknowledgeAsMember2(n, 3)
		_, _, err = n.Propose(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
	})
})

const (
	addLearner = schemav1.MembershipChange_KIND_ADD_LEARNER
	promote    = schemav1.MembershipChange_KIND_PROMOTE
	remove     = schemav1.MembershipChange_KIND_REMOVE
)

// Two membership changes at once, or one before the leader has committed an entry of its term, could lead to disjoint
// majorities.
var _ = DescribeTable("a leader refuses a membership change",
	func(kind schemav1.MembershipChange_Kind, id uint64, prepare func(n *Node), expected RefusalReason) {
		n := newTestLeader()
		prepare(n)
		_, _, err := n.ProposeChange(&schemav1.MembershipChange{Kind: kind, Member: &schemav1.Member{Id: id}})
		var refusal *RefusedError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(expected))
	},
	Entry("before it has committed an entry of its term", addLearner, uint64(4), func(*Node) {}, ReasonNoCommitInTerm),
	Entry("while another change is not committed", addLearner, uint64(5), func(n *Node) {
		acknowledgeAsMember2(n, 2)
		_, _, err := n.ProposeChange(&schemav1.MembershipChange{Kind: addLearner, Member: &schemav1.Member{Id: 4}})
		Expect(err).NotTo(HaveOccurred())
	}, ReasonMembershipChangePending),
	Entry("that adds an existing member", addLearner, uint64(2), func(n *Node) { acknowledgeAsMember2(n, 2) }, ReasonMemberExists),
	Entry("that removes an unknown member", remove, uint64(9), func(n *Node) { acknowledgeAsMember2(n, 2) }, ReasonUnknownMember),
	Entry("that promotes a voter", promote, uint64(2), func(n *Node) { acknowledgeAsMember2(n, 2) }, ReasonNotLearner),
	Entry("during a leadership transfer", remove, uint64(3), func(n *Node) {
		acknowledgeAsMember2(n, 2)
		Expect(n.TransferLeadership(2)).To(Succeed())
	}, ReasonTransferInProgress),
)

var _ = Describe("a follower", func() {
	membershipEntry := func(term, index uint64) *schemav1.Entry {
		data, err := proto.Marshal(&schemav1.MembershipChange{Kind: remove, Member: &schemav1.Member{Id: 3}})
		Expect(err).NotTo(HaveOccurred())
		return &schemav1.Entry{Term: term, Index: index, Type: schemav1.EntryType_ENTRY_TYPE_MEMBERSHIP, Data: data}
	}

	It("returns to the previous membership when the entry of a membership change is replaced", func() {
		n := newTestNode(&schemav1.HardState{Term: 2})
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendMessage, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: []*schemav1.Entry{membershipEntry(2, 2)},
		})).To(Succeed())
		Expect(n.Member(3)).To(BeNil())
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendMessage, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []*schemav1.Entry{{Term: 3, Index: 2}},
		})).To(Succeed())
		Expect(n.Member(3)).NotTo(BeNil())
	})

	It("does not advance its commit index beyond the entries that are known to match the leader's", func() {
		n := newTestNode(&schemav1.HardState{Term: 2}, 2, 2, 2)
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendMessage, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2, Commit: 4,
		})).To(Succeed())
		Expect(n.Status().CommitIndex).To(Equal(uint64(2)))
	})

	It("does not combine chunks of two leaders' snapshots, which may encode the same state differently", func() {
		n := newTestNode(&schemav1.HardState{Term: 2})
		sendChunk := func(from, term, offset uint64, data string) {
			Expect(n.Step(&schemav1.RaftMessage{
				Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, From: from, To: 1, Term: term, Offset: offset,
				Size: 4, Snapshot: &schemav1.Snapshot{Index: 9, Term: 2, Membership: voters(3), Data: []byte(data)},
			})).To(Succeed())
		}
		sendChunk(2, 2, 0, "ab")
		sendChunk(3, 3, 2, "CD")
		ready, _ := n.Ready()
		Expect(ready.Snapshot).To(BeNil())
		n.Advance(ready)
		sendChunk(3, 3, 0, "AB")
		sendChunk(3, 3, 2, "CD")
		ready, _ = n.Ready()
		Expect(string(ready.Snapshot.GetData())).To(Equal("ABCD"))
		Expect(ready.Snapshot.GetIndex()).To(Equal(uint64(9)))
	})
})
