package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	tick = 5 * time.Millisecond
	// leaderLease and electionSpread are those of the design: 200 ms less 1 %, and elections within 200 to 400 ms.
	leaderLease     = 198 * time.Millisecond
	electionTimeout = 200 * time.Millisecond
	simHosts        = 4
	simTargets      = 5
	simShards       = 12
)

// sim is a data centre group in simulated time: hosts with tables that lag, clocks that drift within the bound, messages
// that are late or lost, and a log whose uncommitted end may be lost with its leader.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	events  map[time.Duration][]func()
	log     [][]byte
	hosts   []*simHost
	targets []*simTarget
	view    *schemav1.ControlView

	leader    *simHost
	driver    *ownership.Driver
	heartbeat time.Duration

	generation uint64
	snapshot   []byte // the state that the generation starts from
	sealed     bool
	electAt    time.Duration
	inFlight   int // proposals not yet committed, in order

	delegating bool

	history history
	// skew is how fast the leader's clock runs for its driver; lie makes hosts claim to have applied everything; hasty
	// makes them release shards with requests in flight.
	skew       float64
	lie, hasty bool
}

type simHost struct {
	sim         *sim
	name        string
	identity    uint64
	process     string // name and identity
	table       *ownership.Table
	applied     int
	rate        float64
	holder      *lease.Holder
	lag         time.Duration
	pausedUntil time.Duration
	dead, cut   bool
	draining    bool
	had         map[string]uint64 // target -> last attachment to this process
	stopped     map[string]uint64
	busy        []request
}

type simTarget struct {
	name, boot string
	sequence   uint64
	alive      bool
	draining   bool
	muted      bool // its announcements are lost
}

func newSim(seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}, skew: 1, generation: 1}
	s.history.lastServed = map[uint32]time.Duration{}
	s.view = view(1, simHosts, simShards)
	s.commit(encode(setView(s.view)))
	for i := 1; i <= simHosts; i++ {
		s.addHost(fmt.Sprintf("h%d", i), uint64(i)) //nolint:gosec // small and positive
	}
	for i := 1; i <= simTargets; i++ {
		s.targets = append(s.targets, &simTarget{name: fmt.Sprintf("t%d", i), boot: "b1", alive: true})
	}
	s.elect()
	return s
}

func (s *sim) addHost(name string, identity uint64) *simHost {
	h := &simHost{
		sim: s, name: name, identity: identity, process: fmt.Sprintf("%s/%d", name, identity), table: ownership.NewTable(dataCentre, s.generation),
		rate: 0.9955 + 0.009*s.rng.Float64(), had: map[string]uint64{}, stopped: map[string]uint64{},
	}
	h.holder = lease.NewHolder(h.clock)
	h.adopt()
	s.hosts = append(s.hosts, h)
	return h
}

func encode(command *schemav1.GroupCommand) []byte {
	encoded, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	return encoded
}

func (h *simHost) clock() time.Duration {
	return time.Hour*time.Duration(h.identity) + time.Duration(float64(h.sim.now)*h.rate)
}

// leaderClock is the leader's clock as its driver sees it.
func (s *sim) leaderClock() time.Duration {
	return time.Duration(float64(s.leader.clock()) * s.skew)
}

func (h *simHost) up() bool { return !h.dead && h.sim.now >= h.pausedUntil }

func (s *sim) after(delay time.Duration, event func()) {
	at := (s.now + delay + tick - 1) / tick * tick
	if at <= s.now {
		at = s.now + tick
	}
	s.events[at] = append(s.events[at], event)
}

// delay is that of one message: usually 1 to 10 ms, sometimes up to 300 ms.
func (s *sim) delay() time.Duration {
	if s.rng.IntN(50) == 0 {
		return time.Duration(s.rng.IntN(300)) * time.Millisecond
	}
	return time.Duration(1+s.rng.IntN(10)) * time.Millisecond
}

// run advances the simulation.
func (s *sim) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.now += tick
		events := s.events[s.now]
		delete(s.events, s.now)
		for _, event := range events {
			event()
		}
		s.lead()
		for _, h := range s.hosts {
			h.step()
		}
		if s.now%time.Second == 0 {
			s.announce()
		}
	}
}

func (s *sim) commit(command []byte) { s.log = append(s.log, command) }

// propose commits a command after a few milliseconds. A leader that is lost before takes the command with it, or not:
// then the next leader commits it.
func (s *sim) propose(from *simHost, command *schemav1.GroupCommand) {
	encoded := encode(command)
	s.inFlight++
	generation := s.generation
	s.after(tick, func() {
		s.inFlight--
		if generation != s.generation {
			return
		}
		if s.leader == from && from.up() && !from.cut || s.rng.IntN(2) == 0 && !from.cut {
			s.commit(encoded)
		}
	})
}

// lead runs the leader's driver, and elects another leader when it has been silent.
func (s *sim) lead() {
	if s.sealed {
		return
	}
	if s.leader.up() && !s.leader.cut {
		s.heartbeat = s.now
		s.electAt = s.now + electionTimeout + time.Duration(s.rng.IntN(200))*time.Millisecond
	} else if s.now >= s.electAt {
		s.elect()
	}
	if s.leader.up() && s.driver == nil && s.inFlight == 0 {
		s.startDriver()
	}
	if s.leader.up() && s.now%(2*tick) == 0 && s.driver != nil {
		for _, command := range s.driver.Step(s.leaderClock()) {
			s.propose(s.leader, command)
		}
	}
}

// elect makes a live host the leader. Its driver starts when the entry of its own term is applied.
func (s *sim) elect() {
	var candidates []*simHost
	for _, h := range s.hosts {
		if h.up() && !h.cut && present(s.view, h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return
	}
	s.leader, s.driver = candidates[s.rng.IntN(len(candidates))], nil
	s.heartbeat, s.electAt = s.now, s.now+electionTimeout
}

// startDriver starts the driver of a new leader once it has applied the entry of its own term.
func (s *sim) startDriver() {
	leader := s.leader
	leader.lag = 0
	leader.adopt()
	leader.applyUpTo(len(s.log))
	s.driver = ownership.NewDriver(leader.table, s.leaderClock, ownership.Options{
		HoldsLeaderLease: func() bool { return s.leader == leader && s.now-s.heartbeat <= leaderLease },
	})
}

func present(v *schemav1.ControlView, h *simHost) bool {
	for _, known := range v.Hosts {
		if known.Name == h.name && known.Identity == h.identity {
			return true
		}
	}
	return false
}

// changeView edits the control view and commits it through the leader.
func (s *sim) changeView(edit func(*schemav1.ControlView)) {
	s.view = proto.CloneOf(s.view)
	s.view.Index++
	edit(s.view)
	encoded := encode(setView(s.view))
	s.after(s.delay(), func() { s.commit(encoded) })
}

// announce sends one announcement per live target; some are delivered again two seconds late.
func (s *sim) announce() {
	for _, t := range s.targets {
		if !t.alive || t.muted {
			continue
		}
		t.sequence++
		a := announcement(t.name, t.boot, t.sequence)
		a.Draining = t.draining
		deliver := func() {
			if s.driver != nil && s.leader.up() && !s.leader.cut {
				s.driver.Announce(s.leaderClock(), a)
			}
		}
		s.after(s.delay(), deliver)
		if s.rng.IntN(10) == 0 {
			s.after(2*time.Second, deliver)
		}
	}
}

func (s *sim) target(name string) *simTarget {
	for _, t := range s.targets {
		if t.name == name {
			return t
		}
	}
	return nil
}
