package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// fault is one random fault of a simulation.
type fault func(s *sim)

func (s *sim) anyHost() *simHost {
	for range 20 {
		if h := s.hosts[s.rng.IntN(len(s.hosts))]; !h.dead && containsHost(s.controlView, h) {
			return h
		}
	}
	return s.leader
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func pauseHost(h *simHost) {
	h.pausedUntil = h.sim.now + h.sim.between(50*time.Millisecond, 2*time.Second)
}

func cutHost(h *simHost) {
	h.cutOff = true
	h.sim.after(h.sim.between(100*time.Millisecond, 2*time.Second), func() { h.cutOff = false })
}

// replaceHost gives the host's name to a new process. The old process is dead, or only paused and unaware of its replacement.
func replaceHost(h *simHost, dead bool) {
	s := h.sim
	h.dead, h.pausedUntil = dead, s.now+s.between(100*time.Millisecond, time.Second)
	next := s.addHost(h.name, h.identity+10)
	s.changeView(func(v *schemav1.ControlView) {
		for _, known := range v.Hosts {
			if known.Name == next.name {
				known.Identity = next.identity
			}
		}
	})
}

func loseTarget(s *sim, reboot bool) {
	t := s.targets[s.rng.IntN(len(s.targets))]
	if !t.alive {
		return
	}
	t.alive = false
	s.after(s.between(200*time.Millisecond, 6*time.Second), func() {
		t.alive = true
		if reboot {
			t.boot, t.sequence = t.boot+"'", 0
		}
	})
}

func drainHost(h *simHost) {
	h.draining = true
	h.sim.after(2*time.Second, func() { h.draining = false })
}

func drainTarget(s *sim) {
	t := s.targets[s.rng.IntN(len(s.targets))]
	t.draining = true
	s.after(3*time.Second, func() { t.draining = false })
}

// muteTarget drops the announcements of a target that still serves requests, so that it counts as lost.
func muteTarget(s *sim) {
	t := s.targets[s.rng.IntN(len(s.targets))]
	t.muted = true
	s.after(5*time.Second, func() { t.muted = false })
}

var faults = map[string]fault{
	"leader paused":    func(s *sim) { pauseHost(s.leader) },
	"leader cut off":   func(s *sim) { cutHost(s.leader) },
	"majority lost":    nextGeneration,
	"host paused":      func(s *sim) { pauseHost(s.anyHost()) },
	"host cut off":     func(s *sim) { cutHost(s.anyHost()) },
	"host lags":        func(s *sim) { s.anyHost().lagLeft = s.between(50*time.Millisecond, 3*time.Second) },
	"host restarted":   func(s *sim) { replaceHost(s.anyHost(), true) },
	"host replaced":    func(s *sim) { replaceHost(s.anyHost(), false) },
	"target frozen":    func(s *sim) { loseTarget(s, false) },
	"target restarted": func(s *sim) { loseTarget(s, true) },
	"host drained":     func(s *sim) { drainHost(s.anyHost()) },
	"target drained":   drainTarget,
	"delegation moved": moveDelegation,
	"target not heard": muteTarget,
	"host lost, then one": func(s *sim) {
		replaceHost(s.anyHost(), true)
		s.after(700*time.Millisecond, func() { replaceHost(s.anyHost(), true) })
	},
}

// runWithFaults runs a simulation with a fault about every second, and then for 8 s without further faults.
func (s *sim) runWithFaults(duration time.Duration, choose func() fault) {
	s.run(3 * time.Second)
	for end := s.now + duration; s.now < end; {
		choose()(s)
		s.run(s.between(300*time.Millisecond, 2*time.Second))
	}
	s.run(8 * time.Second)
}

// If a shard is served by two targets at the same time, requests run against two states of the same key. If two hosts send to
// a target at the same time, it gets more requests than it has slots (I1, I3). After the faults every shard must be served
// again.
var _ = Describe("I1: single ownership", func() {
	for _, name := range sortedNames(faults) {
		It("holds with "+name, func() {
			for seed := range uint64(3) {
				s := newSim(seed)
				s.runWithFaults(30*time.Second, func() fault { return faults[name] })
				s.expectHealthy()
			}
		})
	}

	It("holds with all faults mixed", func() {
		names := sortedNames(faults)
		for seed := range uint64(12) {
			s := newSim(100 + seed)
			s.runWithFaults(60*time.Second, func() fault { return faults[names[s.rng.IntN(len(names))]] })
			s.expectHealthy()
		}
	})

	// Shows that the checker detects violations: each variant breaks a rule that prevents them.
	DescribeTable("is violated by a variant that breaks a rule", func(change func(*sim), names ...string) {
		found := 0
		for seed := range uint64(4) {
			s := newSim(seed)
			change(s)
			s.runWithFaults(30*time.Second, func() fault { return faults[names[s.rng.IntN(len(names))]] })
			found += len(s.history.violations())
		}
		Expect(found).To(BeNumerically(">", 0))
	},
		Entry("reassigning shards before the lease is over", func(s *sim) { s.leaderClockRate = 3 }, "host paused", "host cut off"),
		Entry("releasing shards with requests in flight", func(s *sim) { s.releaseEarly = true }, "target drained", "delegation moved"),
		Entry("granting leases to hosts that have not applied a loss", func(s *sim) { s.overstateApplied = true }, "host lags", "target not heard"),
	)
})

func (s *sim) expectHealthy() {
	GinkgoHelper()
	Expect(s.history.violations()).To(BeEmpty())
	GinkgoWriter.Println(len(s.history.requests), s.history.longestGap, s.leader.applied)
	for shard := range uint32(simShards) {
		Expect(s.now-s.history.lastServed[shard]).To(BeNumerically("<=", time.Second), "shard %d is not served", shard)
	}
}
