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
		if h := s.hosts[s.rng.IntN(len(s.hosts))]; !h.dead && present(s.view, h) {
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
	h.cut = true
	h.sim.after(h.sim.between(100*time.Millisecond, 2*time.Second), func() { h.cut = false })
}

// replaceHost gives the host's name to a new process; the old one is dead, or only paused and unaware of it.
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

// muteTarget loses the announcements of a target that still serves, so that it counts as lost.
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
	"host lags":        func(s *sim) { s.anyHost().lag = s.between(50*time.Millisecond, 3*time.Second) },
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

// inject runs a simulation with a fault about every second, then lets it heal.
func (s *sim) inject(duration time.Duration, choose func() fault) {
	s.run(3 * time.Second)
	for end := s.now + duration; s.now < end; {
		choose()(s)
		s.run(s.between(300*time.Millisecond, 2*time.Second))
	}
	s.run(8 * time.Second)
}

// A shard served at two targets at the same time runs a request against two states of its key; a target with two
// senders gets more load than its slots (I1, I3). After the faults every shard must be served again.
var _ = Describe("I1: single ownership", func() {
	for _, name := range sortedNames(faults) {
		It("holds with "+name, func() {
			for seed := range uint64(3) {
				s := newSim(seed)
				s.inject(30*time.Second, func() fault { return faults[name] })
				s.expectSound()
			}
		})
	}

	It("holds with all faults mixed", func() {
		names := sortedNames(faults)
		for seed := range uint64(12) {
			s := newSim(100 + seed)
			s.inject(60*time.Second, func() fault { return faults[names[s.rng.IntN(len(names))]] })
			s.expectSound()
		}
	})

	// The checker must see the faults that the rules prevent.
	DescribeTable("is violated by a wrong variant", func(change func(*sim), names ...string) {
		found := 0
		for seed := range uint64(4) {
			s := newSim(seed)
			change(s)
			s.inject(30*time.Second, func() fault { return faults[names[s.rng.IntN(len(names))]] })
			found += len(s.history.violations())
		}
		Expect(found).To(BeNumerically(">", 0))
	},
		Entry("reassigning before the lease is over", func(s *sim) { s.skew = 3 }, "host paused", "host cut off"),
		Entry("releasing with requests in flight", func(s *sim) { s.hasty = true }, "target drained", "delegation moved"),
		Entry("leases for hosts that have not applied a loss", func(s *sim) { s.lie = true }, "host lags", "target not heard"),
	)
})

func (s *sim) expectSound() {
	GinkgoHelper()
	Expect(s.history.violations()).To(BeEmpty())
	GinkgoWriter.Println(len(s.history.requests), s.history.longestGap, s.leader.applied)
	for shard := range uint32(simShards) {
		Expect(s.now-s.history.lastServed[shard]).To(BeNumerically("<=", time.Second), "shard %d is not served", shard)
	}
}
