package registrar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Registry host that was without a leader for some time", func() {
	// Guards against a new leader that renews no grants while its requests to join wait for hosts without power.
	It("does its work as leader while other hosts do not respond", func() {
		p := &partition{}
		hosts := startGroup(p)
		var all []string
		for _, r := range hosts {
			all = append(all, r.options.PeerAddress)
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		p.dark.Store(&all)
		time.Sleep(3 * time.Second)
		stillDark := all[2:]
		p.dark.Store(&stillDark)
		var leader *Registrar
		Eventually(func() *Registrar {
			for _, r := range hosts[:2] {
				if r.HoldsLeaderLease() {
					leader = r
				}
			}
			return leader
		}, "10s", "5ms").ShouldNot(BeNil())
		leader.keyLoads.add(time.Now(), []*schemav1.KeyLoad{{Service: "s"}})
		pending := func() int {
			leader.keyLoads.mu.Lock()
			defer leader.keyLoads.mu.Unlock()
			return len(leader.keyLoads.pending)
		}
		Eventually(pending, 3*stepInterval, "5ms").Should(BeZero(), "the main loop of a leader takes the loads in each pass")
	})
})
