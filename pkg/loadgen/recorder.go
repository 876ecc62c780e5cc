package loadgen

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondrock.example/almondrock/pkg/apierr"
)

// Names of failures without a usable answer.
const (
	failureRequest    = "request"
	failureTimeout    = "timeout"
	failureConnection = "connection"
	failureTruncated  = "truncated"
	failureNoJSON     = "not-json"
)

// Range and precision of histograms.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// result is what became of one request.
type result struct {
	method string
	// status is 0 when there was no answer.
	status  int
	failure string
	code    apierr.Code
	ran     apierr.RunStatus
	target  string
	crossed bool
	doubled bool
	// intended is the latency from the intended send time, and sent the one from the actual send time.
	intended, sent time.Duration
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu                         sync.Mutex
	total, good                int
	crossed, doubled           int
	statuses, codes, failures  map[string]int
	targets                    map[string]int
	answers, refusals, reads   *hdrhistogram.Histogram
	writes, fromSend, everyone *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &recorder{
		statuses: map[string]int{}, codes: map[string]int{}, failures: map[string]int{}, targets: map[string]int{},
		answers: histogram(), refusals: histogram(), reads: histogram(), writes: histogram(), fromSend: histogram(),
		everyone: histogram(),
	}
}

func (r *recorder) add(result *result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if result.status != 0 {
		r.statuses[strconv.Itoa(result.status)]++
	}
	if result.code != "" {
		r.codes[string(result.code)+" "+string(result.ran)]++
	}
	if result.failure != "" {
		r.failures[result.failure]++
	}
	if result.crossed {
		r.crossed++
	}
	if result.doubled {
		r.doubled++
	}
	if result.target != "" {
		r.targets[result.target]++
	}
	r.latency(result)
}

// latency records answers apart from refusals, since a refusal in a microsecond must not improve the latency.
func (r *recorder) latency(result *result) {
	record(r.everyone, result.intended)
	if result.failure != "" {
		return
	}
	if result.status >= http.StatusBadRequest {
		record(r.refusals, result.intended)
		return
	}
	r.good++
	record(r.answers, result.intended)
	record(r.fromSend, result.sent)
	if result.method == http.MethodPost {
		record(r.writes, result.intended)
	} else {
		record(r.reads, result.intended)
	}
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(latency, time.Microsecond), maxLatency).Microseconds()
	// The value is within the range of the histogram, so that recording can't fail.
	_ = histogram.RecordValue(value)
}
