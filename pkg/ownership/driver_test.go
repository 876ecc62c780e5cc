package ownership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// single is a leader whose commands are applied at once, with hosts that renew on demand.
type single struct {
	*log
	driver *ownership.Driver
	now    time.Duration
	holds  bool

	sequence uint64
	silent   map[string]bool
	moves    int
}

func newSingle(hosts int, shards uint32) *single {
	s := &single{log: newLog(), holds: true, silent: map[string]bool{}}
	s.apply(setView(view(1, hosts, shards)))
	s.lead()
	return s
}

func (s *single) lead() {
	s.driver = ownership.NewDriver(s.table, func() time.Duration { return s.now }, ownership.Options{
		HoldsLeaderLease: func() bool { return s.holds },
	})
}

func (s *single) renew(host string, identity uint64) bool {
	return s.driver.Renew(s.now, &schemav1.RenewRequest{
		Host: host, Identity: identity, Generation: 1, Applied: s.table.AppliedIndex(),
	}).Granted
}

// advance lets time pass: hosts renew every 100 ms with reports about their targets, the driver steps every 20 ms, targets
// announce themselves every second, and moving shards are released at once.
func (s *single) advance(duration time.Duration, report func(target string) *schemav1.TargetReport) {
	for end := s.now + duration; s.now < end; {
		s.now += 20 * time.Millisecond
		if s.now%(100*time.Millisecond) == 0 {
			s.renewAll(report)
		}
		for _, record := range s.table.Targets() {
			if s.now%time.Second == 0 && !s.silent[record.Announcement.Target] {
				s.sequence++
				s.driver.Announce(s.now, announcement(record.Announcement.Target, record.Announcement.BootId, s.sequence))
			}
		}
		s.step()
		for _, shard := range s.table.Shards() {
			if shard.State == schemav1.ShardState_SHARD_STATE_MOVING {
				s.moves++
				s.apply(finishMove(&schemav1.ShardAssignment{
					Keyspace: keyspaceID, Shard: shard.Shard, Hot: shard.Hot, KeyHash: shard.KeyHash,
					ExpectedFenceCounter: shard.Fence.Counter,
				}))
			}
		}
	}
}

func (s *single) renewAll(report func(target string) *schemav1.TargetReport) {
	for _, host := range s.table.ControlView().Hosts {
		request := &schemav1.RenewRequest{
			Host: host.Name, Identity: host.Identity, Generation: 1, Applied: s.table.AppliedIndex(),
		}
		for _, record := range s.table.TargetsAttachedTo(host.Name) {
			r := report(record.Announcement.Target)
			r.Target, r.BootId = record.Announcement.Target, record.Announcement.BootId
			request.Targets = append(request.Targets, r)
		}
		Expect(s.driver.Renew(s.now, request).Granted).To(BeTrue())
	}
}

// settled returns a leader whose targets t1 to tN own all shards.
func settled(targets int, shards uint32) *single {
	s := newSingle(2, shards)
	for i := 1; i <= targets; i++ {
		s.apply(register(announcement(fmt.Sprintf("t%d", i), "b1", 1)))
	}
	s.sequence = 1
	s.advance(15*time.Second, quiet)
	s.moves = 0
	return s
}

func quiet(string) *schemav1.TargetReport { return &schemav1.TargetReport{LatencyP50Us: 1000} }

func (s *single) step() []*schemav1.GroupCommand {
	commands := s.driver.Step(s.now)
	for _, command := range commands {
		s.apply(command)
	}
	return commands
}

var _ = Describe("Driver", func() {
	It("attaches targets evenly and assigns all shards", func() {
		s := newSingle(2, 16)
		Expect(s.renew("h1", 1) && s.renew("h2", 2)).To(BeTrue())
		for _, target := range []string{"t1", "t2", "t3", "t4"} {
			Expect(s.driver.Announce(s.now, announcement(target, "b1", 1))).To(BeTrue())
		}
		s.step()
		s.step()
		Expect(s.table.TargetsAttachedTo("h1")).To(HaveLen(2))
		Expect(s.table.TargetsAttachedTo("h2")).To(HaveLen(2))
		s.now += 1300 * time.Millisecond
		s.step()
		for _, target := range []string{"t1", "t2", "t3", "t4"} {
			Expect(s.table.ShardsOf(target)).To(HaveLen(4))
		}
		Expect(s.step()).To(BeEmpty(), "a stable table needs no commands")
	})

	// A process that may not lead, or that is not the host it names, must not get or give leases (I1).
	It("I1: refuses leases and commands without the leader lease", func() {
		s := newSingle(1, 4)
		s.driver.Announce(s.now, announcement("t1", "b1", 1))
		s.holds = false
		Expect(s.renew("h1", 1)).To(BeFalse())
		Expect(s.step()).To(BeEmpty())
		s.holds = true
		Expect(s.renew("h1", 7)).To(BeFalse(), "another identity")
		Expect(s.renew("h9", 1)).To(BeFalse(), "unknown host")
		Expect(s.driver.Renew(s.now, &schemav1.RenewRequest{Host: "h1", Identity: 1, Generation: 2}).Granted).To(BeFalse())
		Expect(s.renew("h1", 1)).To(BeTrue())
	})
})
