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

// ready returns a table with two hosts, targets t1 and t2 attached to them, and 4 shards owned by t1.
func ready() *log {
	l := newLog()
	l.apply(setView(view(1, 2, 4)))
	for i, target := range []string{"t1", "t2"} {
		Expect(l.apply(register(announcement(target, "b1", 5))).Applied).To(BeTrue())
		Expect(l.apply(attach(target, "h"+strconv.Itoa(i+1), 0)).Applied).To(BeTrue())
	}
	for shard := range uint32(4) {
		Expect(l.apply(assign(change(shard, "t1", 0, 0))).Applied).To(BeTrue())
	}
	return l
}

func (l *log) state() *schemav1.GroupSnapshot {
	encoded, err := l.table.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	var snapshot schemav1.GroupSnapshot
	Expect(proto.Unmarshal(encoded, &snapshot)).To(Succeed())
	return &snapshot
}

func (l *log) assignment(shard uint32) ownership.Assignment {
	a, ok := l.table.Assignment(keyspaceID, shard, uint64(shard))
	Expect(ok).To(BeTrue())
	return a
}

// t1 returns the record of target t1.
func (l *log) t1() *schemav1.TargetRecord {
	record, ok := l.table.Target("t1")
	Expect(ok).To(BeTrue())
	return record
}

// An announcement that is late, out of order or a lie must not change who is sent to, or where (I1).
var _ = DescribeTable("I1: harmless announcements are ignored",
	func(change func(*schemav1.Announcement)) {
		l := ready()
		l.apply(register(announcement("t1", "b2", 1)))
		before := proto.CloneOf(l.t1())
		fence := proto.CloneOf(l.assignment(0).Fence)
		a := announcement("t1", "b2", 2)
		change(a)
		Expect(l.table.Accepts(a) && l.apply(register(a)).Applied).To(BeFalse())
		Expect(proto.Equal(l.t1(), before)).To(BeTrue())
		Expect(proto.Equal(l.assignment(0).Fence, fence)).To(BeTrue())
	},
	Entry("late, same boot", func(a *schemav1.Announcement) { a.Sequence = 1 }),
	Entry("late, earlier boot", func(a *schemav1.Announcement) { a.BootId, a.Sequence = "b1", 99 }),
	Entry("another address", func(a *schemav1.Announcement) { a.Address = "evil:80" }),
	Entry("another address and boot", func(a *schemav1.Announcement) { a.Address, a.BootId = "evil:80", "b3" }),
	Entry("another service", func(a *schemav1.Announcement) { a.BootId, a.Service = "b3", "lookbook" }),
	Entry("another data centre", func(a *schemav1.Announcement) { a.BootId, a.DataCentre = "b3", "busan-haeundae" }),
	Entry("no boot id", func(a *schemav1.Announcement) { a.BootId = "" }),
)

var _ = Describe("Table", func() {
	// A restarted target has forgotten its grants; a request under an old fence must be refusable (I1, I3).
	It("I3: gives a restarted target's shards new fences and keeps the owner", func() {
		l := ready()
		old := l.assignment(2)
		Expect(l.apply(register(announcement("t1", "b2", 1))).Applied).To(BeTrue())
		Expect(l.assignment(2).Target).To(Equal("t1"))
		Expect(lease.CompareFences(l.assignment(2).Fence, old.Fence)).To(Equal(1))
	})

	// A plan made from an old state must not take a shard from its new owner (I1).
	It("I1: ignores stale plans", func() {
		l := ready()
		fence := l.assignment(0).Fence.Counter
		Expect(l.apply(assign(change(0, "t2", fence, 0))).Applied).To(BeFalse(), "owner is attached")
		Expect(l.apply(startMove(change(0, "t2", fence-1, 0))).Applied).To(BeFalse(), "old fence")
		Expect(l.apply(startMove(change(0, "t2", fence, 0))).Applied).To(BeTrue())
		Expect(l.assignment(0).Moving).To(BeTrue())
		Expect(l.apply(finishMove(change(0, "", fence, 0))).Applied).To(BeTrue())
		Expect(l.apply(finishMove(change(0, "", fence, 0))).Applied).To(BeFalse(), "repeated")
		Expect(l.assignment(0).Target).To(Equal("t2"))
		Expect(l.assignment(0).Fence.Counter).To(BeNumerically(">", fence))
		Expect(l.apply(attach("t2", "h1", 0)).Applied).To(BeFalse(), "old attachment")
	})

	// A release from before the target was attached again must not end the move: the new host may be sending (I1).
	It("I1: ignores a release under an earlier fence", func() {
		l := ready()
		fence := l.assignment(0).Fence.Counter
		l.apply(startMove(change(0, "t2", fence, 0)))
		l.apply(attach("t1", "h2", l.t1().Attachment))
		Expect(l.assignment(0).Moving).To(BeTrue())
		Expect(l.apply(finishMove(change(0, "", fence, 0))).Applied).To(BeFalse())
	})

	// Targets that check fences must be able to refuse what a host or data centre sends late (I1, I8).
	It("I8: raises fences with each attachment and epoch", func() {
		l := ready()
		old := l.assignment(0).Fence
		l.apply(attach("t1", "h2", l.t1().Attachment))
		attached := l.assignment(0).Fence
		Expect(lease.CompareFences(attached, old)).To(Equal(1))
		v := view(2, 2, 4)
		v.Delegations[0].Runs[0].Epoch = 2
		l.apply(setView(v))
		Expect(l.assignment(0).Fence.Epoch).To(BeNumerically("==", 2))
		Expect(l.assignment(0).Fence.Counter).To(BeNumerically(">", attached.Counter))
	})

	// A target that returned and was attached again between plan and commit still serves its shards (I1).
	It("I1: does not reassign the shards of a target that was attached again", func() {
		l := ready()
		l.apply(lost())
		planned := change(1, "t2", l.assignment(1).Fence.Counter, l.t1().Attachment)
		l.apply(register(announcement("t1", "b1", 6)))
		Expect(l.apply(attach("t1", "h2", l.t1().Attachment)).Applied).To(BeTrue())
		l.apply(lost())
		planned.ExpectedFenceCounter = l.assignment(1).Fence.Counter
		Expect(l.apply(assign(planned)).Applied).To(BeFalse())
	})

	// A restarted host must not take over the attachments of the process before it, whose lease may be valid (I1).
	It("I1: hides attachments of a host's earlier process", func() {
		l := ready()
		v := view(2, 2, 4)
		v.Hosts[0].Identity = 77
		l.apply(setView(v))
		Expect(l.assignment(0).Host).To(BeEmpty())
		Expect(l.table.TargetsAttachedTo("h1")).To(BeEmpty())
		Expect(l.table.TargetsAttachedTo("h2")).To(HaveLen(1))
	})

	// Shards that control gives to another data centre stop here first and are then reported (I1, I4).
	It("I4: stops and reports shards that are delegated away", func() {
		l := ready()
		v := view(2, 2, 4)
		v.Delegations[0].Runs = []*schemav1.DelegationRun{
			{FirstShard: 0, Count: 2, DataCentre: dataCentre, Epoch: 1},
			{FirstShard: 2, Count: 2, DataCentre: dataCentre, Epoch: 1, NextDataCentre: "busan-haeundae"},
		}
		l.apply(setView(v))
		Expect(l.assignment(1).Moving).To(BeFalse())
		Expect(l.assignment(2).Moving).To(BeTrue())
		Expect(l.table.ReleasedShards()).To(BeEmpty())
		l.apply(finishMove(change(3, "", l.assignment(3).Fence.Counter, 0)))
		released := l.table.ReleasedShards()
		Expect(released).To(HaveLen(1))
		Expect([]uint32{released[0].FirstShard, released[0].Count}).To(Equal([]uint32{3, 1}))
		Expect(l.apply(assign(change(3, "t2", 4, 0))).Applied).To(BeFalse(), "not delegated any more")
		Expect(l.apply(setView(view(1, 2, 4))).Applied).To(BeFalse(), "older view")
	})

	// What a quorum acknowledged must be in the next leader's state, whichever way it got there (I2).
	It("I2: restores an equal state and replays to an equal state", func() {
		l := ready()
		l.apply(begin("id", "h1", 1, 9))
		snapshot, err := l.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := ownership.NewTable(dataCentre, 1)
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.AppliedIndex()).To(Equal(l.table.AppliedIndex()))
		again, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(snapshot))
		twin := ready()
		twin.apply(begin("id", "h1", 1, 9))
		replayed, err := twin.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(replayed).To(Equal(snapshot))
	})

	// The end of the old generation's log may be lost, with fences and attachments given out in it (I1, I8).
	It("I8: starts the next generation with higher fences and unknown outcomes", func() {
		l := ready()
		old, attachment := l.assignment(0).Fence, l.t1().Attachment
		l.apply(begin("id", "h1", 1, 9))
		snapshot, err := l.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		next := &log{table: ownership.NewTable(dataCentre, 2)}
		Expect(next.table.Restore(snapshot)).To(Succeed())
		Expect(lease.CompareFences(next.assignment(0).Fence, old)).To(Equal(1))
		Expect(next.t1().Attachment).To(BeNumerically(">", attachment+1000))
		Expect(next.table.AppliedIndex()).To(BeZero(), "the new log starts anew")
		result := next.apply(begin("id", "h2", 2, 10))
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

	// A malformed entry must not stop a replica or make replicas differ (I2).
	It("I2: skips malformed commands", func() {
		l := ready()
		before := l.state()
		l.table.Apply(99, []byte{0xff, 0xff})
		l.apply(&schemav1.GroupCommand{})
		after := l.state()
		after.Applied = before.Applied
		Expect(proto.Equal(after, before)).To(BeTrue())
	})

	It("announces changes of the table but not of records", func() {
		l := ready()
		changed := l.table.Changed()
		l.apply(begin("id", "h1", 1, 9))
		Expect(changed).NotTo(BeClosed())
		l.apply(lost())
		Expect(changed).To(BeClosed())
	})
})
