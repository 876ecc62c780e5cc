package ownership_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// randomCommand returns a random command, which may be valid, stale or impossible.
func randomCommand(rng *rand.Rand, rep *replica) *schemav1.GroupCommand {
	target := fmt.Sprintf("t%d", rng.IntN(4))
	shard := rng.Uint32N(4)
	record, _ := rep.table.Target(target)
	var fence, attachment uint64
	for _, r := range rep.table.Shards() {
		if !r.Hot && r.Shard == shard {
			fence = r.Fence.GetCounter()
			owner, _ := rep.table.Target(r.Target)
			attachment = owner.GetAttachment()
		}
	}
	if rng.IntN(8) == 0 {
		fence--
	}
	switch rng.IntN(10) {
	case 0:
		// Usually the next announcement of a boot that changes every 100 commands, sometimes an earlier one.
		at := rep.index - min(rep.index, rng.Uint64N(4)*rng.Uint64N(40))
		return registerTarget(announcement(target, fmt.Sprintf("b%d", at/100), at))
	case 1:
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MarkTargetLost{MarkTargetLost: &schemav1.MarkTargetLost{
			Target: target, BootId: record.GetAnnouncement().GetBootId(),
		}}}
	case 2:
		return attachTarget(target, []string{"", "h1", "h2"}[rng.IntN(3)], record.GetAttachment())
	case 3, 4:
		return assignShards(shardChange(shard, target, fence, attachment))
	case 5:
		return startMove(shardChange(shard, target, fence, 0))
	case 6:
		return finishMove(shardChange(shard, "", fence, 0))
	case 7:
		v := controlView(rep.table.ControlView().Index+rng.Uint64N(2), 1+rng.IntN(2), 4)
		run := v.Delegations[0].Runs[0]
		run.Count, run.Epoch = 1+rng.Uint32N(4), 1+v.Index
		run.NextDataCentre = []string{"", "", "busan-haeundae"}[rng.IntN(3)]
		return setView(v)
	case 8:
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SplitHotKey{
			SplitHotKey: &schemav1.SplitHotKey{Keyspace: keyspaceID, KeyHash: 100 + uint64(shard), Shard: shard},
		}}
	default:
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MergeHotKey{
			MergeHotKey: &schemav1.MergeHotKey{Keyspace: keyspaceID, KeyHash: 100 + uint64(shard)},
		}}
	}
}

func recordsByKey(rep *replica) map[string]*schemav1.ShardRecord {
	records := map[string]*schemav1.ShardRecord{}
	for _, r := range rep.table.Shards() {
		records[fmt.Sprint(r.Shard, r.Hot, r.KeyHash)] = r
	}
	return records
}

// For any sequence of commands, a fence never decreases, an owner is replaced only after it was stopped or detached, and a
// replica that starts from a snapshot ends in the same state (I1, I2).
var _ = Describe("I1, I2: random commands", func() {
	It("raise the fence with each change of owner and leave replicas with equal states", func() {
		changes := 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 9))
			rep, second := newReplica(), newReplica()
			rep.apply(setView(controlView(1, 2, 4)))
			before, joined := recordsByKey(rep), false
			for range 600 {
				if !joined && rng.IntN(200) == 0 {
					snapshot, err := rep.table.Snapshot()
					Expect(err).NotTo(HaveOccurred())
					Expect(second.table.Restore(snapshot)).To(Succeed())
					second.index, joined = rep.index, true
				}
				unattached := map[string]bool{"": true}
				for _, record := range rep.table.Targets() {
					unattached[record.Announcement.Target] = record.AttachedHost == ""
				}
				command := randomCommand(rng, rep)
				rep.apply(command)
				if joined {
					second.apply(command)
				}
				after := recordsByKey(rep)
				for key, now := range after {
					old, ok := before[key]
					if !ok {
						continue
					}
					Expect(lease.CompareFences(now.Fence, old.Fence)).To(BeNumerically(">=", 0), "seed %d: %v", seed, command)
					if now.Target != "" && now.Target != old.Target {
						changes++
						Expect(lease.CompareFences(now.Fence, old.Fence)).To(Equal(1))
						stopped := old.State == schemav1.ShardState_SHARD_STATE_MOVING || unattached[old.Target]
						Expect(stopped).To(BeTrue(), "seed %d: %v", seed, command)
					}
				}
				before = after
			}
			if joined {
				want, _ := rep.table.Snapshot()
				Expect(second.table.Snapshot()).To(Equal(want), "seed %d", seed)
			}
		}
		Expect(changes).To(BeNumerically(">", 500))
	})
})
