package ownership_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// hotHash is a key hash that belongs to shard 3 of 16.
const hotHash = 0x73

// hotReport returns a report function in which one key uses share of the capacity of its owner.
func (s *testLeader) hotReport(share float64) func(string) *schemav1.TargetReport {
	return func(target string) *schemav1.TargetReport {
		r := idleReport(target)
		if a, _ := s.table.Assignment(keyspaceID, 3, hotHash); a.Target == target {
			r.Utilisation = share
			r.HotKeys = []*schemav1.HotKeyReport{{Keyspace: keyspaceID, KeyHash: hotHash, Share: share}}
		}
		return r
	}
}

func (s *testLeader) hotRecords() int {
	count := 0
	for _, shard := range s.table.Shards() {
		if shard.Hot {
			count++
		}
	}
	return count
}

var _ = Describe("Driver policies", func() {
	// A key near a threshold must not be split and merged again and again, because each change interrupts requests for the key.
	It("splits a hot key after 30 s and merges it after 120 s", func() {
		s := newSettledLeader(4, 16)
		s.advance(29*time.Second, s.hotReport(0.3))
		Expect(s.hotRecords()).To(BeZero())
		s.advance(3*time.Second, idleReport)
		s.advance(10*time.Second, s.hotReport(0.3))
		s.advance(10*time.Second, s.hotReport(0.2))
		Expect(s.hotRecords()).To(BeZero(), "a key is split only after 30 s without interruption")
		s.advance(32*time.Second, s.hotReport(0.3))
		Expect(s.hotRecords()).To(Equal(1))
		s.advance(300*time.Second, s.hotReport(0.15))
		Expect(s.hotRecords()).To(Equal(1), "a key between the thresholds stays split")
		s.advance(119*time.Second, s.hotReport(0.1))
		Expect(s.hotRecords()).To(Equal(1))
		s.advance(70*time.Second, s.hotReport(0.1))
		Expect(s.hotRecords()).To(BeZero())
		Expect(s.moves).To(BeNumerically("<=", 12))
	})

	// A split must not leave the key without owner, and fences must increase over split and merge, so that a target does not
	// accept a request under the earlier fence (I1).
	It("I1: keeps the owner of a split key and raises the fences", func() {
		s := newSettledLeader(4, 16)
		shard, _ := s.table.Assignment(keyspaceID, 3, 3)
		s.apply(&schemav1.GroupCommand{Command: &schemav1.GroupCommand_SplitHotKey{
			SplitHotKey: &schemav1.SplitHotKey{Keyspace: keyspaceID, KeyHash: hotHash, Shard: 3},
		}})
		hot, _ := s.table.Assignment(keyspaceID, 3, hotHash)
		Expect(hot.Target).To(Equal(shard.Target))
		Expect(hot.Fence.Counter).To(BeNumerically(">", shard.Fence.Counter))
		s.apply(&schemav1.GroupCommand{Command: &schemav1.GroupCommand_MergeHotKey{
			MergeHotKey: &schemav1.MergeHotKey{Keyspace: keyspaceID, KeyHash: hotHash},
		}})
		merged, _ := s.table.Assignment(keyspaceID, 3, hotHash)
		Expect(merged.Fence.Counter).To(BeNumerically(">", hot.Fence.Counter))
	})

	// A target that is lost again and again must not own shards each time, since they are unavailable after each loss.
	It("assigns shards to a flapping target less and less often", func() {
		s := newSettledLeader(4, 16)
		lostWithShards := 0
		for range 10 {
			if len(s.table.ShardsOf("t2")) > 0 {
				lostWithShards++
			}
			s.muted["t2"] = true
			s.advance(5*time.Second, idleReport)
			Expect(s.table.ShardsOf("t2")).To(BeEmpty())
			s.muted["t2"] = false
			s.advance(5*time.Second, idleReport)
		}
		Expect(lostWithShards).To(BeNumerically("<=", 4))
	})

	It("moves shards away from a straggler one at a time and back after its recovery", func() {
		s := newSettledLeader(6, 48)
		slow := func(target string) *schemav1.TargetReport {
			r := idleReport(target)
			if target == "t1" {
				r.LatencyP50Us = 10000
			}
			return r
		}
		s.advance(29*time.Second, slow)
		Expect(s.table.ShardsOf("t1")).To(HaveLen(8))
		s.advance(30*time.Second, slow)
		Expect(s.table.ShardsOf("t1")).To(HaveLen(4))
		s.advance(200*time.Second, idleReport)
		Expect(len(s.table.ShardsOf("t1"))).To(BeNumerically(">=", 7))
	})

	// A draining target must get no new requests after a few seconds (I9).
	It("I9: moves all shards away from a draining target within 3 s", func() {
		s := newSettledLeader(6, 48)
		a := announcement("t1", "b1", s.sequence+100)
		a.Draining = true
		s.muted["t1"] = true
		Expect(s.driver.Announce(s.now, a)).To(BeTrue())
		s.advance(2900*time.Millisecond, idleReport)
		Expect(s.table.ShardsOf("t1")).To(BeEmpty())
	})

	It("limits planned moves per minute", func() {
		s := newSettledLeader(2, 256)
		v := controlView(5, 2, 256)
		v.Configuration.Limits = &schemav1.Limits{MaxMovesPerMinute: 10}
		s.apply(setView(v))
		s.apply(registerTarget(announcement("t3", "b1", 1)))
		s.advance(59*time.Second, idleReport)
		Expect(s.moves).To(Equal(10))
	})

	// Requests read the table while commands are applied to it; the race detector checks this.
	It("is safe for concurrent reads", func() {
		s := newSettledLeader(4, 16)
		var readers sync.WaitGroup
		stop := make(chan struct{})
		for range 4 {
			readers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						s.table.Assignment(keyspaceID, 3, hotHash)
						s.table.ShardsOf("t1")
						s.table.TargetsAttachedTo("h1")
						s.table.ReleasedShards()
						_, _ = s.table.Snapshot()
					}
				}
			})
		}
		s.muted["t1"] = true
		s.advance(5*time.Second, s.hotReport(0.3))
		close(stop)
		readers.Wait()
	})
})
