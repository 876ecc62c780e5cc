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

// latencyBuckets go from 0.1 ms to about 6.5 s by doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 17)

// telemetry keeps the metrics of a handler. Tagged metrics are looked up once, because tally builds a key per lookup.
type telemetry struct {
	scope    tally.Scope
	services sync.Map
	refusals sync.Map
	queue    tally.Histogram
	sent     tally.Histogram
	waiting  atomic.Int64
}

type serviceMetrics struct {
	requests, retries, discarded tally.Counter
	seconds                      tally.Histogram
}

func newTelemetry(scope tally.Scope) *telemetry {
	return &telemetry{
		scope: scope,
		queue: scope.Histogram(metrics.QueueSeconds, latencyBuckets),
		sent:  scope.Histogram(metrics.TargetSeconds, latencyBuckets),
	}
}

// of returns the metrics of a service that the configuration knows.
func (t *telemetry) of(service string) *serviceMetrics {
	if found, ok := t.services.Load(service); ok {
		return found.(*serviceMetrics)
	}
	scope := t.scope.Tagged(map[string]string{metrics.TagService: service})
	made := &serviceMetrics{
		requests: scope.Counter(metrics.Requests), retries: scope.Counter(metrics.Retries),
		discarded: scope.Counter(metrics.DiscardedAnswers), seconds: scope.Histogram(metrics.RequestSeconds, latencyBuckets),
	}
	found, _ := t.services.LoadOrStore(service, made)
	return found.(*serviceMetrics)
}

// request counts a finished request. A service's name comes from the caller's path until it is resolved, so unknown ones
// share one name.
func (t *telemetry) request(x *exchange, err error) {
	if x.forwarded {
		return
	}
	service := x.service
	if x.resolution.Service == nil {
		service = "unknown"
	}
	found := t.of(service)
	found.requests.Inc(1)
	found.seconds.RecordDuration(x.options.Clock() - x.started)
	if err == nil {
		return
	}
	code := "aborted"
	if !errors.Is(err, errAborted) {
		code = string(apierr.From(err).Code)
	}
	t.refusal(code).Inc(1)
}

func (t *telemetry) refusal(code string) tally.Counter {
	if found, ok := t.refusals.Load(code); ok {
		return found.(tally.Counter)
	}
	found, _ := t.refusals.LoadOrStore(code, t.scope.Tagged(map[string]string{metrics.TagCode: code}).Counter(metrics.Refusals))
	return found.(tally.Counter)
}

func (t *telemetry) retry(service string)         { t.of(service).retries.Inc(1) }
func (t *telemetry) discarded(service string)     { t.of(service).discarded.Inc(1) }
func (t *telemetry) queued(wait time.Duration)    { t.queue.RecordDuration(wait) }
func (t *telemetry) target(latency time.Duration) { t.sent.RecordDuration(latency) }
