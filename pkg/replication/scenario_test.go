package replication

import (
	"errors"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var smallSnapshots = Options{SnapshotThresholdEntries: 50, RetainedEntries: 10}

// started returns a group without faults that has a leader and has acknowledged count commands.
func started(voters, count int, options Options) *sim {
	s := newSim(7, voters, faults{}, options)
	s.awaitLeader()
	s.proposeMany(count)
	return s
}

func (s *sim) awaitLeader() *simNode {
	GinkgoHelper()
	Expect(s.until(2*time.Second, func() bool {
		return s.leader() != nil && s.leader().m.node.Status().CommitIndex == s.leader().m.node.Status().LastIndex
	})).To(BeTrue(), "no leader within 2 s")
	return s.leader()
}

// proposeMany proposes count commands and waits for their acknowledgement.
func (s *sim) proposeMany(count int) {
	GinkgoHelper()
	want := len(s.checker.acknowledged) + count
	for range count {
		s.propose(s.awaitLeader())
		s.run(time.Millisecond)
	}
	Expect(s.until(time.Second, func() bool { return len(s.checker.acknowledged) == want })).To(BeTrue())
}

func (s *sim) others(node *simNode) []*simNode {
	var others []*simNode
	for _, id := range s.order {
		if id != node.id {
			others = append(others, s.nodes[id])
		}
	}
	return others
}

// change makes a membership change at the leader and waits for its outcome.
func (s *sim) change(kind schemav1.MembershipChange_Kind, id uint64) error {
	GinkgoHelper()
	member := &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)}
	var outcome error
	finished := false
	leader := s.awaitLeader()
	leader.m.change(&schemav1.MembershipChange{Kind: kind, Member: member}, func(_ []byte, err error) {
		outcome, finished = err, true
	})
	leader.finish()
	Expect(s.until(2*time.Second, func() bool { return finished })).To(BeTrue(), "no outcome of the change")
	return outcome
}

func reasonOf(err error) raft.RefusalReason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

func (s *sim) expectSafe() {
	GinkgoHelper()
	// Followers apply the last command up to a message later than the leader.
	s.run(500 * time.Millisecond)
	s.checker.finish(s)
	Expect(s.checker.violations).To(BeEmpty())
}

const (
	lost  = time.Hour
	add   = schemav1.MembershipChange_KIND_ADD_LEARNER
	raise = schemav1.MembershipChange_KIND_PROMOTE
	drop  = schemav1.MembershipChange_KIND_REMOVE
)

var _ = Describe("losses", func() {
	It("keeps leader and term when a silent member returns from behind a partition", func() {
		s := started(3, 10, smallSnapshots)
		leader := s.leader()
		term := leader.m.node.Status().Term
		silent := s.others(leader)[0]
		s.isolated[silent.id] = true
		s.run(time.Minute)
		s.proposeMany(200)
		Expect(silent.m.applied).To(BeNumerically("<", leader.m.node.Status().FirstIndex), "it needs a snapshot")
		s.isolated[silent.id] = false
		s.run(time.Second)
		Expect(s.leader()).To(Equal(leader))
		Expect(leader.m.node.Status().Term).To(Equal(term))
		Expect(silent.m.applied).To(Equal(leader.m.applied))
		s.expectSafe()
	})

	It("has everything after a restart of all members after hundreds of changes", func() {
		s := started(3, 500, smallSnapshots)
		Expect(s.leader().m.node.Status().SnapshotIndex).To(BeNumerically(">", 400), "snapshots are taken")
		for _, node := range s.nodes {
			node.crash(100 * time.Millisecond)
		}
		s.proposeMany(1)
		s.run(time.Second)
		Expect(s.checker.acknowledged).To(HaveLen(501))
		s.expectSafe()
	})

	It("continues after two of five are lost together", func() {
		s := started(5, 50, smallSnapshots)
		leader := s.leader()
		leader.crash(lost)
		s.others(leader)[0].crash(lost)
		s.proposeMany(50)
		s.expectSafe()
	})

	It("acknowledges nothing and holds no lease after two of three are lost together", func() {
		s := started(3, 50, smallSnapshots)
		leader := s.leader()
		for _, other := range s.others(leader) {
			other.crash(lost)
		}
		s.propose(leader)
		s.run(time.Second)
		Expect(leader.holdsLease()).To(BeFalse())
		Expect(s.leader()).To(BeNil())
		Expect(s.checker.acknowledged).To(HaveLen(50))
		for _, node := range s.nodes {
			node.downUntil = s.now
		}
		s.proposeMany(1)
		s.expectSafe()
	})

	It("survives a second loss right after a repair, because promotion waits for the log", func() {
		s := started(3, 200, smallSnapshots)
		first := s.others(s.leader())[0]
		first.crash(lost)
		s.add(4, nil)
		s.isolated[4] = true
		Expect(s.change(add, 4)).To(Succeed())
		s.run(time.Second)
		Expect(reasonOf(s.change(raise, 4))).To(Equal(raft.ReasonNotCaughtUp))
		s.isolated[4] = false
		s.run(time.Second)
		Expect(s.change(raise, 4)).To(Succeed())
		Expect(s.change(drop, first.id)).To(Succeed())
		second := s.leader()
		second.crash(lost)
		s.proposeMany(10)
		Expect(s.checker.acknowledged).To(HaveLen(210))
		s.expectSafe()
		Expect(s.nodes[4].machine.records).To(HaveLen(210))
	})
})

var _ = Describe("membership", func() {
	It("refuses a removal that would leave no active quorum", func() {
		s := started(3, 10, smallSnapshots)
		others := s.others(s.leader())
		others[0].crash(lost)
		s.run(300 * time.Millisecond)
		Expect(reasonOf(s.change(drop, others[1].id))).To(Equal(raft.ReasonNoActiveQuorum))
		Expect(s.change(drop, others[0].id)).To(Succeed())
		s.proposeMany(10)
		s.expectSafe()
	})

	It("lets a leader remove itself", func() {
		s := started(3, 10, smallSnapshots)
		leader := s.leader()
		Expect(s.change(drop, leader.id)).To(Succeed())
		s.proposeMany(10)
		Expect(s.leader()).NotTo(Equal(leader))
		s.expectSafe()
	})

	// Found by the simulation: the leader has the only log that can win, but is no voter in its own last configuration.
	It("finishes a leader's own removal although nobody else has the entry yet", func() {
		s := started(2, 10, smallSnapshots)
		leader := s.leader()
		other := s.others(leader)[0]
		s.isolated[other.id] = true
		leader.m.change(&schemav1.MembershipChange{Kind: drop, Member: &schemav1.Member{Id: leader.id}},
			func([]byte, error) {})
		leader.finish()
		s.run(time.Second)
		Expect(s.leader()).To(BeNil())
		s.isolated[other.id] = false
		s.proposeMany(10)
		Expect(s.leader()).To(Equal(other))
		s.expectSafe()
	})

	// Found by the simulation: the leader waited for the acknowledgement of a snapshot that the learner already had.
	It("goes on after the acknowledgement of a snapshot is lost", func() {
		s := started(3, 200, smallSnapshots)
		s.add(4, nil)
		s.faults.mutate = func(_ *sim, _ *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
			if m.GetFrom() == 4 && m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE &&
				!m.GetReject() {
				return nil
			}
			return m
		}
		Expect(s.change(add, 4)).To(Succeed())
		s.run(100 * time.Millisecond)
		s.faults.mutate = nil
		s.run(200 * time.Millisecond)
		Expect(s.nodes[4].m.applied).To(Equal(s.leader().m.applied))
		Expect(s.change(raise, 4)).To(Succeed())
		s.expectSafe()
	})

	It("hands leadership over at once and leaves no lease behind", func() {
		s := started(3, 10, smallSnapshots)
		leader := s.leader()
		target := s.others(leader)[1]
		Expect(leader.m.node.TransferLeadership(target.id)).To(Succeed())
		leader.finish()
		Expect(leader.holdsLease()).To(BeFalse())
		Expect(s.until(20*time.Millisecond, target.leads)).To(BeTrue())
		s.proposeMany(10)
		s.expectSafe()
	})

	It("gives up the term when a transfer fails, because its votes may still be under way", func() {
		s := started(3, 10, smallSnapshots)
		leader := s.leader()
		target := s.others(leader)[1]
		term := leader.m.node.Status().Term
		Expect(leader.m.node.TransferLeadership(target.id)).To(Succeed())
		target.crash(lost)
		leader.finish()
		Expect(s.until(time.Second, func() bool { return leader.m.node.Status().Role != raft.Leader })).To(BeTrue())
		s.proposeMany(10)
		Expect(s.leader().m.node.Status().Term).To(BeNumerically(">", term))
		s.expectSafe()
	})
})

var _ = Describe("sealing", func() {
	It("ends the group and keeps every acknowledged command in the most advanced sealed log", func() {
		s := started(3, 120, smallSnapshots)
		leader := s.leader()
		s.propose(leader)
		var best *SealedState
		for _, node := range s.others(leader) {
			node.m.node.Seal()
			node.finish()
			sealed, err := node.m.sealedState()
			Expect(err).NotTo(HaveOccurred())
			if best == nil || sealed.LastTerm > best.LastTerm ||
				(sealed.LastTerm == best.LastTerm && sealed.LastIndex > best.LastIndex) {
				best = sealed
			}
			// The seal must outlive a restart of a member with a disk.
			node.crash(10 * time.Millisecond)
		}
		s.run(5 * time.Second)
		Expect(s.leader()).To(BeNil())
		Expect(leader.holdsLease()).To(BeFalse())
		fresh := &recorder{}
		_, err := best.BuildSnapshot(fresh)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(fresh.records)).To(BeNumerically(">=", len(s.checker.acknowledged)))
		s.checker.compare(0, fresh)
		Expect(s.checker.violations).To(BeEmpty())
	})
})

// A crash between any two steps of a save must neither lose an acknowledged command nor break the log.
var _ = DescribeTable("crash at each save",
	func(before bool) {
		for save := 1; save <= 40; save++ {
			for id := uint64(1); id <= 3; id++ {
				s := newSim(uint64(save), 3, faults{}, Options{SnapshotThresholdEntries: 10, RetainedEntries: 5})
				disk := s.nodes[id].disk
				disk.crashAt, disk.before = disk.saves+save, before
				for range 80 {
					if s.run(20 * time.Millisecond); s.leader() != nil {
						s.propose(s.leader())
					}
				}
				Expect(disk.saves).To(BeNumerically(">", save))
				s.heal()
				s.settle()
				Expect(s.checker.violations).To(BeEmpty(), "save %d of member %d", save, id)
			}
		}
	},
	Entry("before it is durable", true),
	Entry("after it is durable, before anything is acknowledged", false),
)
