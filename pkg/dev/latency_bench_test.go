package dev_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/dev"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

const (
	benchService      = "fitting-desk"
	benchTargets      = 30
	benchSlots        = 2
	benchReadyTimeout = time.Minute
)

// BenchmarkLatency sends the same request alternately through a deployment and directly to a stand-in target with the same
// service time, one at a time. It reports the median and the 99th percentile of both and their ratios.
func BenchmarkLatency(b *testing.B) {
	for _, serviceTime := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		b.Run(fmt.Sprintf("service=%s", serviceTime), func(b *testing.B) { benchmarkLatency(b, serviceTime) })
	}
}

func benchmarkLatency(b *testing.B, serviceTime time.Duration) {
	faults := standin.Faults{ServiceTime: serviceTime}
	deployment := startAlliance(b, faults)
	direct, err := standin.Start(standin.Options{
		Name: "direct", Service: benchService, Slots: benchSlots, Faults: faults,
		// A target without the fence capability accepts requests from anyone.
		Capabilities: &schemav1.TargetCapabilities{},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer direct.Close()
	routedURL := "http://" + deployment.Hosts()[0].CallerAddress() + "/" + benchService + "/lookups/1"
	directURL := "http://" + direct.Address() + "/lookups/1"
	// Send requests until the targets are past their cold start, which takes about 10 s; only warm targets are measured.
	for i := range 2000 {
		timeRequest(b, routedURL, i)
	}
	var routed, unrouted []time.Duration
	b.ResetTimer()
	for i := range b.N {
		routed = append(routed, timeRequest(b, routedURL, i))
		unrouted = append(unrouted, timeRequest(b, directURL, i))
	}
	b.StopTimer()
	for _, p := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		r, u := percentile(routed, p.fraction), percentile(unrouted, p.fraction)
		b.ReportMetric(float64(r.Microseconds()), p.name+"-routed-us")
		b.ReportMetric(float64(u.Microseconds()), p.name+"-direct-us")
		b.ReportMetric(float64(r)/float64(u), p.name+"-ratio")
	}
	b.ReportMetric(0, "ns/op")
}

func percentile(latencies []time.Duration, fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[int(float64(len(sorted)-1)*fraction)]
}

func timeRequest(b *testing.B, address string, key int) time.Duration {
	b.Helper()
	request, err := http.NewRequest(http.MethodGet, address, http.NoBody)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Almondrock-Key", fmt.Sprintf("key-%d", key%500))
	request.Header.Set("Almondrock-Request-Id", fmt.Sprintf("bench-%d", key))
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
	took := time.Since(start)
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return took
}

// startAlliance starts the deployment of examples/alliance with the current number of lookup targets, without decision log.
func startAlliance(b *testing.B, faults standin.Faults) *dev.Deployment {
	b.Helper()
	dir := filepath.Join("..", "..", "examples", "alliance")
	submission := &schemav1.Submission{Id: "bench", Base: readFile(b, filepath.Join(dir, "base.yaml"))}
	overlays, err := filepath.Glob(filepath.Join(dir, "overlays", "*.yaml"))
	if err != nil {
		b.Fatal(err)
	}
	for _, overlay := range overlays {
		submission.Overlays = append(submission.Overlays, readFile(b, overlay))
	}
	configuration, problems := config.CheckSubmission(nil, submission)
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	deployment, err := dev.Start(dev.Options{
		InitialSubmission: submission, Configuration: configuration, SubmissionCheck: config.CheckSubmission,
		Targets: map[string]int{benchService: benchTargets, "lookbook": 8}, Slots: benchSlots, MaxConnections: 130, Faults: faults,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(deployment.Kill)
	for deadline := time.Now().Add(benchReadyTimeout); !deployment.Ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("the deployment did not become ready")
		}
	}
	return deployment
}

func readFile(b *testing.B, path string) *schemav1.SourceFile {
	b.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	return &schemav1.SourceFile{Name: path, Content: content}
}
