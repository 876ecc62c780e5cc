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

// faults holds the probabilities of the faults in a simulation, per message unless a comment says otherwise.
type faults struct {
	loss, duplicate, delayed float64
	// crash is the probability of a crash, per save.
	crash float64
	// partition is the probability that the members are split in two, cut that one direction of a link is cut, and pause
	// that a machine is paused. They are drawn every faultInterval.
	partition, cut, pause float64
	// membershipChange is the probability of a membership change or leadership transfer, per proposal.
	membershipChange float64
	// mutateMessage may change a message in transit, or drop it by returning nil. Tests use it to violate the protocol on
	// purpose.
	mutateMessage func(s *sim, to *simNode, m *schemav1.RaftMessage) *schemav1.RaftMessage
	// lazyDisk acknowledges a save before it is durable.
	lazyDisk bool
}

// sim simulates a group in one goroutine, in steps of 1 ms of true time. All randomness comes from one seed.
type sim struct {
	rng *rand.Rand
	// now is the true time since the start of the simulation.
	now      time.Duration
	nodes    map[uint64]*simNode
	ids      []uint64
	inFlight []delayedBatch
	faults   faults
	checker  *checker
	options  Options
	// cutLinks has the directions of links that lose all messages.
	cutLinks map[link]bool
	// isolated members neither send nor receive. Tests set it; it is not drawn at random.
	isolated map[uint64]bool
	// lastRound is the last heartbeat round that each member sent.
	lastRound map[uint64]uint64
	// messages and bytes count what all members sent, bytesBySender what each member sent.
	messages, bytes int
	bytesBySender   map[uint64]int
}

// link is one direction of the connection between two members.
type link struct{ from, to uint64 }

// delayedBatch is a batch in transit, which arrives at due in true time.
type delayedBatch struct {
	due   time.Duration
	to    uint64
	batch *schemav1.RaftBatch
}

// simNode is a simulated machine with one member. Its disk survives a crash. Its clock runs at its own rate, also while the
// machine is paused.
type simNode struct {
	sim            *sim
	id             uint64
	replica        *driver
	stateMachine   *recorder
	disk           *simDisk
	clockRate      float64
	bootedAt       time.Duration
	inbox          []*schemav1.RaftBatch
	initialMembers []*schemav1.Member
	// pausedUntil and downUntil are in true time.
	pausedUntil, downUntil time.Duration
	// leaseEnd is by the machine's own clock, as returned by elapsed; 0 without a lease.
	leaseEnd time.Duration
}

// faultInterval is the interval at which partitions, cuts and pauses are drawn. It is longer than an election timeout, so
// that a group can elect a leader in between.
const faultInterval = 700 * time.Millisecond

const simSeed = 20261204

func newSim(seed uint64, voters int, f faults, options Options) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, simSeed)), nodes: map[uint64]*simNode{}, faults: f, options: options}
	s.checker, s.cutLinks, s.lastRound = newChecker(), map[link]bool{}, map[uint64]uint64{}
	s.isolated, s.bytesBySender = map[uint64]bool{}, map[uint64]int{}
	var members []*schemav1.Member
	for id := uint64(1); id <= uint64(voters); id++ {
		members = append(members, &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)})
	}
	for _, member := range members {
		s.add(member.GetId(), members)
	}
	return s
}

// add starts a member. initialMembers is empty for a member that joins later.
func (s *sim) add(id uint64, initialMembers []*schemav1.Member) {
	node := &simNode{sim: s, id: id, initialMembers: initialMembers, clockRate: 0.995 + 0.01*s.rng.Float64()}
	node.disk = &simDisk{node: node, durable: NewMemoryStorage()}
	s.nodes[id] = node
	s.ids = append(s.ids, id)
	node.boot()
}

// boot starts the member of the machine from its disk.
func (n *simNode) boot() {
	options := n.sim.options
	options.ID, options.Address, options.InitialMembers = n.id, strconv.FormatUint(n.id, 10), n.initialMembers
	n.stateMachine = &recorder{}
	options.Storage, options.Transport, options.StateMachine = n.disk, n, n.stateMachine
	options.Rand = n.sim.rng.IntN
	replica, err := newDriver(options)
	if errors.Is(err, errSimulatedCrash) {
		n.crash(10 * time.Millisecond)
		return
	}
	if err != nil {
		n.sim.checker.addViolation("member %d does not start: %v", n.id, err)
		return
	}
	n.replica, n.bootedAt, n.inbox, n.leaseEnd = replica, n.sim.now, nil, 0
	replica.beforeSend = func() { n.leaseEnd = time.Duration(replica.node.LeaseEnd()) * replica.options.Tick }
}

// elapsed returns the time since the start by the machine's own clock.
func (n *simNode) elapsed() time.Duration {
	return time.Duration(float64(n.sim.now-n.bootedAt) * n.clockRate)
}

func (n *simNode) holdsLease() bool {
	return n.replica != nil && n.leaseEnd > 0 && n.elapsed() < n.leaseEnd
}

func (n *simNode) isRunning() bool { return n.replica != nil && n.sim.now >= n.pausedUntil }

func (n *simNode) isLeader() bool { return n.isRunning() && n.replica.node.Role() == raft.Leader }

var errSimulatedCrash = errors.New("the machine crashed during a save")

// crash stops the machine for downtime. Only what is durable on its disk survives.
func (n *simNode) crash(downtime time.Duration) {
	if n.replica != nil {
		n.replica.failPending(errSimulatedCrash)
	}
	n.disk.pending = nil
	n.replica, n.downUntil = nil, n.sim.now+downtime
}

// runCycle does the same as Replica.runCycle. Without inputs it does nothing before the next timeout.
func (n *simNode) runCycle() {
	inbox := n.inbox
	if len(inbox) == 0 && n.elapsed() < n.replica.nextWakeup() {
		return
	}
	n.inbox = nil
	n.replica.advanceTime(n.elapsed())
	for _, batch := range inbox {
		if err := n.replica.step(batch); err != nil {
			n.sim.checker.addViolation("member %d: %v", n.id, err)
		}
	}
	n.flush()
}

// flush does all pending work of the member. The machine crashes if its disk did during a save.
func (n *simNode) flush() {
	err := n.replica.processReady()
	n.replica.completeSeals(err)
	if err != nil {
		if !errors.Is(err, errSimulatedCrash) {
			n.sim.checker.addViolation("member %d: %v", n.id, err)
		}
		n.crash(time.Duration(n.sim.rng.IntN(1000)) * time.Millisecond)
	}
}

// Send implements Transport. It applies the faults of the network.
func (n *simNode) Send(address string, batch *schemav1.RaftBatch) {
	s := n.sim
	to, _ := strconv.ParseUint(address, 10, 64)
	s.messages += len(batch.GetMessages())
	s.bytes += proto.Size(batch)
	s.bytesBySender[n.id] += proto.Size(batch)
	for _, m := range batch.GetMessages() {
		if m.GetType() == schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT {
			s.lastRound[n.id] = m.GetContext()
		}
	}
	for range 1 + s.chance(s.faults.duplicate) {
		if s.cutLinks[link{n.id, to}] || s.isolated[n.id] || s.isolated[to] || s.chance(s.faults.loss) == 1 {
			continue
		}
		delay := 200*time.Microsecond + time.Duration(s.rng.IntN(2000))*time.Microsecond
		if s.chance(s.faults.delayed) == 1 {
			delay += time.Duration(s.rng.IntN(400)) * time.Millisecond
		}
		s.inFlight = append(s.inFlight, delayedBatch{s.now + delay, to, batch})
	}
}

// chance returns 1 with the given probability and 0 otherwise.
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
	for _, id := range s.ids {
		node := s.nodes[id]
		if node.replica == nil && s.now >= node.downUntil {
			node.boot()
		}
		if node.isRunning() {
			node.runCycle()
		}
	}
	if s.now%faultInterval == 0 {
		s.drawFaults()
	}
	s.checker.checkInstant(s)
}

func (s *sim) deliver() {
	waiting := s.inFlight[:0]
	for _, f := range s.inFlight {
		to := s.nodes[f.to]
		switch {
		case f.due > s.now:
			waiting = append(waiting, f)
		case to != nil && to.replica != nil:
			to.inbox = append(to.inbox, s.mutateBatch(to, f.batch))
		}
	}
	s.inFlight = waiting
}

func (s *sim) mutateBatch(to *simNode, batch *schemav1.RaftBatch) *schemav1.RaftBatch {
	if s.faults.mutateMessage == nil {
		return batch
	}
	copied := &schemav1.RaftBatch{FromAddress: batch.GetFromAddress()}
	for _, m := range batch.GetMessages() {
		if m = s.faults.mutateMessage(s, to, m); m != nil {
			copied.Messages = append(copied.Messages, m)
		}
	}
	return copied
}

// drawFaults draws the partition, the cut links and the paused machines until the next faultInterval.
func (s *sim) drawFaults() {
	split := s.chance(s.faults.partition)
	side := map[uint64]int{}
	for _, id := range s.ids {
		side[id] = split * s.rng.IntN(2)
		if s.chance(s.faults.pause) == 1 {
			s.nodes[id].pausedUntil = s.now + time.Duration(s.rng.IntN(900))*time.Millisecond
		}
	}
	for _, from := range s.ids {
		for _, to := range s.ids {
			s.cutLinks[link{from, to}] = side[from] != side[to] || s.chance(s.faults.cut) == 1
		}
	}
}

// heal ends all faults of the network and the machines.
func (s *sim) heal() {
	s.faults.loss, s.faults.duplicate, s.faults.delayed, s.faults.crash = 0, 0, 0, 0
	s.faults.partition, s.faults.cut, s.faults.pause = 0, 0, 0
	clear(s.cutLinks)
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

// runUntil runs until condition returns true, for at most limit of simulated time. It reports whether it did.
func (s *sim) runUntil(limit time.Duration, condition func() bool) bool {
	for end := s.now + limit; s.now < end; s.step() {
		if condition() {
			return true
		}
	}
	return condition()
}

// leader returns the running leader of the highest term, or nil if there is none.
func (s *sim) leader() *simNode {
	var leader *simNode
	for _, id := range s.ids {
		if node := s.nodes[id]; node.isLeader() &&
			(leader == nil || node.replica.node.Term() > leader.replica.node.Term()) {
			leader = node
		}
	}
	return leader
}

// propose proposes the next command at node. The checker records it if it is acknowledged.
func (s *sim) propose(node *simNode) {
	s.checker.lastProposed++
	value := s.checker.lastProposed
	node.replica.propose(binary.BigEndian.AppendUint64(nil, value), func(result []byte, err error) {
		if err == nil {
			s.checker.acknowledge(s.now, value, binary.BigEndian.Uint64(result))
		}
	})
	node.flush()
}

// read checks that a linearizable read at node sees everything that was acknowledged before it started.
func (s *sim) read(node *simNode) {
	acknowledged := s.checker.lastAcknowledged
	node.replica.read(func(_ []byte, err error) {
		if err == nil && node.replica.appliedIndex < acknowledged {
			s.checker.addViolation("a read saw index %d after %d was acknowledged", node.replica.appliedIndex, acknowledged)
		}
	})
	node.flush()
}

// simDisk is a disk that can crash its machine during a save, before or after the save is durable.
type simDisk struct {
	node    *simNode
	durable *MemoryStorage
	// pending is the save that was acknowledged but is not durable yet, if faults.lazyDisk is set.
	pending func()
	// crashAtSave is the number of the save during which the machine crashes; 0 for none.
	saveCount, crashAtSave int
	crashBeforeDurable     bool
}

func (d *simDisk) Load() (PersistentState, error) { return d.durable.Load() }
func (d *simDisk) Close() error                   { return nil }

func (d *simDisk) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	s := d.node.sim
	d.saveCount++
	s.checker.checkSavedEntries(d.node.id, entries)
	crash := d.saveCount == d.crashAtSave || s.chance(s.faults.crash) == 1
	if crash && (d.crashBeforeDurable || s.chance(0.5) == 1) {
		return errSimulatedCrash
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
		return errSimulatedCrash
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
