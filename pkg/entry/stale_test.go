package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Host whose nearest registry host is cut off", func() {
	// Guards against announcements that are passed on to a registry host that cannot commit them, at each try of the nearest one.
	It("passes announcements on to the registry host that is up to date", func() {
		var near, distant string
		hosts := func() []*schemav1.RegistryHost {
			return []*schemav1.RegistryHost{
				{Name: "a", DataCentre: "n", PeerAddress: near}, {Name: "b", DataCentre: "elsewhere", PeerAddress: distant},
			}
		}
		near = startAgingRegistry(hosts, func() (uint64, time.Duration) { return 7, time.Minute })
		distant = startAgingRegistry(hosts, func() (uint64, time.Duration) { return 8, 0 })
		h := newHost([]string{distant}, testTimeout)
		Expect(h.Start()).To(Succeed())
		DeferCleanup(h.Kill)
		Eventually(func() uint64 { return h.current().version }, "10s").Should(BeEquivalentTo(8))
		Consistently(func() string { return *h.registryAddress.Load() }, nearestRetryInterval+2*time.Second, "2ms").Should(Equal(distant))
	})
})

var _ = Describe("Age of the view of a host that has just started", func() {
	update := func() *schemav1.ViewUpdate {
		return &schemav1.ViewUpdate{Version: 7, Full: true, Routes: &schemav1.RouteDocument{Revision: 1}}
	}

	// Guards against 404 for routes that may be new, on a view that was older than the host when it arrived.
	It("counts from before the start if the view is that old", func() {
		h := newHost([]string{"127.0.0.1:1"}, testTimeout)
		h.applyUpdate(update(), -maxViewAge)
		Expect(h.viewAge()).To(BeNumerically(">=", maxViewAge))
	})

	It("is beyond its bound while no update has told how old the view is", func() {
		h := newHost([]string{"127.0.0.1:1"}, testTimeout)
		h.applyUpdate(update(), notConfirmed)
		Expect(h.viewAge()).To(BeNumerically(">", maxViewAge))
	})
})
