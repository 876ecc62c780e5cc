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
	// leaderLease and electionTimeout are the design values: the leader lease is 200 ms less 1 %, and an election starts 200 to
	// 400 ms after the last heartbeat.
	leaderLease     = 198 * time.Millisecond
	electionTimeout = 200 * time.Millisecond
	simHosts        = 4
	simTargets      = 5
	simShards       = 12
)

// sim simulates a data centre group in simulated time: the tables of hosts lag, their clocks drift within the allowed error,
// messages are delayed or lost, and the uncommitted end of the log may be lost with its leader.
type sim struct {
	rng         *rand.Rand
	now         time.Duration
	events      map[time.Duration][]func()
	log         [][]byte
	hosts       []*simHost
	targets     []*simTarget
	controlView *schemav1.ControlView

	leader        *simHost
	driver        *ownership.Driver
	lastHeartbeat time.Duration

	generation uint64
	snapshot   []byte // initial state of the generation
	sealed     bool
	electAt    time.Duration
	inFlight   int // proposals not yet committed, in order

	delegationMoving bool

	history history
	// Wrong variants, which the checker must detect: leaderClockRate is the rate of the leader's clock as its driver sees it,
	// with overstateApplied hosts claim to have applied the whole log, and with releaseEarly they release shards with requests
	// in flight.
	leaderClockRate                float64
	overstateApplied, releaseEarly bool
}

type simHost struct {
	sim                *sim
	name               string
	identity           uint64
	process            string // name and identity
	table              *ownership.Table
	applied            int
	clockRate          float64
	holder             *lease.Holder
	lagLeft            time.Duration
	pausedUntil        time.Duration
	dead, cutOff       bool
	draining           bool
	knownAttachments   map[string]uint64 // last attachment to this process by target
	stoppedAttachments map[string]uint64
	requestsInFlight   []request
}

type simTarget struct {
	name, boot string
	sequence   uint64
	alive      bool
	draining   bool
	muted      bool // its announcements are lost
}

func newSim(seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}, leaderClockRate: 1, generation: 1}
	s.history.lastServed = map[uint32]time.Duration{}
	s.controlView = controlView(1, simHosts, simShards)
	s.commit(encode(setView(s.controlView)))
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
		clockRate: 0.9955 + 0.009*s.rng.Float64(), knownAttachments: map[string]uint64{}, stoppedAttachments: map[string]uint64{},
	}
	h.holder = lease.NewHolder(h.clock)
	h.joinGeneration()
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
	return time.Hour*time.Duration(h.identity) + time.Duration(float64(h.sim.now)*h.clockRate)
}

// leaderClock returns the leader's time as its driver sees it.
func (s *sim) leaderClock() time.Duration {
	return time.Duration(float64(s.leader.clock()) * s.leaderClockRate)
}

func (h *simHost) running() bool { return !h.dead && h.sim.now >= h.pausedUntil }

func (s *sim) after(delay time.Duration, event func()) {
	at := (s.now + delay + tick - 1) / tick * tick
	if at <= s.now {
		at = s.now + tick
	}
	s.events[at] = append(s.events[at], event)
}

// delay returns a random message delay: usually 1 to 10 ms, in one of 50 cases up to 300 ms.
func (s *sim) delay() time.Duration {
	if s.rng.IntN(50) == 0 {
		return time.Duration(s.rng.IntN(300)) * time.Millisecond
	}
	return time.Duration(1+s.rng.IntN(10)) * time.Millisecond
}

// run advances the simulated time by duration.
func (s *sim) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.now += tick
		events := s.events[s.now]
		delete(s.events, s.now)
		for _, event := range events {
			event()
		}
		s.stepLeader()
		for _, h := range s.hosts {
			h.step()
		}
		if s.now%time.Second == 0 {
			s.announce()
		}
	}
}

func (s *sim) commit(command []byte) { s.log = append(s.log, command) }

// propose commits a command after one tick. If the leader is lost before that, the command is either lost too or committed by
// the next leader.
func (s *sim) propose(from *simHost, command *schemav1.GroupCommand) {
	encoded := encode(command)
	s.inFlight++
	generation := s.generation
	s.after(tick, func() {
		s.inFlight--
		if generation != s.generation {
			return
		}
		if s.leader == from && from.running() && !from.cutOff || s.rng.IntN(2) == 0 && !from.cutOff {
			s.commit(encoded)
		}
	})
}

// stepLeader runs the leader's driver, or elects another leader after the election timeout.
func (s *sim) stepLeader() {
	if s.sealed {
		return
	}
	if s.leader.running() && !s.leader.cutOff {
		s.lastHeartbeat = s.now
		s.electAt = s.now + electionTimeout + time.Duration(s.rng.IntN(200))*time.Millisecond
	} else if s.now >= s.electAt {
		s.elect()
	}
	if s.leader.running() && s.driver == nil && s.inFlight == 0 {
		s.startDriver()
	}
	if s.leader.running() && s.now%(2*tick) == 0 && s.driver != nil {
		for _, command := range s.driver.Step(s.leaderClock()) {
			s.propose(s.leader, command)
		}
	}
}

// elect makes a random running host the leader; startDriver starts its driver later.
func (s *sim) elect() {
	var candidates []*simHost
	for _, h := range s.hosts {
		if h.running() && !h.cutOff && containsHost(s.controlView, h) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return
	}
	s.leader, s.driver = candidates[s.rng.IntN(len(candidates))], nil
	s.lastHeartbeat, s.electAt = s.now, s.now+electionTimeout
}

// startDriver lets the leader apply the whole log and starts its driver.
func (s *sim) startDriver() {
	leader := s.leader
	leader.lagLeft = 0
	leader.joinGeneration()
	leader.applyUpTo(len(s.log))
	s.driver = ownership.NewDriver(leader.table, s.leaderClock, ownership.Options{
		HoldsLeaderLease: func() bool { return s.leader == leader && s.now-s.lastHeartbeat <= leaderLease },
	})
}

func containsHost(v *schemav1.ControlView, h *simHost) bool {
	for _, known := range v.Hosts {
		if known.Name == h.name && known.Identity == h.identity {
			return true
		}
	}
	return false
}

// changeView edits the control view and commits it through the leader.
func (s *sim) changeView(edit func(*schemav1.ControlView)) {
	s.controlView = proto.CloneOf(s.controlView)
	s.controlView.Index++
	edit(s.controlView)
	encoded := encode(setView(s.controlView))
	s.after(s.delay(), func() { s.commit(encoded) })
}

// announce sends one announcement of each live target; one in ten is delivered again two seconds later.
func (s *sim) announce() {
	for _, t := range s.targets {
		if !t.alive || t.muted {
			continue
		}
		t.sequence++
		a := announcement(t.name, t.boot, t.sequence)
		a.Draining = t.draining
		deliver := func() {
			if s.driver != nil && s.leader.running() && !s.leader.cutOff {
				// Without the leader lease it has no effect, and the target announces itself again.
				_, _ = s.driver.Announce(s.leaderClock(), a)
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
