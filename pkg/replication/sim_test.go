package replication

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"google.golang.org/protobuf/proto"
)

// faults of a simulation. Probabilities are per message or per save.
type faults struct {
	loss, duplicate, late float64
	crash                 float64
	// partition in two, cut of each direction of each link, and pause of each machine; drawn every faultInterval.
	partition, cut, pause float64
	// change of membership or transfer, per proposal.
	change float64
	// mutate makes the deliberately wrong variants: it may change a message on its way, or drop it.
	mutate func(s *sim, to *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage
	// lazyDisk acknowledges a save before it is durable.
	lazyDisk bool
}

// sim runs members in one goroutine in steps of 1 ms of true time, with a seed for everything.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	nodes   map[uint64]*simNode
	order   []uint64
	flights []flight
	faults  faults
	checker *checker
	options Options
	// isCut has the directions of links that lose everything.
	isCut map[link]bool
	// isolated members neither send nor receive; it is set by tests and not drawn.
	isolated map[uint64]bool
	// lastRound is the last heartbeat round that each member sent.
	lastRound map[uint64]uint64
	// messages and bytes count what was sent.
	messages, bytes int
	bytesBy         map[uint64]int
}

type link struct{ from, to uint64 }

type flight struct {
	due   time.Duration
	to    uint64
	batch *schemav1.RaftBatch
}

// simNode is a machine: its disk survives a crash, its clock runs at its own rate and also while it is paused.
type simNode struct {
	sim     *sim
	id      uint64
	m       *member
	machine *recorder
	disk    *simDisk
	rate    float64
	booted  time.Duration
	inbox   []*schemav1.RaftBatch
	initial []*schemav1.Member
	// pausedUntil and downUntil are in true time.
	pausedUntil, downUntil time.Duration
	leaseEnd               time.Duration
}

// faultInterval is how often partitions, cuts and pauses are drawn. It is above an election timeout, so that a group can
// elect a leader in between.
const faultInterval = 700 * time.Millisecond

const simSeed = 20261204

func newSim(seed uint64, voters int, f faults, options Options) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, simSeed)), nodes: map[uint64]*simNode{}, faults: f, options: options}
	s.checker, s.isCut, s.lastRound = newChecker(), map[link]bool{}, map[uint64]uint64{}
	s.isolated, s.bytesBy = map[uint64]bool{}, map[uint64]int{}
	var members []*schemav1.Member
	for id := uint64(1); id <= uint64(voters); id++ {
		members = append(members, &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)})
	}
	for _, member := range members {
		s.add(member.GetId(), members)
	}
	return s
}

// add starts a member; initial is empty for one that joins later.
func (s *sim) add(id uint64, initial []*schemav1.Member) {
	node := &simNode{sim: s, id: id, initial: initial, rate: 0.995 + 0.01*s.rng.Float64()}
	node.disk = &simDisk{node: node, durable: NewMemoryStorage()}
	s.nodes[id] = node
	s.order = append(s.order, id)
	node.boot()
}

func (n *simNode) boot() {
	options := n.sim.options
	options.ID, options.Address, options.InitialMembers = n.id, strconv.FormatUint(n.id, 10), n.initial
	n.machine = &recorder{}
	options.Storage, options.Transport, options.StateMachine = n.disk, n, n.machine
	options.Rand = n.sim.rng.IntN
	m, err := newMember(options)
	if errors.Is(err, errCrash) {
		n.crash(10 * time.Millisecond)
		return
	}
	if err != nil {
		n.sim.checker.fail("member %d does not start: %v", n.id, err)
		return
	}
	n.m, n.booted, n.inbox, n.leaseEnd = m, n.sim.now, nil, 0
	m.beforeSend = func() { n.leaseEnd = time.Duration(m.node.LeaseEnd()) * m.options.Tick }
}

func (n *simNode) elapsed() time.Duration { return time.Duration(float64(n.sim.now-n.booted) * n.rate) }

func (n *simNode) holdsLease() bool { return n.m != nil && n.leaseEnd > 0 && n.elapsed() < n.leaseEnd }

func (n *simNode) isRunning() bool { return n.m != nil && n.sim.now >= n.pausedUntil }

func (n *simNode) leads() bool { return n.isRunning() && n.m.node.Role() == raft.Leader }

var errCrash = errors.New("the machine crashed during a save")

// crash loses everything but the disk.
func (n *simNode) crash(downtime time.Duration) {
	if n.m != nil {
		n.m.abandon(errCrash)
	}
	n.disk.pending = nil
	n.m, n.downUntil = nil, n.sim.now+downtime
}

// cycle does what Replica.cycle does. Without input it waits until something is due.
func (n *simNode) cycle() {
	inbox := n.inbox
	if len(inbox) == 0 && n.elapsed() < n.m.nextDue() {
		return
	}
	n.inbox = nil
	n.m.advance(n.elapsed())
	for _, batch := range inbox {
		if err := n.m.step(batch); err != nil {
			n.sim.checker.fail("member %d: %v", n.id, err)
		}
	}
	n.finish()
}

func (n *simNode) finish() {
	err := n.m.flush()
	n.m.answerSeals(err)
	if err != nil {
		if !errors.Is(err, errCrash) {
			n.sim.checker.fail("member %d: %v", n.id, err)
		}
		n.crash(time.Duration(n.sim.rng.IntN(1000)) * time.Millisecond)
	}
}

// Send implements Transport with the faults of the network.
func (n *simNode) Send(address string, batch *schemav1.RaftBatch) {
	s := n.sim
	to, _ := strconv.ParseUint(address, 10, 64)
	s.messages += len(batch.GetMessages())
	s.bytes += proto.Size(batch)
	s.bytesBy[n.id] += proto.Size(batch)
	for _, m := range batch.GetMessages() {
		if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT {
			s.lastRound[n.id] = m.GetContext()
		}
	}
	for range 1 + s.chance(s.faults.duplicate) {
		if s.isCut[link{n.id, to}] || s.isolated[n.id] || s.isolated[to] || s.chance(s.faults.loss) == 1 {
			continue
		}
		delay := 200*time.Microsecond + time.Duration(s.rng.IntN(2000))*time.Microsecond
		if s.chance(s.faults.late) == 1 {
			delay += time.Duration(s.rng.IntN(400)) * time.Millisecond
		}
		s.flights = append(s.flights, flight{s.now + delay, to, batch})
	}
}

func (s *sim) chance(probability float64) int {
	if probability > 0 && s.rng.Float64() < probability {
		return 1
	}
	return 0
}

// step advances true time by 1 ms.
func (s *sim) step() {
	s.now += time.Millisecond
	s.deliver()
	for _, id := range s.order {
		node := s.nodes[id]
		if node.m == nil && s.now >= node.downUntil {
			node.boot()
		}
		if node.isRunning() {
			node.cycle()
		}
	}
	if s.now%faultInterval == 0 {
		s.drawFaults()
	}
	s.checker.observe(s)
}

func (s *sim) deliver() {
	waiting := s.flights[:0]
	for _, f := range s.flights {
		to := s.nodes[f.to]
		switch {
		case f.due > s.now:
			waiting = append(waiting, f)
		case to != nil && to.m != nil:
			to.inbox = append(to.inbox, s.mutated(to, f.batch))
		}
	}
	s.flights = waiting
}

func (s *sim) mutated(to *simNode, batch *schemav1.RaftBatch) *schemav1.RaftBatch {
	if s.faults.mutate == nil {
		return batch
	}
	copied := &schemav1.RaftBatch{FromAddress: batch.GetFromAddress()}
	for _, m := range batch.GetMessages() {
		if m = s.faults.mutate(s, to, m); m != nil {
			copied.Messages = append(copied.Messages, m)
		}
	}
	return copied
}

func (s *sim) drawFaults() {
	split := s.chance(s.faults.partition)
	side := map[uint64]int{}
	for _, id := range s.order {
		side[id] = split * s.rng.IntN(2)
		if s.chance(s.faults.pause) == 1 {
			s.nodes[id].pausedUntil = s.now + time.Duration(s.rng.IntN(900))*time.Millisecond
		}
	}
	for _, from := range s.order {
		for _, to := range s.order {
			s.isCut[link{from, to}] = side[from] != side[to] || s.chance(s.faults.cut) == 1
		}
	}
}

// heal ends all faults of the environment.
func (s *sim) heal() {
	s.faults.loss, s.faults.duplicate, s.faults.late, s.faults.crash = 0, 0, 0, 0
	s.faults.partition, s.faults.cut, s.faults.pause = 0, 0, 0
	clear(s.isCut)
	for _, node := range s.nodes {
		node.pausedUntil = s.now
		node.downUntil = min(node.downUntil, s.now)
	}
}

func (s *sim) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}

// until runs until holds, for at most limit of simulated time, and reports whether it did.
func (s *sim) until(limit time.Duration, holds func() bool) bool {
	for end := s.now + limit; s.now < end; s.step() {
		if holds() {
			return true
		}
	}
	return holds()
}

// leader returns the leader of the highest term that is running, or nil.
func (s *sim) leader() *simNode {
	var leader *simNode
	for _, id := range s.order {
		if node := s.nodes[id]; node.leads() &&
			(leader == nil || node.m.node.Term() > leader.m.node.Term()) {
			leader = node
		}
	}
	return leader
}

// propose sends the next command to node and lets the checker record the outcome.
func (s *sim) propose(node *simNode) {
	s.checker.next++
	value := s.checker.next
	node.m.propose(binary.BigEndian.AppendUint64(nil, value), func(result []byte, err error) {
		if err == nil {
			s.checker.acknowledge(value, binary.BigEndian.Uint64(result))
		}
	})
	node.finish()
}

func (s *sim) read(node *simNode) {
	acknowledged := s.checker.lastAcknowledged
	node.m.read(func(_ []byte, err error) {
		if err == nil && node.m.applied < acknowledged {
			s.checker.fail("a read saw index %d after %d was acknowledged", node.m.applied, acknowledged)
		}
	})
	node.finish()
}

// simDisk can crash the machine at each save, before or after it is durable.
type simDisk struct {
	node    *simNode
	durable *MemoryStorage
	// pending is the save that a lazy disk has acknowledged but not made durable.
	pending func()
	// crashAt crashes at the save with this number; 0 for never.
	saves, crashAt int
	before         bool
}

func (d *simDisk) Load() (PersistentState, error) { return d.durable.Load() }
func (d *simDisk) Close() error                   { return nil }

func (d *simDisk) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	s := d.node.sim
	d.saves++
	s.checker.saved(d.node.id, entries)
	crash := d.saves == d.crashAt || s.chance(s.faults.crash) == 1
	if crash && (d.before || s.chance(0.5) == 1) {
		return errCrash
	}
	write := func() { _ = d.durable.Save(hardState, entries, snapshot) }
	if d.pending != nil {
		d.pending()
		d.pending = nil
	}
	if s.faults.lazyDisk {
		d.pending = write
	} else {
		write()
	}
	if crash {
		return errCrash
	}
	return nil
}

// recorder is a state machine that keeps every command with its index.
type recorder struct{ records []record }

type record struct{ index, value uint64 }

func (r *recorder) Apply(index uint64, command []byte) []byte {
	r.records = append(r.records, record{index, binary.BigEndian.Uint64(command)})
	return binary.BigEndian.AppendUint64(nil, index)
}

func (r *recorder) Snapshot() ([]byte, error) {
	var data []byte
	for _, record := range r.records {
		data = binary.BigEndian.AppendUint64(data, record.index)
		data = binary.BigEndian.AppendUint64(data, record.value)
	}
	return data, nil
}

func (r *recorder) Restore(data []byte) error {
	r.records = nil
	for chunk := range slices.Chunk(data, 16) {
		r.records = append(r.records, record{binary.BigEndian.Uint64(chunk), binary.BigEndian.Uint64(chunk[8:])})
	}
	return nil
}

func sameEntry(a, b *schemav1.Entry) bool {
	return a.GetType() == b.GetType() && bytes.Equal(a.GetData(), b.GetData())
}
