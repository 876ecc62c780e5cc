package registrar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/replication"
)

var _ = Describe("Membership changes", func() {
	voter := func(id uint64, address string, sinceLastResponse time.Duration) replication.MemberStatus {
		return replication.MemberStatus{ID: id, Address: address, SinceLastResponse: sinceLastResponse, CaughtUp: true}
	}
	learner := func(id uint64, address string, caughtUp bool) replication.MemberStatus {
		return replication.MemberStatus{ID: id, Address: address, Learner: true, CaughtUp: caughtUp}
	}
	three := func() []replication.MemberStatus {
		return []replication.MemberStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0)}
	}

	It("keeps as many voters as the fault tolerance needs, and the other members as learners", func() {
		Expect([]int{voterCount(0), voterCount(1), voterCount(2)}).To(Equal([]int{3, 3, 5}))
		next, _ := nextMembershipChange(append(three(), learner(4, "d", true)), 1, 3)
		Expect(next).To(BeNil())
		_, reason := nextMembershipChange(append(three(), learner(4, "d", true)), 1, 5)
		Expect(reason).To(Equal("too few voters"))
	})

	It("promotes the learner of a host that lost its disk before it removes the old voter of that host", func() {
		members := three()
		members[2].SinceLastResponse = 5 * time.Second
		members = append(members, learner(9, "c", false))
		next, _ := nextMembershipChange(members, 1, 3)
		Expect(next).To(BeNil(), "the learner has not caught up")
		members[3].CaughtUp = true
		_, reason := nextMembershipChange(members, 1, 3)
		Expect(reason).To(Equal("replaces a voter that lost its disk"))
		members[3].Learner = false
		_, reason = nextMembershipChange(members, 1, 3)
		Expect(reason).To(Equal("voter that lost its disk"))
	})

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
