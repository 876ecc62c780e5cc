package replication

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// allFaults combines all faults of the network and the machines.
var allFaults = faults{loss: 0.05, duplicate: 0.05, delayed: 0.05, crash: 0.002, partition: 0.2, cut: 0.1, pause: 0.15}

// runWithFaults runs a group with faults, and with proposals and reads at every member that considers itself leader. Then it
// ends the faults and checks that no acknowledged command is lost and that the group commits new ones.
func runWithFaults(seed uint64, voters int, f faults, duration time.Duration) *sim {
	// Small limits split entries and snapshots into many messages.
	raftConfig := raft.Config{MaxAppendBytes: 300, MaxInflightAppends: 4}
	s := newSim(seed, voters, f, Options{SnapshotThresholdEntries: 100, RetainedEntries: 20, Raft: raftConfig})
	for end := s.now + duration; s.now < end; s.step() {
		// Proposals come in bursts, because without proposals the log of a member that was cut off stays up to date, so that
		// the member can win elections.
		inBurst := s.now%(4*time.Second) < 2*time.Second
		for _, id := range s.ids {
			if node := s.nodes[id]; inBurst && s.chance(0.1) == 1 && node.isLeader() {
				s.propose(node)
				if node.replica != nil && s.chance(0.2) == 1 {
					s.read(node)
				}
				if node.replica != nil && s.chance(f.membershipChange) == 1 {
					s.proposeRandomChange(node)
				}
			}
		}
	}
	s.heal()
	s.checkRecovery()
	return s
}

// maxMembers limits the members that a simulation starts in total.
const maxMembers = 12

// proposeRandomChange proposes a random membership change or leadership transfer at node. Removed members keep running.
func (s *sim) proposeRandomChange(node *simNode) {
	change := &schemav1.MembershipChange{Kind: schemav1.MembershipChange_Kind(1 + s.rng.IntN(3))}
	members := node.replica.node.Status().Members
	if len(members) == 0 {
		return
	}
	id := members[s.rng.IntN(len(members))].Member.GetId()
	switch {
	case s.chance(0.2) == 1:
		// The request may be refused, as may the membership change below.
		_ = node.replica.node.TransferLeadership(id)
		node.flush()
		return
	case change.GetKind() == addLearner:
		if id = uint64(len(s.ids) + 1); id > maxMembers {
			return
		}
		s.add(id, nil)
	case change.GetKind() == remove && len(members) <= 3:
		return
	}
	change.Member = &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)}
	node.replica.change(change, func(_ []byte, err error) {
		if err == nil {
			s.checker.membershipChanges++
		}
	})
	node.flush()
}

// checkRecovery proposes a new command, waits until all members can have applied it, and checks the history.
func (s *sim) checkRecovery() {
	hasLeader := s.runUntil(5*time.Second, func() bool { return s.leader() != nil })
	if hasLeader {
		s.run(time.Second)
		s.propose(s.leader())
		s.run(time.Second)
	}
	if _, ok := s.checker.acknowledged[s.checker.lastAcknowledged]; !hasLeader || !ok {
		s.checker.addViolation("the group does not commit new commands after the faults have ended")
	}
	s.checker.checkAcknowledged(s)
}

var _ = DescribeTable("safety under all faults at once",
	func(seed uint64, voters int) {
		s := runWithFaults(seed, voters, allFaults, 60*time.Second)
		Expect(s.checker.violations).To(BeEmpty())
		Expect(len(s.checker.acknowledged)).To(BeNumerically(">", 200), "too few acknowledged commands for a meaningful test")
		Expect(len(s.checker.leaderByTerm)).To(BeNumerically(">", 5))
		Expect(s.checker.leaseInstants).To(BeNumerically(">", 0))
		Expect(s.checker.knownAges).To(BeNumerically(">", 0))
	},
	Entry("3 members, seed 1", uint64(1), 3),
	Entry("3 members, seed 2", uint64(2), 3),
	Entry("3 members, seed 3", uint64(3), 3),
	Entry("5 members, seed 4", uint64(4), 5),
	Entry("5 members, seed 5", uint64(5), 5),
	Entry("4 members, seed 6", uint64(6), 4),
)

var _ = DescribeTable("safety under membership changes and transfers with all faults",
	func(seed uint64) {
		f := allFaults
		f.membershipChange = 0.03
		s := runWithFaults(seed, 3, f, 60*time.Second)
		Expect(s.checker.violations).To(BeEmpty())
		Expect(s.checker.membershipChanges).To(BeNumerically(">", 5), "too few membership changes for a meaningful test")
	},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
	Entry("seed 3", uint64(3)),
	Entry("seed 4", uint64(4)),
)

// firstViolation runs simulations with different seeds until the checker reports a violation, and returns that.
func firstViolation(f faults) string {
	for seed := uint64(1); seed <= 40; seed++ {
		if s := runWithFaults(seed, 3, f, 30*time.Second); len(s.checker.violations) > 0 {
			return s.checker.violations[0]
		}
	}
	return "none"
}

// forceVotes makes voters vote although they have heard from a leader recently.
func forceVotes(_ *sim, _ *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
	if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE ||
		m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE {
		m = proto.Clone(m).(*schemav1.RaftMessage)
		m.Force = true
	}
	return m
}

// confirmLatestRound makes a heartbeat response confirm the leader's latest heartbeat round instead of the one that it
// responds to.
func confirmLatestRound(s *sim, to *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
	if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE {
		m = proto.Clone(m).(*schemav1.RaftMessage)
		m.Context = s.lastRound[to.id]
	}
	return m
}

// echoArrival makes a leader's message confirm the state of the time at which it arrives, whoever sent it and however long it took.
func echoArrival(_ *sim, to *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
	if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT {
		m = proto.Clone(m).(*schemav1.RaftMessage)
		m.Echo = to.replica.options.Raft.TimestampBase + to.replica.node.Now()
	}
	return m
}

// echoEarlierProcess makes members take the timestamps of their earlier processes for their own.
func echoEarlierProcess(_ *sim, to *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
	if m.GetEcho() != 0 && m.GetEcho()-to.replica.options.Raft.TimestampBase > to.replica.node.Now() {
		m = proto.Clone(m).(*schemav1.RaftMessage)
		m.Echo = to.replica.options.Raft.TimestampBase + to.replica.node.Now()
	}
	return m
}

// Each variant violates the protocol on purpose. A checker that does not report it could not find the same fault in the code
// under test either.
var _ = DescribeTable("the checker reports violations of the protocol",
	func(change func(f *faults), expected string) {
		variant := allFaults
		change(&variant)
		Expect(firstViolation(variant)).To(MatchRegexp(expected))
	},
	Entry("acknowledgement before the save is durable", func(f *faults) { f.lazyDisk = true },
		"lost the acknowledged|state machine safety|state age|log matching|lead term|does not start|conflicts"),
	Entry("lease counted from the response to the heartbeat", func(f *faults) { f.mutateMessage = confirmLatestRound },
		"leases of members|a read saw"),
	Entry("votes granted shortly after hearing from a leader", func(f *faults) { f.mutateMessage = forceVotes },
		"leases of members"),
	Entry("state counted as complete at the arrival of a heartbeat", func(f *faults) { f.mutateMessage = echoArrival },
		"state age"),
	Entry("state confirmed by the timestamp of an earlier process", func(f *faults) { f.mutateMessage = echoEarlierProcess },
		"state age"),
)
