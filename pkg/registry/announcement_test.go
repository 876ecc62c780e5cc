package registry

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Announcements", func() {
	It("are outdated when a later one of the same start of the target has arrived", func() {
		order := &AnnouncementOrder{}
		ready := registration("t", 1, schemav1.Life_LIFE_READY)
		cold := registration("t", 1, schemav1.Life_LIFE_READY)
		cold.Cold = true
		Expect(order.NeedsCommit(cold, ready, 5, true)).To(BeTrue())
		Expect(order.NeedsCommit(ready, cold, 4, true)).To(BeFalse())
		Expect(order.NeedsCommit(ready, ready, 6, true)).To(BeFalse())
		Expect(order.NeedsCommit(ready, registration("t", 2, schemav1.Life_LIFE_READY), 1, true)).To(BeTrue())
	})

	// Guards against an acknowledged target that drains and still gets requests (DRAIN): a later announcement has failed, and an earlier one
	// arrives after it.
	It("are committed also when outdated if the target drains and that is not known yet", func() {
		order := &AnnouncementOrder{}
		ready, draining := registration("t", 1, schemav1.Life_LIFE_READY), registration("t", 1, schemav1.Life_LIFE_DRAINING)
		Expect(order.NeedsCommit(ready, draining, 9, true)).To(BeTrue())
		Expect(order.NeedsCommit(ready, draining, 8, true)).To(BeTrue())
		Expect(order.NeedsCommit(draining, draining, 8, true)).To(BeFalse())
	})

	It("of a cold target are committed also when they repeat an outdated registration", func() {
		order := &AnnouncementOrder{}
		cold := registration("t", 1, schemav1.Life_LIFE_READY)
		cold.Cold = true
		Expect(order.NeedsCommit(cold, cold, 5, true)).To(BeFalse())
		Expect(order.NeedsCommit(cold, cold, 6, false)).To(BeTrue())
		Expect(order.NeedsCommit(cold, cold, 5, false)).To(BeFalse())
		ready := registration("t", 1, schemav1.Life_LIFE_READY)
		Expect(order.NeedsCommit(ready, ready, 7, false)).To(BeFalse())
	})

	// Guards against registry hosts that spend their processor time on announcements (sweep at 300 hosts: 3,000 targets, 4 registry hosts).
	It("are taken by the entry hosts of the target's data centre where there are many targets for each registry host", func() {
		s := NewState()
		for _, dataCentre := range []string{"n", "s"} {
			apply(s, &schemav1.RegistryCommand{RegistryHost: &schemav1.RegistryHost{
				Name: "registry-" + dataCentre, DataCentre: dataCentre, PeerAddress: dataCentre + ":1",
			}})
			for i := range 10 {
				apply(s, &schemav1.RegistryCommand{EntryJoined: &schemav1.EntryHost{
					Name: fmt.Sprint(dataCentre, i), DataCentre: dataCentre, AnnounceAddress: fmt.Sprintf("10.0.0.%d:1", i),
				}})
			}
		}
		targets := make([]*schemav1.Registration, 0, 3*maxTargetsPerRegistryHost)
		for i := range 3 * maxTargetsPerRegistryHost {
			Expect(s.NeedsRelays()).To(Equal(i > 2*maxTargetsPerRegistryHost))
			target := registration(fmt.Sprint("t", i), 1, schemav1.Life_LIFE_READY)
			target.Address, target.DataCentre = fmt.Sprint("10.0.1.1:", i), "s"
			Expect(announce(s, target)).To(BeTrue())
			targets = append(targets, target)
		}
		before := map[string]string{}
		share := map[string]int{}
		for _, target := range targets {
			relay := s.Relay(target)
			Expect(relay.GetDataCentre()).To(Equal("s"))
			before[target.GetId()] = relay.GetName()
			share[relay.GetName()]++
		}
		Expect(share).To(HaveLen(10))
		for name, count := range share {
			Expect(count).To(BeNumerically("<", 2*len(targets)/10), name)
		}
		apply(s, &schemav1.RegistryCommand{EntryLeft: "s3"})
		for _, target := range targets {
			if before[target.GetId()] != "s3" {
				Expect(s.Relay(target).GetName()).To(Equal(before[target.GetId()]))
			} else {
				Expect(s.Relay(target).GetName()).NotTo(Equal("s3"))
			}
		}
		Expect(s.Relay(&schemav1.Registration{Id: "t", DataCentre: "elsewhere"})).To(BeNil())
	})
})
