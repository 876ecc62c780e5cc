package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/memory"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/pace"
)

// requestMetrics records the numbers and durations of requests and attempts.
type requestMetrics struct {
	registry *metrics.Registry
	scope    tally.Scope
}

func newRequestMetrics(host, dataCentre string) *requestMetrics {
	registry := metrics.New(host, dataCentre)
	return &requestMetrics{registry: registry, scope: registry.Scope}
}

// durationBuckets are the histogram buckets of request durations; latency objectives range from 0.1 s to several seconds.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// recordRequest records one finished request.
func (m *requestMetrics) recordRequest(service, result string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: result})
	scope.Counter(metrics.Requests).Inc(1)
	scope.Histogram(metrics.RequestSeconds, durationBuckets).RecordDuration(took)
}

// recordViewAge records the age of the view.
func (m *requestMetrics) recordViewAge(age time.Duration) {
	m.scope.Gauge(metrics.StateAgeSeconds).Update(age.Seconds())
}

// recordAttempt records one attempt at a target.
func (m *requestMetrics) recordAttempt(service string, outcome dispatch.Outcome, latency time.Duration) {
	scope := m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: outcome.String()})
	scope.Histogram(metrics.TargetSeconds, durationBuckets).RecordDuration(latency)
}

// Results by which notices of targets are counted.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
)

// recordNotice records that a target has said for the first time that it leaves, or has started or prolonged a pause.
func (m *requestMetrics) recordNotice(service, result string) {
	m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: result}).Counter(metrics.TargetNotices).Inc(1)
}

// recordPaceFalls records that limits of the requests in flight at targets fell.
func (m *requestMetrics) recordPaceFalls(service string, cause pace.Cause, count int) {
	m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagCause: cause.String()}).Counter(metrics.PaceFalls).Inc(int64(count))
}

// recordPaces records the number of targets of a service by the state of their pace.
func (m *requestMetrics) recordPaces(service string, counts [pace.StateCount]int) {
	for state, count := range counts {
		tags := map[string]string{metrics.TagService: service, metrics.TagState: pace.State(state).String()}
		m.scope.Tagged(tags).Gauge(metrics.TargetPaces).Update(float64(count))
	}
}

// recordMemory records the memory that is counted by class; nothing without a budget.
func (m *requestMetrics) recordMemory(budget *memory.Budget) {
	if budget == nil {
		return
	}
	for class := memory.Connections; class <= memory.Responses; class++ {
		m.scope.Tagged(map[string]string{metrics.TagClass: class.String()}).Gauge(metrics.MemoryBytes).Update(float64(budget.Used(class)))
	}
}
