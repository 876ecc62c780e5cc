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

// allFaults is what the environment may do at once.
var allFaults = faults{loss: 0.05, duplicate: 0.05, late: 0.05, crash: 0.002, partition: 0.2, cut: 0.1, pause: 0.15}

// storm runs a group under faults with proposals and reads at whoever believes to lead, then heals it and checks that
// nothing acknowledged is lost and that the group works again.
func storm(seed uint64, voters int, f faults, duration time.Duration) *sim {
	// Small messages split entries and snapshots into many parts.
	core := raft.Config{MaxAppendBytes: 300, MaxInflightAppends: 4}
	s := newSim(seed, voters, f, Options{SnapshotThresholdEntries: 100, RetainedEntries: 20, Raft: core})
	for end := s.now + duration; s.now < end; s.step() {
		// Proposals come in bursts: in a quiet group a member that was cut off has an up-to-date log and can win votes.
		busy := s.now%(4*time.Second) < 2*time.Second
		for _, id := range s.order {
			if node := s.nodes[id]; busy && s.chance(0.1) == 1 && node.leads() {
				s.propose(node)
				if node.m != nil && s.chance(0.2) == 1 {
					s.read(node)
				}
				if node.m != nil && s.chance(f.change) == 1 {
					s.drawChange(node)
				}
			}
		}
	}
	s.heal()
	s.settle()
	return s
}

// maxMembers bounds the members that a storm ever starts.
const maxMembers = 12

// drawChange asks node for a random membership change or leadership transfer. Removed members go on running.
func (s *sim) drawChange(node *simNode) {
	change := &schemav1.MembershipChange{Kind: schemav1.MembershipChange_Kind(1 + s.rng.IntN(3))}
	members := node.m.node.Status().Members
	if len(members) == 0 {
		return
	}
	id := members[s.rng.IntN(len(members))].Member.GetId()
	switch {
	case s.chance(0.2) == 1:
		// A refusal is fine here and below.
		_ = node.m.node.TransferLeadership(id)
		node.finish()
		return
	case change.GetKind() == add:
		if id = uint64(len(s.order) + 1); id > maxMembers {
			return
		}
		s.add(id, nil)
	case change.GetKind() == drop && len(members) <= 3:
		return
	}
	change.Member = &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)}
	node.m.change(change, func(_ []byte, err error) {
		if err == nil {
			s.checker.changes++
		}
	})
	node.finish()
}

// settle waits until all members have applied a fresh command, and checks the history.
func (s *sim) settle() {
	working := s.until(5*time.Second, func() bool { return s.leader() != nil })
	if working {
		s.run(time.Second)
		s.propose(s.leader())
		s.run(time.Second)
	}
	if _, ok := s.checker.acknowledged[s.checker.lastAcknowledged]; !working || !ok {
		s.checker.fail("the group does not work after the faults ended")
	}
	s.checker.finish(s)
}

var _ = DescribeTable("safety under all faults at once",
	func(seed uint64, voters int) {
		s := storm(seed, voters, allFaults, 60*time.Second)
		Expect(s.checker.violations).To(BeEmpty())
		Expect(len(s.checker.acknowledged)).To(BeNumerically(">", 200), "too little happened to show anything")
		Expect(len(s.checker.leaders)).To(BeNumerically(">", 5))
		Expect(s.checker.leased).To(BeNumerically(">", 0))
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
		f.change = 0.03
		s := storm(seed, 3, f, 60*time.Second)
		Expect(s.checker.violations).To(BeEmpty())
		Expect(s.checker.changes).To(BeNumerically(">", 5), "too few changes to show anything")
	},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
	Entry("seed 3", uint64(3)),
	Entry("seed 4", uint64(4)),
)

// firstViolation runs storms with wrong until the checker finds something, and returns it.
func firstViolation(wrong faults) string {
	for seed := uint64(1); seed <= 40; seed++ {
		if s := storm(seed, 3, wrong, 30*time.Second); len(s.checker.violations) > 0 {
			return s.checker.violations[0]
		}
	}
	return "none"
}

// forceVotes makes voters forget their promise not to vote while they hear from a leader.
func forceVotes(_ *sim, _ *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
	if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE ||
		m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE {
		m = proto.Clone(m).(*schemav1.RaftMessage)
		m.Force = true
	}
	return m
}

// freshenAnswers makes an answer confirm the leader's latest heartbeat instead of the one that it answers.
func freshenAnswers(s *sim, to *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
	if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE {
		m = proto.Clone(m).(*schemav1.RaftMessage)
		m.Context = s.lastRound[to.id]
	}
	return m
}

// Each variant is wrong on purpose. If the checker does not notice, a pass of the tests above means nothing.
var _ = DescribeTable("the checker notices wrong variants",
	func(change func(f *faults), expected string) {
		wrong := allFaults
		change(&wrong)
		Expect(firstViolation(wrong)).To(MatchRegexp(expected))
	},
	Entry("acknowledgement before the save is durable", func(f *faults) { f.lazyDisk = true },
		"lost the acknowledged|state machine safety|log matching|lead term|does not start|conflicts"),
	Entry("lease counted from the acknowledgement", func(f *faults) { f.mutate = freshenAnswers },
		"leases of members|a read saw"),
	Entry("votes granted although a leader was heard from", func(f *faults) { f.mutate = forceVotes },
		"leases of members"),
)
