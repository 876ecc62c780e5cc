package registrar

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/replication"
)

var _ = Describe("Membership changes", func() {
	voter := func(id uint64, address string) replication.MemberStatus {
		return replication.MemberStatus{ID: id, Address: address, CaughtUp: true}
	}
	learner := func(id uint64, address string, caughtUp bool) replication.MemberStatus {
		return replication.MemberStatus{ID: id, Address: address, Learner: true, CaughtUp: caughtUp}
	}
	three := func() []replication.MemberStatus {
		return []replication.MemberStatus{voter(1, "a"), voter(2, "b"), voter(3, "c")}
	}

	It("keeps as many voters as the fault tolerance needs, and the other members as learners", func() {
		Expect([]int{voterCount(0), voterCount(1), voterCount(2)}).To(Equal([]int{3, 3, 5}))
		next, _ := nextMembershipChange(append(three(), learner(4, "d", true)), 1, 3)
		Expect(next).To(BeNil())
		_, reason := nextMembershipChange(append(three(), learner(4, "d", true)), 1, 5)
		Expect(reason).To(Equal("too few voters"))
	})

	It("removes a voter that lost its disk once the new member of its host has caught up, and promotes that one then", func() {
		members := three()
		members[2].SinceLastResponse = 5 * time.Second
		members = append(members, learner(9, "c", false))
		next, _ := nextMembershipChange(members, 1, 3)
		Expect(next).To(BeNil(), "the learner has not caught up")
		members[3].CaughtUp = true
		next, reason := nextMembershipChange(members, 1, 3)
		Expect(reason).To(Equal("voter that lost its disk"))
		Expect(next).To(Equal(remove(3)))
		members = slices.Delete(members, 2, 3)
		next, _ = nextMembershipChange(members, 1, 3)
		Expect(next).To(Equal(promote(9)))
	})

	// Guards against a group that elects no leader any more because it depended on the new member of a host that lost its disk, and then lost it again.
	DescribeTable("never depends on hosts that lost their disk, and always stores on more hosts than may be lost",
		func(hosts, faultTolerance int, lost ...string) {
			wanted := voterCount(faultTolerance)
			var members []replication.MemberStatus
			for i := range hosts {
				m := voter(uint64(i+1), string(rune('a'+i)))
				m.Learner = i >= wanted
				if slices.Contains(lost, m.Address) {
					m.SinceLastResponse = voterTimeout / 2
				}
				members = append(members, m)
			}
			for i, address := range lost {
				members = append(members, learner(uint64(100+i), address, true))
			}
			change, reason := nextMembershipChange(members, 1, wanted)
			for ; change != nil; change, reason = nextMembershipChange(members, 1, wanted) {
				i := slices.IndexFunc(members, func(m replication.MemberStatus) bool { return m.ID == change.id })
				if change.promote {
					members[i].Learner = false
				} else {
					members = slices.Delete(members, i, i+1)
				}
				voters, kept := 0, 0
				for _, m := range members {
					if !m.Learner {
						voters++
						if !slices.Contains(lost, m.Address) {
							kept++
						}
					}
				}
				Expect(kept).To(BeNumerically(">", voters/2), "voters that elect a leader after: %s", reason)
				Expect(voters/2+1).To(BeNumerically(">", faultTolerance), "voters that store an entry after: %s", reason)
			}
			Expect(members).To(HaveLen(hosts))
			Expect(slices.ContainsFunc(members, func(m replication.MemberStatus) bool { return m.SinceLastResponse > 0 })).To(BeFalse())
		},
		Entry("three hosts, one lost", 3, 1, "b"),
		Entry("four hosts, one lost", 4, 1, "c"),
		Entry("five hosts, one lost", 5, 2, "b"),
		Entry("five hosts, two lost", 5, 2, "b", "e"),
		Entry("six hosts, two lost", 6, 2, "b", "c"),
	)

	It("replaces an unresponsive voter, but only after several heartbeats", func() {
		members := append(three(), learner(4, "d", true))
		members[1].SinceLastResponse = voterTimeout / 2
		next, _ := nextMembershipChange(members, 1, 3)
		Expect(next).To(BeNil())
		members[1].SinceLastResponse = voterTimeout + time.Second
		_, reason := nextMembershipChange(members, 1, 3)
		Expect(reason).To(Equal("replaces an unresponsive voter"))
		members[3].Learner = false
		_, reason = nextMembershipChange(members, 1, 3)
		Expect(reason).To(Equal("unresponsive voter was replaced"))
	})

	It("never removes a voter without a replacement", func() {
		members := three()
		members[1].SinceLastResponse = time.Hour
		next, _ := nextMembershipChange(members, 1, 3)
		Expect(next).To(BeNil())
	})
})
