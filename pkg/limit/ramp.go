package limit

import (
	"math"
	"math/bits"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// The cold start: the admitted rate grows by a quarter per second, and fully grown is reached after 10 s without
// failures. The rate therefore starts at 1.25^-10, about a ninth, of what the target's slots allow.
const (
	rampStep   = time.Second
	rampSteps  = 10
	rampGrowth = 1.25
	// halvedSteps is how many steps halve the rate (1.25^3 is 1.95).
	halvedSteps = 3
	// rampMinRate is the least admitted rate in requests per second. A target whose requests take seconds would
	// otherwise get one request in ten seconds, which is less than one slot's worth.
	rampMinRate = 1.0
)

// Failures. Below failureLimit of the last failureWindow outcomes, failures are sporadic.
const (
	failureWindow = 16
	failureLimit  = 3
	// maxRestarts is how often in a row a failure in cold start sends the ramp back to its start. A target that always
	// fails one request in a hundred would otherwise never leave the cold start.
	maxRestarts = 3
	// halvingPause is the least time between two halvings, so that sporadic failures cost at most a quarter of the rate.
	halvingPause = 10 * time.Second
)

// Latency. The target counts as cold when coldAnswers of the last coldWindow answers of a class took over coldFactor
// times as long as usual. A single slow answer tells nothing: of exponentially distributed service times, one in 55 is
// over 4 times the mean.
const (
	coldFactor  = 4
	coldWindow  = 7
	coldAnswers = 5
	// usualShare is the weight of a new sample in the usual latency: it follows a lasting change within about a hundred
	// answers.
	usualShare = 64
	// usualFirst is the number of answers that are averaged evenly before the usual latency is relied on.
	usualFirst = 8
)

// Ramp limits the concurrency and the rate of one target during cold start. It has no clock: time is passed in and
// never goes back. It is not safe for concurrent use.
//
// A target is cold when it is new, has a new boot id, or answers over 4 times slower than usual. Its ramp is then at
// the start: one request at a time and about a ninth of the full rate. Each second with an answer and without a failure
// grows the rate by a quarter. A failure in cold start sends the ramp back to the start, at most 3 times in a row. A
// sporadic failure of a warm target halves the rate, at most every 10 s. A burst of failures (3 of the last 16
// outcomes) always starts again. Failures of requests that were admitted before the last fall-back don't count again.
type Ramp struct {
	slots     int
	step      int
	stepSince time.Duration
	// answered is set when the present step has had an answer; a step without one doesn't grow.
	answered bool
	// warmed is set when the ramp has reached the top since it last started.
	warmed   bool
	restarts int
	fellBack time.Duration
	halvedAt time.Duration
	halved   bool
	// earliest is when the next request may be admitted at the present rate.
	earliest time.Duration
	// served is the mean latency of recent answers of all classes.
	served   time.Duration
	failures uint32
	outcomes int
	usual    [classCount]usualLatency
}

// NewRamp returns the ramp of a cold target.
func NewRamp(slots int, now time.Duration) *Ramp {
	r := &Ramp{slots: max(slots, 1)}
	r.Reset(now)
	return r
}

// Reset goes back to the start. What is known about usual latencies is kept.
func (r *Ramp) Reset(now time.Duration) {
	r.step, r.stepSince, r.answered = 0, now, false
	r.fellBack, r.earliest = now, now
	r.warmed, r.halved, r.restarts = false, false, 0
	r.failures, r.outcomes = 0, 0
}

func (r *Ramp) setSlots(slots int) {
	r.slots = slots
}

// SkipColdStart goes to the full rate at once, for a target that is known to be warm. Trouble sends it back as usual.
func (r *Ramp) SkipColdStart() {
	r.step, r.warmed = rampSteps, true
}

// Warm reports whether the target gets its full rate and all its slots.
func (r *Ramp) Warm() bool {
	return r.step >= rampSteps
}

// fraction is the part of the full rate that is admitted now.
func (r *Ramp) fraction() float64 {
	return math.Pow(rampGrowth, float64(r.step-rampSteps))
}

// Limit is the number of requests that may run at once, between 1 and slots.
func (r *Ramp) Limit() int {
	if r.Warm() {
		return r.slots
	}
	return max(1, int(float64(r.slots)*r.fraction()))
}

// Interval is the least time between two admissions; 0 when the rate isn't limited. It isn't limited as long as no
// latency is known, since one request at a time is then the only safe measure.
func (r *Ramp) Interval() time.Duration {
	if r.Warm() || r.served <= 0 {
		return 0
	}
	full := float64(r.slots) / r.served.Seconds()
	rate := max(full*r.fraction(), rampMinRate)
	return time.Duration(float64(time.Second) / rate)
}

// NextAdmission is when the rate allows the next request; it may lie in the past.
func (r *Ramp) NextAdmission(now time.Duration) time.Duration {
	if r.Warm() {
		return now
	}
	return max(r.earliest, now)
}

// RecordAdmission counts a request that was admitted.
func (r *Ramp) RecordAdmission(now time.Duration) {
	r.earliest = now + r.Interval()
}

// Advance grows the ramp by the steps that have passed.
func (r *Ramp) Advance(now time.Duration) {
	for !r.Warm() && now-r.stepSince >= rampStep {
		if !r.answered {
			r.stepSince = now
			return
		}
		r.step++
		r.stepSince += rampStep
		r.answered = false
	}
	if r.Warm() {
		r.warmed, r.restarts = true, 0
	}
}

// NextChange is when time alone may admit another request while running run; 0 when time alone changes nothing.
func (r *Ramp) NextChange(now time.Duration, running int) time.Duration {
	if r.Warm() {
		return 0
	}
	if running < r.Limit() {
		return r.earliest
	}
	return max(r.stepSince+rampStep, now+1)
}

// Observe takes in the outcome of a request that was admitted at started.
func (r *Ramp) Observe(now, started time.Duration, class schemav1.RequestClass, outcome Outcome) {
	r.Advance(now)
	switch outcome.Result {
	case Cancelled:
	case Success:
		r.record(false)
		r.succeeded(now, started, class, outcome)
	case Failure, Shed:
		if started >= r.fellBack {
			r.record(true)
			r.failed(now)
		}
	}
}

func (r *Ramp) succeeded(now, started time.Duration, class schemav1.RequestClass, outcome Outcome) {
	if r.served == 0 {
		r.served = outcome.Latency
	}
	r.served += (outcome.Latency - r.served) / serviceTimeShare
	first := outcome.TimeToFirstByte
	if first <= 0 {
		first = outcome.Latency
	}
	if cold := r.usual[normalise(class)].observe(first); cold {
		if started >= r.fellBack {
			r.Reset(now)
		}
		return
	}
	r.answered = true
}

func (r *Ramp) record(failed bool) {
	r.failures <<= 1
	if failed {
		r.failures |= 1
	}
	r.failures &= 1<<failureWindow - 1
	r.outcomes = min(r.outcomes+1, failureWindow)
}

func (r *Ramp) failed(now time.Duration) {
	switch {
	case bits.OnesCount32(r.failures) >= failureLimit:
		restarts := r.restarts
		r.Reset(now)
		r.restarts = restarts
	case !r.warmed && r.restarts < maxRestarts:
		restarts := r.restarts + 1
		failures, outcomes := r.failures, r.outcomes
		r.Reset(now)
		r.restarts, r.failures, r.outcomes = restarts, failures, outcomes
	case !r.halved || now-r.halvedAt >= halvingPause:
		r.halve(now)
	}
}

// halve steps back by the steps that halve the rate.
func (r *Ramp) halve(now time.Duration) {
	r.halved, r.halvedAt = true, now
	r.step = max(r.step-halvedSteps, 0)
	r.stepSince, r.answered, r.fellBack = now, false, now
}

// usualLatency tracks the latency of one class that is usual for the target.
type usualLatency struct {
	mean  time.Duration
	count int
	// slow has a bit for each of the last coldWindow answers, set when it was over coldFactor times the mean.
	slow uint32
}

// observe takes in one latency and reports whether the target answers like a cold one. Slow answers count as coldFactor
// times the usual latency, so that a cold phase doesn't pass for the usual state.
func (u *usualLatency) observe(latency time.Duration) bool {
	if u.count < usualFirst {
		u.count++
		u.mean += (latency - u.mean) / time.Duration(u.count)
		return false
	}
	limit := coldFactor * u.mean
	u.slow <<= 1
	if latency > limit {
		u.slow |= 1
	}
	u.slow &= 1<<coldWindow - 1
	u.mean += (min(latency, limit) - u.mean) / usualShare
	return bits.OnesCount32(u.slow) >= coldAnswers
}
