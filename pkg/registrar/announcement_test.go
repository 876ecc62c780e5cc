package registrar

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Announcement that arrives late", func() {
	// Guards against a cold target that gets requests as if it were warm: the registry host that gets the late announcement has not heard of the
	// later one, which another acknowledged, or has restarted since (FAILBACK, review/8).
	It("does not undo a later one that another registry host has acknowledged, also one that repeated what was known", func() {
		hosts := startGroup(&partition{})
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		document := &schemav1.RouteDocument{Revision: 1, Body: []byte("{}")}
		Eventually(func() error { return hosts[0].SubmitConfiguration(context.Background(), document) }, "10s").Should(Succeed())
		for _, r := range hosts {
			Eventually(r.Configuration, "5s").ShouldNot(BeNil())
			Eventually(r.state.RegistryHosts, "5s").Should(HaveLen(len(hosts)))
		}
		announce := func(r *Registrar, sequence uint64, cold bool) {
			GinkgoHelper()
			Eventually(func() error {
				_, err := r.Announce(context.Background(), &schemav1.Registration{
					Id: "t", Service: "desk", Address: "10.0.0.1:1", StartedUnixMs: 1, Life: schemav1.Life_LIFE_READY, Cold: cold,
				}, sequence)
				return err
			}, "5s").Should(Succeed())
		}
		isCold := func(r *Registrar) bool {
			target, _ := r.state.Target("t")
			return target.GetCold()
		}
		announce(hosts[0], 1, false)
		announce(hosts[1], 3, true)
		announce(hosts[2], 6, true)
		for _, r := range hosts {
			Eventually(isCold, "5s").WithArguments(r).Should(BeTrue())
		}
		version := hosts[0].state.Version()
		for i, late := range []uint64{2, 4, 5} {
			announce(hosts[(3+i)%len(hosts)], late, false)
		}
		for _, r := range hosts {
			Consistently(isCold, "200ms").WithArguments(r).Should(BeTrue())
		}
		Expect(hosts[0].state.Version()).To(Equal(version))
		announce(hosts[3], 7, false)
		for _, r := range hosts {
			Eventually(isCold, "5s").WithArguments(r).Should(BeFalse())
		}
	})
})
