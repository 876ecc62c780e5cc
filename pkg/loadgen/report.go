package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Latencies are in milliseconds.
type Report struct {
	URL string `json:"url"`
	// OfferedRate is the configured rate, and SentRate the rate that was achieved, in requests per second.
	OfferedRate float64 `json:"offeredRate"`
	SentRate    float64 `json:"sentRate"`
	Seconds     float64 `json:"seconds"`
	Requests    int     `json:"requests"`
	// Successes counts complete responses with a status below 400.
	Successes int `json:"answers"`
	// MismatchedResponses counts responses that belonged to another request (a violation of invariant I6).
	MismatchedResponses int `json:"crossed"`
	// DuplicateExecutions counts requests that ran more than once (a violation of invariant I8).
	DuplicateExecutions int `json:"doubled"`
	// Statuses counts responses by HTTP status, Refusals by code and by whether the request ran, and Failures by reason.
	Statuses map[string]int `json:"statuses"`
	Refusals map[string]int `json:"refusals"`
	Failures map[string]int `json:"failures"`
	// Targets counts successes by target.
	Targets map[string]int `json:"targets"`
	// Latencies are measured from the intended send time, except those named "answers from send".
	Latencies []Latency `json:"latencies"`

	curves []curve
}

// Latency is the latency distribution of one kind of results. All values except Count are in milliseconds.
type Latency struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	Mean  float64 `json:"meanMs"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

// report summarises the results of a run that took the given duration.
func (r *recorder) report(options Options, duration time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		URL: options.URL, OfferedRate: options.Rate, SentRate: float64(r.total) / duration.Seconds(),
		Seconds: duration.Seconds(), Requests: r.total, Successes: r.successes, MismatchedResponses: r.mismatched, DuplicateExecutions: r.duplicate,
		Statuses: r.statuses, Refusals: r.refusalCodes, Failures: r.failures, Targets: r.targets,
	}
	for _, distribution := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{"answers", r.successLatency},
		{"GET", r.getLatency},
		{"POST", r.postLatency},
		{"answers from send", r.successFromSend},
		{"refusals", r.refusalLatency},
		{"all", r.allLatency},
	} {
		if distribution.histogram.TotalCount() == 0 {
			continue
		}
		report.Latencies = append(report.Latencies, summarise(distribution.name, distribution.histogram))
		report.curves = append(report.curves, newCurve(distribution.name, distribution.histogram))
	}
	return report
}

func summarise(name string, histogram *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 { return milliseconds(histogram.ValueAtPercentile(percentile)) }
	return Latency{
		Name: name, Count: histogram.TotalCount(), Mean: histogram.Mean() / 1000,
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: milliseconds(histogram.Max()),
	}
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// WriteTable writes the report as a table for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d in %.1f s (%.1f/s of %.1f/s offered)\n", r.Requests, r.Seconds, r.SentRate, r.OfferedRate)
	fmt.Fprintf(table, "answers\t%d\n", r.Successes)
	fmt.Fprintf(table, "crossed answers\t%d\n", r.MismatchedResponses)
	fmt.Fprintf(table, "doubled runs\t%d\n", r.DuplicateExecutions)
	writeCounts(table, "status", r.Statuses)
	writeCounts(table, "refusal", r.Refusals)
	writeCounts(table, "failure", r.Failures)
	writeCounts(table, "target", r.Targets)
	fmt.Fprint(table, "\nlatency in ms\tcount\tmean\tp50\tp90\tp99\tp99.9\tmax\n")
	for _, l := range r.Latencies {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", l.Name, l.Count, l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	return table.Flush()
}

func writeCounts(w io.Writer, name string, counts map[string]int) {
	for _, value := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %s\t%d\n", name, value, counts[value])
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
