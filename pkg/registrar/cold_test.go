package registrar

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Targets that are expected to be cold", func() {
	services := map[string]routes.Service{"desk": {Name: "desk", ColdPeriod: 3 * time.Second}, "endless": {Name: "endless", ColdPeriod: time.Hour}}
	target := func(id, service string) *schemav1.Registration {
		return &schemav1.Registration{Id: id, StartedUnixMs: 7, Service: service, Cold: true, ColdExpected: true}
	}

	// Guards against a sound target that cannot be heard and stays limited to the rate of a cold one.
	It("must have become warm after the cold period of their service", func() {
		e := &expectedCold{}
		targets := []*schemav1.Registration{target("t", "desk"), target("u", "endless")}
		Expect(e.over(time.Minute, targets, services)).To(BeEmpty())
		Expect(e.over(time.Minute+3900*time.Millisecond, targets, services)).To(BeEmpty())
		over := e.over(time.Minute+4*time.Second, targets, services)
		Expect(over).To(HaveLen(1))
		Expect(over[0].GetId()).To(Equal("t"))
		Expect(over[0].GetStartedUnixMs()).To(BeEquivalentTo(7))
		Expect(e.over(2*time.Minute+time.Second, targets, services)).To(HaveLen(2), "a period without end is bounded")
	})

	It("count from the end of the last evacuation", func() {
		e := &expectedCold{}
		targets := []*schemav1.Registration{target("t", "desk")}
		e.over(time.Minute, targets, services)
		e.over(time.Minute+time.Second, nil, services)
		Expect(e.over(time.Minute+5*time.Second, targets, services)).To(BeEmpty())
	})
})

var _ = It("does not take a late announcement for a sign that a target which is expected to be cold is warm", func() {
	// Guards against cold targets that are flooded because an announcement of before they were cold arrives after the end of an evacuation.
	hosts := startGroup(&partition{})
	document := &schemav1.RouteDocument{Revision: 1, Body: []byte("{}")}
	Eventually(func() error { return hosts[0].SubmitConfiguration(context.Background(), document) }, "10s").Should(Succeed())
	sequence := uint64(0)
	announce := func(ctx context.Context) error {
		sequence++
		_, err := hosts[0].Announce(ctx, &schemav1.Registration{
			Id: "t", Service: "desk", Address: "10.0.0.1:1", DataCentre: "n", StartedUnixMs: 1, Life: schemav1.Life_LIFE_READY,
		}, sequence)
		return err
	}
	Eventually(announce, "10s").WithArguments(context.Background()).Should(Succeed())
	isCold := func() bool {
		target, _ := hosts[0].state.Target("t")
		return target.GetCold()
	}
	Expect(hosts[0].SetEvacuated(context.Background(), "n", true)).To(Succeed())
	Expect(hosts[0].SetEvacuated(context.Background(), "n", false)).To(Succeed())
	Eventually(isCold).Should(BeTrue())
	leaving, cancel := context.WithTimeout(context.Background(), closeDelay/2)
	defer cancel()
	Expect(announce(leaving)).To(MatchError(ErrCallerLeft))
	Consistently(isCold, "200ms").Should(BeTrue())
	Expect(announce(context.Background())).To(Succeed())
	Eventually(isCold).Should(BeFalse())
})
