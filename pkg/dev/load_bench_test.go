package dev_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondrock.example/almondrock/pkg/dev"
	"almondrock.example/almondrock/pkg/loadgen"
	"almondrock.example/almondrock/pkg/standin"
)

const (
	// warmUpDuration is longer than the cold start of the targets, which takes 10 s of requests with responses.
	warmUpDuration  = 15 * time.Second
	measureDuration = 12 * time.Second
	// With benchServiceTime, 60 slots serve 1,200 requests/s. That is far below what one machine can do for the load generator,
	// hosts and targets together.
	benchServiceTime = 50 * time.Millisecond
	benchCapacity    = benchTargets * benchSlots * float64(time.Second) / float64(benchServiceTime)
)

func runLoad(b *testing.B, deployment *dev.Deployment, rate float64, duration time.Duration, seed uint64) *loadgen.Report {
	b.Helper()
	report, err := loadgen.Run(context.Background(), loadgen.Options{
		URL:  "http://" + deployment.Hosts()[0].CallerAddress() + "/" + benchService + "/lookups/1",
		Rate: rate, Duration: duration, Workers: 2000, Keys: 2000, PostShare: 0.05, Deadline: time.Second, Seed: seed,
	})
	if err != nil {
		b.Fatal(err)
	}
	if report.MismatchedResponses+report.DuplicateExecutions > 0 {
		b.Fatalf("%d mismatched responses, %d duplicate executions", report.MismatchedResponses, report.DuplicateExecutions)
	}
	return report
}

func reportLatency(b *testing.B, report *loadgen.Report) {
	b.Helper()
	for _, latency := range report.Latencies {
		if latency.Name == "answers" {
			b.ReportMetric(latency.P50, "p50-ms")
			b.ReportMetric(latency.P99, "p99-ms")
			b.ReportMetric(latency.P999, "p99.9-ms")
		}
	}
	b.ReportMetric(float64(report.Successes)/float64(report.Requests), "answered")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOverload offers multiples of the targets' capacity and reports the goodput as a fraction of the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, multiple := range []float64{0.5, 1, 1.5, 3} {
		b.Run(fmt.Sprintf("load=%.1f", multiple), func(b *testing.B) {
			for range b.N {
				deployment := startAlliance(b, standin.Faults{ServiceTime: benchServiceTime})
				runLoad(b, deployment, benchCapacity/4, warmUpDuration, 1)
				report := runLoad(b, deployment, benchCapacity*multiple, measureDuration, 2)
				reportLatency(b, report)
				b.ReportMetric(float64(report.Successes)/report.Seconds/benchCapacity, "goodput/capacity")
			}
		})
	}
}

// BenchmarkSlowTargets offers half the capacity while some targets are ten times slower during 2 s of every 4 s.
func BenchmarkSlowTargets(b *testing.B) {
	for _, slow := range []int{0, 1, 3, 6} {
		b.Run(fmt.Sprintf("slow=%d", slow), func(b *testing.B) {
			for range b.N {
				deployment := startAlliance(b, standin.Faults{ServiceTime: benchServiceTime / 5})
				runLoad(b, deployment, benchCapacity/4, warmUpDuration, 1)
				done := make(chan struct{})
				go toggleSlowTargets(deployment, slow, done)
				report := runLoad(b, deployment, benchCapacity/2, measureDuration, 2)
				close(done)
				reportLatency(b, report)
			}
		})
	}
}

// toggleSlowTargets alternately slows down the first targets and lets them recover, 2 s each, until done is closed.
func toggleSlowTargets(deployment *dev.Deployment, slow int, done <-chan struct{}) {
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for slowed := true; ; slowed = !slowed {
		for _, target := range deployment.Targets()[:slow] {
			target.SetFaults(func(faults *standin.Faults) { faults.Slow = slowed })
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}
