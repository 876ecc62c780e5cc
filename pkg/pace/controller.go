package pace

import (
	"math"
	"time"
)

// Queue is the number of requests that may wait at a target in addition to those in its slots, once the limit has grown to its end.
const Queue = 2

const (
	// growthTime is the time in which the limit of a target to which the caller sends nothing grows from 1 to the slots. A host with few
	// requests gets no answers to learn from; the target must carry its share of their load within 3 s of its return.
	growthTime = 1500 * time.Millisecond
	// queueGrowthTime is the time in which the limit of such a target grows by one request beyond its slots.
	queueGrowthTime = time.Second
	// refusalHold is the time without such growth after a refusal, a queue that is too long or slow answers. It is about one request.
	refusalHold = 250 * time.Millisecond
	// failureHold is this time after a failure. It doubles with each failure in a row up to maxFailureHold.
	failureHold    = 500 * time.Millisecond
	maxFailureHold = 4 * time.Second
	// failureFactor is the factor of the limit after a single failure of a steady target. A second one in a row leaves 1.
	failureFactor = 0.5
	// slowFactor is the multiple of the expected latency from which on an answer counts as slow. It exceeds the factor of 3 by which targets
	// on shared machines are slower for a moment.
	slowFactor = 4.0
	// minSlowAnswers and minSlowTime are the number of slow answers in a row and the time between the first and the last from which on the
	// target is slow. A disturbance lasts 400 ms, and a few requests take many times as long as the others.
	minSlowAnswers = 3
	minSlowTime    = 800 * time.Millisecond
	// maxSlots bounds the slots for the arithmetic; no target has as many.
	maxSlots = 1 << 30
)

// Controller is the limit of the requests in flight at one target. It is not safe for concurrent use.
type Controller struct {
	slots float64
	limit float64
	state State
	// updatedAt is the time up to which growth with time has been added to limit.
	updatedAt time.Duration
	// idle is set while the limit grows with time, and heldUntil is the time before which it does not.
	idle      bool
	heldUntil time.Duration
	// fallAt is the time of the last fall. Answers to requests that were sent before it cause no other one, except for failures.
	fallAt  time.Duration
	hasFall bool
	// failures is the number of failures in a row, failureRounds that of those whose requests were sent after the one before.
	failures, failureRounds int
	failureAt               time.Duration
	// inSpell is set from a second failure in a row, or slow answers, on until a good answer.
	inSpell bool
	// isProven is unset from a failure on until the limit has grown to the slots again. Without it a target that fails half of its requests
	// would be given its full load by each answer to the others.
	isProven bool
	// slowAnswers is the number of slow answers in a row, the first of them at slowSince.
	slowAnswers int
	slowSince   time.Duration
	changes     []Change
}

// New returns the controller of a target of which nothing bad is known. Its state is steady.
func New(slots int) *Controller {
	c := &Controller{slots: boundedSlots(slots), state: Steady, isProven: true}
	c.limit = c.maxLimit()
	return c
}

func boundedSlots(slots int) float64 { return float64(min(max(slots, 1), maxSlots)) }

// maxLimit is the limit at the end of the growth.
func (c *Controller) maxLimit() float64 { return c.slots + Queue }

// SetSlots changes the number of slots. A steady target stays steady.
func (c *Controller) SetSlots(now time.Duration, slots int) {
	c.advance(now)
	if next := boundedSlots(slots); next != c.slots {
		if c.state == Steady {
			c.limit += next - c.slots
		}
		c.slots = next
		c.limit = min(max(c.limit, 1), c.maxLimit())
	}
}

// Begin lets the limit grow from 1, because the target has returned in the way of cause. CauseWarm keeps the limit that was observed
// while the target was cold.
func (c *Controller) Begin(now time.Duration, cause Cause) {
	c.advance(now)
	if cause != CauseWarm {
		c.limit, c.isProven, c.inSpell = 1, true, false
		c.failures, c.failureRounds, c.slowAnswers, c.heldUntil = 0, 0, 0, now
	}
	if c.limit < c.slots {
		c.state = Steady
		c.setState(Growing, cause, false)
	}
}

// SetIdle sets whether the limit grows with time. The caller sets it while it has no request at the target; it never does so if it sees
// all answers, because then the growth with each answer suffices.
func (c *Controller) SetIdle(now time.Duration, idle bool) {
	c.advance(now)
	c.idle = idle
}

// Observe learns from the end of one request.
func (c *Controller) Observe(now time.Duration, o Observation) {
	c.advance(now)
	switch o.Outcome {
	case Failed:
		c.fail(now, o)
		return
	case Refused:
		c.failures, c.failureRounds, c.slowAnswers = 0, 0, 0
		c.refuse(now, o)
		return
	case Answered:
		c.failures, c.failureRounds = 0, 0
	case Abandoned:
	default:
		return
	}
	waiting := o.Report.waiting()
	switch {
	case c.isSlow(now, o):
		// The queue is reduced first, one request at a time, because a single long request delays those behind it.
		to := max(1, math.Floor(c.slots/2))
		if c.limit > c.slots {
			to = max(c.limit-1, c.slots)
		}
		c.inSpell, c.slowAnswers = true, 0
		c.fall(now, o, to, CauseSlow)
	case waiting > Queue:
		// Hosts that cannot see each other send more than the limit at times, so that a lower limit would swing under steady load.
		c.fall(now, o, min(c.limit, c.slots+Queue-1), CauseQueued)
	case o.Outcome == Answered && c.slowAnswers == 0:
		if c.inSpell {
			c.inSpell, c.heldUntil = false, now
			if c.limit < c.slots {
				c.setState(Growing, CauseSpellEnd, false)
			}
		}
		c.grow(o)
	}
	c.updateState()
}

// isSlow records the latency and reports whether the target has been slow for long enough.
func (c *Controller) isSlow(now time.Duration, o Observation) bool {
	if o.Expected <= 0 || float64(o.Latency) <= slowFactor*float64(o.Expected) {
		if o.Outcome == Answered {
			c.slowAnswers = 0
		}
		return false
	}
	if c.slowAnswers == 0 {
		c.slowSince = now
	}
	c.slowAnswers++
	return c.slowAnswers >= minSlowAnswers && now-c.slowSince >= minSlowTime
}

// grow adds one good answer.
func (c *Controller) grow(o Observation) {
	load := c.limit
	if o.Report != nil {
		load = float64(max(0, o.Report.Running)) + float64(o.Report.waiting())
	}
	// The limit does not exceed the observed load by more than one request, because nothing is known of a higher one.
	if load < math.Floor(c.limit) {
		return
	}
	switch {
	case c.limit < c.slots && c.isProven && o.Report != nil:
		// The load of all hosts, which the target carries.
		c.limit = min(load+1, c.slots)
	case c.limit < c.slots:
		c.limit = min(c.limit+1, c.slots)
	default:
		c.limit = min(c.limit+1/c.limit, c.maxLimit())
	}
}

// fail lets the limit fall to 1, or after a single failure of a steady target by failureFactor.
func (c *Controller) fail(now time.Duration, o Observation) {
	to := 1.0
	if c.state == Steady && c.failures == 0 {
		to = max(1, c.limit*failureFactor)
	}
	if c.failures == 0 || now-max(0, o.Latency) >= c.failureAt {
		c.failureRounds++
		c.failureAt = now
	}
	c.failures++
	c.slowAnswers, c.isProven, c.inSpell = 0, false, c.inSpell || c.failures > 1
	c.lower(now, to, CauseFailed, min(failureHold<<min(c.failureRounds-1, 8), maxFailureHold))
}

// refuse lets the limit fall to the number of slots if all of them are in use, because the target is at its limit, or else to half.
func (c *Controller) refuse(now time.Duration, o Observation) {
	to := max(1, c.limit/2)
	if o.Report != nil && float64(o.Report.Running) >= c.slots {
		to = c.slots
	}
	c.fall(now, o, to, CauseRefused)
}

// fall lowers the limit, but only once for all requests that were sent before.
func (c *Controller) fall(now time.Duration, o Observation, to float64, cause Cause) {
	c.heldUntil = max(c.heldUntil, now+refusalHold)
	if c.hasFall && now-max(0, o.Latency) < c.fallAt {
		return
	}
	c.lower(now, to, cause, refusalHold)
}

func (c *Controller) lower(now time.Duration, to float64, cause Cause, hold time.Duration) {
	c.heldUntil = max(c.heldUntil, now+hold)
	if to >= c.limit {
		return
	}
	c.limit, c.fallAt, c.hasFall = to, now, true
	state := c.state
	if c.limit < c.slots {
		state = Reduced
	}
	c.setState(state, cause, true)
}

// advance adds the growth with time.
func (c *Controller) advance(now time.Duration) {
	from := max(c.updatedAt, c.heldUntil)
	c.updatedAt = max(c.updatedAt, now)
	if !c.idle || now <= from || c.limit >= c.maxLimit() {
		return
	}
	left := now - from
	if c.limit < c.slots {
		rate := max(1, c.slots-1) / growthTime.Seconds()
		needed := time.Duration((c.slots - c.limit) / rate * float64(time.Second))
		if left < needed {
			c.limit = min(c.limit+rate*left.Seconds(), c.slots)
			return
		}
		c.limit, left = c.slots, left-needed
	}
	c.limit = min(c.limit+left.Seconds()/queueGrowthTime.Seconds(), c.maxLimit())
	c.updateState()
}

// updateState makes the state steady once the limit has grown to the slots.
func (c *Controller) updateState() {
	if c.limit >= c.slots && c.state != Steady {
		c.isProven = true
		c.setState(Steady, CauseGrown, false)
	}
}

// Limit returns the number of requests that may be in flight at the target, from all hosts together. It is at least 1.
func (c *Controller) Limit(now time.Duration) float64 {
	c.advance(now)
	return c.limit
}

// State returns the state.
func (c *Controller) State(now time.Duration) State {
	c.advance(now)
	return c.state
}
