package replication

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// lossTimes returns how long groups were without a leader that can commit after theirs crashed, in simulated time.
func lossTimes(voters, runs int) []time.Duration {
	var times []time.Duration
	for seed := range uint64(runs) {
		s := newSim(seed, voters, faults{}, Options{})
		s.until(2*time.Second, func() bool { return s.leader() != nil })
		s.run(time.Duration(s.rng.IntN(200)) * time.Millisecond)
		s.leader().crash(lost)
		crashed := s.now
		s.until(5*time.Second, func() bool { return s.leader() != nil && s.leader().holdsLease() })
		times = append(times, s.now-crashed)
	}
	slices.Sort(times)
	return times
}

// The bound of docs/design.md section 11 for the loss of a group leader.
var _ = DescribeTable("a new leader holds the lease within 1 s of a loss",
	func(voters int) {
		times := lossTimes(voters, 200)
		Expect(times[len(times)-1]).To(BeNumerically("<=", time.Second))
	},
	Entry("3 members", 3), Entry("5 members", 5),
)

func BenchmarkLeaderLoss(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(strconv.Itoa(voters), func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				times = lossTimes(voters, 1000)
			}
			b.ReportMetric(float64(times[500].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(times[990].Milliseconds()), "p99-ms")
			b.ReportMetric(float64(times[999].Milliseconds()), "max-ms")
		})
	}
}

// BenchmarkIdle counts what an idle group sends per second of simulated time.
func BenchmarkIdle(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(strconv.Itoa(voters), func(b *testing.B) {
			const seconds = 60
			var s *sim
			for b.Loop() {
				s = newSim(1, voters, faults{}, Options{})
				s.run(2 * time.Second)
				s.messages, s.bytes = 0, 0
				s.run(seconds * time.Second)
			}
			b.ReportMetric(float64(s.messages)/seconds, "messages/s")
			b.ReportMetric(float64(s.bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(s.bytes)/seconds/float64(voters), "bytes/s/member")
		})
	}
}

// BenchmarkIdleLearners counts what the leader of a large data centre sends while idle: 5 voters and 90 learners.
func BenchmarkIdleLearners(b *testing.B) {
	const voters, learners, seconds = 5, 90, 20
	var s *sim
	for b.Loop() {
		s = newSim(1, voters, faults{}, Options{})
		for id := uint64(voters + 1); id <= voters+learners; id++ {
			s.until(time.Second, func() bool { return s.leader() != nil && s.leader().holdsLease() })
			s.add(id, nil)
			s.leader().m.change(&schemav1.MembershipChange{
				Kind: add, Member: &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)},
			}, func([]byte, error) {})
			s.leader().finish()
			s.run(100 * time.Millisecond)
		}
		s.run(2 * time.Second)
		if members := len(s.leader().m.node.Status().Members); members != voters+learners {
			b.Fatalf("%d members", members)
		}
		s.messages, s.bytes = 0, 0
		clear(s.bytesBy)
		s.run(seconds * time.Second)
	}
	b.ReportMetric(float64(s.messages)/seconds, "messages/s")
	b.ReportMetric(float64(s.bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(s.bytesBy[s.leader().id])/seconds, "leader-bytes/s")
}

// directGroup delivers at once and in order, to measure the members without the simulation.
type directGroup struct {
	members map[string]*member
	queue   []func()
}

func (g *directGroup) Send(address string, batch *schemav1.RaftBatch) {
	g.queue = append(g.queue, func() {
		if m := g.members[address]; m != nil {
			_ = m.step(batch)
			_ = m.flush()
		}
	})
}

func (g *directGroup) settle() {
	for len(g.queue) > 0 {
		next := g.queue[0]
		g.queue = g.queue[1:]
		next()
	}
}

func newDirectGroup(b *testing.B, options Options) *directGroup {
	g := &directGroup{members: map[string]*member{}}
	var members []*schemav1.Member
	for id := uint64(1); id <= 3; id++ {
		members = append(members, &schemav1.Member{Id: id, Address: strconv.FormatUint(id, 10)})
	}
	for _, voter := range members {
		options.ID, options.Address, options.InitialMembers = voter.GetId(), voter.GetAddress(), members
		options.Storage, options.Transport, options.StateMachine = NewMemoryStorage(), g, &recorder{}
		options.Rand = func(n int) int { return min(int(voter.GetId())*5, n-1) }
		m, err := newMember(options)
		if err != nil {
			b.Fatal(err)
		}
		g.members[voter.GetAddress()] = m
	}
	for tick := time.Duration(1); tick < 40; tick++ {
		for _, voter := range members {
			m := g.members[voter.GetAddress()]
			m.advance(tick * DefaultTick)
			_ = m.flush()
		}
		g.settle()
	}
	return g
}

// BenchmarkAppend replicates 100-byte commands among three members with memory storages, in one goroutine.
func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch-%d", batch), func(b *testing.B) {
			g := newDirectGroup(b, Options{SnapshotThresholdBytes: 1 << 30, SnapshotThresholdEntries: 1 << 30})
			leader, value, acknowledged := g.members["1"], make([]byte, 100), 0
			for b.Loop() {
				for range batch {
					leader.propose(value, func(_ []byte, err error) {
						if err == nil {
							acknowledged++
						}
					})
				}
				_ = leader.flush()
				g.settle()
			}
			b.ReportMetric(float64(acknowledged)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// loaded returns a member with count applied commands of 100 bytes, and the heap that it takes.
func loaded(b *testing.B, count int) (m *member, heap uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m, err := newMember(Options{
		ID: 1, Address: "1", InitialMembers: []*schemav1.Member{{Id: 1, Address: "1"}}, Storage: NewMemoryStorage(),
		Transport: &directGroup{}, StateMachine: &recorder{}, SnapshotThresholdBytes: 1 << 30, SnapshotThresholdEntries: 1 << 30,
		Rand: func(int) int { return 0 },
	})
	if err != nil {
		b.Fatal(err)
	}
	m.advance(time.Second)
	for i := range count {
		m.propose(make([]byte, 100), func([]byte, error) {})
		if i%256 == 0 || i == count-1 {
			if err := m.flush(); err != nil {
				b.Fatal(err)
			}
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if m.applied < uint64(count) {
		b.Fatalf("applied %d of %d", m.applied, count)
	}
	return m, after.HeapAlloc - before.HeapAlloc
}

// BenchmarkRecovery measures a start from the log, a snapshot, a start from the snapshot, and the heap with the log.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1_000, 100_000} {
		m, heap := loaded(b, count)
		restart := func(b *testing.B) {
			options := m.options
			for b.Loop() {
				options.StateMachine = &recorder{}
				again, err := newMember(options)
				if err != nil {
					b.Fatal(err)
				}
				again.advance(time.Second)
				if err := again.flush(); err != nil || again.applied < uint64(count) {
					b.Fatal(err, again.applied)
				}
			}
		}
		b.Run(fmt.Sprintf("%d/log", count), func(b *testing.B) {
			restart(b)
			b.ReportMetric(float64(heap), "heap-bytes")
		})
		m.options.SnapshotThresholdEntries = 1
		b.Run(fmt.Sprintf("%d/take-snapshot", count), func(b *testing.B) {
			for b.Loop() {
				machine := m.options.StateMachine.(*recorder)
				machine.records = machine.records[:count-1]
				m.propose(make([]byte, 100), func([]byte, error) {})
				if err := m.flush(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(m.snapshotSize), "snapshot-bytes")
		})
		m.options.SnapshotThresholdEntries = 1 << 30
		b.Run(fmt.Sprintf("%d/snapshot", count), restart)
	}
}
