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

var frequentSnapshots = Options{SnapshotThresholdEntries: 50, RetainedEntries: 10}

// newGroupWithLeader returns a group without faults, with a leader and count acknowledged commands.
func newGroupWithLeader(voters, count int, options Options) *sim {
	s := newSim(7, voters, faults{}, options)
	s.awaitLeader()
	s.proposeMany(count)
	return s
}

// awaitLeader waits for a leader that has committed its whole log.
func (s *sim) awaitLeader() *simNode {
	GinkgoHelper()
	Expect(s.runUntil(2*time.Second, func() bool {
		return s.leader() != nil && s.leader().replica.node.Status().CommitIndex == s.leader().replica.node.Status().LastIndex
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
	Expect(s.runUntil(time.Second, func() bool { return len(s.checker.acknowledged) == want })).To(BeTrue())
}

func (s *sim) others(node *simNode) []*simNode {
	var others []*simNode
	for _, id := range s.ids {
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
	leader.replica.change(&schemav1.MembershipChange{Kind: kind, Member: member}, func(_ []byte, err error) {
		outcome, finished = err, true
	})
	leader.flush()
	Expect(s.runUntil(2*time.Second, func() bool { return finished })).To(BeTrue(), "no outcome of the change")
	return outcome
}

// reasonOf returns the reason of a *RefusedError, or "" for any other error.
func reasonOf(err error) raft.RefusalReason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// expectSafe checks that no safety property was violated and that every running member has all acknowledged commands.
func (s *sim) expectSafe() {
	GinkgoHelper()
	// Followers apply the last command one message later than the leader.
	s.run(500 * time.Millisecond)
	s.checker.checkAcknowledged(s)
	Expect(s.checker.violations).To(BeEmpty())
}

const (
	forever    = time.Hour
	addLearner = schemav1.MembershipChange_KIND_ADD_LEARNER
	promote    = schemav1.MembershipChange_KIND_PROMOTE
	remove     = schemav1.MembershipChange_KIND_REMOVE
)

var _ = Describe("loss of members", func() {
	It("keeps its leader and term when a partitioned member returns", func() {
		s := newGroupWithLeader(3, 10, frequentSnapshots)
		leader := s.leader()
		term := leader.replica.node.Status().Term
		silent := s.others(leader)[0]
		s.isolated[silent.id] = true
		s.run(time.Minute)
		s.proposeMany(200)
		Expect(silent.replica.appliedIndex).To(BeNumerically("<", leader.replica.node.Status().FirstIndex),
			"the returning member needs a snapshot")
		s.isolated[silent.id] = false
		s.run(time.Second)
		Expect(s.leader()).To(Equal(leader))
		Expect(leader.replica.node.Status().Term).To(Equal(term))
		Expect(silent.replica.appliedIndex).To(Equal(leader.replica.appliedIndex))
		s.expectSafe()
	})

	It("keeps all commands when all members restart after hundreds of commands", func() {
		s := newGroupWithLeader(3, 500, frequentSnapshots)
		Expect(s.leader().replica.node.Status().SnapshotIndex).To(BeNumerically(">", 400), "snapshots are taken")
		for _, node := range s.nodes {
			node.crash(100 * time.Millisecond)
		}
		s.proposeMany(1)
		s.run(time.Second)
		Expect(s.checker.acknowledged).To(HaveLen(501))
		s.expectSafe()
	})

	It("continues after two of five members are lost at once", func() {
		s := newGroupWithLeader(5, 50, frequentSnapshots)
		leader := s.leader()
		leader.crash(forever)
		s.others(leader)[0].crash(forever)
		s.proposeMany(50)
		s.expectSafe()
	})

	It("acknowledges nothing and holds no lease after two of three members are lost at once", func() {
		s := newGroupWithLeader(3, 50, frequentSnapshots)
		leader := s.leader()
		for _, other := range s.others(leader) {
			other.crash(forever)
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

	It("survives a second loss right after a member was replaced, because promotion waits until the learner has the log", func() {
		s := newGroupWithLeader(3, 200, frequentSnapshots)
		first := s.others(s.leader())[0]
		first.crash(forever)
		s.add(4, nil)
		s.isolated[4] = true
		Expect(s.change(addLearner, 4)).To(Succeed())
		s.run(time.Second)
		Expect(reasonOf(s.change(promote, 4))).To(Equal(raft.ReasonNotCaughtUp))
		s.isolated[4] = false
		s.run(time.Second)
		Expect(s.change(promote, 4)).To(Succeed())
		Expect(s.change(remove, first.id)).To(Succeed())
		second := s.leader()
		second.crash(forever)
		s.proposeMany(10)
		Expect(s.checker.acknowledged).To(HaveLen(210))
		s.expectSafe()
		Expect(s.nodes[4].stateMachine.records).To(HaveLen(210))
	})
})

var _ = Describe("membership", func() {
	It("refuses a removal that would leave no active quorum", func() {
		s := newGroupWithLeader(3, 10, frequentSnapshots)
		others := s.others(s.leader())
		others[0].crash(forever)
		s.run(300 * time.Millisecond)
		Expect(reasonOf(s.change(remove, others[1].id))).To(Equal(raft.ReasonNoActiveQuorum))
		Expect(s.change(remove, others[0].id)).To(Succeed())
		s.proposeMany(10)
		s.expectSafe()
	})

	It("lets a leader remove itself", func() {
		s := newGroupWithLeader(3, 10, frequentSnapshots)
		leader := s.leader()
		Expect(s.change(remove, leader.id)).To(Succeed())
		s.proposeMany(10)
		Expect(s.leader()).NotTo(Equal(leader))
		s.expectSafe()
	})

	// A leader that removed itself while it was isolated has the only log that can win an election, but it is not a voter in
	// its latest configuration. The simulation found that the group then elected no leader.
	It("completes a leader's own removal although no other member has the entry yet", func() {
		s := newGroupWithLeader(2, 10, frequentSnapshots)
		leader := s.leader()
		other := s.others(leader)[0]
		s.isolated[other.id] = true
		leader.replica.change(&schemav1.MembershipChange{Kind: remove, Member: &schemav1.Member{Id: leader.id}},
			func([]byte, error) {})
		leader.flush()
		s.run(time.Second)
		Expect(s.leader()).To(BeNil())
		s.isolated[other.id] = false
		s.proposeMany(10)
		Expect(s.leader()).To(Equal(other))
		s.expectSafe()
	})

	// The simulation found that a leader waited forever for the acknowledgement of a snapshot that the learner already had.
	It("sends entries to a learner whose acknowledgement of a snapshot was lost", func() {
		s := newGroupWithLeader(3, 200, frequentSnapshots)
		s.add(4, nil)
		s.faults.mutateMessage = func(_ *sim, _ *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage {
			if m.GetFrom() == 4 && m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE &&
				!m.GetReject() {
				return nil
			}
			return m
		}
		Expect(s.change(addLearner, 4)).To(Succeed())
		s.run(100 * time.Millisecond)
		s.faults.mutateMessage = nil
		s.run(200 * time.Millisecond)
		Expect(s.nodes[4].replica.appliedIndex).To(Equal(s.leader().replica.appliedIndex))
		Expect(s.change(promote, 4)).To(Succeed())
		s.expectSafe()
	})

	It("transfers leadership within 20 ms and ends the lease of the old leader", func() {
		s := newGroupWithLeader(3, 10, frequentSnapshots)
		leader := s.leader()
		target := s.others(leader)[1]
		Expect(leader.replica.node.TransferLeadership(target.id)).To(Succeed())
		leader.flush()
		Expect(leader.holdsLease()).To(BeFalse())
		Expect(s.runUntil(20*time.Millisecond, target.isLeader)).To(BeTrue())
		s.proposeMany(10)
		s.expectSafe()
	})

	It("makes the leader step down when a transfer fails, because votes for the target may still arrive", func() {
		s := newGroupWithLeader(3, 10, frequentSnapshots)
		leader := s.leader()
		target := s.others(leader)[1]
		term := leader.replica.node.Status().Term
		Expect(leader.replica.node.TransferLeadership(target.id)).To(Succeed())
		target.crash(forever)
		leader.flush()
		Expect(s.runUntil(time.Second, func() bool { return leader.replica.node.Status().Role != raft.Leader })).To(BeTrue())
		s.proposeMany(10)
		Expect(s.leader().replica.node.Status().Term).To(BeNumerically(">", term))
		s.expectSafe()
	})
})

var _ = Describe("sealing", func() {
	It("stops the group and keeps every acknowledged command in the most up-to-date sealed state", func() {
		s := newGroupWithLeader(3, 120, frequentSnapshots)
		leader := s.leader()
		s.propose(leader)
		var best *SealedState
		for _, node := range s.others(leader) {
			node.replica.node.Seal()
			node.flush()
			sealed, err := node.replica.sealedState()
			Expect(err).NotTo(HaveOccurred())
			if best == nil || sealed.LastTerm > best.LastTerm ||
				(sealed.LastTerm == best.LastTerm && sealed.LastIndex > best.LastIndex) {
				best = sealed
			}
			// The seal must survive a restart of a member with a disk.
			node.crash(10 * time.Millisecond)
		}
		s.run(5 * time.Second)
		Expect(s.leader()).To(BeNil())
		Expect(leader.holdsLease()).To(BeFalse())
		fresh := &recorder{}
		_, err := best.BuildSnapshot(fresh)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(fresh.records)).To(BeNumerically(">=", len(s.checker.acknowledged)))
		s.checker.checkStateMachine(0, fresh)
		Expect(s.checker.violations).To(BeEmpty())
	})
})

// A crash before or after a save becomes durable must neither lose an acknowledged command nor damage the log.
var _ = DescribeTable("a crash at each save loses no acknowledged command",
	func(crashBeforeDurable bool) {
		for save := 1; save <= 40; save++ {
			for id := uint64(1); id <= 3; id++ {
				s := newSim(uint64(save), 3, faults{}, Options{SnapshotThresholdEntries: 10, RetainedEntries: 5})
				disk := s.nodes[id].disk
				disk.crashAtSave, disk.crashBeforeDurable = disk.saveCount+save, crashBeforeDurable
				for range 80 {
					if s.run(20 * time.Millisecond); s.leader() != nil {
						s.propose(s.leader())
					}
				}
				Expect(disk.saveCount).To(BeNumerically(">", save))
				s.heal()
				s.checkRecovery()
				Expect(s.checker.violations).To(BeEmpty(), "save %d of member %d", save, id)
			}
		}
	},
	Entry("before the save is durable", true),
	Entry("after the save is durable, before anything is acknowledged", false),
)
