package limit

import (
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const classFile = schemav1.RequestClass_REQUEST_CLASS_FILE

// scheduler decides which requests a gate admits, queues and refuses. It has no locks, timers or goroutines: the time is
// passed in as now, and must never go back.
type scheduler struct {
	slots    int
	maxQueue int
	// disableEarlyRefusal is set only by simulations, as a baseline for comparison.
	disableEarlyRefusal bool
	ramp                *Ramp
	times               serviceTimes
	queues              [classCount]classQueue
	queued              int
	running             int
	runningFiles        int
	// onSettled is called for each queued waiter that is admitted (with nil) or refused (with the refusal).
	onSettled func(*waiter, error)
}

func newScheduler(slots, maxQueue int, now time.Duration) *scheduler {
	slots = max(slots, 1)
	return &scheduler{slots: slots, maxQueue: maxQueue, ramp: NewRamp(slots, now)}
}

func (c *scheduler) setSlots(slots int) {
	c.slots = max(slots, 1)
	c.ramp.setSlots(c.slots)
}

// slotLimit returns the number of slots that a class may use. One slot is reserved for requests other than files, because
// a file occupies its slot many times as long as a lookup does.
func (c *scheduler) slotLimit(class schemav1.RequestClass) int {
	limit := c.ramp.Limit()
	if class == classFile {
		return max(1, limit-1)
	}
	return limit
}

// hasFreeSlot reports whether the concurrency limits allow one more request of class, regardless of the rate.
func (c *scheduler) hasFreeSlot(class schemav1.RequestClass) bool {
	return c.running < c.ramp.Limit() && (class != classFile || c.runningFiles < c.slotLimit(classFile))
}

// canStart reports whether the limits on concurrency and rate allow one more request of class now.
func (c *scheduler) canStart(now time.Duration, class schemav1.RequestClass) bool {
	return c.hasFreeSlot(class) && c.ramp.NextAdmission(now) <= now
}

// tryStart admits a request if it needs not wait. A request never overtakes a waiter of its own or a higher class.
func (c *scheduler) tryStart(now time.Duration, class schemav1.RequestClass) bool {
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

func (c *scheduler) start(now time.Duration, class schemav1.RequestClass) {
	c.running++
	if class == classFile {
		c.runningFiles++
	}
	c.ramp.RecordAdmission(now)
}

// enqueue queues w, or returns a refusal when w can't be answered before its deadline or the queue is full.
func (c *scheduler) enqueue(now time.Duration, w *waiter) error {
	wait := c.estimateWait(now, w)
	if !c.disableEarlyRefusal && now+wait+c.times.mean(w.class) > w.deadline {
		return overloadedRefusal(wait, "the estimated wait exceeds the time left")
	}
	if c.queued >= c.maxQueue && !c.makeRoom(w, wait) {
		return overloadedRefusal(wait, "the queue of the target is full")
	}
	c.queues[w.class].push(w)
	c.queued++
	return nil
}

// makeRoom refuses one queued waiter of a lower class, or of a tenant that has more waiters in relation to its weight than
// w's tenant would have with w. Otherwise one tenant that fills the queue would lock out all others.
func (c *scheduler) makeRoom(w *waiter, wait time.Duration) bool {
	victim := c.victim(w)
	if victim == nil {
		return false
	}
	c.remove(victim)
	c.onSettled(victim, overloadedRefusal(wait, "the queue of the target is full"))
	return true
}

// victim returns the waiter to refuse in favour of w, or nil.
func (c *scheduler) victim(w *waiter) *waiter {
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
	if f := queue.flowOf(w.tenant); f != nil {
		own += len(f.waiters)
	}
	if len(heaviest.waiters)*w.weight > own*heaviest.weight {
		return heaviest.latest()
	}
	return nil
}

// estimateWait estimates the time that w would wait in the queue: the service times of the waiters ahead of it divided by
// the number of slots, or the time that the ramp takes to admit as many requests, whichever is longer.
func (c *scheduler) estimateWait(now time.Duration, w *waiter) time.Duration {
	waitersAhead := c.queues[w.class].waitersAhead(w)
	work := time.Duration(waitersAhead) * c.times.mean(w.class)
	for i := 1; i < int(w.class); i++ {
		waitersAhead += c.queues[i].size
		work += time.Duration(c.queues[i].size) * c.times.mean(schemav1.RequestClass(i))
	}
	if !c.hasFreeSlot(w.class) {
		work += c.meanRunningServiceTime()
	}
	wait := work / time.Duration(c.slotLimit(w.class))
	paced := c.ramp.NextAdmission(now) - now + time.Duration(waitersAhead)*c.ramp.Interval()
	return max(wait, paced)
}

// meanRunningServiceTime estimates the mean service time of the running requests: that of files if only files run, else
// that of interactive requests.
func (c *scheduler) meanRunningServiceTime() time.Duration {
	if c.running == c.runningFiles {
		return c.times.mean(classFile)
	}
	return c.times.mean(schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE)
}

// advance refuses waiters whose deadline has passed and admits as many others as the limits allow.
func (c *scheduler) advance(now time.Duration) {
	c.ramp.Advance(now)
	c.expire(now)
	for class := 1; class < classCount; class++ {
		for c.queues[class].size > 0 && c.canStart(now, schemav1.RequestClass(class)) {
			w := c.queues[class].pop()
			c.queued--
			if c.tooLate(now, w) {
				c.onSettled(w, overloadedRefusal(c.times.mean(w.class), "too little time is left for an answer"))
				continue
			}
			w.started = now
			c.start(now, w.class)
			c.onSettled(w, nil)
		}
	}
}

// tooLate reports whether w would probably be answered after its deadline while another waiter can use the slot. The
// estimate on w's arrival doesn't include requests that arrived later and were admitted first.
func (c *scheduler) tooLate(now time.Duration, w *waiter) bool {
	return !c.disableEarlyRefusal && c.queued > 0 && now+c.times.mean(w.class) > w.deadline
}

// expire refuses waiters whose deadline has passed.
func (c *scheduler) expire(now time.Duration) {
	for class := range c.queues {
		queue := &c.queues[class]
		for i := len(queue.flows) - 1; i >= 0; i-- {
			f := queue.flows[i]
			for len(f.waiters) > 0 && f.waiters[0].deadline <= now {
				w := f.waiters[0]
				c.remove(w)
				c.onSettled(w, deadlineRefusal(c.times.mean(w.class)))
			}
		}
	}
}

// remove removes w from the queue; it reports false when w isn't queued.
func (c *scheduler) remove(w *waiter) bool {
	if w.flow == nil {
		return false
	}
	c.queues[w.class].remove(w)
	c.queued--
	return true
}

// refuseAll refuses all waiters, each with a new error from reason.
func (c *scheduler) refuseAll(reason func() error) {
	for class := range c.queues {
		for c.queues[class].size > 0 {
			w := c.queues[class].pop()
			c.queued--
			c.onSettled(w, reason())
		}
	}
}

// finish releases the slot of a request that was admitted at started, and learns from its outcome.
func (c *scheduler) finish(now time.Duration, class schemav1.RequestClass, started time.Duration, outcome Outcome) {
	c.running--
	if class == classFile {
		c.runningFiles--
	}
	c.times.observe(class, outcome)
	c.ramp.Observe(now, started, class, outcome)
}

// nextWake returns the time at which advance must run next even if no request arrives or finishes: a deadline passes, or
// the ramp admits another request or grows. It reports false when no request waits.
func (c *scheduler) nextWake(now time.Duration) (time.Duration, bool) {
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

// overloadedRefusal returns an early refusal. Its RetryAfter is wait, the estimated time until the queued work is done.
func overloadedRefusal(wait time.Duration, reason string) error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.Overloaded, Ran: apierr.NotRun, Message: reason, RetryAfter: max(wait, minRetryAfter),
	})
}

// minRetryAfter is the least RetryAfter; a RetryAfter of 0 would leave the header out of a refusal where waiting helps.
const minRetryAfter = 100 * time.Millisecond

func deadlineRefusal(wait time.Duration) error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.DeadlineExceeded, Ran: apierr.NotRun, Message: "the deadline passed before the request was sent",
		RetryAfter: max(wait, minRetryAfter),
	})
}
