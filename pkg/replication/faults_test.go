package replication

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// allFaults is what the environment may do at once.
var allFaults = faults{loss: 0.05, duplicate: 0.05, late: 0.05, crash: 0.002, partition: 0.2, cut: 0.1, pause: 0.15}

// storm runs a group under faults with proposals and reads at whoever believes to lead, then heals it and checks that
// nothing acknowledged is lost and that the group works again.
func storm(seed uint64, voters int, f faults, duration time.Duration) *sim {
	s := newSim(seed, voters, f, Options{SnapshotEntries: 100, KeepEntries: 20})
	for end := s.now + duration; s.now < end; s.step() {
		// Proposals come in bursts: in a quiet group a member that was cut off has an up-to-date log and can win votes.
		busy := s.now%(4*time.Second) < 2*time.Second
		for _, id := range s.order {
			if node := s.nodes[id]; busy && s.chance(0.1) == 1 && node.leads() {
				s.propose(node)
				if node.m != nil && s.chance(0.2) == 1 {
					s.read(node)
				}
			}
		}
	}
	s.heal()
	s.settle()
	return s
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
