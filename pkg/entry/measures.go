package entry

import (
	"io"
	"log"
	"time"

	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/metrics"
)

// measures counts requests and their times.
type measures struct {
	registry *metrics.Registry
	scope    tally.Scope
}

func newMeasures(host, dataCentre string) *measures {
	registry := metrics.New(host, dataCentre)
	return &measures{registry: registry, scope: registry.Scope}
}

// seconds are the buckets of request times: the objectives of callers lie between a tenth of a second and seconds.
var seconds = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// note counts one finished request.
func (m *measures) note(service, result string, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: result})
	scope.Counter(metrics.Requests).Inc(1)
	scope.Histogram(metrics.RequestSeconds, seconds).RecordDuration(took)
}

// noteAttempt counts one attempt at a target.
func (m *measures) noteAttempt(service string, outcome dispatch.Outcome, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{metrics.TagService: service, metrics.TagResult: outcome.String()})
	scope.Histogram(metrics.TargetSeconds, seconds).RecordDuration(took)
}

// quietLog drops net/http's lines about broken connections of callers, which each request's own line covers.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
