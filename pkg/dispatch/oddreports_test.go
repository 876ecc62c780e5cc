package dispatch

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Odd load reports", func() {
	// Guards against one report that keeps a target from being used for good, or makes it the first choice whatever its load.
	DescribeTable("of a target bear on it only until the next one, or for seconds, and hardly on others",
		func(odd TargetLoad) {
			d := newDispatcher("n")
			d.SetEntryHosts(manyHosts, 1, 0)
			d.SetTargets(0, []Target{newTarget("odd", "n", "east"), newTarget("sound", "n", "east"), newTarget("new", "n", "east")})
			only := func(id string) *Request {
				r := lookupRequest()
				for _, other := range []string{"odd", "sound", "new"} {
					if other != id {
						r.ExcludedTargets = append(r.ExcludedTargets, other)
					}
				}
				return r
			}
			usual := TargetLoad{Running: 1, Slots: 2, Slowdown: 1}
			for i, report := range []TargetLoad{usual, odd} {
				id := []string{"sound", "odd"}[i]
				d.Finish(100*ms, mustChoose(d, 0, only(id)), Result{Outcome: OutcomeAnswered, Latency: 100 * ms, Report: &report})
			}
			choice := mustChoose(d, 200*ms, only("new"))
			Expect(choice.ExpectedLatency).To(And(BeNumerically(">", 0), BeNumerically("<", 10*time.Second)))
			Expect(choice.BaseDuration).To(BeNumerically("~", 100*ms, 90*ms))
			d.Finish(200*ms, choice, Result{Outcome: OutcomeCancelled})
			later := 200*ms + 10*time.Second
			choice = mustChoose(d, later, only("odd"))
			Expect(choice.ExpectedLatency).To(BeNumerically(">", 0))
			d.Finish(later+100*ms, choice, Result{Outcome: OutcomeAnswered, Latency: 100 * ms, Report: &usual})
			for range 3 {
				later += 5 * time.Second
				d.Finish(later, mustChoose(d, later, only("odd")), Result{Outcome: OutcomeAnswered, Latency: 100 * ms, Report: &usual})
			}
			Expect(mustChoose(d, later, only("odd")).ExpectedLatency).To(BeNumerically("<", 300*ms))
		},
		Entry("as busy as a target can be", TargetLoad{Running: 2, Waiting: 5, Slots: 2, Slowdown: 1}),
		Entry("running too large", TargetLoad{Running: math.MaxInt, Slots: 2, Slowdown: 1}),
		Entry("sum too large", TargetLoad{Running: math.MaxInt, Waiting: math.MaxInt, Slots: 2, Slowdown: 1}),
		Entry("negative", TargetLoad{Running: math.MinInt, Waiting: math.MinInt, Slots: 2, Slowdown: 1}),
		Entry("slowdown too large", TargetLoad{Running: 1, Slots: 2, Slowdown: math.MaxFloat64}),
		Entry("slowdown infinite", TargetLoad{Running: 1, Slots: 2, Slowdown: math.Inf(1)}),
		Entry("slowdown not a number", TargetLoad{Running: 1, Slots: 2, Slowdown: math.NaN()}),
		Entry("slowdown negative", TargetLoad{Running: 1, Slots: 2, Slowdown: -1}),
		Entry("slots too large", TargetLoad{Running: 1, Slots: math.MaxInt, Slowdown: 1}),
	)

	// Guards against load that stays at targets after the report of a peer has been replaced: two targets may have the same hash.
	DescribeTable("of a peer bear on a target only until the next one",
		func(targets, inFlight []uint32) {
			d := newDispatcher("n")
			d.SetTargets(0, []Target{newTarget("t", "n", "east")})
			d.ApplyPeerReport(0, &schemav1.LoadReport{Entry: "e", Start: 1, Sequence: 1, Targets: targets, InFlight: inFlight})
			if choice, _ := d.Choose(0, lookupRequest()); choice != nil {
				Expect(choice.ExpectedLatency).To(BeNumerically(">", 0))
				d.Finish(0, choice, Result{Outcome: OutcomeCancelled})
			}
			Expect(d.targets["t"].peerInFlight).To(BeNumerically(">=", 0))
			d.ApplyPeerReport(0, &schemav1.LoadReport{Entry: "e", Start: 1, Sequence: 2})
			Expect(d.targets["t"].peerInFlight).To(BeZero())
			mustChoose(d, 0, lookupRequest())
		},
		Entry("a target twice", []uint32{TargetHash("t"), TargetHash("t")}, []uint32{3, 4}),
		Entry("very many requests", []uint32{TargetHash("t"), TargetHash("t")}, []uint32{math.MaxUint32, math.MaxUint32}),
		Entry("more targets than numbers", []uint32{TargetHash("t"), TargetHash("t"), 7}, []uint32{3}),
		Entry("more numbers than targets", []uint32{TargetHash("t")}, []uint32{3, 4, 5}),
	)
})
