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

// fixSeed makes the property tests repeatable.
func fixSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		t.Fatal(err)
	}
}

func voters(count uint64) *schemav1.Membership {
	membership := &schemav1.Membership{}
	for id := uint64(1); id <= count; id++ {
		membership.Members = append(membership.Members, &schemav1.Member{Id: id})
	}
	return membership
}

// node returns member 1 of three with a log whose entries have the given terms, from index 2 on.
func node(hard *schemav1.HardState, terms ...uint64) *Node {
	GinkgoHelper()
	state := Bootstrap(voters(3), nil)
	state.HardState = hard
	for i, term := range terms {
		state.Entries = append(state.Entries, &schemav1.Entry{
			Term: term, Index: bootstrapIndex + 1 + uint64(i), Type: schemav1.EntryType_ENTRY_TYPE_COMMAND,
		})
	}
	n, err := New(Config{ID: 1, Rand: func(n int) int { return n - 1 }}, state)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// drain does all work of a node as if storage were perfect, and returns its messages.
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
	vote     = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
	preVote  = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE
	appendTo = schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND
)

type ballot struct {
	hard    schemav1.HardState
	terms   []uint64
	ticks   uint64
	heard   bool
	request schemav1.RaftMessage
}

// Each row is a way to elect two leaders in one term, to lose a committed entry, or to break a lease.
var _ = DescribeTable("vote requests",
	func(b *ballot, expected string) {
		n := node(&b.hard, b.terms...)
		n.TickBy(b.ticks)
		if b.heard {
			Expect(n.Step(&schemav1.RaftMessage{
				Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, From: 2, To: 1, Term: n.term,
			})).To(Succeed())
		}
		drain(n)
		b.request.From, b.request.To = 3, 1
		Expect(n.Step(&b.request)).To(Succeed())
		answer := "none"
		for _, m := range drain(n) {
			answer = map[bool]string{true: "rejected", false: "granted"}[m.GetReject()]
		}
		Expect(answer).To(Equal(expected))
	},
	Entry("equal log", &ballot{
		hard: schemav1.HardState{Term: 2}, terms: []uint64{2}, ticks: 21,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 2, LogTerm: 2},
	}, "granted"),
	Entry("shorter log", &ballot{
		hard: schemav1.HardState{Term: 2}, terms: []uint64{2, 2}, ticks: 21,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 2, LogTerm: 2},
	}, "rejected"),
	Entry("longer log of an older term", &ballot{
		hard: schemav1.HardState{Term: 2}, terms: []uint64{2}, ticks: 21,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 9, LogTerm: 1},
	}, "rejected"),
	Entry("already voted for another", &ballot{
		hard: schemav1.HardState{Term: 3, Vote: 2}, ticks: 21,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 9, LogTerm: 3},
	}, "rejected"),
	Entry("repeated request of the one voted for", &ballot{
		hard: schemav1.HardState{Term: 3, Vote: 3}, ticks: 21,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 9, LogTerm: 3},
	}, "granted"),
	Entry("older term", &ballot{
		hard: schemav1.HardState{Term: 3}, ticks: 21,
		request: schemav1.RaftMessage{Type: vote, Term: 2, Index: 9, LogTerm: 2},
	}, "rejected"),
	Entry("right after the start", &ballot{
		hard: schemav1.HardState{Term: 2}, ticks: 20,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 9, LogTerm: 2},
	}, "none"),
	Entry("a leader was heard from", &ballot{
		hard: schemav1.HardState{Term: 2}, ticks: 30, heard: true,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 9, LogTerm: 2},
	}, "none"),
	Entry("a leader was heard from, pre-vote", &ballot{
		hard: schemav1.HardState{Term: 2}, ticks: 30, heard: true,
		request: schemav1.RaftMessage{Type: preVote, Term: 3, Index: 9, LogTerm: 2},
	}, "none"),
	Entry("a leader was heard from, leadership transfer", &ballot{
		hard: schemav1.HardState{Term: 2}, ticks: 30, heard: true,
		request: schemav1.RaftMessage{Type: vote, Term: 3, Index: 9, LogTerm: 2, Force: true},
	}, "granted"),
	Entry("pre-vote in the same term", &ballot{
		hard: schemav1.HardState{Term: 3}, ticks: 21,
		request: schemav1.RaftMessage{Type: preVote, Term: 3, Index: 9, LogTerm: 3},
	}, "rejected"),
)

// A member can learn of a higher term by another message than a vote. The promise to the old leader must hold on.
var _ = It("refuses a vote in its own new term while a leader of the old term was heard from", func() {
	n := node(&schemav1.HardState{Term: 2})
	n.TickBy(30)
	Expect(n.Step(&schemav1.RaftMessage{Type: appendTo, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})).To(Succeed())
	Expect(n.Step(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE, From: 3, To: 1, Term: 3, Reject: true,
	})).To(Succeed())
	drain(n)
	Expect(n.Step(&schemav1.RaftMessage{Type: vote, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2})).To(Succeed())
	Expect(drain(n)).To(BeEmpty())
})

// A leader whose entry contradicts a committed one must not be obeyed: one of the logs is damaged.
var _ = It("reports a conflict with a committed entry", func() {
	n := node(&schemav1.HardState{Term: 2, Commit: 3}, 2, 2)
	err := n.Step(&schemav1.RaftMessage{
		Type: appendTo, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2, Entries: []*schemav1.Entry{{Term: 3, Index: 3}, {Term: 3, Index: 4}},
	})
	var conflict *ConflictError
	Expect(errors.As(err, &conflict)).To(BeTrue())
	Expect(*conflict).To(Equal(ConflictError{Index: 3, CommitIndex: 3}))
})

var _ = DescribeTable("invalid settings and states are refused",
	func(config Config, state PersistentState) {
		_, err := New(config, state)
		var problem *ConfigError
		Expect(errors.As(err, &problem)).To(BeTrue())
	},
	Entry("no ID", Config{Rand: func(int) int { return 0 }}, PersistentState{}),
	Entry("no randomness", Config{ID: 1}, PersistentState{}),
	Entry("lease over 99 % of the election minimum, which two clocks could disagree about",
		Config{ID: 1, Rand: func(int) int { return 0 }, LeaseTicks: 20}, PersistentState{}),
	Entry("heartbeat not below the election minimum", Config{ID: 1, Rand: func(int) int { return 0 }, HeartbeatTicks: 20}, PersistentState{}),
	Entry("gap in the log", Config{ID: 1, Rand: func(int) int { return 0 }}, PersistentState{Entries: []*schemav1.Entry{{Index: 2}}}),
	Entry("commit beyond the log", Config{ID: 1, Rand: func(int) int { return 0 }}, PersistentState{HardState: &schemav1.HardState{Commit: 1}}),
)
