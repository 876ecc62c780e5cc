package target

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// movingRetryAfter is the hint to callers when a shard is being moved; a move lasts well under a second when idle.
const movingRetryAfter = time.Second

// AttachedTarget is one target that is attached to this host. It is safe for concurrent use.
type AttachedTarget struct {
	manager *Manager
	gate    Gate
	health  health
	granter granter

	mu     sync.Mutex
	record *schemav1.TargetRecord
	pool   *Pool
	units  map[unitID]*unit
	clock  clockAnchor
	closed bool

	// flights outlives the attachment: a move must also wait for requests that began under an earlier one.
	flights *flights
}

// RoutedKey is what a request is about: its place among the shards and its deadline.
type RoutedKey struct {
	Keyspace string
	Shard    uint32
	KeyHash  uint64
	// Fence is the fence of the assignment by which the request came here; nil for shared services.
	Fence *schemav1.Fence
}

// InFlightRequest is one request in flight at a target.
type InFlightRequest struct {
	attached *AttachedTarget
	scope    RoutedKey
	unit     *unit
	started  time.Duration
	once     sync.Once
}

// Name is the target's name.
func (a *AttachedTarget) Name() string { return a.Record().GetAnnouncement().GetTarget() }

// Record is the target's record in force.
func (a *AttachedTarget) Record() *schemav1.TargetRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record
}

// Gate is the target's admission control.
func (a *AttachedTarget) Gate() Gate { return a.gate }

// ChecksFences reports whether the target checks fences.
func (a *AttachedTarget) ChecksFences() bool {
	return a.Record().GetAnnouncement().GetCapabilities().GetFence()
}

// TargetClockDeadline returns the time left as a point in the target's own clock, in milliseconds. It reports false when the
// target offers no clock. The point is never late: see clockAnchor.
func (a *AttachedTarget) TargetClockDeadline(left time.Duration) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.at(a.manager.options.Clock(), left)
}

// Begin registers a request in flight for its shard or hot key. It refuses, always not-run, when the target does not
// own the shard under the given fence, the shard is being moved away, or the target is lost. Every Begin needs an End.
func (a *AttachedTarget) Begin(scope RoutedKey) (*InFlightRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	unit, err := a.usable(scope)
	if err != nil {
		return nil, err
	}
	work := &InFlightRequest{attached: a, scope: scope, unit: unit, started: a.manager.options.Clock()}
	a.flights.add(work)
	a.health.begin(work.started)
	return work, nil
}

// CheckBegin returns the refusal that Begin would give now, or nil.
func (a *AttachedTarget) CheckBegin(scope RoutedKey) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, err := a.usable(scope)
	return err
}

// usable returns the unit that covers scope, the hot key first; nil for shared services. It needs the lock.
func (a *AttachedTarget) usable(scope RoutedKey) (*unit, error) {
	if a.closed || a.health.isUnreachable() {
		return nil, apierr.New(apierr.OwnerUnreachable, "the target is not attached here")
	}
	if scope.Fence == nil {
		return nil, nil
	}
	u, ok := a.units[unitID{keyspace: scope.Keyspace, hot: true, keyHash: scope.KeyHash}]
	if !ok {
		u, ok = a.units[unitID{keyspace: scope.Keyspace, shard: scope.Shard}]
	}
	if !ok || u.state != unitGranted || lease.CompareFences(u.record.GetFence(), scope.Fence) != 0 {
		return nil, apierr.Wrap(&apierr.Refusal{
			Code: apierr.Moving, Ran: apierr.NotRun, Message: "the shard is changing its owner", RetryAfter: movingRetryAfter,
		})
	}
	return u, nil
}

// CheckOwnership fails when the request must not be written any more: the shard is no longer owned under its fence.
func (w *InFlightRequest) CheckOwnership() error { return w.attached.CheckBegin(w.scope) }

// ShardHeader is the value of Almondrock-Shard; empty for shared services.
func (w *InFlightRequest) ShardHeader() string {
	if w.unit == nil {
		return ""
	}
	return w.unit.shardText
}

// FenceHeader is the value of Almondrock-Fence; empty for shared services.
func (w *InFlightRequest) FenceHeader() string {
	if w.unit == nil {
		return ""
	}
	return w.unit.fenceText
}

// End takes the request out of the counts; calls after the first do nothing.
func (w *InFlightRequest) End() {
	w.once.Do(func() {
		a := w.attached
		now := a.manager.options.Clock()
		a.health.end(now, now-w.started, keyID{keyspace: w.scope.Keyspace, hash: w.scope.KeyHash})
		a.flights.remove(w)
	})
}

// Send sends request to the target once; the request's URL needs only path and query. The guard runs immediately
// before the first byte is written. Send fails with *SendError.
func (a *AttachedTarget) Send(request *http.Request, guard func() error) (*Exchange, error) {
	started := a.manager.options.Clock()
	exchange, err := a.send(request, guard)
	if err == nil {
		now := a.manager.options.Clock()
		a.health.answered(now, now-started)
	}
	return exchange, err
}

// send does not count the answer's latency, which is of no interest for grants.
func (a *AttachedTarget) send(request *http.Request, guard func() error) (*Exchange, error) {
	a.mu.Lock()
	pool, address := a.pool, a.record.GetAnnouncement().GetAddress()
	a.mu.Unlock()
	request.URL.Scheme, request.URL.Host = "http", address
	started := a.manager.options.Clock()
	exchange, err := pool.Send(request, guard)
	now := a.manager.options.Clock()
	if err != nil {
		a.health.failed(err, now-started)
		if brokenConnection(err) {
			// The process behind the other connections is probably gone as well. A connect shows at once whether it is.
			pool.Close()
			a.probe()
		}
		return nil, err
	}
	a.health.answered(now, 0)
	return exchange, nil
}

// brokenConnection reports whether the peer ended a connection that carried a request.
func brokenConnection(err error) bool {
	var send *SendError
	return errors.As(err, &send) && send.WriteStarted && !errors.Is(err, context.Canceled) && !send.Timeout()
}

// probeIfSilent probes a target that gets no grants and was not heard of for a while.
func (a *AttachedTarget) probeIfSilent() {
	if !a.ChecksFences() && a.health.silent(a.manager.options.Clock()) {
		a.probe()
	}
}

// probe tries a connect, one at a time.
func (a *AttachedTarget) probe() {
	if !a.health.startProbe() {
		return
	}
	address := a.Record().GetAnnouncement().GetAddress()
	a.manager.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := a.manager.options.Dial.orDefault()(ctx, "tcp", address)
		if err == nil {
			conn.Close()
		}
		a.health.endProbe(a.manager.options.Clock(), err)
	})
}

// OpenConnections is the number of open connections to the target.
func (a *AttachedTarget) OpenConnections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool.OpenCount()
}

// InFlight returns the number of requests in flight for a shard.
func (a *AttachedTarget) InFlight(keyspace string, shard uint32) int {
	return a.flights.count(func(work *InFlightRequest) bool {
		return work.scope.Keyspace == keyspace && work.scope.Shard == shard
	})
}

// clockAnchor is a reading of the target's clock. The reading was taken before the answer that carried it arrived, so
// the target's clock is at or ahead of the estimate and deadlines computed from it are early, never late.
type clockAnchor struct {
	known   bool
	reading uint64
	arrived time.Duration
}

// rateMargin allows for a target clock that runs fast against this host's.
const rateMargin = 0.01

func (c *clockAnchor) set(reading uint64, arrived time.Duration) {
	*c = clockAnchor{known: reading > 0, reading: reading, arrived: arrived}
}

func (c *clockAnchor) at(now, left time.Duration) (uint64, bool) {
	if !c.known || left <= 0 {
		return 0, false
	}
	elapsed := time.Duration(float64(now-c.arrived) * (1 - rateMargin))
	return c.reading + uint64((elapsed + left).Milliseconds()), true
}
