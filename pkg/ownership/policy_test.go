package ownership_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// hotHash belongs to shard 3 of 16.
const hotHash = 0x73

// hotReport makes one key take share of its owner's capacity.
func (s *single) hotReport(share float64) func(string) *schemav1.TargetReport {
	return func(target string) *schemav1.TargetReport {
		r := quiet(target)
		if a, _ := s.table.Assignment(keyspaceID, 3, hotHash); a.Target == target {
			r.Utilisation = share
			r.HotKeys = []*schemav1.HotKeyReport{{Keyspace: keyspaceID, KeyHash: hotHash, Share: share}}
		}
		return r
	}
}

func (s *single) hotRecords() int {
	count := 0
	for _, shard := range s.table.Shards() {
		if shard.Hot {
			count++
		}
	}
	return count
}

var _ = Describe("Policies of the driver", func() {
	// A key near a threshold must not be split and merged in turn; each change stops requests for the key.
	It("splits a hot key after 30 s and merges it after 120 s", func() {
		s := settled(4, 16)
		s.advance(29*time.Second, s.hotReport(0.3))
		Expect(s.hotRecords()).To(BeZero())
		s.advance(3*time.Second, quiet)
		s.advance(10*time.Second, s.hotReport(0.3))
		s.advance(10*time.Second, s.hotReport(0.2))
		Expect(s.hotRecords()).To(BeZero(), "30 s without a break are needed")
		s.advance(32*time.Second, s.hotReport(0.3))
		Expect(s.hotRecords()).To(Equal(1))
		s.advance(300*time.Second, s.hotReport(0.15))
		Expect(s.hotRecords()).To(Equal(1), "between the thresholds nothing changes")
		s.advance(119*time.Second, s.hotReport(0.1))
		Expect(s.hotRecords()).To(Equal(1))
		s.advance(70*time.Second, s.hotReport(0.1))
		Expect(s.hotRecords()).To(BeZero())
		Expect(s.moves).To(BeNumerically("<=", 12))
	})

	// An unassigned or refused hot key must not exist beside its shard with another fence order (I1).
	It("I1: keeps the owner of a split key and raises the fences", func() {
		s := settled(4, 16)
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

	// A target that comes and goes must not take shards with it each time.
	It("gives a flapping target less and less", func() {
		s := settled(4, 16)
		lostWithShards := 0
		for range 10 {
			if len(s.table.ShardsOf("t2")) > 0 {
				lostWithShards++
			}
			s.silent["t2"] = true
			s.advance(5*time.Second, quiet)
			Expect(s.table.ShardsOf("t2")).To(BeEmpty())
			s.silent["t2"] = false
			s.advance(5*time.Second, quiet)
		}
		Expect(lostWithShards).To(BeNumerically("<=", 4))
	})

	It("takes load from a straggler slowly and gives it back", func() {
		s := settled(6, 48)
		slow := func(target string) *schemav1.TargetReport {
			r := quiet(target)
			if target == "t1" {
				r.LatencyP50Us = 10000
			}
			return r
		}
		s.advance(29*time.Second, slow)
		Expect(s.table.ShardsOf("t1")).To(HaveLen(8))
		s.advance(30*time.Second, slow)
		Expect(s.table.ShardsOf("t1")).To(HaveLen(4))
		s.advance(200*time.Second, quiet)
		Expect(len(s.table.ShardsOf("t1"))).To(BeNumerically(">=", 7))
	})

	// A leaving target gets no new work after a few seconds (I9).
	It("I9: empties a draining target within 3 s", func() {
		s := settled(6, 48)
		a := announcement("t1", "b1", s.sequence+100)
		a.Draining = true
		s.silent["t1"] = true
		Expect(s.driver.Announce(s.now, a)).To(BeTrue())
		s.advance(2900*time.Millisecond, quiet)
		Expect(s.table.ShardsOf("t1")).To(BeEmpty())
	})

	It("caps planned moves per minute", func() {
		s := settled(2, 256)
		v := view(5, 2, 256)
		v.Configuration.Limits = &schemav1.Limits{MaxMovesPerMinute: 10}
		s.apply(setView(v))
		s.apply(register(announcement("t3", "b1", 1)))
		s.advance(59*time.Second, quiet)
		Expect(s.moves).To(Equal(10))
	})

	// Requests read while the leader's commands are applied; the race detector guards this.
	It("is safe for concurrent reads", func() {
		s := settled(4, 16)
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
		s.silent["t1"] = true
		s.advance(5*time.Second, s.hotReport(0.3))
		close(stop)
		readers.Wait()
	})
})
