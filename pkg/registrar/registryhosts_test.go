package registrar

import (
	"context"
	"net"
	"time"

	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Registry hosts that have left the group", func() {
	hosts := []*schemav1.RegistryHost{{Name: "leader", PeerAddress: "10.0.0.1:1"}, {Name: "other", PeerAddress: "10.0.0.2:1"}}
	members := []replication.MemberStatus{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1", SinceLastResponse: time.Hour}}

	// Guards against registry hosts that entry hosts and targets are sent to for good although they are gone (CONFIG, review/6).
	It("are removed when they have been no members for a minute", func() {
		d := departures{}
		Expect(d.next(0, hosts, members[:1])).To(BeEmpty())
		Expect(d.next(learnerTimeout, hosts, members[:1])).To(BeEmpty())
		Expect(d.next(learnerTimeout+1, hosts, members[:1])).To(Equal("other"))
		Expect(d.next(learnerTimeout+2, hosts[:1], members[:1])).To(BeEmpty())
	})

	It("stay if they are members again", func() {
		d := departures{}
		Expect(d.next(0, hosts, members[:1])).To(BeEmpty())
		Expect(d.next(learnerTimeout, hosts, members)).To(BeEmpty())
		Expect(d.next(learnerTimeout+1, hosts, members[:1])).To(BeEmpty(), "it counts anew")
	})

	// Guards against registry hosts with much to do that lose their entry hosts to the others, which then have too much to do as well.
	It("are not those that only do not respond", func() {
		d := departures{}
		for at := time.Duration(0); at < 3*learnerTimeout; at += time.Second {
			Expect(d.next(at, hosts, members)).To(BeEmpty())
		}
	})
})

var _ = Describe("Registry host that does not respond", func() {
	// Guards against targets that are sent to a registry host which is gone or stands still at every other announcement.
	It("is named to no target until it is back", func() {
		p := &partition{apart: true}
		hosts := startGroup(p)
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		next := func() string { return hosts[0].nextAnnounceAddress(&schemav1.Registration{DataCentre: "r3"}) }
		Eventually(next, "10s").Should(Equal("r3"))
		p.address.Store(&hosts[3].options.PeerAddress)
		Eventually(next, 3*reachabilityInterval).Should(BeEmpty())
		Consistently(next, "500ms").Should(BeEmpty())
		p.address.Store(nil)
		Eventually(next, 3*reachabilityInterval).Should(Equal("r3"))
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
