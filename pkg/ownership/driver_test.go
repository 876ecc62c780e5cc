package ownership_test

import (
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
}

func newSingle(hosts int, shards uint32) *single {
	s := &single{log: newLog(), holds: true}
	s.apply(setView(view(1, hosts, shards)))
	s.lead()
	return s
}

func (s *single) lead() {
	s.driver = ownership.NewDriver(s.table, func() time.Duration { return s.now }, ownership.Options{
		HoldsLease: func() bool { return s.holds },
	})
}

func (s *single) renew(host string, identity uint64) bool {
	return s.driver.Renew(s.now, &schemav1.RenewRequest{
		Host: host, Identity: identity, Generation: 1, Applied: s.table.Applied(),
	}).Granted
}

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
