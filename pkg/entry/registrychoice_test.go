package entry

import (
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Choice of the registry host to follow", func() {
	const second = time.Second
	var c registryChoice
	addresses := []string{"gone-1", "gone-2", "gone-3", "near", "far"}
	BeforeEach(func() {
		c = newRegistryChoice()
		c.setAddresses(0, addresses)
	})

	// Guards against a view that stands still while registry hosts that are gone are asked one after the other (CONFIG, review/6).
	It("takes one failure to find a registry host that answers, however many do not", func() {
		Expect(c.inUse).To(Equal("gone-1"))
		Expect(c.dueProbes(0)).To(BeEmpty())
		c.failed(second, "gone-1")
		Expect(c.inUse).To(Equal("gone-2"), "asked for the view beside the probes")
		Expect(c.dueProbes(second)).To(ConsistOf("gone-1", "gone-2", "gone-3", "near", "far"))
		c.probed(second+time.Millisecond, probeResult{"near", true, true})
		c.probed(second+12*time.Millisecond, probeResult{"far", true, true})
		Expect(c.inUse).To(Equal("near"))
		for _, address := range addresses[:3] {
			c.probed(2*second, probeResult{address, false, false})
		}
		c.answered(2*second, "near")
		c.failed(3*second, "near")
		Expect(c.inUse).To(Equal("far"), "not one that has not answered since it failed")
	})

	It("turns to a registry host that has answered lately rather than to one that may be gone", func() {
		c.failed(0, "gone-1")
		c.dueProbes(0)
		c.probed(0, probeResult{"near", true, true})
		c.probed(0, probeResult{"far", true, true})
		c.answered(second, "near")
		c.failed(2*second, "near")
		Expect(c.inUse).To(Equal("far"))
		Expect(c.dueProbes(2*second)).To(BeEmpty(), "the others are still being probed")
	})

	// Guards against whole views that are fetched from another region because a near registry host, which has much to do, answers the call later
	// than a distant one answers a probe.
	It("stays with the next registry host when that answers its probe first", func() {
		c.setAddresses(0, []string{"slow", "near", "far"})
		c.inUse = "slow"
		c.failed(second, "slow")
		Expect(c.dueProbes(second)).To(ConsistOf("slow", "near", "far"))
		c.probed(second, probeResult{"near", true, true})
		c.probed(second, probeResult{"far", true, true})
		Expect(c.inUse).To(Equal("near"))
	})

	It("returns to a nearer registry host only once that has answered a probe", func() {
		c.failed(0, "gone-1")
		c.dueProbes(0)
		c.probed(0, probeResult{"far", true, true})
		c.answered(0, "far")
		for _, address := range addresses[:4] {
			c.probed(second, probeResult{address, false, false})
		}
		Expect(c.dueProbes(second)).To(BeEmpty())
		for at := nearestRetryInterval; at < 20*second; at += nearestRetryInterval {
			Expect(c.dueProbes(at)).To(ConsistOf(addresses[:4]))
			Expect(c.inUse).To(Equal("far"))
			for _, address := range addresses[:4] {
				c.probed(at+second, probeResult{address, false, false})
			}
		}
		c.dueProbes(30 * second)
		c.probed(30*second, probeResult{"near", true, true})
		Expect(c.inUse).To(Equal("near"))
		c.setAddresses(40*second, []string{"near", "far"})
		Expect(c.dueProbes(40 * second)).To(BeEmpty())
	})

	It("asks all registry hosts in turn while none is up to date", func() {
		var asked []string
		for i := range 2 * len(addresses) {
			asked = append(asked, c.inUse)
			c.outdated(time.Duration(i+1)*second/10, c.inUse)
			Expect(c.dueProbes(time.Duration(i+1) * second / 10)).To(BeEmpty())
		}
		Expect(asked).To(Equal(append(addresses, addresses...)))
	})

	It("takes a late answer of an earlier registry host while no other has answered", func() {
		c.failed(second, "gone-1")
		c.answered(2*second, "gone-1")
		Expect(c.inUse).To(Equal("gone-1"))
		Expect(c.dueProbes(2 * second)).To(BeEmpty())
	})

	// Guards against registry hosts that are slow because they have much to do, and get more to do by probes.
	It("probes a registry host that has answered lately no more, however slow its answers to calls are", func() {
		probes := 0
		for at := time.Duration(0); at < 30*second; at += watchTimeout {
			c.failed(at, c.inUse)
			for _, address := range c.dueProbes(at) {
				probes++
				c.probed(at+second/2, probeResult{address, true, true})
			}
		}
		Expect(probes).To(BeNumerically("<=", len(addresses)*int(30*second/nearestRetryInterval+1)))
	})

	It("bounds the probes at the same time", func() {
		var many []string
		for i := range 100 {
			many = append(many, fmt.Sprint(i))
		}
		c.setAddresses(0, many)
		c.failed(second, c.inUse)
		Expect(c.dueProbes(second)).To(HaveLen(maxProbes))
		Expect(c.dueProbes(second)).To(BeEmpty())
	})
})

// startStandstill starts a registry host that stands still: it accepts connections and answers nothing.
func startStandstill() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

var _ = Describe("Host with many registry hosts nearby that do not answer", func() {
	// Guards against requests that are handled by a configuration that was replaced more than configApplyMs before, 2 s, because the view
	// stands still while registry hosts that are gone or stand still are asked one after the other (CONFIG, review/6).
	It("keeps its view younger than 2 s", func() {
		var list []*schemav1.RegistryHost
		hosts := func() []*schemav1.RegistryHost { return list }
		alive := startAgingRegistry(hosts, func() (uint64, time.Duration) { return 7, 0 })
		for i := range 7 {
			list = append(list, &schemav1.RegistryHost{Name: fmt.Sprint("still-", i), DataCentre: "n", PeerAddress: startStandstill()})
		}
		list = append(list, &schemav1.RegistryHost{Name: "alive", DataCentre: "elsewhere", PeerAddress: alive})
		h := newHost([]string{alive}, testTimeout)
		Expect(h.Start()).To(Succeed())
		DeferCleanup(h.Kill)
		Eventually(func() uint64 { return h.current().version }, "2s").Should(BeEquivalentTo(7))
		Consistently(h.viewAge, 3*nearestRetryInterval, "10ms").Should(BeNumerically("<", 2*time.Second))
	})
})

var _ = Describe("Report of suspects", func() {
	// Guards against a report that takes a time-out for each registry host that is gone (the cause of review/6).
	It("is sent to the registry host that last answered first, and to each of the others in case that fails", func() {
		h := newHost([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, testTimeout)
		answered := "10.0.0.3:1"
		h.registryAddress.Store(&answered)
		var asked []string
		for tries := range 6 {
			asked = append(asked, h.reportAddress(tries))
		}
		Expect(asked).To(Equal([]string{answered, "10.0.0.1:1", answered, "10.0.0.2:1", answered, "10.0.0.3:1"}))
	})
})
