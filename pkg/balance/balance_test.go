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

const usual = 10 * time.Millisecond

// bench is a chooser on a fake clock, in region r1, data centre d1.
type bench struct {
	now     time.Duration
	chooser *balance.Chooser
}

func newBench(targets ...balance.Target) *bench {
	b := &bench{now: time.Hour}
	b.chooser = balance.New(balance.Options{
		DataCentre: "d1", Region: "r1", Clock: func() time.Duration { return b.now },
		Random: rand.New(rand.NewPCG(1, 2)),
	})
	b.chooser.SetTargets(targets)
	return b
}

func near(count int) []balance.Target {
	targets := make([]balance.Target, count)
	for i := range targets {
		targets[i] = balance.Target{Name: fmt.Sprintf("t%d", i), DataCentre: "d1", Region: "r1", Slots: 2}
	}
	return targets
}

// serve sends count requests one after the other and returns how many each target got. latency tells how long a target
// takes.
func (b *bench) serve(count int, latency func(target string) time.Duration) map[string]int {
	got := map[string]int{}
	for range count {
		choice := b.chooser.Choose(balance.Query{})
		got[choice.Target.Name]++
		takes := latency(choice.Target.Name)
		b.now += takes
		choice.Done(balance.Outcome{Latency: takes})
	}
	return got
}

func same(string) time.Duration { return usual }

var _ = Describe("Chooser", func() {
	It("spreads requests over equal targets", func() {
		b := newBench(near(10)...)
		for _, count := range b.serve(2000, same) {
			Expect(count).To(BeNumerically("~", 200, 60))
		}
	})

	It("prefers the target with fewer own requests in flight", func() {
		b := newBench(near(2)...)
		counts := map[string]int{}
		for range 10 {
			counts[b.chooser.Choose(balance.Query{}).Target.Name]++
		}
		Expect(counts).To(Equal(map[string]int{"t0": 5, "t1": 5}))
	})

	DescribeTable("avoids a slow target after one request and finds out when it is good again",
		func(result balance.Result) {
			b := newBench(near(5)...)
			b.serve(200, same)
			for bad := false; !bad; {
				choice := b.chooser.Choose(balance.Query{})
				b.now += usual
				bad = choice.Target.Name == "t0"
				if bad {
					b.now += 9 * usual
					choice.Done(balance.Outcome{Result: result})
				} else {
					choice.Done(balance.Outcome{})
				}
			}
			Expect(b.serve(40, same)["t0"]).To(BeZero())
			b.now += time.Second
			Expect(b.serve(200, same)["t0"]).To(BeNumerically(">", 20))
		},
		Entry("slow answer", balance.Success), Entry("failure", balance.Failure),
		Entry("given up after a long time", balance.Cancelled),
	)

	It("avoids a stalled target while its first request is still open", func() {
		b := newBench(near(5)...)
		b.serve(200, same)
		stalled := b.chooser.Choose(balance.Query{})
		b.now += 5 * usual
		// The others get as many requests in flight, so that only the age of the open request tells them apart.
		tried := []string{stalled.Target.Name}
		for range 4 {
			tried = append(tried, b.chooser.Choose(balance.Query{ExcludedTargets: tried}).Target.Name)
		}
		for range 100 {
			choice := b.chooser.Choose(balance.Query{})
			Expect(choice.Target.Name).NotTo(Equal(stalled.Target.Name))
			choice.Done(balance.Outcome{Latency: usual})
		}
	})

	It("probes a target that stays slow ever more rarely", func() {
		b := newBench(near(5)...)
		b.serve(200, same)
		slow := func(target string) time.Duration {
			if target == "t0" {
				return 10 * usual
			}
			return usual
		}
		b.serve(1000, slow)
		Expect(b.serve(3000, slow)["t0"]).To(BeNumerically("<=", 6))
	})

	It("chooses the least slow target when all are slow, instead of none", func() {
		b := newBench(near(3)...)
		for range 20 {
			b.chooser.Choose(balance.Query{}).Done(balance.Outcome{Result: balance.Failure})
		}
		Expect(b.chooser.Choose(balance.Query{})).NotTo(BeNil())
	})

	DescribeTable("uses reported load only as a hint that expires",
		func(age time.Duration, inFlight int, wantFirst string) {
			b := newBench(near(2)...)
			b.chooser.ReportLoad("t0", 1)
			b.now += age
			for range inFlight {
				b.chooser.Choose(balance.Query{ExcludedTargets: []string{"t0"}})
			}
			counts := map[string]int{}
			for range 50 {
				choice := b.chooser.Choose(balance.Query{})
				counts[choice.Target.Name]++
				choice.Done(balance.Outcome{Latency: usual})
			}
			if wantFirst == "" {
				Expect(counts["t0"]).To(BeNumerically("~", 25, 15))
			} else {
				Expect(counts[wantFirst]).To(Equal(50))
			}
		},
		Entry("fresh report decides between equals", time.Duration(0), 0, "t1"),
		Entry("own requests in flight count more", time.Duration(0), 1, "t0"),
		Entry("old report counts nothing", 4*time.Second, 0, ""),
	)

	Describe("chain", func() {
		targets := []balance.Target{
			{Name: "a", DataCentre: "d1", Region: "r1"},
			{Name: "b", DataCentre: "d2", Region: "r1"},
			{Name: "c", DataCentre: "d3", Region: "r2"},
		}
		DescribeTable("goes further away with each attempt, within the home regions (I5)",
			func(query balance.Query, without int, want string) {
				b := newBench(append(append([]balance.Target{}, targets[:without]...), targets[without+1:]...)...)
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
			Entry("attempt past the end of the chain", balance.Query{Attempt: 9}, 0, "c"),
			Entry("home region r1", balance.Query{Attempt: 2, AllowedRegions: []string{"r1"}}, 0, "b"),
			Entry("home region r2", balance.Query{AllowedRegions: []string{"r2"}}, 0, "c"),
			Entry("no target in the home region", balance.Query{AllowedRegions: []string{"r2"}}, 2, ""),
			Entry("all tried", balance.Query{ExcludedTargets: []string{"a", "b", "c"}}, 2, ""),
		)
	})

	It("keeps what it knows about targets that stay, and forgets those that leave (I9)", func() {
		b := newBench(near(2)...)
		b.serve(20, same)
		choice := b.chooser.Choose(balance.Query{ExcludedTargets: []string{"t1"}})
		choice.Done(balance.Outcome{Result: balance.Failure})
		b.chooser.SetTargets(near(3))
		Expect(b.serve(20, same)["t0"]).To(BeZero())
		b.chooser.SetTargets(near(1))
		Expect(b.serve(20, same)).To(Equal(map[string]int{"t0": 20}))
	})
})
