package limit

import (
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const classFile = schemav1.RequestClass_REQUEST_CLASS_FILE

// core is the state of a gate without locks, timers or goroutines. Time is passed in and never goes back.
type core struct {
	slots    int
	maxQueue int
	// admitAll turns early refusal off. Only measurements set it, to have something to compare with.
	admitAll bool
	ramp     *Ramp
	times    serviceTimes
	queues   [classCount]classQueue
	queued   int
	running  int
	files    int
	// settled is told about each queued waiter that was admitted (nil) or refused.
	settled func(*waiter, error)
}

func newCore(slots, maxQueue int, now time.Duration) *core {
	slots = max(slots, 1)
	return &core{slots: slots, maxQueue: maxQueue, ramp: NewRamp(slots, now)}
}

func (c *core) setSlots(slots int) {
	c.slots = max(slots, 1)
	c.ramp.setSlots(c.slots)
}

// limitFor is the number of slots that a class may use. One slot is kept free of files, because a file holds its slot
// for many times as long as a lookup.
func (c *core) limitFor(class schemav1.RequestClass) int {
	limit := c.ramp.Limit()
	if class == classFile {
		return max(1, limit-1)
	}
	return limit
}

// hasFreeSlot reports whether the concurrency limits allow one more request of class.
func (c *core) hasFreeSlot(class schemav1.RequestClass) bool {
	return c.running < c.ramp.Limit() && (class != classFile || c.files < c.limitFor(classFile))
}

// canStart reports whether concurrency and rate allow one more request of class now.
func (c *core) canStart(now time.Duration, class schemav1.RequestClass) bool {
	return c.hasFreeSlot(class) && c.ramp.NextAdmission(now) <= now
}

// startNow admits a request that needs not wait. A request never passes a waiter of its own or a higher class.
func (c *core) startNow(now time.Duration, class schemav1.RequestClass) bool {
	c.ramp.Advance(now)
	for i := 1; i <= int(class); i++ {
		if c.queues[i].size > 0 {
			return false
		}
	}
	if !c.canStart(now, class) {
		return false
	}
	c.start(now, class)
	return true
}

func (c *core) start(now time.Duration, class schemav1.RequestClass) {
	c.running++
	if class == classFile {
		c.files++
	}
	c.ramp.RecordAdmission(now)
}

// enqueue queues w or refuses it.
func (c *core) enqueue(now time.Duration, w *waiter) error {
	wait := c.estimate(now, w)
	if !c.admitAll && now+wait+c.times.of(w.class) > w.deadline {
		return overloaded(wait, "the estimated wait exceeds the time left")
	}
	if c.queued >= c.maxQueue && !c.makeRoom(w, wait) {
		return overloaded(wait, "the queue of the target is full")
	}
	c.queues[w.class].push(w)
	c.queued++
	return nil
}

// makeRoom refuses one waiter of a lower class, or of a tenant that has more waiters for its weight than w's tenant
// would have. Without it, one tenant that fills the queue would shut out all others.
func (c *core) makeRoom(w *waiter, wait time.Duration) bool {
	victim := c.victim(w)
	if victim == nil {
		return false
	}
	c.remove(victim)
	c.settled(victim, overloaded(wait, "the queue of the target is full"))
	return true
}

func (c *core) victim(w *waiter) *waiter {
	for class := classCount - 1; class > int(w.class); class-- {
		if f := c.queues[class].heaviest(); f != nil {
			return f.latest()
		}
	}
	queue := &c.queues[w.class]
	heaviest := queue.heaviest()
	if heaviest == nil || heaviest.tenant == w.tenant {
		return nil
	}
	own := 1
	if f := queue.find(w.tenant); f != nil {
		own += len(f.waiters)
	}
	if len(heaviest.waiters)*w.weight > own*heaviest.weight {
		return heaviest.latest()
	}
	return nil
}

// estimate is the time that w would wait: the work ahead of it shared by the slots, or the time that the ramp takes to
// admit as many, whichever is longer.
func (c *core) estimate(now time.Duration, w *waiter) time.Duration {
	ahead := c.queues[w.class].ahead(w)
	work := time.Duration(ahead) * c.times.of(w.class)
	for i := 1; i < int(w.class); i++ {
		ahead += c.queues[i].size
		work += time.Duration(c.queues[i].size) * c.times.of(schemav1.RequestClass(i))
	}
	if !c.hasFreeSlot(w.class) {
		work += c.meanRunning()
	}
	wait := work / time.Duration(c.limitFor(w.class))
	paced := c.ramp.NextAdmission(now) - now + time.Duration(ahead)*c.ramp.Interval()
	return max(wait, paced)
}

// meanRunning is the mean service time of the requests that run now.
func (c *core) meanRunning() time.Duration {
	if c.running == c.files {
		return c.times.of(classFile)
	}
	return c.times.of(schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE)
}

// advance refuses waiters whose deadline has passed and admits as many others as the limits allow.
func (c *core) advance(now time.Duration) {
	c.ramp.Advance(now)
	c.expire(now)
	for class := 1; class < classCount; class++ {
		for c.queues[class].size > 0 && c.canStart(now, schemav1.RequestClass(class)) {
			w := c.queues[class].pop()
			c.queued--
			if c.tooLate(now, w) {
				c.settled(w, overloaded(c.times.of(w.class), "too little time is left for an answer"))
				continue
			}
			w.started = now
			c.start(now, w.class)
			c.settled(w, nil)
		}
	}
}

// tooLate reports whether w would probably be answered after its deadline, and another request can use the slot. The
// estimate at its arrival doesn't know of requests that came later and went first.
func (c *core) tooLate(now time.Duration, w *waiter) bool {
	return !c.admitAll && c.queued > 0 && now+c.times.of(w.class) > w.deadline
}

func (c *core) expire(now time.Duration) {
	for class := range c.queues {
		queue := &c.queues[class]
		for i := len(queue.flows) - 1; i >= 0; i-- {
			f := queue.flows[i]
			for len(f.waiters) > 0 && f.waiters[0].deadline <= now {
				w := f.waiters[0]
				c.remove(w)
				c.settled(w, deadlinePassed(c.times.of(w.class)))
			}
		}
	}
}

// remove takes w out of the queue; it reports false when w isn't queued.
func (c *core) remove(w *waiter) bool {
	if w.flow == nil {
		return false
	}
	c.queues[w.class].remove(w)
	c.queued--
	return true
}

func (c *core) refuseAll(reason func() error) {
	for class := range c.queues {
		for c.queues[class].size > 0 {
			w := c.queues[class].pop()
			c.queued--
			c.settled(w, reason())
		}
	}
}

// finish frees the slot of a request that was admitted at started.
func (c *core) finish(now time.Duration, class schemav1.RequestClass, started time.Duration, outcome Outcome) {
	c.running--
	if class == classFile {
		c.files--
	}
	c.times.observe(class, outcome)
	c.ramp.Observe(now, started, class, outcome)
}

// nextWake is when time alone changes something: a deadline passes, or the ramp admits or grows.
func (c *core) nextWake(now time.Duration) (time.Duration, bool) {
	if c.queued == 0 {
		return 0, false
	}
	next, ok := time.Duration(0), false
	for class := range c.queues {
		for _, f := range c.queues[class].flows {
			if at := f.waiters[0].deadline; !ok || at < next {
				next, ok = at, true
			}
		}
	}
	if at := c.ramp.NextChange(now, c.running); at > now && at < next {
		next = at
	}
	return next, ok
}

// overloaded is an early refusal; the caller may come back when the work ahead is done.
func overloaded(wait time.Duration, reason string) error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.Overloaded, Ran: apierr.NotRun, Message: reason, RetryAfter: max(wait, minRetryAfter),
	})
}

// minRetryAfter keeps Retry-After from being left out of a refusal where waiting helps.
const minRetryAfter = 100 * time.Millisecond

func deadlinePassed(wait time.Duration) error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.DeadlineExceeded, Ran: apierr.NotRun, Message: "the deadline passed before the request was sent",
		RetryAfter: max(wait, minRetryAfter),
	})
}
