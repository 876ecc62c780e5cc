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
	// warmUp covers the cold start of all targets, which takes 10 s of answered requests.
	warmUp  = 15 * time.Second
	measure = 12 * time.Second
	// benchServiceTime makes 60 slots 1,200 requests/s, well below what one machine carries for caller, hosts and targets.
	benchServiceTime = 50 * time.Millisecond
	benchCapacity    = benchTargets * benchSlots * float64(time.Second) / float64(benchServiceTime)
)

func offer(b *testing.B, deployment *dev.Deployment, rate float64, duration time.Duration, seed uint64) *loadgen.Report {
	b.Helper()
	report, err := loadgen.Run(context.Background(), loadgen.Options{
		URL:  "http://" + deployment.Hosts()[0].CallerAddress() + "/" + benchService + "/lookups/1",
		Rate: rate, Duration: duration, Workers: 2000, Keys: 2000, PostShare: 0.05, Deadline: time.Second, Seed: seed,
	})
	if err != nil {
		b.Fatal(err)
	}
	if report.MismatchedResponses+report.DuplicateExecutions > 0 {
		b.Fatalf("%d crossed answers, %d doubled runs", report.MismatchedResponses, report.DuplicateExecutions)
	}
	return report
}

func reportAnswers(b *testing.B, report *loadgen.Report) {
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

// BenchmarkOverload offers multiples of the targets' capacity and reports goodput as a part of the capacity.
func BenchmarkOverload(b *testing.B) {
	for _, multiple := range []float64{0.5, 1, 1.5, 3} {
		b.Run(fmt.Sprintf("load=%.1f", multiple), func(b *testing.B) {
			for range b.N {
				deployment := startAlliance(b, standin.Faults{ServiceTime: benchServiceTime})
				offer(b, deployment, benchCapacity/4, warmUp, 1)
				report := offer(b, deployment, benchCapacity*multiple, measure, 2)
				reportAnswers(b, report)
				b.ReportMetric(float64(report.Successes)/report.Seconds/benchCapacity, "goodput/capacity")
			}
		})
	}
}

// BenchmarkSlowTargets offers half the capacity while some targets are ten times slower for 2 s out of 4.
func BenchmarkSlowTargets(b *testing.B) {
	for _, slow := range []int{0, 1, 3, 6} {
		b.Run(fmt.Sprintf("slow=%d", slow), func(b *testing.B) {
			for range b.N {
				deployment := startAlliance(b, standin.Faults{ServiceTime: benchServiceTime / 5})
				offer(b, deployment, benchCapacity/4, warmUp, 1)
				done := make(chan struct{})
				go alternate(deployment, slow, done)
				report := offer(b, deployment, benchCapacity/2, measure, 2)
				close(done)
				reportAnswers(b, report)
			}
		})
	}
}

// alternate slows the first targets and lets them recover in turn.
func alternate(deployment *dev.Deployment, slow int, done <-chan struct{}) {
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
