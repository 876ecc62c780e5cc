package raft

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// leading returns member 1 of three as the leader of term 6, with entries of the given older terms that are not
// committed.
func leading(terms ...uint64) *Node {
	GinkgoHelper()
	n := node(&schemav1.HardState{Term: 5}, terms...)
	n.term, n.role = 6, Candidate
	n.becomeLeader()
	drain(n)
	return n
}

// acknowledge makes member 2 acknowledge the log up to index.
func acknowledge(n *Node, index uint64) {
	GinkgoHelper()
	Expect(n.Step(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, From: 2, To: 1, Term: n.term, Index: index,
	})).To(Succeed())
	drain(n)
}

var _ = Describe("a leader", func() {
	// A later leader could still replace the older entry (thesis, figure 3.7).
	It("commits entries of older terms only together with one of its own", func() {
		n := leading(4, 5)
		acknowledge(n, 3)
		Expect(n.Status().CommitIndex).To(Equal(uint64(bootstrapIndex)))
		acknowledge(n, 4)
		Expect(n.Status().CommitIndex).To(Equal(uint64(4)))
	})

	// Otherwise a follower commits entries of its own that the leader is about to replace.
	It("tells a follower no commit index beyond what the follower is known to have", func() {
		n := leading(4, 5)
		acknowledge(n, 4)
		n.TickBy(DefaultHeartbeatTicks)
		told := map[uint64]uint64{}
		for _, m := range drain(n) {
			told[m.GetTo()] = m.GetCommit()
		}
		Expect(told).To(Equal(map[uint64]uint64{2: 4, 3: 0}))
	})

	It("keeps the appends of a slow follower within their bounds", func() {
		n := leading()
		n.config.MaxInflightAppends, n.config.MaxAppendBytes = 3, 100
		acknowledge(n, 2)
		for range 20 {
			_, _, err := n.Propose(make([]byte, 40))
			Expect(err).NotTo(HaveOccurred())
		}
		count := 0
		for _, m := range drain(n) {
			if m.GetTo() == 2 && m.GetType() == appendTo {
				Expect(len(m.GetEntries())).To(Equal(1))
				count++
			}
		}
		Expect(count).To(Equal(3))
	})

	It("refuses proposals beyond the bound of uncommitted bytes, and takes them again after a commit", func() {
		n := leading()
		n.config.MaxUncommittedBytes = 200
		_, _, err := n.Propose(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		_, _, err = n.Propose(make([]byte, 100))
		Expect(err).To(Equal(refused(ReasonTooManyUncommittedBytes)))
		drain(n)
		acknowledge(n, 3)
		_, _, err = n.Propose(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
	})
})

const (
	addLearner = schemav1.MembershipChange_KIND_ADD_LEARNER
	promote    = schemav1.MembershipChange_KIND_PROMOTE
	remove     = schemav1.MembershipChange_KIND_REMOVE
)

// Two changes at once, or one before a commit of the leader's own term, can produce disjoint majorities.
var _ = DescribeTable("membership changes that are refused",
	func(kind schemav1.MembershipChange_Kind, id uint64, prepare func(n *Node), expected RefusalReason) {
		n := leading()
		prepare(n)
		_, _, err := n.ProposeChange(&schemav1.MembershipChange{Kind: kind, Member: &schemav1.Member{Id: id}})
		var refusal *RefusedError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(expected))
	},
	Entry("before a commit in this term", addLearner, uint64(4), func(*Node) {}, ReasonNoCommitInTerm),
	Entry("while another is not committed", addLearner, uint64(5), func(n *Node) {
		acknowledge(n, 2)
		_, _, err := n.ProposeChange(&schemav1.MembershipChange{Kind: addLearner, Member: &schemav1.Member{Id: 4}})
		Expect(err).NotTo(HaveOccurred())
	}, ReasonMembershipChangePending),
	Entry("adding a member twice", addLearner, uint64(2), func(n *Node) { acknowledge(n, 2) }, ReasonMemberExists),
	Entry("removing a stranger", remove, uint64(9), func(n *Node) { acknowledge(n, 2) }, ReasonUnknownMember),
	Entry("promoting a voter", promote, uint64(2), func(n *Node) { acknowledge(n, 2) }, ReasonNotLearner),
	Entry("during a transfer", remove, uint64(3), func(n *Node) {
		acknowledge(n, 2)
		Expect(n.TransferLeadership(2)).To(Succeed())
	}, ReasonTransferInProgress),
)

var _ = Describe("a follower", func() {
	membershipEntry := func(term, index uint64) *schemav1.Entry {
		data, err := proto.Marshal(&schemav1.MembershipChange{Kind: remove, Member: &schemav1.Member{Id: 3}})
		Expect(err).NotTo(HaveOccurred())
		return &schemav1.Entry{Term: term, Index: index, Type: schemav1.EntryType_ENTRY_TYPE_MEMBERSHIP, Data: data}
	}

	It("goes back to the older configuration when a change is replaced", func() {
		n := node(&schemav1.HardState{Term: 2})
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendTo, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: []*schemav1.Entry{membershipEntry(2, 2)},
		})).To(Succeed())
		Expect(n.Member(3)).To(BeNil())
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendTo, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []*schemav1.Entry{{Term: 3, Index: 2}},
		})).To(Succeed())
		Expect(n.Member(3)).NotTo(BeNil())
	})

	It("commits no further than it is known to match", func() {
		n := node(&schemav1.HardState{Term: 2}, 2, 2, 2)
		Expect(n.Step(&schemav1.RaftMessage{
			Type: appendTo, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2, Commit: 4,
		})).To(Succeed())
		Expect(n.Status().CommitIndex).To(Equal(uint64(2)))
	})

	It("does not mix the parts of two leaders' snapshots, which may encode the state differently", func() {
		n := node(&schemav1.HardState{Term: 2})
		part := func(from, term, offset uint64, data string) {
			Expect(n.Step(&schemav1.RaftMessage{
				Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, From: from, To: 1, Term: term, Offset: offset,
				Size: 4, Snapshot: &schemav1.Snapshot{Index: 9, Term: 2, Membership: voters(3), Data: []byte(data)},
			})).To(Succeed())
		}
		part(2, 2, 0, "ab")
		part(3, 3, 2, "CD")
		ready, _ := n.Ready()
		Expect(ready.Snapshot).To(BeNil())
		n.Advance(ready)
		part(3, 3, 0, "AB")
		part(3, 3, 2, "CD")
		ready, _ = n.Ready()
		Expect(string(ready.Snapshot.GetData())).To(Equal("ABCD"))
		Expect(ready.Snapshot.GetIndex()).To(Equal(uint64(9)))
	})
})
