package proxy

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/metrics"
)

// latencyBuckets double from 0.1 ms to about 6.5 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 17)

// telemetry holds the metrics of a handler. Tagged metrics are cached, because tally builds a key for each lookup.
type telemetry struct {
	scope           tally.Scope
	services        sync.Map
	refusals        sync.Map
	queueSeconds    tally.Histogram
	targetSeconds   tally.Histogram
	waitingForOwner atomic.Int64
}

type serviceMetrics struct {
	requests, retries, discardedResponses tally.Counter
	seconds                               tally.Histogram
}

func newTelemetry(scope tally.Scope) *telemetry {
	return &telemetry{
		scope:         scope,
		queueSeconds:  scope.Histogram(metrics.QueueSeconds, latencyBuckets),
		targetSeconds: scope.Histogram(metrics.TargetSeconds, latencyBuckets),
	}
}

// forService returns the metrics of a configured service, or of the name "unknown".
func (t *telemetry) forService(service string) *serviceMetrics {
	if cached, ok := t.services.Load(service); ok {
		return cached.(*serviceMetrics)
	}
	scope := t.scope.Tagged(map[string]string{metrics.TagService: service})
	created := &serviceMetrics{
		requests: scope.Counter(metrics.Requests), retries: scope.Counter(metrics.Retries),
		discardedResponses: scope.Counter(metrics.DiscardedAnswers), seconds: scope.Histogram(metrics.RequestSeconds, latencyBuckets),
	}
	cached, _ := t.services.LoadOrStore(service, created)
	return cached.(*serviceMetrics)
}

// recordRequest counts a finished request, at the host that received it from the caller. An unresolved service name is
// arbitrary input of a caller, so all unknown services share one name.
func (t *telemetry) recordRequest(x *exchange, err error) {
	if x.forwarded {
		return
	}
	service := x.service
	if x.resolution.Service == nil {
		service = "unknown"
	}
	counters := t.forService(service)
	counters.requests.Inc(1)
	counters.seconds.RecordDuration(x.options.Clock() - x.started)
	if err == nil {
		return
	}
	code := "aborted"
	if !errors.Is(err, errAborted) {
		code = string(apierr.From(err).Code)
	}
	t.refusalCounter(code).Inc(1)
}

func (t *telemetry) refusalCounter(code string) tally.Counter {
	if cached, ok := t.refusals.Load(code); ok {
		return cached.(tally.Counter)
	}
	cached, _ := t.refusals.LoadOrStore(code, t.scope.Tagged(map[string]string{metrics.TagCode: code}).Counter(metrics.Refusals))
	return cached.(tally.Counter)
}

func (t *telemetry) countRetry(service string) { t.forService(service).retries.Inc(1) }
func (t *telemetry) discardedResponses(service string) {
	t.forService(service).discardedResponses.Inc(1)
}
func (t *telemetry) recordQueueWait(wait time.Duration) { t.queueSeconds.RecordDuration(wait) }
func (t *telemetry) recordTargetLatency(latency time.Duration) {
	t.targetSeconds.RecordDuration(latency)
}
