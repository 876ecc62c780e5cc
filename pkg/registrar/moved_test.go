package registrar

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Entry host that has turned to another registry host", func() {
	// Guards against entry hosts that leave the registry 8 s after a cut of their registry host has healed. Shares of rates are divided among
	// the entry hosts in the registry (FAILBACK, BUDGET).
	It("stays in the registry when the earlier registry host hears no more of it", func() {
		hosts := startGroup(&partition{})
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		entry := &schemav1.EntryHost{Name: "entry", DataCentre: "n"}
		watch := func(r *Registrar) {
			_, err := r.handleWatch(context.Background(), &schemav1.ViewHello{Version: r.state.Version(), Entry: entry})
			Expect(err).NotTo(HaveOccurred())
		}
		watch(hosts[1])
		Eventually(func() *schemav1.EntryHost { return hosts[2].state.EntryHost("entry") }, "5s").ShouldNot(BeNil())
		Eventually(hosts[2].state.RegistryHosts, "5s").Should(HaveLen(len(hosts)))
		absent, version := 0, hosts[2].state.Version()
		for end := time.Now().Add(watcherTimeout + 2*time.Second); time.Now().Before(end); {
			watch(hosts[0])
			if hosts[2].state.EntryHost("entry") == nil {
				absent++
			}
		}
		Expect(absent).To(BeZero())
		Expect(hosts[2].state.Version()).To(Equal(version), "it was removed and added again")
	})
})
