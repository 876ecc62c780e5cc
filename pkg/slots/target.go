package slots

import (
	"math"
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

const (
	// unknownFullTime is how long a target that has just become known counts as full unless it reports its load: it may hold requests that this
	// scheduler doesn't know of.
	unknownFullTime = 300 * time.Millisecond
	// shedFullTime is how long a target that refused a request counts as full. It is about the time in which one of its requests ends.
	shedFullTime = 50 * time.Millisecond
	// slowdownWeight is the weight of one response in the learned slowdown. The standard deviation of processing times is about their mean, so
	// an estimate needs about ten responses.
	slowdownWeight = 0.12
	// maxObservationFactor bounds one observation to this multiple of the estimate, because a few requests take many times as long as others.
	maxObservationFactor = 4.0
	// minSlowdown and maxSlowdown bound reports and estimates of slowdown.
	minSlowdown, maxSlowdown = 0.2, 20.0
	// reportDecayTime is the time constant with which the last reported slowdown gives way to its mean: targets share machines whose speed changes
	// several times a second. meanWeight is the weight of a report in that mean.
	reportDecayTime = 400 * time.Millisecond
	meanWeight      = 0.05
	// otherLoadDecayTime is the time constant with which load that other hosts put on a target directly is forgotten. It is about the
	// duration of a request.
	otherLoadDecayTime = 200 * time.Millisecond
	// minOtherLoad is the load from other hosts below which it never keeps a target from being available.
	minOtherLoad = 0.05
	// failureWeight is the weight of one outcome in the failure rate, and failureDecayTime the time constant with which the rate of an
	// unused target decays.
	failureWeight    = 0.2
	failureDecayTime = 4 * time.Second
	// probeFailureRate is the failure rate above which a target gets one request at a time, because one that fails at once would otherwise
	// get most turns.
	probeFailureRate = 0.5
	// failurePenalty is the factor of the failure rate in the expected time of a target.
	failurePenalty = 4.0
	// minBackOff and maxBackOff bound the back-off after connection failures, which doubles with each failure in a row.
	minBackOff, maxBackOff = 150 * time.Millisecond, 3 * time.Second
	// replacedBackOff is the back-off for a target whose address was taken over. Its registration is expected to end within this time.
	replacedBackOff = 30 * time.Second
	// fitTolerance is the part of a slot by which a request may exceed the slots of a target. A target with 2 slots gets a third request if
	// round trips take at least a thirtieth of their time. In the comparison, 0.3 and 0.5 left slots idle while messages were in transit, and
	// above 0.9 requests wait at the target, where they can't be reordered.
	fitTolerance = 0.9
	// queueTolerance is the same for a request that would be refused otherwise, if it is expected to end in time behind those in the slots.
	queueTolerance = 3.1
)

// target is a target and what is known of it.
type target struct {
	Target
	hash uint32
	// process counts the processes of the target, as the turns of an earlier one no longer count.
	process int
	pace    Pace
	// turns is the number of turns in force and load the part of the slots that they take.
	turns int
	load  float64
	// fullUntil is the time until which the target gets no turns because it refused a request, and unknownUntil the time until which it counts as
	// full because its load is unknown.
	fullUntil, unknownUntil time.Duration
	// otherLoad is the load from hosts without turns, as of otherLoadAt, and unexplained the load of the last report beyond the turns in force.
	otherLoad   float64
	unexplained int
	otherLoadAt time.Duration
	// learned is the observed processing time relative to the expected one at the reported slowdown.
	learned      float64
	observations int
	// reportedLast and reportedMean are the reported slowdowns, or 0 without a report.
	reportedLast, reportedMean float64
	reportedAt                 time.Duration
	failureRate                float64
	failureAt                  time.Duration
	connectionFailures         int
	backOffUntil               time.Duration
	// coldLevel is the level of the token bucket of a cold target as of coldAt.
	coldLevel float64
	coldAt    time.Duration
}

// reset forgets what was known of an earlier process of the target.
func (t *target) reset(now time.Duration, next Target, options Options) {
	*t = target{Target: next, hash: t.hash, process: t.process + 1, learned: 1, coldLevel: 1, coldAt: now, unexplained: math.MaxInt}
	if options.NewPace != nil {
		t.pace = options.NewPace(now, next)
	}
}

// slowdown returns the expected processing time relative to the normal one.
func (t *target) slowdown(now time.Duration) float64 {
	reported := 1.0
	if t.reportedMean > 0 {
		reported = t.reportedMean + (t.reportedLast-t.reportedMean)*decay(now-t.reportedAt, reportDecayTime)
	}
	return min(max(reported*t.learned, minSlowdown), maxSlowdown)
}

// decay returns the remaining part of a value after a time.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(constant))
}

// expectedTime returns the expected time of a request at the target, longer if requests often fail there.
func (t *target) expectedTime(now, duration time.Duration) time.Duration {
	factor := t.slowdown(now)
	if t.failureRate > 0 {
		factor *= 1 + failurePenalty*t.currentFailureRate(now)
	}
	return time.Duration(float64(duration) * factor)
}

// expectedQueued returns the expected time of a request that may have to wait at the target for those that it has.
func (t *target) expectedQueued(now, duration time.Duration, weight float64) time.Duration {
	return time.Duration(float64(t.expectedTime(now, duration)) * t.queueFactor(now, weight))
}

// queueFactor returns the expected time of a request, with its wait in the queue of the target, relative to that in a free slot.
func (t *target) queueFactor(now time.Duration, weight float64) float64 {
	ahead := max(0, t.load+t.currentOtherLoad(now)+weight-float64(t.Slots))
	if now < t.unknownUntil {
		ahead = t.load + weight
	}
	return 1 + ahead/float64(t.Slots)
}

func (t *target) currentFailureRate(now time.Duration) float64 {
	return t.failureRate * decay(now-t.failureAt, failureDecayTime)
}

// available reports whether the target may get a turn that takes weight of a slot, with at most tolerance beyond its slots.
func (t *target) available(now time.Duration, weight, tolerance float64) bool {
	if now < t.fullUntil || now < t.backOffUntil {
		return false
	}
	// Requests that would be refused otherwise find out the load. No more than the slots, because the target may hold as many others.
	if now < t.unknownUntil && (tolerance < queueTolerance || t.turns >= t.Slots) {
		return false
	}
	if t.Cold && (t.turns > 0 || t.tokens(now) < 1) {
		return false
	}
	if t.turns > 0 && t.failureRate > 0 && t.currentFailureRate(now) > probeFailureRate {
		return false
	}
	if t.load+t.currentOtherLoad(now)+weight > float64(t.Slots)+tolerance {
		return false
	}
	return t.pace == nil || !(float64(t.turns+1) > t.pace.Limit(now))
}

func (t *target) currentOtherLoad(now time.Duration) float64 {
	if t.otherLoad == 0 {
		return 0
	}
	return t.otherLoad * decay(now-t.otherLoadAt, otherLoadDecayTime)
}

// free returns the number of turns that the target may get now.
func (t *target) free(now time.Duration) int {
	if !t.available(now, 1, fitTolerance) {
		return 0
	}
	free := float64(t.Slots) + fitTolerance - t.load - t.currentOtherLoad(now)
	if t.Cold {
		free = 1
	}
	if t.pace != nil {
		// min would return a limit that is not a number.
		if paced := t.pace.Limit(now) - float64(t.turns); paced < free {
			free = paced
		}
	}
	return max(int(free), 1)
}

// tokens returns the level of the bucket of a cold target. A rate that isn't positive gives no tokens.
func (t *target) tokens(now time.Duration) float64 {
	if t.ColdRate > 0 {
		t.coldLevel = min(1, t.coldLevel+t.ColdRate*max(now-t.coldAt, 0).Seconds())
	} else {
		t.coldLevel = 0
	}
	t.coldAt = max(now, t.coldAt)
	return t.coldLevel
}

// nextAvailable returns a time at which the passage of time may have made the target available, or never.
func (t *target) nextAvailable(now time.Duration) time.Duration {
	at := max(t.fullUntil, t.unknownUntil, t.backOffUntil)
	if t.Cold && t.turns == 0 && t.ColdRate > 0 {
		if missing := 1 - t.tokens(now); missing > 0 {
			// The addition makes up for rounding.
			at = max(at, now+time.Duration(min(missing/t.ColdRate, 3600)*float64(time.Second))+time.Microsecond)
		}
	}
	if at <= now && (t.currentOtherLoad(now) > minOtherLoad || t.turns == 0 && t.pace != nil) {
		at = now + pollTime
	}
	if at <= now {
		return never
	}
	return at
}

// recordReport records a load report. own is the number of turns in force when it was made.
func (t *target) recordReport(now time.Duration, load dispatch.TargetLoad, own int) {
	// A target queues a few more requests than it has slots. Without a bound, one odd report would outweigh all later ones.
	limit := t.Slots * 20
	unexplained := max(0, min(max(load.Running, 0), limit)+min(max(load.Waiting, 0), limit)-own)
	// A release may overtake the report of a response that the target made before. Only what two reports in a row show is the load of others,
	// except in the first report, which may show the turns that an earlier scheduler gave.
	t.otherLoad = float64(min(unexplained, t.unexplained))
	t.unexplained = unexplained
	t.otherLoadAt, t.fullUntil, t.unknownUntil = now, 0, 0
	if load.Slowdown > 0 {
		slowdown := min(max(load.Slowdown, minSlowdown), maxSlowdown)
		if t.reportedMean == 0 {
			t.reportedMean = slowdown
		}
		t.reportedMean += (slowdown - t.reportedMean) * meanWeight
		t.reportedLast, t.reportedAt = slowdown, now
	}
}

// recordOutcome records the outcome of a request.
func (t *target) recordOutcome(now time.Duration, outcome dispatch.Outcome) {
	failed := 1.0
	switch outcome {
	case dispatch.OutcomeAnswered:
		failed = 0
		t.connectionFailures, t.backOffUntil = 0, 0
	case dispatch.OutcomeFailed, dispatch.OutcomeTimedOut:
	case dispatch.OutcomeShed:
		t.fullUntil = max(t.fullUntil, now+shedFullTime)
		return
	case dispatch.OutcomeConnectionFailed:
		t.backOffUntil = max(t.backOffUntil, now+min(minBackOff<<min(t.connectionFailures, 5), maxBackOff))
		t.connectionFailures++
	case dispatch.OutcomeReplaced:
		t.backOffUntil = now + replacedBackOff
		return
	default:
		return
	}
	t.failureRate = t.currentFailureRate(now)*(1-failureWeight) + failed*failureWeight
	t.failureAt = now
}

// learn records the processing time of a request relative to the expected one at the reported slowdown.
func (t *target) learn(relative float64) {
	relative = min(max(relative, minSlowdown), maxSlowdown, t.learned*maxObservationFactor)
	t.observations++
	t.learned += (relative - t.learned) * max(slowdownWeight, 1/float64(t.observations+1))
}
