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

// movingRetryAfter is the Retry-After sent to callers while a shard moves. The move of an idle shard takes well under a
// second.
const movingRetryAfter = time.Second

// AttachedTarget is a target that is attached to this host. It is safe for concurrent use.
type AttachedTarget struct {
	manager     *Manager
	gate        Gate
	health      health
	grantSender grantSender

	mu          sync.Mutex
	record      *schemav1.TargetRecord
	pool        *Pool
	shardGrants map[shardID]*shardGrant
	targetClock clockAnchor
	closed      bool

	// inFlightRequests outlives the attachment: a move must also wait for requests that began under an earlier one.
	inFlightRequests *inFlightRequests
}

// RoutedKey is the key of a request as it was routed: its keyspace, shard and hash, and the fence of the assignment.
type RoutedKey struct {
	Keyspace string
	Shard    uint32
	KeyHash  uint64
	// Fence is the fence of the assignment that routed the request here; nil for shared services.
	Fence *schemav1.Fence
}

// InFlightRequest is a request in flight at a target.
type InFlightRequest struct {
	attached   *AttachedTarget
	key        RoutedKey
	shardGrant *shardGrant
	boot       boot
	started    time.Duration
	once       sync.Once
}

// Name returns the target's name.
func (a *AttachedTarget) Name() string { return a.Record().GetAnnouncement().GetTarget() }

// Record returns the target's current record.
func (a *AttachedTarget) Record() *schemav1.TargetRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record
}

// Gate returns the target's admission control.
func (a *AttachedTarget) Gate() Gate { return a.gate }

// ChecksFences reports whether the target checks the fences of requests. Only such targets need grants.
func (a *AttachedTarget) ChecksFences() bool {
	return a.Record().GetAnnouncement().GetCapabilities().GetFence()
}

// TargetClockDeadline converts the time left into a deadline on the target's own clock, in milliseconds. It returns false
// when no time is left or the target's clock is not known. The result may be early but is never late, see clockAnchor.
func (a *AttachedTarget) TargetClockDeadline(left time.Duration) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.targetClock.deadline(a.manager.options.Clock(), left)
}

// Begin registers a request as in flight for its shard or hot key. It returns a not-run refusal when the target does not
// own the shard under the given fence, the shard is moving to another target, or the target is closed or unreachable.
// Each successful Begin needs an End.
func (a *AttachedTarget) Begin(key RoutedKey) (*InFlightRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	shardGrant, err := a.findGrant(key)
	if err != nil {
		return nil, err
	}
	request := &InFlightRequest{attached: a, key: key, shardGrant: shardGrant, boot: a.boot(), started: a.manager.options.Clock()}
	a.inFlightRequests.add(request)
	a.health.begin(request.started)
	return request, nil
}

// CheckBegin returns the refusal that Begin would return now, or nil. It registers nothing.
func (a *AttachedTarget) CheckBegin(key RoutedKey) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, err := a.findGrant(key)
	return err
}

// findGrant returns the active grant that covers key, nil for shared services, or a refusal. The grant of a hot key has
// precedence over that of its shard. The caller must hold a.mu.
func (a *AttachedTarget) findGrant(key RoutedKey) (*shardGrant, error) {
	if a.closed || a.health.isUnreachable() {
		return nil, apierr.New(apierr.OwnerUnreachable, "the target is not attached here")
	}
	if err := a.manager.notices.refusal(a.manager.options.Clock(), a.boot()); err != nil {
		return nil, err
	}
	if key.Fence == nil {
		return nil, nil
	}
	sg, ok := a.shardGrants[shardID{keyspace: key.Keyspace, hot: true, keyHash: key.KeyHash}]
	if !ok {
		sg, ok = a.shardGrants[shardID{keyspace: key.Keyspace, shard: key.Shard}]
	}
	if !ok || sg.state != grantActive || lease.CompareFences(sg.record.GetFence(), key.Fence) != 0 {
		return nil, apierr.Wrap(&apierr.Refusal{
			Code: apierr.Moving, Ran: apierr.NotRun, Message: "the shard is changing its owner", RetryAfter: movingRetryAfter,
		})
	}
	return sg, nil
}

// CheckOwnership returns a refusal when the request must no longer be written, because the target no longer owns the shard
// under the request's fence or is closed or unreachable.
func (r *InFlightRequest) CheckOwnership() error { return r.attached.CheckBegin(r.key) }

// ShardHeader returns the value of the Almondrock-Shard header; empty for shared services.
func (r *InFlightRequest) ShardHeader() string {
	if r.shardGrant == nil {
		return ""
	}
	return r.shardGrant.shardText
}

// FenceHeader returns the value of the Almondrock-Fence header; empty for shared services.
func (r *InFlightRequest) FenceHeader() string {
	if r.shardGrant == nil {
		return ""
	}
	return r.shardGrant.fenceText
}

// End removes the request from those in flight. Calls after the first do nothing.
func (r *InFlightRequest) End() {
	r.once.Do(func() {
		a := r.attached
		now := a.manager.options.Clock()
		a.health.end(now, now-r.started, keyID{keyspace: r.key.Keyspace, hash: r.key.KeyHash})
		a.inFlightRequests.remove(r)
	})
}

// Send sends request to the target once. The request's URL needs only a path and query. guard, if not nil, runs
// immediately before the first byte is written, and its error stops the request. Errors wrap a *SendError.
func (a *AttachedTarget) Send(request *http.Request, guard func() error) (*Exchange, error) {
	started := a.manager.options.Clock()
	exchange, err := a.send(request, guard)
	if err == nil {
		now := a.manager.options.Clock()
		a.health.recordResponse(now, now-started)
	}
	return exchange, err
}

// send is Send without recording the latency, which is not reported for grant requests.
func (a *AttachedTarget) send(request *http.Request, guard func() error) (*Exchange, error) {
	a.mu.Lock()
	pool, address := a.pool, a.record.GetAnnouncement().GetAddress()
	a.mu.Unlock()
	request.URL.Scheme, request.URL.Host = "http", address
	started := a.manager.options.Clock()
	exchange, err := pool.Send(request, guard)
	now := a.manager.options.Clock()
	if err != nil {
		a.health.recordFailure(err, now-started)
		if isBrokenConnection(err) {
			// The target process has probably ended, so its other connections are broken too. A connect attempt shows at once
			// whether it is reachable.
			pool.Close()
			a.probe()
		}
		return nil, err
	}
	a.health.recordResponse(now, 0)
	return exchange, nil
}

// isBrokenConnection reports whether a connection failed after bytes of a request were written, other than by cancellation
// or timeout.
func isBrokenConnection(err error) bool {
	var send *SendError
	return errors.As(err, &send) && send.WriteStarted && !errors.Is(err, context.Canceled) && !send.Timeout()
}

// probeIfUnresponsive probes a target that gets no grants and has not responded for probeDelay.
func (a *AttachedTarget) probeIfUnresponsive() {
	if !a.ChecksFences() && a.health.isUnresponsive(a.manager.options.Clock()) {
		a.probe()
	}
}

// probe tries to connect to the target in the background. At most one probe runs at a time.
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

// OpenConnections returns the number of open connections to the target.
func (a *AttachedTarget) OpenConnections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pool.OpenCount()
}

// InFlight returns the number of requests in flight for a shard.
func (a *AttachedTarget) InFlight(keyspace string, shard uint32) int {
	return a.inFlightRequests.count(func(request *InFlightRequest) bool {
		return request.key.Keyspace == keyspace && request.key.Shard == shard
	})
}

// clockAnchor is a reading of the target's clock and the time at which it arrived here. The target read its clock before
// the response arrived, so its clock is at or ahead of the estimate, and deadlines computed from it are early, never late.
type clockAnchor struct {
	known     bool
	reading   uint64
	arrivedAt time.Duration
}

// targetClockRateMargin is the fraction by which a target's clock may run slower than this host's before a computed deadline
// can be late.
const targetClockRateMargin = 0.01

func (c *clockAnchor) set(reading uint64, arrivedAt time.Duration) {
	*c = clockAnchor{known: reading > 0, reading: reading, arrivedAt: arrivedAt}
}

func (c *clockAnchor) deadline(now, left time.Duration) (uint64, bool) {
	if !c.known || left <= 0 {
		return 0, false
	}
	elapsed := time.Duration(float64(now-c.arrivedAt) * (1 - targetClockRateMargin))
	return c.reading + uint64((elapsed + left).Milliseconds()), true
}
