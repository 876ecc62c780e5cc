package limit

import (
	"math"
	"math/bits"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Cold start: the admitted rate grows by a quarter per second and reaches the full rate after 10 s without failures. It
// therefore starts at 1.25^-10, about a ninth, of the rate that the target's slots allow.
const (
	rampStep   = time.Second
	rampSteps  = 10
	rampGrowth = 1.25
	// halvingSteps is the number of steps that about halve the rate (1.25^3 is 1.95).
	halvingSteps = 3
	// rampMinRate is the minimum admitted rate in requests per second. A target whose requests take seconds would
	// otherwise get one request in ten seconds, which is less than one slot can serve.
	rampMinRate = 1.0
)

// Failures. Fewer than failureLimit failures among the last failureWindow outcomes are sporadic, otherwise they are a burst.
const (
	failureWindow = 16
	failureLimit  = 3
	// maxRestarts is the maximum number of consecutive times that a failure in cold start restarts the ramp. Without it, a
	// target that always fails one request in a hundred would never leave the cold start.
	maxRestarts = 3
	// minHalvingInterval is the minimum time between two halvings, so that sporadic failures cost at most a quarter of the
	// rate.
	minHalvingInterval = 10 * time.Second
)

// Latency. The target counts as cold when coldResponses of the last coldWindow responses of a class took over coldFactor
// times the baseline latency. A single slow response is no evidence: of exponentially distributed service times, one in 55
// is over 4 times the mean.
const (
	coldFactor    = 4
	coldWindow    = 7
	coldResponses = 5
	// baselineSmoothing is the divisor of a new sample in the baseline latency. A weight of 1/64 follows a lasting change
	// within about a hundred responses.
	baselineSmoothing = 64
	// baselineMinSamples is the number of responses whose plain mean forms the first baseline; before that there is none.
	baselineMinSamples = 8
)

// Ramp limits the concurrency and the rate of one target during its cold start (slow start). It has no clock: the time is
// passed in and must never go back. It is not safe for concurrent use.
//
// A target is cold when it is new, has a new boot ID, or responds over 4 times slower than its baseline. Its ramp is then
// at the start: one request at a time and about a ninth of the full rate. Each second with a response and without a failure
// raises the rate by a quarter. A failure in cold start restarts the ramp, at most 3 times in a row. A sporadic failure of
// a warm target halves the rate, at most every 10 s. A burst of failures (3 of the last 16 outcomes) always restarts the
// ramp. Failures of requests that were admitted before the last restart or halving don't count.
type Ramp struct {
	slots       int
	step        int
	stepStarted time.Duration
	// respondedInStep is set when there was a response in the present step; without one, the step is repeated.
	respondedInStep bool
	// hasWarmed is set when the ramp has reached the full rate since its last restart.
	hasWarmed bool
	// restarts counts the consecutive restarts by failures in cold start.
	restarts int
	// lastFallback is the time of the last restart or halving.
	lastFallback time.Duration
	halvedAt     time.Duration
	hasHalved    bool
	// nextAdmission is the earliest time at which the present rate allows the next request.
	nextAdmission time.Duration
	// meanLatency is the mean latency of recent responses of all classes.
	meanLatency time.Duration
	// failures has a bit for each of the last failureWindow outcomes, set for failures. outcomes counts them.
	failures  uint32
	outcomes  int
	baselines [classCount]baselineLatency
}

// NewRamp returns the ramp of a cold target.
func NewRamp(slots int, now time.Duration) *Ramp {
	r := &Ramp{slots: max(slots, 1)}
	r.Reset(now)
	return r
}

// Reset restarts the ramp. The baseline latencies are kept.
func (r *Ramp) Reset(now time.Duration) {
	r.step, r.stepStarted, r.respondedInStep = 0, now, false
	r.lastFallback, r.nextAdmission = now, now
	r.hasWarmed, r.hasHalved, r.restarts = false, false, 0
	r.failures, r.outcomes = 0, 0
}

func (r *Ramp) setSlots(slots int) {
	r.slots = slots
}

// SkipColdStart sets the full rate at once, for a target that is known to be warm. Failures and slow responses still
// reduce the rate.
func (r *Ramp) SkipColdStart() {
	r.step, r.hasWarmed = rampSteps, true
}

// Warm reports whether the target gets its full rate and all its slots.
func (r *Ramp) Warm() bool {
	return r.step >= rampSteps
}

// fraction returns the fraction of the full rate that is admitted now, between 0 and 1.
func (r *Ramp) fraction() float64 {
	return math.Pow(rampGrowth, float64(r.step-rampSteps))
}

// Limit returns the number of requests that may run at once, between 1 and the number of slots.
func (r *Ramp) Limit() int {
	if r.Warm() {
		return r.slots
	}
	return max(1, int(float64(r.slots)*r.fraction()))
}

// Interval returns the minimum time between two admissions; 0 when the rate isn't limited. As long as no latency is known,
// no rate can be derived, and only the concurrency is limited.
func (r *Ramp) Interval() time.Duration {
	if r.Warm() || r.meanLatency <= 0 {
		return 0
	}
	full := float64(r.slots) / r.meanLatency.Seconds()
	rate := max(full*r.fraction(), rampMinRate)
	return time.Duration(float64(time.Second) / rate)
}

// NextAdmission returns the time at which the rate allows the next request; it is now when the rate allows one already.
func (r *Ramp) NextAdmission(now time.Duration) time.Duration {
	if r.Warm() {
		return now
	}
	return max(r.nextAdmission, now)
}

// RecordAdmission must be called for each admitted request.
func (r *Ramp) RecordAdmission(now time.Duration) {
	r.nextAdmission = now + r.Interval()
}

// Advance raises the rate by the steps that have passed until now.
func (r *Ramp) Advance(now time.Duration) {
	for !r.Warm() && now-r.stepStarted >= rampStep {
		if !r.respondedInStep {
			r.stepStarted = now
			return
		}
		r.step++
		r.stepStarted += rampStep
		r.respondedInStep = false
	}
	if r.Warm() {
		r.hasWarmed, r.restarts = true, 0
	}
}

// NextChange returns the next time at which another request may be admitted even if none finishes, with running requests
// now; 0 when that can't happen.
func (r *Ramp) NextChange(now time.Duration, running int) time.Duration {
	if r.Warm() {
		return 0
	}
	if running < r.Limit() {
		return r.nextAdmission
	}
	return max(r.stepStarted+rampStep, now+1)
}

// Observe updates the ramp with the outcome of a request that was admitted at started.
func (r *Ramp) Observe(now, started time.Duration, class schemav1.RequestClass, outcome Outcome) {
	r.Advance(now)
	switch outcome.Result {
	case Cancelled:
	case Success:
		r.recordOutcome(false)
		r.handleSuccess(now, started, class, outcome)
	case Failure, Shed:
		if started >= r.lastFallback {
			r.recordOutcome(true)
			r.handleFailure(now)
		}
	}
}

func (r *Ramp) handleSuccess(now, started time.Duration, class schemav1.RequestClass, outcome Outcome) {
	if r.meanLatency == 0 {
		r.meanLatency = outcome.Latency
	}
	r.meanLatency += (outcome.Latency - r.meanLatency) / serviceTimeSmoothing
	first := outcome.TimeToFirstByte
	if first <= 0 {
		first = outcome.Latency
	}
	if cold := r.baselines[normaliseClass(class)].observe(first); cold {
		if started >= r.lastFallback {
			r.Reset(now)
		}
		return
	}
	r.respondedInStep = true
}

func (r *Ramp) recordOutcome(failed bool) {
	r.failures <<= 1
	if failed {
		r.failures |= 1
	}
	r.failures &= 1<<failureWindow - 1
	r.outcomes = min(r.outcomes+1, failureWindow)
}

func (r *Ramp) handleFailure(now time.Duration) {
	switch {
	case bits.OnesCount32(r.failures) >= failureLimit:
		restarts := r.restarts
		r.Reset(now)
		r.restarts = restarts
	case !r.hasWarmed && r.restarts < maxRestarts:
		restarts := r.restarts + 1
		failures, outcomes := r.failures, r.outcomes
		r.Reset(now)
		r.restarts, r.failures, r.outcomes = restarts, failures, outcomes
	case !r.hasHalved || now-r.halvedAt >= minHalvingInterval:
		r.halve(now)
	}
}

// halve goes back by as many steps as halve the rate.
func (r *Ramp) halve(now time.Duration) {
	r.hasHalved, r.halvedAt = true, now
	r.step = max(r.step-halvingSteps, 0)
	r.stepStarted, r.respondedInStep, r.lastFallback = now, false, now
}

// baselineLatency tracks the typical latency of one class at the target.
type baselineLatency struct {
	mean  time.Duration
	count int
	// slow has a bit for each of the last coldWindow responses, set when it took over coldFactor times the mean.
	slow uint32
}

// observe updates the baseline with one latency and reports whether the target responds like a cold one. Slow responses
// count as at most coldFactor times the baseline, so that a cold phase doesn't become the new baseline.
func (b *baselineLatency) observe(latency time.Duration) bool {
	if b.count < baselineMinSamples {
		b.count++
		b.mean += (latency - b.mean) / time.Duration(b.count)
		return false
	}
	limit := coldFactor * b.mean
	b.slow <<= 1
	if latency > limit {
		b.slow |= 1
	}
	b.slow &= 1<<coldWindow - 1
	b.mean += (min(latency, limit) - b.mean) / baselineSmoothing
	return bits.OnesCount32(b.slow) >= coldResponses
}
