package loadgen

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondrock.example/almondrock/pkg/apierr"
)

// Reasons why a request got no usable response, as named in the report.
const (
	failureRequest    = "request"
	failureTimeout    = "timeout"
	failureConnection = "connection"
	failureTruncated  = "truncated"
	failureNotJSON    = "not-json"
)

// Range and precision of histograms.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// result is the outcome of one request.
type result struct {
	method string
	// status is the HTTP status; 0 if there was no response.
	status      int
	failure     string
	refusalCode apierr.Code
	runStatus   apierr.RunStatus
	target      string
	mismatched  bool
	duplicate   bool
	// latencyFromIntended is measured from the intended send time, latencyFromSend from the actual one.
	latencyFromIntended, latencyFromSend time.Duration
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu                                         sync.Mutex
	total, successes                           int
	mismatched, duplicate                      int
	statuses, refusalCodes, failures           map[string]int
	targets                                    map[string]int
	successLatency, refusalLatency, getLatency *hdrhistogram.Histogram
	postLatency, successFromSend, allLatency   *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &recorder{
		statuses: map[string]int{}, refusalCodes: map[string]int{}, failures: map[string]int{}, targets: map[string]int{},
		successLatency: histogram(), refusalLatency: histogram(), getLatency: histogram(), postLatency: histogram(), successFromSend: histogram(),
		allLatency: histogram(),
	}
}

func (r *recorder) add(result *result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if result.status != 0 {
		r.statuses[strconv.Itoa(result.status)]++
	}
	if result.refusalCode != "" {
		r.refusalCodes[string(result.refusalCode)+" "+string(result.runStatus)]++
	}
	if result.failure != "" {
		r.failures[result.failure]++
	}
	if result.mismatched {
		r.mismatched++
	}
	if result.duplicate {
		r.duplicate++
	}
	if result.target != "" {
		r.targets[result.target]++
	}
	r.recordLatency(result)
}

// recordLatency keeps successes and refusals in separate histograms, since fast refusals must not improve the latency of
// successes.
func (r *recorder) recordLatency(result *result) {
	record(r.allLatency, result.latencyFromIntended)
	if result.failure != "" {
		return
	}
	if result.status >= http.StatusBadRequest {
		record(r.refusalLatency, result.latencyFromIntended)
		return
	}
	r.successes++
	record(r.successLatency, result.latencyFromIntended)
	record(r.successFromSend, result.latencyFromSend)
	if result.method == http.MethodPost {
		record(r.postLatency, result.latencyFromIntended)
	} else {
		record(r.getLatency, result.latencyFromIntended)
	}
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(latency, time.Microsecond), maxLatency).Microseconds()
	// RecordValue can't fail, since the value is within the range of the histogram.
	_ = histogram.RecordValue(value)
}
