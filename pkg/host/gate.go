package host

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/limit"
	"almondrock.example/almondrock/pkg/link"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/proxy"
	"almondrock.example/almondrock/pkg/retry"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// gate implements target.Gate with a gate of package limit.
type gate struct {
	*limit.Gate
}

func (h *Host) newGate(record *schemav1.TargetRecord) target.Gate {
	announcement := record.GetAnnouncement()
	maxQueue := limit.DefaultMaxQueue
	if view := h.views.get(); view != nil && view.snapshot != nil {
		maxQueue = int(view.snapshot.MaxQueueAt(h.settings.GetDataCentre(), announcement.GetService()))
	}
	return gate{limit.NewGate(limit.Options{
		Slots:    announcement.GetSlots(),
		MaxQueue: maxQueue,
		BootID:   announcement.GetBootId(),
		Warm:     record.GetWarm(),
		Observer: h.newGateObserver(announcement.GetTarget()),
	})}
}

// gateObserver reports the load of a gate as metrics.
type gateObserver struct {
	queued, inFlight tally.Gauge
}

func (h *Host) newGateObserver(name string) gateObserver {
	scope := h.metrics.Scope.Tagged(map[string]string{metrics.TagTarget: name})
	return gateObserver{queued: scope.Gauge(metrics.QueueLength), inFlight: scope.Gauge(metrics.InFlight)}
}

// ObserveWait implements limit.Observer. It does nothing, because the data path reports the wait itself.
func (gateObserver) ObserveWait(schemav1.RequestClass, time.Duration) {}

// ObserveLoad implements limit.Observer.
func (o gateObserver) ObserveLoad(queued, inFlight int) {
	o.queued.Update(float64(queued))
	o.inFlight.Update(float64(inFlight))
}

// Acquire implements target.Gate.
func (g gate) Acquire(ctx context.Context, ticket target.Ticket) (target.Permit, error) {
	permit, err := g.Gate.Acquire(ctx, ticket)
	if err != nil {
		return nil, err
	}
	return permit, nil
}

// retries implements proxy.Retries with package retry.
type retries struct {
	budget *retry.Budget
}

// CountRequest implements proxy.Retries.
func (r retries) CountRequest() { r.budget.CountRequest() }

// AllowRetry implements proxy.Retries.
func (r retries) AllowRetry(attempt proxy.FailedAttempt) (time.Duration, bool) {
	decision := retry.Decide(retry.FailedAttempt{
		Idempotent:   attempt.Idempotent,
		Ran:          attempt.Ran,
		BodyConsumed: attempt.BodyConsumed,
		Left:         attempt.Left,
		RetryAfter:   attempt.RetryAfter,
		Retries:      attempt.Retries,
		BudgetLeft:   r.budget.Left(),
	}, rand.Float64()) //nolint:gosec // jitter needs no secret randomness
	if !decision.Retry || !r.budget.Spend() {
		return 0, false
	}
	return decision.Wait, true
}

// linkAdapter implements proxy.LinkPacer with a link.Link.
type linkAdapter struct {
	link *link.Link
}

// Open implements proxy.LinkPacer.
func (l linkAdapter) Open(ctx context.Context, outbound bool, class schemav1.RequestClass, size int64, timeLeft time.Duration, source io.Reader) (io.ReadCloser, error) {
	direction := link.In
	if outbound {
		direction = link.Out
	}
	stream, err := l.link.OpenStream(direction, link.ClassOf(class), size, timeLeft)
	if err != nil {
		return nil, err
	}
	return pacedReader{Reader: stream.Reader(ctx, source), stream: stream}, nil
}

type pacedReader struct {
	io.Reader
	stream *link.Stream
}

// Close implements io.Closer.
func (r pacedReader) Close() error {
	r.stream.Close()
	return nil
}
