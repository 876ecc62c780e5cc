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
	// OfferedRate is the rate asked for, and SentRate the rate reached, per second.
	OfferedRate float64 `json:"offeredRate"`
	SentRate    float64 `json:"sentRate"`
	Seconds     float64 `json:"seconds"`
	Requests    int     `json:"requests"`
	// Successes counts complete answers that aren't refusals.
	Successes int `json:"answers"`
	// MismatchedResponses counts answers of another request (I6), and Doubled counts requests that ran more than once (I8).
	MismatchedResponses int `json:"crossed"`
	DuplicateExecutions int `json:"doubled"`
	// Statuses counts by HTTP status, Refusals by code and whether the request ran, Failures by reason.
	Statuses map[string]int `json:"statuses"`
	Refusals map[string]int `json:"refusals"`
	Failures map[string]int `json:"failures"`
	// Targets counts answers by target.
	Targets map[string]int `json:"targets"`
	// Latencies are counted from the intended send time, but for "answers from send".
	Latencies []Latency `json:"latencies"`

	curves []curve
}

// Latency is the distribution of one kind of results.
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

// report summarises the results of a run that took length.
func (r *recorder) report(options Options, length time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		URL: options.URL, OfferedRate: options.Rate, SentRate: float64(r.total) / length.Seconds(),
		Seconds: length.Seconds(), Requests: r.total, Successes: r.good, MismatchedResponses: r.crossed, DuplicateExecutions: r.doubled,
		Statuses: r.statuses, Refusals: r.codes, Failures: r.failures, Targets: r.targets,
	}
	for _, part := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{
		{"answers", r.answers},
		{"GET", r.reads},
		{"POST", r.writes},
		{"answers from send", r.fromSend},
		{"refusals", r.refusals},
		{"all", r.everyone},
	} {
		if part.histogram.TotalCount() == 0 {
			continue
		}
		report.Latencies = append(report.Latencies, summarise(part.name, part.histogram))
		report.curves = append(report.curves, newCurve(part.name, part.histogram))
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

// WriteTable writes the report for people.
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

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
