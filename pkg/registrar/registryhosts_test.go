package registrar

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Entries of registry hosts", func() {
	const leader = 1
	hosts := func(absent bool) []*schemav1.RegistryHost {
		return []*schemav1.RegistryHost{
			{Name: "leader", PeerAddress: "10.0.0.1:1"}, {Name: "other", DataCentre: "n", PeerAddress: "10.0.0.2:1", Absent: absent},
		}
	}
	members := func(other replication.MemberStatus) []replication.MemberStatus {
		other.ID, other.Address = 2, "10.0.0.2:1"
		return []replication.MemberStatus{{ID: leader, Address: "10.0.0.1:1"}, other}
	}

	// Guards against registry hosts that entry hosts and targets are sent to for good although they are gone (CONFIG, review/6).
	It("are absent at once for hosts that are no members any more, and removed when they have not returned for a minute", func() {
		a, without := absences{}, members(replication.MemberStatus{})[:1]
		Expect(a.nextChange(0, hosts(false), without, leader)).To(HaveField("Absent", BeTrue()))
		Expect(a.nextChange(learnerTimeout, hosts(true), without, leader)).To(BeNil())
		Expect(a.nextChange(learnerTimeout+1, hosts(true), without, leader)).To(Equal(&schemav1.RegistryHost{Name: "other"}))
		Expect(a.nextChange(learnerTimeout+2, hosts(true)[:1], without, leader)).To(BeNil())
	})

	It("stay for a host that is a member again", func() {
		a, without := absences{}, members(replication.MemberStatus{})[:1]
		a.nextChange(0, hosts(true), without, leader)
		Expect(a.nextChange(learnerTimeout, hosts(true), members(replication.MemberStatus{MatchIndex: 7}), leader)).To(HaveField("Absent", BeFalse()))
		Expect(a.nextChange(learnerTimeout+1, hosts(true), without, leader)).To(BeNil(), "it counts anew")
	})

	It("tell that a member is absent while it does not respond to the leader", func() {
		a := absences{}
		Expect(a.nextChange(0, hosts(false), members(replication.MemberStatus{SinceLastResponse: absentTimeout}), leader)).To(BeNil())
		change := a.nextChange(0, hosts(false), members(replication.MemberStatus{SinceLastResponse: absentTimeout + time.Millisecond}), leader)
		Expect(proto.Equal(change, hosts(true)[1])).To(BeTrue(), "%v", change)
		responding := replication.MemberStatus{MatchIndex: 7}
		change = a.nextChange(0, hosts(true), members(responding), leader)
		Expect(proto.Equal(change, hosts(false)[1])).To(BeTrue(), "%v", change)
		Expect(a.nextChange(0, hosts(false), members(responding), leader)).To(BeNil())
	})

	It("stay as they are while a new leader has not heard of the member", func() {
		a := absences{}
		Expect(a.nextChange(0, hosts(true), members(replication.MemberStatus{}), leader)).To(BeNil())
		Expect(a.nextChange(0, hosts(false), members(replication.MemberStatus{}), leader)).To(BeNil())
	})

	It("stay for a host that is back without its disk beside the member that it was", func() {
		a, old := absences{}, replication.MemberStatus{ID: 3, Address: "10.0.0.2:1", SinceLastResponse: time.Minute}
		Expect(a.nextChange(0, hosts(false), append(members(replication.MemberStatus{MatchIndex: 7}), old), leader)).To(BeNil())
	})
})

var _ = Describe("Registry host that does not respond", func() {
	// Guards against targets that are sent to a registry host which is gone or stands still at every other announcement.
	It("is not in views, and named to no target, until it is back", func() {
		p := &partition{apart: true}
		hosts := startGroup(p)
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		Eventually(hosts[0].state.RegistryHosts, "5s").Should(HaveLen(len(hosts)))
		next := func() string { return hosts[0].nextAnnounceAddress(&schemav1.Registration{DataCentre: "r3"}) }
		Expect(next()).To(Equal("r3"))
		p.address.Store(&hosts[3].options.PeerAddress)
		Eventually(hosts[0].state.RegistryHosts, absentTimeout+5*time.Second).Should(HaveLen(3))
		Expect(next()).To(BeEmpty())
		Expect(hosts[0].state.AllRegistryHosts()).To(HaveLen(4))
		p.address.Store(nil)
		Eventually(next, "5s").Should(Equal("r3"))
	})
})

var _ = Describe("Registry host that joins", func() {
	// Guards against a host that is away for longer by each seed that is gone or stands still.
	It("does not wait for seeds that do not answer", func() {
		hosts := startGroup(&partition{})
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		var seeds []string
		for range 3 {
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(silent.Close)
			seeds = append(seeds, silent.Addr().String())
		}
		hosts[3].SetSeeds(append(seeds, hosts[0].options.PeerAddress, hosts[1].options.PeerAddress))
		began := time.Now()
		Expect(hosts[3].tryJoin()).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", forwardTimeout))
	})
})

var _ = Describe("Entry host that is lost together with the registry host through which it watched", func() {
	// Guards against shares of budgets and announcements of targets that go to an entry host for good although it is gone.
	It("is found by the leader, and one that watches elsewhere stays", func() {
		hosts := startGroup(&partition{})
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		joined := func(name string) {
			GinkgoHelper()
			entry := &schemav1.EntryHost{Name: name, DataCentre: "n"}
			Eventually(func() error {
				_, err := hosts[0].proposeWithRetry(context.Background(), &schemav1.RegistryCommand{EntryJoined: entry})
				return err
			}, "5s").Should(Succeed())
		}
		// No registry host has heard of it, as after a restart of the one through which it watched.
		joined("lost")
		joined("elsewhere")
		var leader *Registrar
		Eventually(func() *Registrar {
			for _, r := range hosts {
				if r.HoldsLeaderLease() {
					leader = r
				}
			}
			return leader
		}, "5s").ShouldNot(BeNil())
		check := func() {
			leader.watchers.mu.Lock()
			for _, w := range leader.watchers.adopted {
				w.seenAt = time.Now().Add(-adoptInterval - time.Second)
			}
			leader.watchers.mu.Unlock()
			for _, r := range hosts {
				if r != leader {
					r.watchers.markSeen("elsewhere")
				}
			}
			leader.removeSilentEntryHosts()
			time.Sleep(300 * time.Millisecond)
		}
		leader.watchers.mu.Lock()
		delete(leader.watchers.byName, "elsewhere")
		leader.watchers.mu.Unlock()
		for range maxUnknownChecks {
			leader.watchers.adopt(leader.state.EntryHostNames())
			check()
			Expect(leader.state.EntryHostNames()).To(ContainElements("lost", "elsewhere"), "it may be cut off together with its registry host")
		}
		leader.watchers.adopt(leader.state.EntryHostNames())
		check()
		Eventually(leader.state.EntryHostNames, "2s").ShouldNot(ContainElement("lost"))
		Expect(leader.state.EntryHostNames()).To(ContainElement("elsewhere"))
	})
})
