package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/balance"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

const typicalLatency = 10 * time.Millisecond

// testChooser is a chooser on a fake clock, in region r1 and data centre d1.
type testChooser struct {
	now     time.Duration
	chooser *balance.Chooser
}

func newTestChooser(targets ...balance.Target) *testChooser {
	b := &testChooser{now: time.Hour}
	b.chooser = balance.New(balance.Options{
		DataCentre: "d1", Region: "r1", Clock: func() time.Duration { return b.now },
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	b.chooser.SetTargets(targets)
	return b
}

func nearbyTargets(count int) []balance.Target {
	targets := make([]balance.Target, count)
	for i := range targets {
		targets[i] = balance.Target{Name: fmt.Sprintf("t%d", i), DataCentre: "d1", Region: "r1", Slots: 2}
	}
	return targets
}

// serve sends count requests one after the other and returns how many each target got. latency returns the latency of a
// target.
func (b *testChooser) serve(count int, latency func(target string) time.Duration) map[string]int {
	got := map[string]int{}
	for range count {
		choice := b.chooser.Choose(balance.Query{})
		got[choice.Target.Name]++
		duration := latency(choice.Target.Name)
		b.now += duration
		choice.Done(balance.Outcome{Latency: duration})
	}
	return got
}

func constantLatency(string) time.Duration { return typicalLatency }

var _ = Describe("Chooser", func() {
	It("spreads requests over equal targets", func() {
		b := newTestChooser(nearbyTargets(10)...)
		for _, count := range b.serve(2000, constantLatency) {
			Expect(count).To(BeNumerically("~", 200, 60))
		}
	})

	It("prefers the target with fewer requests of this host in flight", func() {
		b := newTestChooser(nearbyTargets(2)...)
		counts := map[string]int{}
		for range 10 {
			counts[b.chooser.Choose(balance.Query{}).Target.Name]++
		}
		Expect(counts).To(Equal(map[string]int{"t0": 5, "t1": 5}))
	})

	DescribeTable("avoids a slow target after one request and uses it again after a fast probe",
		func(result balance.Result) {
			b := newTestChooser(nearbyTargets(5)...)
			b.serve(200, constantLatency)
			for bad := false; !bad; {
				choice := b.chooser.Choose(balance.Query{})
				b.now += typicalLatency
				bad = choice.Target.Name == "t0"
				if bad {
					b.now += 9 * typicalLatency
					choice.Done(balance.Outcome{Result: result})
				} else {
					choice.Done(balance.Outcome{})
				}
			}
			Expect(b.serve(40, constantLatency)["t0"]).To(BeZero())
			b.now += time.Second
			Expect(b.serve(200, constantLatency)["t0"]).To(BeNumerically(">", 20))
		},
		Entry("slow response", balance.Success), Entry("failure", balance.Failure),
		Entry("cancelled after a long time", balance.Cancelled),
	)

	It("avoids a stalled target while its first request is still open", func() {
		b := newTestChooser(nearbyTargets(5)...)
		b.serve(200, constantLatency)
		stalled := b.chooser.Choose(balance.Query{})
		b.now += 5 * typicalLatency
		// Each other target gets one request too, so that they differ only in the age of their open request.
		tried := []string{stalled.Target.Name}
		for range 4 {
			tried = append(tried, b.chooser.Choose(balance.Query{ExcludedTargets: tried}).Target.Name)
		}
		for range 100 {
			choice := b.chooser.Choose(balance.Query{})
			Expect(choice.Target.Name).NotTo(Equal(stalled.Target.Name))
			choice.Done(balance.Outcome{Latency: typicalLatency})
		}
	})

	It("probes a target that stays slow with growing pauses", func() {
		b := newTestChooser(nearbyTargets(5)...)
		b.serve(200, constantLatency)
		slow := func(target string) time.Duration {
			if target == "t0" {
				return 10 * typicalLatency
			}
			return typicalLatency
		}
		b.serve(1000, slow)
		Expect(b.serve(3000, slow)["t0"]).To(BeNumerically("<=", 6))
	})

	It("still chooses a target when all are avoided", func() {
		b := newTestChooser(nearbyTargets(3)...)
		for range 20 {
			b.chooser.Choose(balance.Query{}).Done(balance.Outcome{Result: balance.Failure})
		}
		Expect(b.chooser.Choose(balance.Query{})).NotTo(BeNil())
	})

	DescribeTable("gives reported load a low weight and lets it expire",
		func(age time.Duration, inFlight int, wantFirst string) {
			b := newTestChooser(nearbyTargets(2)...)
			b.chooser.ReportLoad("t0", 1)
			b.now += age
			for range inFlight {
				b.chooser.Choose(balance.Query{ExcludedTargets: []string{"t0"}})
			}
			counts := map[string]int{}
			for range 50 {
				choice := b.chooser.Choose(balance.Query{})
				counts[choice.Target.Name]++
				choice.Done(balance.Outcome{Latency: typicalLatency})
			}
			if wantFirst == "" {
				Expect(counts["t0"]).To(BeNumerically("~", 25, 15))
			} else {
				Expect(counts[wantFirst]).To(Equal(50))
			}
		},
		Entry("fresh report decides between equals", time.Duration(0), 0, "t1"),
		Entry("requests of this host in flight count more", time.Duration(0), 1, "t0"),
		Entry("expired report is ignored", 4*time.Second, 0, ""),
	)

	Describe("fallback order", func() {
		targets := []balance.Target{
			{Name: "a", DataCentre: "d1", Region: "r1"},
			{Name: "b", DataCentre: "d2", Region: "r1"},
			{Name: "c", DataCentre: "d3", Region: "r2"},
		}
		DescribeTable("prefers farther targets with each attempt, within the home regions (I5)",
			func(query balance.Query, without int, want string) {
				b := newTestChooser(append(append([]balance.Target{}, targets[:without]...), targets[without+1:]...)...)
				choice := b.chooser.Choose(query)
				if want == "" {
					Expect(choice).To(BeNil())
					return
				}
				Expect(choice).NotTo(BeNil())
				Expect(choice.Target.Name).To(Equal(want))
			},
			Entry("first attempt", balance.Query{}, 2, "a"),
			Entry("first attempt, none near", balance.Query{}, 0, "b"),
			Entry("second attempt", balance.Query{Attempt: 1, ExcludedTargets: []string{"a"}}, 2, "b"),
			Entry("second attempt, none in the region", balance.Query{Attempt: 1, ExcludedTargets: []string{"a"}}, 1, "c"),
			Entry("third attempt", balance.Query{Attempt: 2, ExcludedTargets: []string{"a", "b"}}, 0, "c"),
			Entry("attempt past the end of the order", balance.Query{Attempt: 9}, 0, "c"),
			Entry("home region r1", balance.Query{Attempt: 2, AllowedRegions: []string{"r1"}}, 0, "b"),
			Entry("home region r2", balance.Query{AllowedRegions: []string{"r2"}}, 0, "c"),
			Entry("no target in the home region", balance.Query{AllowedRegions: []string{"r2"}}, 2, ""),
			Entry("all targets excluded", balance.Query{ExcludedTargets: []string{"a", "b", "c"}}, 2, ""),
		)
	})

	It("keeps its observations of targets that stay, and drops those of targets that leave (I9)", func() {
		b := newTestChooser(nearbyTargets(2)...)
		b.serve(20, constantLatency)
		choice := b.chooser.Choose(balance.Query{ExcludedTargets: []string{"t1"}})
		choice.Done(balance.Outcome{Result: balance.Failure})
		b.chooser.SetTargets(nearbyTargets(3))
		Expect(b.serve(20, constantLatency)["t0"]).To(BeZero())
		b.chooser.SetTargets(nearbyTargets(1))
		Expect(b.serve(20, constantLatency)).To(Equal(map[string]int{"t0": 20}))
	})
})
