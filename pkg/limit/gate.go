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

// DefaultMaxQueue is the default limit of requests that wait for one target.
const DefaultMaxQueue = 64

// Observer receives the measurements of a gate for metrics. Its methods are called with the gate locked, so they must be
// short and must not call the gate.
type Observer interface {
	// ObserveWait reports how long a request waited before it was admitted.
	ObserveWait(class schemav1.RequestClass, wait time.Duration)
	// ObserveLoad reports the numbers of waiting and of running requests, after each change.
	ObserveLoad(queued, inFlight int)
}

// Options configure a Gate.
type Options struct {
	// Slots is the number of requests that the target can run at once; 1 when 0.
	Slots uint32
	// MaxQueue limits the waiting requests; DefaultMaxQueue when 0.
	MaxQueue int
	// BootID is the boot ID that the target announced. Boot restarts the ramp when it changes.
	BootID string
	// Warm skips the cold start, because another gate has already seen the target warm with this boot ID.
	Warm bool
	// Clock is the process clock when nil.
	Clock monotonic.Clock
	// Observer may be nil.
	Observer Observer
}

// Ticket describes a request that needs a slot.
type Ticket struct {
	// Class sets the priority; lookups (interactive) when unset.
	Class  schemav1.RequestClass
	Tenant string
	// Weight is the tenant's share of the slots relative to other tenants; 1 when 0.
	Weight uint32
	// Deadline is the time left until the request's deadline.
	Deadline time.Duration
}

// Result is how an admitted request ended.
type Result int

// Results of an admitted request.
const (
	// Success is a complete response; client errors (4xx) count as success.
	Success Result = iota
	// Failure is a lost connection, a timeout, or a response that reports an error of the target.
	Failure
	// Shed is a refusal by the target before it ran the request.
	Shed
	// Cancelled is a request that its caller or its sender cancelled.
	Cancelled
)

// Outcome is the result and the latency of an admitted request, which the gate learns from.
type Outcome struct {
	Result Result
	// Latency is the time that the slot was in use; the time since the admission when 0.
	Latency time.Duration
	// TimeToFirstByte is the time to the first byte of the response; Latency when 0. It shows whether the target is slow,
	// since the whole latency also depends on the size of the response and on how fast the caller reads.
	TimeToFirstByte time.Duration
}

// Gate is the admission control of one target. It is safe for concurrent use.
type Gate struct {
	clock    monotonic.Clock
	observer Observer

	mu           sync.Mutex
	scheduler    *scheduler
	bootID       string
	closeRefusal *apierr.Refusal
	timer        *monotonic.Timer
}

// Permit holds one slot. It must be released; releases after the first do nothing.
type Permit struct {
	gate    *Gate
	class   schemav1.RequestClass
	started time.Duration
	waited  time.Duration
	once    sync.Once
}

// NewGate returns the gate of a target, which starts cold unless options.Warm is set.
func NewGate(options Options) *Gate {
	if options.Clock == nil {
		options.Clock = monotonic.ProcessClock{}
	}
	if options.MaxQueue <= 0 {
		options.MaxQueue = DefaultMaxQueue
	}
	g := &Gate{clock: options.Clock, observer: options.Observer, bootID: options.BootID}
	g.timer = monotonic.NewTimer(options.Clock, g.onTimer)
	g.scheduler = newScheduler(int(options.Slots), options.MaxQueue, options.Clock.Now())
	g.scheduler.onSettled = g.onSettled
	if options.Warm {
		g.scheduler.ramp.SkipColdStart()
	}
	return g
}

// Warm reports whether the target is past its cold start.
func (g *Gate) Warm() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.ramp.Warm()
}

// Acquire waits for a slot. Its errors are apierr refusals with ran = not-run: Overloaded when the request can't be
// answered in time or the queue is full, DeadlineExceeded when the deadline passes while it waits, and the refusal given to
// Close after the gate was closed. The error of a cancelled ctx also wraps the cause of the cancellation.
func (g *Gate) Acquire(ctx context.Context, ticket Ticket) (*Permit, error) {
	w, now, err := g.admitOrEnqueue(ctx, ticket)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return &Permit{gate: g, class: normaliseClass(ticket.Class), started: now}, nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, cancelledRefusal(ctx)
		}
	}
	if w.err != nil {
		return nil, w.err
	}
	if ctx.Err() != nil {
		g.releaseUnused(w)
		return nil, cancelledRefusal(ctx)
	}
	return &Permit{gate: g, class: w.class, started: w.started, waited: w.started - w.enqueued}, nil
}

// admitOrEnqueue admits the ticket at once and returns no waiter, or queues it and returns its waiter. It also returns the
// present time.
func (g *Gate) admitOrEnqueue(ctx context.Context, ticket Ticket) (w *waiter, now time.Duration, err error) {
	if ctx.Err() != nil {
		return nil, 0, cancelledRefusal(ctx)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.clock.Now()
	if g.closeRefusal != nil {
		return nil, now, apierr.Wrap(g.closeRefusal)
	}
	if ticket.Deadline <= 0 {
		return nil, now, deadlineRefusal(0)
	}
	class := normaliseClass(ticket.Class)
	if g.scheduler.tryStart(now, class) {
		g.update(now)
		if g.observer != nil {
			g.observer.ObserveWait(class, 0)
		}
		return nil, now, nil
	}
	w = newWaiter(ticket, now)
	err = g.scheduler.enqueue(now, w)
	g.update(now)
	return w, now, err
}

// abandon removes a cancelled waiter from the queue; it reports false when the waiter was admitted or refused meanwhile.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := g.scheduler.remove(w)
	g.update(g.clock.Now())
	return removed
}

// releaseUnused releases the slot of a request that was cancelled at the moment of its admission.
func (g *Gate) releaseUnused(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.scheduler.finish(now, w.class, w.started, Outcome{Result: Cancelled})
	g.update(now)
}

// onSettled is called by the scheduler, with the gate locked, when a waiter is admitted or refused.
func (g *Gate) onSettled(w *waiter, err error) {
	w.err = err
	if err == nil && g.observer != nil {
		g.observer.ObserveWait(w.class, w.started-w.enqueued)
	}
	close(w.done)
}

// update runs after each change: it admits or refuses waiters, reports the load, and sets the timer for the next change
// that depends on time alone.
func (g *Gate) update(now time.Duration) {
	g.scheduler.advance(now)
	if g.observer != nil {
		g.observer.ObserveLoad(g.scheduler.queued, g.scheduler.running)
	}
	at, ok := g.scheduler.nextWake(now)
	g.timer.Set(now, at, ok)
}

func (g *Gate) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer.MarkFired()
	g.update(g.clock.Now())
}

// Release releases the slot and reports to the gate how the request ended.
func (p *Permit) Release(outcome Outcome) {
	p.once.Do(func() {
		g := p.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.clock.Now()
		if outcome.Latency <= 0 {
			outcome.Latency = now - p.started
		}
		g.scheduler.finish(now, p.class, p.started, outcome)
		g.update(now)
	})
}

// Waited returns the time that the request waited in the queue.
func (p *Permit) Waited() time.Duration {
	return p.waited
}

// Reset restarts the ramp, for a target that is known to be cold.
func (g *Gate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.scheduler.ramp.Reset(now)
	g.update(now)
}

// Boot applies an announcement of the target: a new boot ID restarts the ramp, and slots may change at any time.
func (g *Gate) Boot(bootID string, slots uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.scheduler.setSlots(int(slots))
	if bootID != g.bootID {
		g.bootID = bootID
		g.scheduler.ramp.Reset(now)
	}
	g.update(now)
}

// Close refuses all waiting and all later requests with refusal. Running requests keep their permits.
func (g *Gate) Close(refusal *apierr.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeRefusal = refusal
	g.scheduler.refuseAll(func() error { return apierr.Wrap(refusal) })
	g.update(g.clock.Now())
}

// Load returns the numbers of waiting and of running requests, and the present limit on running requests.
func (g *Gate) Load() (queued, inFlight, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.queued, g.scheduler.running, g.scheduler.ramp.Limit()
}

// cancelledRefusal returns the refusal of a request whose ctx is done. Its caller will not retry, so it has no RetryAfter.
func cancelledRefusal(ctx context.Context) error {
	err := apierr.New(apierr.DeadlineExceeded, "the request was cancelled before it was sent")
	return merry.Wrap(err, merry.WithCause(context.Cause(ctx)))
}
