package replication

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/jonboulle/clockwork"
)

// cluster runs replicas with their goroutines on one fake clock and a perfect network.
type cluster struct {
	clock    *clockwork.FakeClock
	mutex    sync.Mutex
	replicas map[string]*Replica
	storages map[string]*failingStorage
	sent     atomic.Int64
}

func (c *cluster) Send(address string, batch *schemav1.RaftBatch) {
	c.sent.Add(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if replica := c.replicas[address]; replica != nil {
		_ = replica.Step(batch)
	}
}

// failingStorage fails or blocks on demand.
type failingStorage struct {
	MemoryStorage
	fail  atomic.Bool
	gate  sync.Mutex
	saves atomic.Int64
}

var errDiskFull = errors.New("no space left on device")

func (s *failingStorage) Save(h *schemav1.HardState, e []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	s.saves.Add(1)
	s.gate.Lock()
	defer s.gate.Unlock()
	if s.fail.Load() {
		return errDiskFull
	}
	return s.MemoryStorage.Save(h, e, snapshot)
}

func newCluster(voters int) *cluster {
	c := &cluster{
		clock: clockwork.NewFakeClock(), replicas: map[string]*Replica{}, storages: map[string]*failingStorage{},
	}
	var members []*schemav1.Member
	for id := 1; id <= voters; id++ {
		members = append(members, &schemav1.Member{Id: uint64(id), Address: strconv.Itoa(id)})
	}
	for _, member := range members {
		c.start(member.GetId(), members)
	}
	DeferCleanup(func() {
		for _, replica := range c.replicas {
			replica.Stop()
		}
	})
	return c
}

func (c *cluster) start(id uint64, members []*schemav1.Member) *Replica {
	GinkgoHelper()
	address, storage := strconv.FormatUint(id, 10), &failingStorage{}
	replica, err := New(Options{
		ID: id, Address: address, Group: "seoul-mapo", Generation: 1, InitialMembers: members, Storage: storage,
		Transport: c, StateMachine: &recorder{}, Clock: c.clock,
		// The first member's timeouts are the shortest, so that it always wins.
		Rand: func(n int) int { return min(int(id-1)*5, n-1) },
	})
	Expect(err).NotTo(HaveOccurred())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.replicas[address], c.storages[address] = replica, storage
	return replica
}

// advance moves the clock in ticks and lets all replicas handle each one and the messages that follow.
func (c *cluster) advance(duration time.Duration) {
	for passed := time.Duration(0); passed < duration; passed += DefaultTick {
		c.clock.Advance(DefaultTick)
		for range 4 {
			for _, replica := range c.replicas {
				_, _ = replica.await(context.Background(), func(done done) { done(nil, nil) })
			}
		}
	}
}

// answers keeps what a replica sends.
type answers struct {
	mutex sync.Mutex
	kinds []schemav1.RaftMessageType
}

func (a *answers) Send(_ string, batch *schemav1.RaftBatch) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, m := range batch.GetMessages() {
		a.kinds = append(a.kinds, m.GetType())
	}
}

// pausingClock stops the process right after it has read the clock, once.
type pausingClock struct {
	*clockwork.FakeClock
	armed           atomic.Bool
	paused, release chan struct{}
}

func (c *pausingClock) Since(start time.Time) time.Duration {
	elapsed := c.FakeClock.Since(start)
	if c.armed.CompareAndSwap(true, false) {
		close(c.paused)
		<-c.release
	}
	return elapsed
}

// A heartbeat must not be handled with a reading of the clock from before it was sent. Otherwise the replica would vote
// although the leader's lease, which starts when the heartbeat is sent, still holds.
var _ = It("refuses votes after a heartbeat that arrived during a pause of its process", func() {
	sent := &answers{}
	clock := &pausingClock{
		FakeClock: clockwork.NewFakeClock(), paused: make(chan struct{}), release: make(chan struct{}),
	}
	replica, err := New(Options{
		ID: 1, Clock: clock, Storage: NewMemoryStorage(), Transport: sent, StateMachine: &recorder{},
		InitialMembers: []*schemav1.Member{{Id: 1, Address: "1"}, {Id: 2, Address: "2"}, {Id: 3, Address: "3"}},
	})
	Expect(err).NotTo(HaveOccurred())
	defer replica.Stop()
	step := func(m *schemav1.RaftMessage) {
		m.To = 1
		Expect(replica.Step(&schemav1.RaftBatch{Messages: []*schemav1.RaftMessage{m}})).To(Succeed())
	}
	heartbeat := schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT
	clock.armed.Store(true)
	step(&schemav1.RaftMessage{Type: heartbeat, From: 2, Term: 5})
	<-clock.paused
	clock.Advance(500 * time.Millisecond)
	step(&schemav1.RaftMessage{Type: heartbeat, From: 2, Term: 5})
	close(clock.release)
	for range 2 {
		// Each call takes one cycle, so that the vote comes in a later one than the heartbeat.
		_, err = replica.await(context.Background(), func(done done) { done(nil, nil) })
		Expect(err).NotTo(HaveOccurred())
	}
	step(&schemav1.RaftMessage{
		Type: schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, From: 3, Term: 6, Index: 9, LogTerm: 5,
	})
	_, err = replica.await(context.Background(), func(done done) { done(nil, nil) })
	Expect(err).NotTo(HaveOccurred())
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	Expect(sent.kinds).To(ContainElement(schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE))
	Expect(sent.kinds).NotTo(ContainElement(schemav1.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_RESPONSE))
})

// stuckProposal proposes at member 1 and returns once its goroutine hangs in a save, until release is called.
func (c *cluster) stuckProposal(ctx context.Context, leader *Replica) (release func(), outcome chan error) {
	storage := c.storages["1"]
	storage.gate.Lock()
	before := storage.saves.Load()
	outcome = make(chan error, 1)
	go func() {
		_, err := leader.Propose(ctx, command(1))
		outcome <- err
	}()
	Eventually(storage.saves.Load).Should(BeNumerically(">", before))
	return storage.gate.Unlock, outcome
}

func command(value uint64) []byte { return binary.BigEndian.AppendUint64(nil, value) }

var _ = Describe("Replica", func() {
	ctx := context.Background()
	var c *cluster
	var leader, follower *Replica

	BeforeEach(func() {
		c = newCluster(3)
		c.advance(400 * time.Millisecond)
		leader, follower = c.replicas["1"], c.replicas["2"]
		Expect(leader.Status().Role).To(Equal(raft.Leader))
		Expect(leader.HoldsLease()).To(BeTrue())
	})

	It("answers concurrent proposals with the results of the state machine", func() {
		var group sync.WaitGroup
		results := make([]uint64, 100)
		for i := range results {
			group.Go(func() {
				defer GinkgoRecover()
				result, err := leader.Propose(ctx, command(uint64(i)))
				Expect(err).NotTo(HaveOccurred())
				results[i] = binary.BigEndian.Uint64(result)
			})
		}
		group.Wait()
		seen := map[uint64]bool{}
		for _, index := range results {
			Expect(seen[index]).To(BeFalse(), "two proposals got one index")
			seen[index] = true
		}
		Expect(leader.ReadBarrier(ctx)).To(Succeed())
		Expect(leader.Status().AppliedIndex).To(BeNumerically(">=", 100))
	})

	It("names the leader when a follower is asked", func() {
		_, err := follower.Propose(ctx, command(1))
		var notLeader *NotLeaderError
		Expect(errors.As(err, &notLeader)).To(BeTrue())
		Expect(*notLeader).To(Equal(NotLeaderError{LeaderID: 1, LeaderAddress: "1"}))
		Expect(errors.As(follower.ReadBarrier(ctx), &notLeader)).To(BeTrue())
		Expect(follower.HoldsLease()).To(BeFalse())
	})

	It("stops and acknowledges nothing when a save fails", func() {
		c.storages["1"].fail.Store(true)
		before := c.sent.Load()
		_, err := leader.Propose(ctx, command(1))
		var unknown *OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Eventually(leader.Done()).Should(BeClosed())
		var failed *OperationError
		Expect(errors.As(leader.Err(), &failed)).To(BeTrue())
		Expect(failed.Operation).To(Equal(OperationSave))
		Expect(errors.Is(failed, errDiskFull)).To(BeTrue())
		Expect(c.sent.Load()).To(Equal(before))
		Expect(leader.HoldsLease()).To(BeFalse())
		_, err = leader.Propose(ctx, command(1))
		Expect(errors.As(err, &failed)).To(BeTrue())
	})

	It("holds no lease while its process is stuck beyond the lease", func() {
		release, _ := c.stuckProposal(ctx, leader)
		defer release()
		c.clock.Advance(200 * time.Millisecond)
		Expect(leader.HoldsLease()).To(BeFalse())
	})

	It("tells that the outcome is unknown when the caller stops waiting", func() {
		short, cancel := context.WithCancel(ctx)
		release, outcome := c.stuckProposal(short, leader)
		defer release()
		cancel()
		err := <-outcome
		var unknown *OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	})

	It("seals durably, refuses afterwards, and repeats the answer", func() {
		_, err := leader.Propose(ctx, command(7))
		Expect(err).NotTo(HaveOccurred())
		first, err := leader.Seal(ctx)
		Expect(err).NotTo(HaveOccurred())
		state, err := c.storages["1"].Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.HardState.GetSealed()).To(BeTrue())
		fresh := &recorder{}
		_, err = first.BuildSnapshot(fresh)
		Expect(err).NotTo(HaveOccurred())
		Expect(fresh.records).To(HaveLen(1))
		again, err := leader.Seal(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		_, err = leader.Propose(ctx, command(8))
		Expect(reasonOf(err)).To(Equal(raft.ReasonSealed))
		Expect(leader.HoldsLease()).To(BeFalse())
	})

	It("adds, promotes and removes members", func() {
		Expect(leader.AddLearner(ctx, 4, "4")).To(Succeed())
		joined := c.start(4, nil)
		c.advance(200 * time.Millisecond)
		Expect(joined.Status().AppliedIndex).To(Equal(leader.Status().AppliedIndex))
		Expect(reasonOf(leader.AddLearner(ctx, 4, "4"))).To(Equal(raft.ReasonMemberExists))
		Expect(leader.Promote(ctx, 4)).To(Succeed())
		Expect(leader.Remove(ctx, 2)).To(Succeed())
		c.advance(100 * time.Millisecond)
		Expect(leader.Status().Members).To(HaveLen(3))
		Expect(leader.TransferLeadership(ctx, 4)).To(Succeed())
		c.advance(50 * time.Millisecond)
		Expect(joined.Status().Role).To(Equal(raft.Leader))
	})

	It("refuses batches of another generation, which could vote in the wrong group", func() {
		var wrong *WrongGroupError
		err := leader.Step(&schemav1.RaftBatch{Group: "seoul-mapo", Generation: 2})
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})

	It("answers calls after Stop", func() {
		leader.Stop()
		leader.Stop()
		_, err := leader.Propose(ctx, command(1))
		var stopped *StoppedError
		Expect(errors.As(err, &stopped)).To(BeTrue())
		Expect(leader.Err()).NotTo(HaveOccurred())
	})
})

var _ = DescribeTable("storage keeps the log across saves",
	func(save func(s Storage), indexes ...uint64) {
		s := NewMemoryStorage()
		Expect(s.Save(&schemav1.HardState{Term: 2, Commit: 1}, entries(2, 2, 3, 4, 5), &schemav1.Snapshot{Index: 1, Term: 1})).
			To(Succeed())
		save(s)
		state, err := s.Load()
		Expect(err).NotTo(HaveOccurred())
		found := []uint64{}
		for _, entry := range state.Entries {
			found = append(found, entry.GetIndex())
		}
		Expect(found).To(Equal(indexes))
		Expect(state.HardState.GetTerm()).To(Equal(uint64(2)))
	},
	Entry("new entries replace from their first index on", func(s Storage) {
		_ = s.Save(nil, entries(3, 4), nil)
	}, uint64(2), uint64(3), uint64(4)),
	Entry("own snapshot keeps later entries", func(s Storage) {
		_ = s.Save(nil, nil, &schemav1.Snapshot{Index: 3, Term: 2})
	}, uint64(4), uint64(5)),
	Entry("snapshot of another history drops all entries", func(s Storage) {
		_ = s.Save(nil, nil, &schemav1.Snapshot{Index: 3, Term: 3})
	}),
	Entry("snapshot beyond the log, then entries", func(s Storage) {
		_ = s.Save(nil, entries(3, 10, 11), &schemav1.Snapshot{Index: 9, Term: 3})
	}, uint64(10), uint64(11)),
)

func entries(term uint64, indexes ...uint64) []*schemav1.Entry {
	var list []*schemav1.Entry
	for _, index := range indexes {
		list = append(list, &schemav1.Entry{Term: term, Index: index, Type: schemav1.EntryType_ENTRY_TYPE_COMMAND})
	}
	return list
}
