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

func (s *scheduler) setSlots(slots int) {
	s.slots = max(slots, 1)
	s.ramp.setSlots(s.slots)
}

// slotLimit returns the number of slots that a class may use. One slot is reserved for requests other than files, because
// a file occupies its slot many times as long as a lookup does.
func (s *scheduler) slotLimit(class schemav1.RequestClass) int {
	limit := s.ramp.Limit()
	if class == classFile {
		return max(1, limit-1)
	}
	return limit
}

// hasFreeSlot reports whether the concurrency limits allow one more request of class, regardless of the rate.
func (s *scheduler) hasFreeSlot(class schemav1.RequestClass) bool {
	return s.running < s.ramp.Limit() && (class != classFile || s.runningFiles < s.slotLimit(classFile))
}

// canStart reports whether the limits on concurrency and rate allow one more request of class now.
func (s *scheduler) canStart(now time.Duration, class schemav1.RequestClass) bool {
	return s.hasFreeSlot(class) && s.ramp.NextAdmission(now) <= now
}

// tryStart admits a request if it needs not wait. A request never overtakes a waiter of its own or a higher class.
func (s *scheduler) tryStart(now time.Duration, class schemav1.RequestClass) bool {
	s.ramp.Advance(now)
	for i := 1; i <= int(class); i++ {
		if s.queues[i].size > 0 {
			return false
		}
	}
	if !s.canStart(now, class) {
		return false
	}
	s.start(now, class)
	return true
}

func (s *scheduler) start(now time.Duration, class schemav1.RequestClass) {
	s.running++
	if class == classFile {
		s.runningFiles++
	}
	s.ramp.RecordAdmission(now)
}

// enqueue queues w, or returns a refusal when w can't be answered before its deadline or the queue is full.
func (s *scheduler) enqueue(now time.Duration, w *waiter) error {
	wait := s.estimateWait(now, w)
	if !s.disableEarlyRefusal && now+wait+s.times.mean(w.class) > w.deadline {
		return overloadedRefusal(wait, "the estimated wait exceeds the time left")
	}
	if s.queued >= s.maxQueue && !s.makeRoom(w, wait) {
		return overloadedRefusal(wait, "the queue of the target is full")
	}
	s.queues[w.class].push(w)
	s.queued++
	return nil
}

// makeRoom refuses one queued waiter of a lower class, or of a tenant that has more waiters in relation to its weight than
// w's tenant would have with w. Otherwise one tenant that fills the queue would lock out all others.
func (s *scheduler) makeRoom(w *waiter, wait time.Duration) bool {
	victim := s.victim(w)
	if victim == nil {
		return false
	}
	s.remove(victim)
	s.onSettled(victim, overloadedRefusal(wait, "the queue of the target is full"))
	return true
}

// victim returns the waiter to refuse in favour of w, or nil.
func (s *scheduler) victim(w *waiter) *waiter {
	for class := classCount - 1; class > int(w.class); class-- {
		if f := s.queues[class].heaviest(); f != nil {
			return f.latest()
		}
	}
	queue := &s.queues[w.class]
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
func (s *scheduler) estimateWait(now time.Duration, w *waiter) time.Duration {
	waitersAhead := s.queues[w.class].waitersAhead(w)
	work := time.Duration(waitersAhead) * s.times.mean(w.class)
	for i := 1; i < int(w.class); i++ {
		waitersAhead += s.queues[i].size
		work += time.Duration(s.queues[i].size) * s.times.mean(schemav1.RequestClass(i))
	}
	if !s.hasFreeSlot(w.class) {
		work += s.meanRunningServiceTime()
	}
	wait := work / time.Duration(s.slotLimit(w.class))
	paced := s.ramp.NextAdmission(now) - now + time.Duration(waitersAhead)*s.ramp.Interval()
	return max(wait, paced)
}

// meanRunningServiceTime estimates the mean service time of the running requests: that of files if only files run, else
// that of interactive requests.
func (s *scheduler) meanRunningServiceTime() time.Duration {
	if s.running == s.runningFiles {
		return s.times.mean(classFile)
	}
	return s.times.mean(schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE)
}

// advance refuses waiters whose deadline has passed and admits as many others as the limits allow.
func (s *scheduler) advance(now time.Duration) {
	s.ramp.Advance(now)
	s.expire(now)
	for class := 1; class < classCount; class++ {
		for s.queues[class].size > 0 && s.canStart(now, schemav1.RequestClass(class)) {
			w := s.queues[class].pop()
			s.queued--
			if s.tooLate(now, w) {
				s.onSettled(w, overloadedRefusal(s.times.mean(w.class), "too little time is left for an answer"))
				continue
			}
			w.started = now
			s.start(now, w.class)
			s.onSettled(w, nil)
		}
	}
}

// tooLate reports whether w would probably be answered after its deadline while another waiter can use the slot. The
// estimate on w's arrival doesn't include requests that arrived later and were admitted first.
func (s *scheduler) tooLate(now time.Duration, w *waiter) bool {
	return !s.disableEarlyRefusal && s.queued > 0 && now+s.times.mean(w.class) > w.deadline
}

// expire refuses waiters whose deadline has passed.
func (s *scheduler) expire(now time.Duration) {
	for class := range s.queues {
		queue := &s.queues[class]
		for i := len(queue.flows) - 1; i >= 0; i-- {
			f := queue.flows[i]
			for len(f.waiters) > 0 && f.waiters[0].deadline <= now {
				w := f.waiters[0]
				s.remove(w)
				s.onSettled(w, deadlineRefusal(s.times.mean(w.class)))
			}
		}
	}
}

// remove removes w from the queue; it reports false when w isn't queued.
func (s *scheduler) remove(w *waiter) bool {
	if w.flow == nil {
		return false
	}
	s.queues[w.class].remove(w)
	s.queued--
	return true
}

// refuseAll refuses all waiters, each with a new error from reason.
func (s *scheduler) refuseAll(reason func() error) {
	for class := range s.queues {
		for s.queues[class].size > 0 {
			w := s.queues[class].pop()
			s.queued--
			s.onSettled(w, reason())
		}
	}
}

// finish releases the slot of a request that was admitted at started, and learns from its outcome.
func (s *scheduler) finish(now time.Duration, class schemav1.RequestClass, started time.Duration, outcome Outcome) {
	s.running--
	if class == classFile {
		s.runningFiles--
	}
	s.times.observe(class, outcome)
	s.ramp.Observe(now, started, class, outcome)
}

// nextWake returns the time at which advance must run next even if no request arrives or finishes: a deadline passes, or
// the ramp admits another request or grows. It reports false when no request waits.
func (s *scheduler) nextWake(now time.Duration) (time.Duration, bool) {
	if s.queued == 0 {
		return 0, false
	}
	next, ok := time.Duration(0), false
	for class := range s.queues {
		for _, f := range s.queues[class].flows {
			if at := f.waiters[0].deadline; !ok || at < next {
				next, ok = at, true
			}
		}
	}
	if at := s.ramp.NextChange(now, s.running); at > now && at < next {
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
