package registrar

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Entry host that has ended", func() {
	// Guards against entry hosts that stay in the registry for good, and so in the shares of rates and among the relays of announcements.
	It("leaves the registry although its registry host was cut off when it fell silent", func() {
		p := &partition{}
		hosts := startGroup(p)
		cut := hosts[3]
		Eventually(says, "10s").WithArguments(cut).Should(BeTrue())
		_, err := cut.handleWatch(context.Background(), &schemav1.ViewHello{Entry: &schemav1.EntryHost{Name: "ended", DataCentre: "n"}})
		Expect(err).NotTo(HaveOccurred())
		known := func() bool { return hosts[0].state.EntryHost("ended") != nil }
		Eventually(known, "5s").Should(BeTrue())
		p.address.Store(&cut.options.PeerAddress)
		time.Sleep(watcherTimeout + 2*proposalTimeout)
		p.address.Store(nil)
		Eventually(known, watcherTimeout+5*time.Second).Should(BeFalse())
	})
})
