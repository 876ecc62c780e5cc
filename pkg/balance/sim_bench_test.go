package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondrock.example/almondrock/pkg/balance"
)

// BenchmarkStragglers reports latency percentiles with some targets slowed tenfold for 2 s of each 10 s. The mean service
// time is 10 ms.
func BenchmarkStragglers(b *testing.B) {
	for _, slow := range []int{0, 1, 3, 6} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("slow=%d/%s", slow, p.name), func(b *testing.B) {
				var latencies *hdrhistogram.Histogram
				for range b.N {
					latencies = standardFleet(slow).run(p.make)
				}
				for _, percentile := range []float64{50, 99, 99.9} {
					value := float64(latencies.ValueAtPercentile(percentile)) / 1000
					b.ReportMetric(value, fmt.Sprintf("p%v-ms", percentile))
				}
			})
		}
	}
}

// BenchmarkChoose is the cost of one choice and its end, by the number of targets.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{2, 30, 300} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			now := time.Duration(0)
			chooser := balance.New(balance.Options{
				DataCentre: "d1", Region: "r1", Clock: func() time.Duration { return now },
				Random: rand.New(rand.NewPCG(simSeed, 1)),
			})
			chooser.SetTargets(near(count))
			b.ReportAllocs()
			for range b.N {
				now += time.Millisecond
				chooser.Choose(balance.Query{}).Done(balance.Outcome{Latency: usual})
			}
		})
	}
}
