package ownership_test

import (
	"errors"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// newPopulatedReplica returns a replica with two hosts, targets t1 and t2 attached to them, and 4 shards owned by t1.
func newPopulatedReplica() *replica {
	rep := newReplica()
	rep.apply(setView(controlView(1, 2, 4)))
	for i, target := range []string{"t1", "t2"} {
		Expect(rep.apply(registerTarget(announcement(target, "b1", 5))).Applied).To(BeTrue())
		Expect(rep.apply(attachTarget(target, "h"+strconv.Itoa(i+1), 0)).Applied).To(BeTrue())
	}
	for shard := range uint32(4) {
		Expect(rep.apply(assignShards(shardChange(shard, "t1", 0, 0))).Applied).To(BeTrue())
	}
	return rep
}

func (rep *replica) decodedSnapshot() *schemav1.GroupSnapshot {
	encoded, err := rep.table.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	var snapshot schemav1.GroupSnapshot
	Expect(proto.Unmarshal(encoded, &snapshot)).To(Succeed())
	return &snapshot
}

func (rep *replica) assignment(shard uint32) ownership.Assignment {
	a, ok := rep.table.Assignment(keyspaceID, shard, uint64(shard))
	Expect(ok).To(BeTrue())
	return a
}

// targetT1 returns the record of target t1.
func (rep *replica) targetT1() *schemav1.TargetRecord {
	record, ok := rep.table.Target("t1")
	Expect(ok).To(BeTrue())
	return record
}

// An announcement that is late, out of order or forged must not change which process gets requests, or its address (I1).
var _ = DescribeTable("I1: late and contradictory announcements are ignored",
	func(change func(*schemav1.Announcement)) {
		rep := newPopulatedReplica()
		rep.apply(registerTarget(announcement("t1", "b2", 1)))
		before := proto.CloneOf(rep.targetT1())
		fence := proto.CloneOf(rep.assignment(0).Fence)
		a := announcement("t1", "b2", 2)
		change(a)
		Expect(rep.table.Accepts(a) && rep.apply(registerTarget(a)).Applied).To(BeFalse())
		Expect(proto.Equal(rep.targetT1(), before)).To(BeTrue())
		Expect(proto.Equal(rep.assignment(0).Fence, fence)).To(BeTrue())
	},
	Entry("late, same boot", func(a *schemav1.Announcement) { a.Sequence = 1 }),
	Entry("late, earlier boot", func(a *schemav1.Announcement) { a.BootId, a.Sequence = "b1", 99 }),
	Entry("another address", func(a *schemav1.Announcement) { a.Address = "evil:80" }),
	Entry("another address and boot", func(a *schemav1.Announcement) { a.Address, a.BootId = "evil:80", "b3" }),
	Entry("another service", func(a *schemav1.Announcement) { a.BootId, a.Service = "b3", "lookbook" }),
	Entry("another data centre", func(a *schemav1.Announcement) { a.BootId, a.DataCentre = "b3", "busan-haeundae" }),
	Entry("no boot ID", func(a *schemav1.Announcement) { a.BootId = "" }),
)

var _ = Describe("Table", func() {
	// A restarted target does not know the fences of its earlier process. It must be able to refuse requests under an old fence
	// (I1, I3).
	It("I3: gives a restarted target's shards new fences and keeps the owner", func() {
		rep := newPopulatedReplica()
		old := rep.assignment(2)
		Expect(rep.apply(registerTarget(announcement("t1", "b2", 1))).Applied).To(BeTrue())
		Expect(rep.assignment(2).Target).To(Equal("t1"))
		Expect(lease.CompareFences(rep.assignment(2).Fence, old.Fence)).To(Equal(1))
	})

	// A change that was planned from an old state must not take a shard from its new owner (I1).
	It("I1: ignores stale plans", func() {
		rep := newPopulatedReplica()
		fence := rep.assignment(0).Fence.Counter
		Expect(rep.apply(assignShards(shardChange(0, "t2", fence, 0))).Applied).To(BeFalse(), "owner is attached")
		Expect(rep.apply(startMove(shardChange(0, "t2", fence-1, 0))).Applied).To(BeFalse(), "old fence")
		Expect(rep.apply(startMove(shardChange(0, "t2", fence, 0))).Applied).To(BeTrue())
		Expect(rep.assignment(0).Moving).To(BeTrue())
		Expect(rep.apply(finishMove(shardChange(0, "", fence, 0))).Applied).To(BeTrue())
		Expect(rep.apply(finishMove(shardChange(0, "", fence, 0))).Applied).To(BeFalse(), "repeated")
		Expect(rep.assignment(0).Target).To(Equal("t2"))
		Expect(rep.assignment(0).Fence.Counter).To(BeNumerically(">", fence))
		Expect(rep.apply(attachTarget("t2", "h1", 0)).Applied).To(BeFalse(), "old attachment")
	})

	// A release from before the target was attached again must not complete the move, because the new host may be sending
	// requests (I1).
	It("I1: ignores a release under an earlier fence", func() {
		rep := newPopulatedReplica()
		fence := rep.assignment(0).Fence.Counter
		rep.apply(startMove(shardChange(0, "t2", fence, 0)))
		rep.apply(attachTarget("t1", "h2", rep.targetT1().Attachment))
		Expect(rep.assignment(0).Moving).To(BeTrue())
		Expect(rep.apply(finishMove(shardChange(0, "", fence, 0))).Applied).To(BeFalse())
	})

	// Targets that check fences must be able to refuse late requests of an earlier host or data centre (I1, I8).
	It("I8: raises fences with each attachment and delegation epoch", func() {
		rep := newPopulatedReplica()
		old := rep.assignment(0).Fence
		rep.apply(attachTarget("t1", "h2", rep.targetT1().Attachment))
		attached := rep.assignment(0).Fence
		Expect(lease.CompareFences(attached, old)).To(Equal(1))
		v := controlView(2, 2, 4)
		v.Delegations[0].Runs[0].Epoch = 2
		rep.apply(setView(v))
		Expect(rep.assignment(0).Fence.Epoch).To(BeNumerically("==", 2))
		Expect(rep.assignment(0).Fence.Counter).To(BeNumerically(">", attached.Counter))
	})

	// A target that returned and was attached again between the plan and its commit still serves its shards (I1).
	It("I1: does not reassign the shards of a target that was attached again", func() {
		rep := newPopulatedReplica()
		rep.apply(markT1Lost())
		planned := shardChange(1, "t2", rep.assignment(1).Fence.Counter, rep.targetT1().Attachment)
		rep.apply(registerTarget(announcement("t1", "b1", 6)))
		Expect(rep.apply(attachTarget("t1", "h2", rep.targetT1().Attachment)).Applied).To(BeTrue())
		rep.apply(markT1Lost())
		planned.ExpectedFenceCounter = rep.assignment(1).Fence.Counter
		Expect(rep.apply(assignShards(planned)).Applied).To(BeFalse())
	})

	// A restarted host must not take over the attachments of its earlier process, whose lease may still be valid (I1).
	It("I1: hides the attachments of a host's earlier process", func() {
		rep := newPopulatedReplica()
		v := controlView(2, 2, 4)
		v.Hosts[0].Identity = 77
		rep.apply(setView(v))
		Expect(rep.assignment(0).Host).To(BeEmpty())
		Expect(rep.table.TargetsAttachedTo("h1")).To(BeEmpty())
		Expect(rep.table.TargetsAttachedTo("h2")).To(HaveLen(1))
	})

	// Shards that move to another data centre must first stop in this one, and are then reported as released (I1, I4).
	It("I4: stops shards that are delegated away and reports them as released", func() {
		rep := newPopulatedReplica()
		v := controlView(2, 2, 4)
		v.Delegations[0].Runs = []*schemav1.DelegationRun{
			{FirstShard: 0, Count: 2, DataCentre: dataCentre, Epoch: 1},
			{FirstShard: 2, Count: 2, DataCentre: dataCentre, Epoch: 1, NextDataCentre: "busan-haeundae"},
		}
		rep.apply(setView(v))
		Expect(rep.assignment(1).Moving).To(BeFalse())
		Expect(rep.assignment(2).Moving).To(BeTrue())
		Expect(rep.table.ReleasedShards()).To(BeEmpty())
		rep.apply(finishMove(shardChange(3, "", rep.assignment(3).Fence.Counter, 0)))
		released := rep.table.ReleasedShards()
		Expect(released).To(HaveLen(1))
		Expect([]uint32{released[0].FirstShard, released[0].Count}).To(Equal([]uint32{3, 1}))
		Expect(rep.apply(assignShards(shardChange(3, "t2", 4, 0))).Applied).To(BeFalse(), "no longer delegated to this data centre")
		Expect(rep.apply(setView(controlView(1, 2, 4))).Applied).To(BeFalse(), "older view")
	})

	// Acknowledged commands must be in the next leader's state, whether it got them by a snapshot or by the log (I2).
	It("I2: reaches the same state by a snapshot and by replaying the log", func() {
		rep := newPopulatedReplica()
		rep.apply(beginRecord("id", "h1", 1, 9))
		snapshot, err := rep.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := ownership.NewTable(dataCentre, 1)
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.AppliedIndex()).To(Equal(rep.table.AppliedIndex()))
		again, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(snapshot))
		second := newPopulatedReplica()
		second.apply(beginRecord("id", "h1", 1, 9))
		replayed, err := second.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(replayed).To(Equal(snapshot))
	})

	// The end of the old generation's log may be lost, together with the fences and attachment numbers given in it (I1, I8).
	It("I8: starts the next generation with higher fences and unknown outcomes", func() {
		rep := newPopulatedReplica()
		old, attachment := rep.assignment(0).Fence, rep.targetT1().Attachment
		rep.apply(beginRecord("id", "h1", 1, 9))
		snapshot, err := rep.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		next := &replica{table: ownership.NewTable(dataCentre, 2)}
		Expect(next.table.Restore(snapshot)).To(Succeed())
		Expect(lease.CompareFences(next.assignment(0).Fence, old)).To(Equal(1))
		Expect(next.targetT1().Attachment).To(BeNumerically(">", attachment+1000))
		Expect(next.table.AppliedIndex()).To(BeZero(), "the log of the new generation starts at index 0")
		result := next.apply(beginRecord("id", "h2", 2, 10))
		Expect(result.Begun).To(BeFalse())
		Expect(result.Record.State).To(Equal(schemav1.RecordState_RECORD_STATE_UNKNOWN))
		for reason, table := range map[string]*ownership.Table{
			"data-centre": ownership.NewTable("other", 2), "generation": ownership.NewTable(dataCentre, 0),
		} {
			var refused *ownership.SnapshotError
			Expect(errors.As(table.Restore(snapshot), &refused)).To(BeTrue())
			Expect(refused.Reason).To(Equal(reason))
		}
	})

	// A malformed entry must neither stop a replica nor make replicas differ (I2).
	It("I2: skips malformed commands", func() {
		rep := newPopulatedReplica()
		before := rep.decodedSnapshot()
		rep.table.Apply(99, []byte{0xff, 0xff})
		rep.apply(&schemav1.GroupCommand{})
		after := rep.decodedSnapshot()
		after.Applied = before.Applied
		Expect(proto.Equal(after, before)).To(BeTrue())
	})

	It("signals changes of targets and shards but not of idempotency records", func() {
		rep := newPopulatedReplica()
		changed := rep.table.Changed()
		rep.apply(beginRecord("id", "h1", 1, 9))
		Expect(changed).NotTo(BeClosed())
		rep.apply(markT1Lost())
		Expect(changed).To(BeClosed())
	})
})
