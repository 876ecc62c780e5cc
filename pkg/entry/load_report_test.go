package entry

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/dispatch"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("reportInterval", func() {
	// Guards against load reports that fill thin links: 23 hosts in a data centre of the large deployment, links of 3 Mbit/s.
	It("keeps the reports to all peers below their share of the link", func() {
		const peers, size, capacity = 22, 100, 3e6 / 8
		interval := reportInterval(peers, size, capacity)
		Expect(float64(peers*(size+datagramOverhead)) / interval.Seconds()).To(BeNumerically("<=", 1.01*reportLinkShare*capacity))
	})

	It("depends only on the number of peers where the link is fast or not known", func() {
		Expect(reportInterval(22, 100, 1e9/8)).To(Equal(22 * reportIntervalPerPeer))
		Expect(reportInterval(22, 100, 0)).To(Equal(22 * reportIntervalPerPeer))
		Expect(reportInterval(2, 100, 1e9/8)).To(Equal(minReportInterval))
	})

	It("stays within the time for which peers use a report", func() {
		Expect(reportInterval(500, 1000, 1e6/8)).To(Equal(max(reportRepeatInterval, 500*reportIntervalPerPeer)))
		Expect(reportInterval(100, 1000, 1e6/8)).To(BeNumerically("<", time.Second))
	})
})

var _ = Describe("Load that a peer reported", func() {
	// Guards against targets that count as busy for as long as this host is, because a peer was killed while it had requests there.
	It("is dropped when the peer falls silent, also while the load of this host changes all the time", func() {
		h := startHost()
		busy, other := startTarget("busy", "desk"), startTarget("other", "desk")
		applyView(h, 1, nil, busy, other)
		inFlight := func(target string) int {
			request := &dispatch.Request{Service: "desk", ExcludedTargets: []string{"busy", "other"}, TimeToDeadline: time.Second}
			request.ExcludedTargets = slices.DeleteFunc(request.ExcludedTargets, func(id string) bool { return id == target })
			choice, _ := h.dispatcher.Choose(h.now(), request)
			if choice == nil {
				return -1
			}
			h.dispatcher.Finish(h.now(), choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			return choice.InFlight
		}
		h.dispatcher.ApplyPeerReport(h.now(), &schemav1.LoadReport{
			Entry: "peer", Start: 1, Sequence: 1, Targets: []uint32{dispatch.TargetHash("busy")}, InFlight: []uint32{1},
		})
		Expect(inFlight("busy")).To(Equal(1))
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() {
			for ctx.Err() == nil {
				inFlight("other")
				time.Sleep(time.Millisecond)
			}
		}()
		Eventually(inFlight, "2s", "20ms").WithArguments("busy").Should(Equal(0))
	})
})
