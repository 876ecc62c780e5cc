package registrar

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/registry"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Leaving target that an entry host reports", func() {
	registration := func(id string, started int64, life schemav1.Life) *schemav1.Registration {
		return &schemav1.Registration{Id: id, StartedUnixMs: started, Service: "desk", Address: "10.0.0.1:1" + id, Slots: 2, Life: life, Cold: true}
	}

	DescribeTable("changes the life of the start that is registered as ready, and nothing else",
		func(known *schemav1.Registration, changed bool) {
			draining := leavingRegistration(known, 2)
			if !changed {
				Expect(draining).To(BeNil())
				return
			}
			Expect(registry.Supersedes(known, draining)).To(BeTrue())
			Expect(fmt.Sprint(draining)).To(Equal(fmt.Sprint(registration("1", 2, schemav1.Life_LIFE_DRAINING))))
			Expect(known.GetLife()).To(Equal(schemav1.Life_LIFE_READY), "the state of the registry is not modified in place")
		},
		Entry("ready", registration("1", 2, schemav1.Life_LIFE_READY), true),
		Entry("not known", nil, false),
		Entry("an earlier start", registration("1", 1, schemav1.Life_LIFE_READY), false),
		Entry("a later start", registration("1", 3, schemav1.Life_LIFE_READY), false),
		Entry("draining", registration("1", 2, schemav1.Life_LIFE_DRAINING), false),
		Entry("gone", registration("1", 2, schemav1.Life_LIFE_GONE), false),
	)

	It("is draining on all hosts until its next start, and its own announcements keep their order", func() {
		hosts := startGroup(&partition{})
		ctx := context.Background()
		document := &schemav1.RouteDocument{Revision: 1, Body: []byte("{}")}
		Eventually(func() error { return hosts[0].SubmitConfiguration(ctx, document) }, "10s").Should(Succeed())
		Eventually(hosts[0].Configuration, "10s").ShouldNot(BeNil())
		announce := func(started int64, sequence uint64) {
			GinkgoHelper()
			Eventually(func() error {
				_, err := hosts[0].Announce(ctx, registration("1", started, schemav1.Life_LIFE_READY), sequence)
				return err
			}, "10s").Should(Succeed())
		}
		lifeAt := func(r *Registrar, id string) schemav1.Life {
			target, _ := r.state.Target(id)
			return target.GetLife()
		}
		report := func(id string, started int64) {
			GinkgoHelper()
			_, err := hosts[0].handleAnnounce(ctx, &schemav1.TargetAnnouncement{Registration: &schemav1.Registration{Id: id, StartedUnixMs: started}, Leaving: true})
			Expect(err).NotTo(HaveOccurred())
		}
		announce(2, 5)
		_, err := hosts[0].Announce(ctx, registration("2", 2, schemav1.Life_LIFE_READY), 5)
		Expect(err).NotTo(HaveOccurred())
		// A host that is not the leader applies what it has acknowledged a little later.
		for _, id := range []string{"1", "2"} {
			Eventually(lifeAt, "5s").WithArguments(hosts[0], id).Should(Equal(schemav1.Life_LIFE_READY))
		}
		report("1", 1)
		report("unknown", 1)
		Consistently(lifeAt, "300ms").WithArguments(hosts[0], "1").Should(Equal(schemav1.Life_LIFE_READY), "an earlier start")
		report("1", 2)
		for _, r := range hosts {
			Eventually(lifeAt, "5s").WithArguments(r, "1").Should(Equal(schemav1.Life_LIFE_DRAINING))
		}
		Expect(lifeAt(hosts[0], "2")).To(Equal(schemav1.Life_LIFE_READY), "another target")
		_, known := hosts[0].state.Target("unknown")
		Expect(known).To(BeFalse())
		known1, _ := hosts[0].state.Target("1")
		Expect(hosts[0].announcements.NeedsCommit(known1, registration("1", 2, schemav1.Life_LIFE_READY), 4)).To(BeFalse())
		announce(2, 6)
		Consistently(lifeAt, "300ms").WithArguments(hosts[0], "1").Should(Equal(schemav1.Life_LIFE_DRAINING), "a later announcement that says it is ready")
		announce(3, 1)
		Eventually(lifeAt, "5s").WithArguments(hosts[0], "1").Should(Equal(schemav1.Life_LIFE_READY), "a new start")
	})
})
