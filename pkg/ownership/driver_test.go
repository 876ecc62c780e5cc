package ownership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// testLeader is a leader whose commands are applied at once and whose hosts renew their leases on demand.
type testLeader struct {
	*replica
	driver           *ownership.Driver
	now              time.Duration
	holdsLeaderLease bool

	sequence uint64
	muted    map[string]bool
	moves    int
}

func newTestLeader(hosts int, shards uint32) *testLeader {
	s := &testLeader{replica: newReplica(), holdsLeaderLease: true, muted: map[string]bool{}}
	s.apply(setView(controlView(1, hosts, shards)))
	s.startDriver()
	return s
}

func (s *testLeader) startDriver() {
	s.driver = ownership.NewDriver(s.table, func() time.Duration { return s.now }, ownership.Options{
		HoldsLeaderLease: func() bool { return s.holdsLeaderLease },
	})
}

func (s *testLeader) renew(host string, identity uint64) bool {
	return s.driver.Renew(s.now, &schemav1.RenewRequest{
		Host: host, Identity: identity, Generation: 1, Applied: s.table.AppliedIndex(),
	}).Granted
}

// advance lets time pass: hosts renew every 100 ms with reports about their targets, the driver steps every 20 ms, targets that
// are not muted announce themselves every second, and moving shards are released at once.
func (s *testLeader) advance(duration time.Duration, report func(target string) *schemav1.TargetReport) {
	for end := s.now + duration; s.now < end; {
		s.now += 20 * time.Millisecond
		if s.now%(100*time.Millisecond) == 0 {
			s.renewAll(report)
		}
		for _, record := range s.table.Targets() {
			if s.now%time.Second == 0 && !s.muted[record.Announcement.Target] {
				s.sequence++
				_, err := s.driver.Announce(s.now, announcement(record.Announcement.Target, record.Announcement.BootId, s.sequence))
				Expect(err).NotTo(HaveOccurred())
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

func (s *testLeader) renewAll(report func(target string) *schemav1.TargetReport) {
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

// newSettledLeader returns a leader 15 s after its start, when targets t1 to tN own all shards.
func newSettledLeader(targets int, shards uint32) *testLeader {
	s := newTestLeader(2, shards)
	for i := 1; i <= targets; i++ {
		s.apply(registerTarget(announcement(fmt.Sprintf("t%d", i), "b1", 1)))
	}
	s.sequence = 1
	s.advance(15*time.Second, idleReport)
	s.moves = 0
	return s
}

// idleReport reports a target without load and with a latency of 1 ms.
func idleReport(string) *schemav1.TargetReport { return &schemav1.TargetReport{LatencyP50Us: 1000} }

func (s *testLeader) step() []*schemav1.GroupCommand {
	commands := s.driver.Step(s.now)
	for _, command := range commands {
		s.apply(command)
	}
	return commands
}

var _ = Describe("Driver", func() {
	It("attaches targets evenly and assigns all shards", func() {
		s := newTestLeader(2, 16)
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

	// Guards against a leader that is cut off or was stopped for a while and still answers announcements: one that it accepted was lost, and
	// one that contradicts its old table was refused for good.
	It("answers no announcement without the leader lease", func() {
		s := newTestLeader(1, 4)
		Expect(s.renew("h1", 1)).To(BeTrue())
		Expect(s.driver.Announce(s.now, announcement("t1", "b1", 1))).To(BeTrue())
		s.step()
		s.holdsLeaderLease = false
		draining, moved := announcement("t1", "b1", 2), announcement("t1", "b2", 1)
		draining.Draining, moved.Address = true, "elsewhere:80"
		for _, a := range []*schemav1.Announcement{draining, moved} {
			_, err := s.driver.Announce(s.now, a)
			Expect(err).To(MatchError(ownership.ErrNoLeaderLease))
		}
		s.holdsLeaderLease = true
		Expect(s.driver.Announce(s.now, draining)).To(BeTrue())
	})

	// A process without the leader lease must not grant leases, and a process that is not the host it claims to be must not get
	// one (I1).
	It("I1: refuses leases and commands without the leader lease", func() {
		s := newTestLeader(1, 4)
		Expect(s.driver.Announce(s.now, announcement("t1", "b1", 1))).To(BeTrue())
		s.holdsLeaderLease = false
		Expect(s.renew("h1", 1)).To(BeFalse())
		Expect(s.step()).To(BeEmpty())
		s.holdsLeaderLease = true
		Expect(s.renew("h1", 7)).To(BeFalse(), "another identity")
		Expect(s.renew("h9", 1)).To(BeFalse(), "unknown host")
		Expect(s.driver.Renew(s.now, &schemav1.RenewRequest{Host: "h1", Identity: 1, Generation: 2}).Granted).To(BeFalse())
		Expect(s.renew("h1", 1)).To(BeTrue())
	})
})
