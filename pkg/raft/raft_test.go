package raft

import (
	"errors"
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestRaft(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "raft")
}

// fixSeed makes property tests run with the same values every time.
func fixSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		t.Fatal(err)
	}
}

// voters returns a membership of voters with the IDs 1 to count.
func voters(count uint64) *schemav1.Membership {
	membership := &schemav1.Membership{}
	for id := uint64(1); id <= count; id++ {
		membership.Members = append(membership.Members, &schemav1.Member{Id: id})
	}
	return membership
}

// newTestNode returns member 1 of three voters with a log whose entries have the given terms, from index 2 on.
func newTestNode(hardState *schemav1.HardState, terms ...uint64) *Node {
	GinkgoHelper()
	state := Bootstrap(voters(3), nil)
	state.HardState = hardState
	for i, term := range terms {
		state.Entries = append(state.Entries, &schemav1.Entry{
			Term: term, Index: bootstrapIndex + 1 + uint64(i), Type: schemav1.EntryType_ENTRY_TYPE_COMMAND,
		})
	}
	n, err := New(Config{ID: 1, Rand: func(n int) int { return n - 1 }}, state)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// drain completes all pending work of a node, as if it were stored and applied at once, and returns the messages.
func drain(n *Node) []*schemav1.RaftMessage {
	var messages []*schemav1.RaftMessage
	for {
		ready, ok := n.Ready()
		if !ok {
			return messages
		}
		messages = append(messages, ready.Messages...)
		n.Advance(ready)
	}
}

const (
	voteMessage    = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
	preVoteMessage = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE
	appendMessage  = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND
)

// voteRequestCase is a vote request and the state of the member that receives it: its hard state, the terms of its log
// entries, the number of ticks since its start, and whether it has just heard from a leader.
type voteRequestCase struct {
	hardState       schemav1.HardState
	terms           []uint64
	ticks           uint64
	heardFromLeader bool
	request         schemav1.RaftMessage
}

// A wrong response to one of these requests could elect two leaders in one term, lose a committed entry, or elect a leader
// while another one holds a lease.
var _ = DescribeTable("the response to a vote request",
	func(c *voteRequestCase, expected string) {
		n := newTestNode(&c.hardState, c.terms...)
		n.TickBy(c.ticks)
		if c.heardFromLeader {
			Expect(n.Step(&schemav1.RaftMessage{
				Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, From: 2, To: 1, Term: n.term,
			})).To(Succeed())
		}
		drain(n)
		c.request.From, c.request.To = 3, 1
		Expect(n.Step(&c.request)).To(Succeed())
		response := "none"
		for _, m := range drain(n) {
			response = map[bool]string{true: "rejected", false: "granted"}[m.GetReject()]
		}
		Expect(response).To(Equal(expected))
	},
	Entry("equal log", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, terms: []uint64{2}, ticks: 21,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 2, LogTerm: 2},
	}, "granted"),
	Entry("shorter log", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, terms: []uint64{2, 2}, ticks: 21,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 2, LogTerm: 2},
	}, "rejected"),
	Entry("longer log of an older term", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, terms: []uint64{2}, ticks: 21,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 9, LogTerm: 1},
	}, "rejected"),
	Entry("already voted for another candidate in this term", &voteRequestCase{
		hardState: schemav1.HardState{Term: 3, Vote: 2}, ticks: 21,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 9, LogTerm: 3},
	}, "rejected"),
	Entry("repeated request of the candidate that got the vote", &voteRequestCase{
		hardState: schemav1.HardState{Term: 3, Vote: 3}, ticks: 21,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 9, LogTerm: 3},
	}, "granted"),
	Entry("older term", &voteRequestCase{
		hardState: schemav1.HardState{Term: 3}, ticks: 21,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 2, Index: 9, LogTerm: 2},
	}, "rejected"),
	Entry("less than a minimum election timeout after the start", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, ticks: 20,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 9, LogTerm: 2},
	}, "none"),
	Entry("heard from a leader recently", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, ticks: 30, heardFromLeader: true,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 9, LogTerm: 2},
	}, "none"),
	Entry("pre-vote, heard from a leader recently", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, ticks: 30, heardFromLeader: true,
		request: schemav1.RaftMessage{Type: preVoteMessage, Term: 3, Index: 9, LogTerm: 2},
	}, "none"),
	Entry("leadership transfer, heard from a leader recently", &voteRequestCase{
		hardState: schemav1.HardState{Term: 2}, ticks: 30, heardFromLeader: true,
		request: schemav1.RaftMessage{Type: voteMessage, Term: 3, Index: 9, LogTerm: 2, Force: true},
	}, "granted"),
	Entry("pre-vote in the same term", &voteRequestCase{
		hardState: schemav1.HardState{Term: 3}, ticks: 21,
		request: schemav1.RaftMessage{Type: preVoteMessage, Term: 3, Index: 9, LogTerm: 3},
	}, "rejected"),
)

// A member can learn of a higher term from another message than a vote request. It must go on refusing votes for as long
// as it would have in the old term, because the old leader's lease relies on it.
var _ = It("refuses a vote in a new term shortly after it heard from the leader of the old term", func() {
	n := newTestNode(&schemav1.HardState{Term: 2})
	n.TickBy(30)
	Expect(n.Step(&schemav1.RaftMessage{Type: appendMessage, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})).To(Succeed())
	Expect(n.Step(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE, From: 3, To: 1, Term: 3, Reject: true,
	})).To(Succeed())
	drain(n)
	Expect(n.Step(&schemav1.RaftMessage{Type: voteMessage, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2})).To(Succeed())
	Expect(drain(n)).To(BeEmpty())
})

// If an entry of a leader conflicts with a committed one, one of the logs is damaged, and the member must not accept it.
var _ = It("reports a conflict with a committed entry", func() {
	n := newTestNode(&schemav1.HardState{Term: 2, Commit: 3}, 2, 2)
	err := n.Step(&schemav1.RaftMessage{
		Type: appendMessage, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2, Entries: []*schemav1.Entry{{Term: 3, Index: 3}, {Term: 3, Index: 4}},
	})
	var conflict *ConflictError
	Expect(errors.As(err, &conflict)).To(BeTrue())
	Expect(*conflict).To(Equal(ConflictError{Index: 3, CommitIndex: 3}))
})

var _ = DescribeTable("New refuses invalid configurations and states",
	func(config Config, state PersistentState) {
		_, err := New(config, state)
		var problem *ConfigError
		Expect(errors.As(err, &problem)).To(BeTrue())
	},
	Entry("no ID", Config{Rand: func(int) int { return 0 }}, PersistentState{}),
	Entry("no source of randomness", Config{ID: 1}, PersistentState{}),
	Entry("lease over 99 % of the election minimum, which could outlast it with clocks of different rates",
		Config{ID: 1, Rand: func(int) int { return 0 }, LeaseTicks: 20}, PersistentState{}),
	Entry("heartbeat not below the election minimum", Config{ID: 1, Rand: func(int) int { return 0 }, HeartbeatTicks: 20}, PersistentState{}),
	Entry("gap in the log",
		Config{ID: 1, Rand: func(int) int { return 0 }}, PersistentState{Entries: []*schemav1.Entry{{Index: 2}}}),
	Entry("commit index beyond the end of the log",
		Config{ID: 1, Rand: func(int) int { return 0 }}, PersistentState{HardState: &schemav1.HardState{Commit: 1}}),
)
