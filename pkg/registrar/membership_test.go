package registrar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/replication"
)

var _ = Describe("Changes of members", func() {
	voter := func(id uint64, address string, silent time.Duration) replication.MemberStatus {
		return replication.MemberStatus{ID: id, Address: address, SinceLastResponse: silent, CaughtUp: true}
	}
	learner := func(id uint64, address string, caughtUp bool) replication.MemberStatus {
		return replication.MemberStatus{ID: id, Address: address, Learner: true, CaughtUp: caughtUp}
	}
	three := func() []replication.MemberStatus {
		return []replication.MemberStatus{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", 0)}
	}

	It("keeps as many voters as tolerate the losses, and the rest as learners", func() {
		Expect([]int{wantedVoters(0), wantedVoters(1), wantedVoters(2)}).To(Equal([]int{3, 3, 5}))
		next, _ := nextChange(append(three(), learner(4, "d", true)), 1, 3)
		Expect(next).To(BeNil())
		_, reason := nextChange(append(three(), learner(4, "d", true)), 1, 5)
		Expect(reason).To(Equal("too few voters"))
	})

	It("makes the learner that replaces a wiped disk a voter before it removes the old voter", func() {
		members := three()
		members[2].SinceLastResponse = 5 * time.Second
		members = append(members, learner(9, "c", false))
		next, _ := nextChange(members, 1, 3)
		Expect(next).To(BeNil(), "the learner has not caught up")
		members[3].CaughtUp = true
		_, reason := nextChange(members, 1, 3)
		Expect(reason).To(Equal("replaces a voter that lost its disk"))
		members[3].Learner = false
		_, reason = nextChange(members, 1, 3)
		Expect(reason).To(Equal("voter that lost its disk"))
	})

	It("replaces a voter that stays away, and only after several heartbeats", func() {
		members := append(three(), learner(4, "d", true))
		members[1].SinceLastResponse = voterSilence / 2
		next, _ := nextChange(members, 1, 3)
		Expect(next).To(BeNil())
		members[1].SinceLastResponse = voterSilence + time.Second
		_, reason := nextChange(members, 1, 3)
		Expect(reason).To(Equal("replaces a silent voter"))
		members[3].Learner = false
		_, reason = nextChange(members, 1, 3)
		Expect(reason).To(Equal("silent voter was replaced"))
	})

	It("never removes a voter when none is there to replace it", func() {
		members := three()
		members[1].SinceLastResponse = time.Hour
		next, _ := nextChange(members, 1, 3)
		Expect(next).To(BeNil())
	})
})
