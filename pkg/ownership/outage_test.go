package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Measures the longest time for which a shard is not served after one loss, in simulated time over 20 seeds. The design allows
// 1 s after the loss of a target or of an attached host, also if that host leads the group.
var _ = DescribeTable("a shard is not served for at most 1 s after a loss",
	func(lose func(s *sim)) {
		longest, seedOfLongest := time.Duration(0), uint64(0)
		for seed := range uint64(20) {
			s := newSim(seed)
			s.run(4*time.Second + s.between(0, time.Second))
			s.history.longestGap = 0
			lose(s)
			s.run(4 * time.Second)
			s.expectHealthy()
			if s.history.longestGap > longest {
				longest, seedOfLongest = s.history.longestGap, seed
			}
		}
		GinkgoWriter.Printf("longest %v, seed %d\n", longest, seedOfLongest)
		Expect(longest).To(BeNumerically("<=", time.Second), "seed %d", seedOfLongest)
	},
	Entry("target lost", func(s *sim) { s.targets[s.rng.IntN(5)].alive = false }),
	Entry("attached host lost", func(s *sim) { s.anyFollower().dead = true }),
	Entry("attached host lost that leads the group", func(s *sim) { s.leader.dead = true }),
	Entry("target and its attached host lost", func(s *sim) { s.loseHostAndTarget(s.anyFollower()) }),
	Entry("target and its attached host lost that leads the group", func(s *sim) { s.loseHostAndTarget(s.leader) }),
	Entry("attached host cut off", func(s *sim) { s.anyFollower().cutOff = true }),
	Entry("leader cut off", func(s *sim) { s.leader.cutOff = true }),
	Entry("target restarts", func(s *sim) { s.targets[0].boot, s.targets[0].sequence = "b2", 0 }),
)

// loseHostAndTarget loses a host and one of its targets.
func (s *sim) loseHostAndTarget(h *simHost) {
	for _, record := range h.table.TargetsAttachedTo(h.name) {
		s.target(record.Announcement.Target).alive = false
		break
	}
	h.dead = true
}

// anyFollower returns a random host that is not the leader.
func (s *sim) anyFollower() *simHost {
	for {
		if h := s.anyHost(); h != s.leader {
			return h
		}
	}
}
