package limit

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// DefaultMaxQueue is the number of requests that may wait for one target.
const DefaultMaxQueue = 64

// Observer receives the figures of a gate for metrics. Its methods are called with the gate locked, so they must be
// short and must not call the gate.
type Observer interface {
	// ObserveWait reports how long a request waited before it was admitted.
	ObserveWait(class schemav1.RequestClass, wait time.Duration)
	// ObserveLoad reports the requests that wait and that run, after each change.
	ObserveLoad(queued, inFlight int)
}

// Options configure a Gate.
type Options struct {
	// Slots is the number of requests that the target runs at once; 1 when 0.
	Slots uint32
	// MaxQueue limits waiting requests; DefaultMaxQueue when 0.
	MaxQueue int
	// BootID is the boot id of the target's announcement. Boot starts the ramp again when it changes.
	BootID string
	// Warm starts the target at its full rate: another gate has seen this boot past its cold start.
	Warm bool
	// Clock is the process clock when nil.
	Clock monotonic.Clock
	// Observer may be nil.
	Observer Observer
}

// Ticket is a request for one slot.
type Ticket struct {
	Class  schemav1.RequestClass
	Tenant string
	// Weight is the tenant's share against other tenants; 1 when 0.
	Weight uint32
	// Deadline is the time left.
	Deadline time.Duration
}

// Result tells how an admitted request ended.
type Result int

// Results of an admitted request.
const (
	// Success is a complete answer, whatever its status says about the caller's own mistakes.
	Success Result = iota
	// Failure is a lost connection, a time-out, or an answer that blames the target.
	Failure
	// Shed is a refusal by the target before it ran the request.
	Shed
	// Cancelled is a request whose caller or sender gave up.
	Cancelled
)

// Outcome is what the gate learns from an admitted request.
type Outcome struct {
	Result Result
	// Latency is the time that the slot was in use; measured from the admission when 0.
	Latency time.Duration
	// TimeToFirstByte is the time to the first byte of the answer; Latency when 0. It tells whether the target is slow, since
	// the whole latency depends on the size of the answer and on how fast the caller reads.
	TimeToFirstByte time.Duration
}

// Gate is the admission control of one target. It is safe for concurrent use.
type Gate struct {
	clock    monotonic.Clock
	observer Observer

	mu     sync.Mutex
	core   *core
	bootID string
	closed *apierr.Refusal
	alarm  *monotonic.Timer
}

// Permit is one slot in use. It must be released exactly once; later releases do nothing.
type Permit struct {
	gate    *Gate
	class   schemav1.RequestClass
	started time.Duration
	waited  time.Duration
	once    sync.Once
}

// NewGate returns the gate of a target that is in cold start.
func NewGate(options Options) *Gate {
	if options.Clock == nil {
		options.Clock = monotonic.ProcessClock{}
	}
	if options.MaxQueue <= 0 {
		options.MaxQueue = DefaultMaxQueue
	}
	g := &Gate{clock: options.Clock, observer: options.Observer, bootID: options.BootID}
	g.alarm = monotonic.NewTimer(options.Clock, g.wake)
	g.core = newCore(int(options.Slots), options.MaxQueue, options.Clock.Now())
	g.core.settled = g.settled
	if options.Warm {
		g.core.ramp.SkipColdStart()
	}
	return g
}

// Warm reports whether the target is past its cold start.
func (g *Gate) Warm() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.ramp.Warm()
}

// Acquire waits for a slot. Its errors are apierr refusals with ran = not-run: Overloaded when the request can't be
// answered in time or the queue is full, Deadline when the deadline passes while it waits, and the refusal given to
// Close after the gate was closed. The error of a cancelled ctx also wraps the cause of the cancellation.
func (g *Gate) Acquire(ctx context.Context, ticket Ticket) (*Permit, error) {
	w, now, err := g.enter(ctx, ticket)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return &Permit{gate: g, class: normalise(ticket.Class), started: now}, nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, cancelled(ctx)
		}
	}
	if w.err != nil {
		return nil, w.err
	}
	if ctx.Err() != nil {
		g.giveBack(w)
		return nil, cancelled(ctx)
	}
	return &Permit{gate: g, class: w.class, started: w.started, waited: w.started - w.enqueued}, nil
}

// enter admits the ticket at once, in which case there is no waiter, or queues it. It also returns the time.
func (g *Gate) enter(ctx context.Context, ticket Ticket) (w *waiter, now time.Duration, err error) {
	if ctx.Err() != nil {
		return nil, 0, cancelled(ctx)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock.Now()
	if g.closed != nil {
		return nil, now, apierr.Wrap(g.closed)
	}
	if ticket.Deadline <= 0 {
		return nil, now, deadlinePassed(0)
	}
	class := normalise(ticket.Class)
	if g.core.startNow(now, class) {
		g.changed(now)
		if g.observer != nil {
			g.observer.ObserveWait(class, 0)
		}
		return nil, now, nil
	}
	w = newWaiter(ticket, now)
	err = g.core.enqueue(now, w)
	g.changed(now)
	return w, now, err
}

// abandon takes a cancelled waiter out of the queue; it reports false when the waiter was settled in the meantime.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.core.remove(w)
	g.changed(g.clock.Now())
	return removed
}

// giveBack returns the slot of a request that was admitted and cancelled at the same moment.
func (g *Gate) giveBack(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.core.finish(now, w.class, w.started, Outcome{Result: Cancelled})
	g.changed(now)
}

// settled is called by the core, with the gate locked, when a waiter is admitted or refused.
func (g *Gate) settled(w *waiter, err error) {
	w.err = err
	if err == nil && g.observer != nil {
		g.observer.ObserveWait(w.class, w.started-w.enqueued)
	}
	close(w.done)
}

// changed admits what has become admissible, reports the load, and sets the timer for the next change by time alone.
func (g *Gate) changed(now time.Duration) {
	g.core.advance(now)
	if g.observer != nil {
		g.observer.ObserveLoad(g.core.queued, g.core.running)
	}
	at, ok := g.core.nextWake(now)
	g.alarm.Set(now, at, ok)
}

func (g *Gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.alarm.MarkFired()
	g.changed(g.clock.Now())
}

// Release gives the slot back and tells the gate how the request ended.
func (p *Permit) Release(outcome Outcome) {
	p.once.Do(func() {
		g := p.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.clock.Now()
		if outcome.Latency <= 0 {
			outcome.Latency = now - p.started
		}
		g.core.finish(now, p.class, p.started, outcome)
		g.changed(now)
	})
}

// Waited is the time that the request spent in the queue.
func (p *Permit) Waited() time.Duration {
	return p.waited
}

// Reset starts the ramp again, for a target that is known to be cold.
func (g *Gate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.core.ramp.Reset(now)
	g.changed(now)
}

// Boot takes over what the target announces: a new boot id starts the ramp again, and slots may change at any time.
func (g *Gate) Boot(bootID string, slots uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.core.setSlots(int(slots))
	if bootID != g.bootID {
		g.bootID = bootID
		g.core.ramp.Reset(now)
	}
	g.changed(now)
}

// Close refuses all waiting and all later requests with refusal. Running requests keep their permits.
func (g *Gate) Close(refusal *apierr.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = refusal
	g.core.refuseAll(func() error { return apierr.Wrap(refusal) })
	g.changed(g.clock.Now())
}

// Load returns the requests that wait, the requests that run, and the present limit on the latter.
func (g *Gate) Load() (queued, inFlight, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.queued, g.core.running, g.core.ramp.Limit()
}

// cancelled is the refusal of a request whose ctx is done. There is nobody left to retry, so it has no RetryAfter.
func cancelled(ctx context.Context) error {
	err := apierr.New(apierr.DeadlineExceeded, "the request was cancelled before it was sent")
	return merry.Wrap(err, merry.WithCause(context.Cause(ctx)))
}
