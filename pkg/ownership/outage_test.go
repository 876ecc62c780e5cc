package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The longest time without service of a shard after one loss, in simulated time over 20 seeds. The design's target is
// 1 s for a target and for an attached host, also when that host leads the group.
var _ = DescribeTable("time without an owner is at most 1 s",
	func(lose func(s *sim)) {
		longest, seedOfLongest := time.Duration(0), uint64(0)
		for seed := range uint64(20) {
			s := newSim(seed)
			s.run(4*time.Second + s.between(0, time.Second))
			s.history.longestGap = 0
			lose(s)
			s.run(4 * time.Second)
			s.expectSound()
			if s.history.longestGap > longest {
				longest, seedOfLongest = s.history.longestGap, seed
			}
		}
		GinkgoWriter.Printf("longest %v, seed %d\n", longest, seedOfLongest)
		Expect(longest).To(BeNumerically("<=", time.Second), "seed %d", seedOfLongest)
	},
	Entry("target lost", func(s *sim) { s.targets[s.rng.IntN(5)].alive = false }),
	Entry("attached host lost", func(s *sim) { s.follower().dead = true }),
	Entry("attached host lost that leads the group", func(s *sim) { s.leader.dead = true }),
	Entry("target and its attached host lost", func(s *sim) { s.loseBoth(s.follower()) }),
	Entry("target and its attached host lost that leads the group", func(s *sim) { s.loseBoth(s.leader) }),
	Entry("attached host cut off", func(s *sim) { s.follower().cut = true }),
	Entry("leader cut off", func(s *sim) { s.leader.cut = true }),
	Entry("target restarts", func(s *sim) { s.targets[0].boot, s.targets[0].sequence = "b2", 0 }),
)

// loseBoth loses a host and one of its targets.
func (s *sim) loseBoth(h *simHost) {
	for _, record := range h.table.TargetsAttachedTo(h.name) {
		s.target(record.Announcement.Target).alive = false
		break
	}
	h.dead = true
}

// follower returns a host that does not lead.
func (s *sim) follower() *simHost {
	for {
		if h := s.anyHost(); h != s.leader {
			return h
		}
	}
}
