// Package metrics defines the names of all metrics, and creates the tally scope that records them together with the
// HTTP handler that serves them.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/guard"
)

// Names of metrics, without the prefix almondrock_. The unit is part of the name.
const (
	Requests           = "requests_total"
	Refusals           = "refusals_total"
	RequestSeconds     = "request_seconds"
	TargetSeconds      = "target_seconds"
	OrderSeconds       = "order_seconds"
	QueueSeconds       = "queue_seconds"
	QueueLength        = "queue_length"
	InFlight           = "in_flight"
	Retries            = "retries_total"
	LinkBytes          = "link_bytes_total"
	Shards             = "shards"
	ShardMoves         = "shard_moves_total"
	ShardsWithoutOwner = "shards_without_owner"
	UnavailableSeconds = "unavailable_seconds"
	ImbalanceRatio     = "imbalance_ratio"
	ConfigRevision     = "config_revision"
	GroupGeneration    = "group_generation"
	GroupLeader        = "group_leader"
	LeaseRenewals      = "lease_renewals_total"
	LeaseLosses        = "lease_losses_total"
	Targets            = "targets"
	DiscardedAnswers   = "discarded_answers_total"
	TargetConnections  = "target_connections"
	DiskFull           = "disk_full"
	StateAgeSeconds    = "state_age_seconds"
	TargetNotices      = "target_notices_total"
	Panics             = "panics_total"
	CallerRefusals     = "caller_refusals_total"
	MemoryBytes        = "memory_bytes"
	Suspects           = "suspects_total"
	SlotAsks           = "slot_asks_total"
	SlotFallBacks      = "slot_fallbacks_total"
	SlotLateTurns      = "slot_late_turns_total"
	SlotBytes          = "slot_bytes_total"
	SlotDatagramErrors = "slot_datagram_errors_total"
	SlotStateChanges   = "slot_state_changes_total"
	TargetPaces        = "target_paces"
	PaceFalls          = "target_pace_falls_total"
	QuotaReports       = "quota_reports_total"
)

// Tag names.
const (
	TagService    = "service"
	TagTarget     = "target"
	TagCode       = "code"
	TagDataCentre = "data_centre"
	TagClass      = "class"
	TagDirection  = "direction"
	TagResult     = "result"
	TagTask       = "task"
	TagState      = "state"
	TagCause      = "cause"
	TagReason     = "reason"
)

// sanitizer replaces characters that the Prometheus text format does not allow in names, and in tag values all characters
// except printable ASCII.
var sanitizer = func() tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return options
}()

// reportInterval is the interval at which tally reports values to the Prometheus reporter.
const reportInterval = time.Second

// Registry holds a metrics scope and the handler that serves its values in the Prometheus text format.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns a registry, which also counts contained panics, and whose metrics have the prefix almondrock_ and tags for the host and its data centre.
func New(host, dataCentre string) *Registry {
	// A separate Prometheus registry instead of the global one, so that several hosts can run in one process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { klog.ErrorS(err, "metric not registered") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "almondrock",
		Tags:                   map[string]string{"host": host, TagDataCentre: dataCentre},
		CachedReporter:         reporter,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
		Separator:              prometheus.DefaultSeparator,
	}, reportInterval)
	guard.OnPanic(func(task string) { scope.Tagged(map[string]string{TagTask: task}).Counter(Panics).Inc(1) })
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// RecordRefusal counts a caller that is refused, or whose connection is closed, because of a limit.
func (r *Registry) RecordRefusal(reason string) {
	r.Scope.Tagged(map[string]string{TagReason: reason}).Counter(CallerRefusals).Inc(1)
}

// Close reports the final values and stops the scope.
func (r *Registry) Close() error {
	return r.closer.Close()
}
