package dispatch

import (
	"math"
	"time"
)

// Target is the registration of a target.
type Target struct {
	ID string
	// StartedUnixMs is the start time of the target's process in milliseconds since the Unix epoch.
	StartedUnixMs int64
	Service       string
	Address       string
	DataCentre    string
	Region        string
	// Slots is the number of requests that the target processes at the same time.
	Slots int
	// Cold is set while the target warms up and may get requests only at the cold rate of its service.
	Cold bool
	// Draining is set while the target finishes its requests before it stops. It gets no new ones.
	Draining bool
}

// TargetLoad is a load report of a target.
type TargetLoad struct {
	// Running and Waiting are the numbers of requests that are being processed and that wait for a slot.
	Running, Waiting, Slots int
	// Slowdown is the current processing time relative to the normal one: 2 is twice as slow. It is 0 if the target does not report it.
	Slowdown float64
}

// Outcome is the way in which an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswered is a complete response that does not indicate a failure of the target.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed is a response that indicates a failure of the target, or bytes that are not a valid response.
	OutcomeFailed
	// OutcomeShed means that the target refused the request without running it.
	OutcomeShed
	// OutcomeConnectionFailed means that the connection failed or could not be opened.
	OutcomeConnectionFailed
	// OutcomeTimedOut means that there was no response before the deadline of the request.
	OutcomeTimedOut
	// OutcomeCancelled means that the attempt was abandoned, for example because the caller closed its connection.
	OutcomeCancelled
	// OutcomeHedgeLost means that another target responded first. The response of this one would have taken longer than Result.Latency.
	OutcomeHedgeLost
	// OutcomeReplaced means that another target has taken over the address.
	OutcomeReplaced
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	names := [...]string{"", "answered", "failed", "shed", "broken", "silent", "cancelled", "outrun", "replaced"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Smoothing of the estimates for a target, and times of back-off.
const (
	// slowdownWeight is the weight of one response in the slowdown correction. The standard deviation of processing times is about
	// their mean, so an estimate needs about ten responses.
	slowdownWeight = 0.12
	// defaultSlowdown is the slowdown of a target that does not report one.
	defaultSlowdown = 1.0
	// maxObservationFactor bounds one observation to this multiple of the estimate, because a few requests take many times as long as
	// the others.
	maxObservationFactor = 4.0
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.2
	// failureDecayTime is the time constant with which the failure rate of an unused target decays.
	failureDecayTime = 4 * time.Second
	// minBackOff and maxBackOff bound the back-off after connection failures, which doubles with each failure in a row. minBackOff is
	// about one round trip with a retransmission; maxBackOff is short enough that a target that is available again is found within
	// seconds.
	minBackOff = 150 * time.Millisecond
	maxBackOff = 3 * time.Second
	// replacedBackOff is the back-off for a target whose address was taken over by another target. Its registration is expected to end
	// within this time.
	replacedBackOff = 30 * time.Second
	// minSlowdown and maxSlowdown bound observations and estimates of slowdown, to limit the effect of single outliers.
	minSlowdown = 0.2
	maxSlowdown = 20.0
)

// target is the registration of a target and what this host has observed of it.
type target struct {
	Target
	hash uint32
	// ownInFlight is the number of requests in flight from this host, peerInFlight the number that its peers reported.
	ownInFlight  int
	peerInFlight int
	// preferred is set for the targets that this host prefers; see setPreferred.
	preferred bool
	// isOwner is set once the target has been requested as the owner of a key.
	isOwner bool
	// slowdownCorrection is the smoothed processing time relative to the one expected from the base duration and reported slowdown.
	slowdownCorrection float64
	// observations is the number of responses that slowdownCorrection includes.
	observations int
	// reportedSlowdown is the slowdown that the target reports, and otherLoad the number of requests that it reports in
	// addition to those of this host and its peers.
	reportedSlowdown, otherLoad trackedValue
	hasReport                   bool
	// typical is what the targets of the service in the same region report.
	typical  *typical
	reportAt time.Duration
	// failureRate is the smoothed share of attempts that failed, timed out or were shed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Duration
	// connectionFailures is the number of connection failures since the last response.
	connectionFailures int
	backOffUntil       time.Duration
	cold               coldTokens
	// notices is what this start of the target has said about further requests, or nil. peerPauses is the number of peers for which it pauses.
	notices    *noticeState
	peerPauses int
	// pace limits the requests in flight from all hosts, or is nil without Options.PacedTargets.
	pace *targetPace
}

// predictLatency returns the expected time from sending a request now to its response, for a route with the given base duration and
// with load requests at the target.
func (t *target) predictLatency(now, base time.Duration, load float64) time.Duration {
	return time.Duration(float64(base) * t.slowdownAt(now) * (1 + t.requestsAhead(load)/float64(t.Slots)))
}

// requestsAhead returns the number of requests that must end before the processing of one that is sent now begins, with load requests
// at the target.
func (t *target) requestsAhead(load float64) float64 { return max(0, load+1-float64(t.Slots)) }

// updateSlowdown adds one observation to slowdownCorrection. relative is the processing time relative to the one expected from the base
// duration and the reported slowdown.
func (t *target) updateSlowdown(relative float64) {
	relative = min(max(relative, minSlowdown), maxSlowdown, t.slowdownCorrection*maxObservationFactor)
	t.observations++
	t.slowdownCorrection += (relative - t.slowdownCorrection) * max(slowdownWeight, 1/float64(t.observations+1))
}

// currentFailureRate returns the failure rate after its decay until now.
func (t *target) currentFailureRate(now time.Duration) float64 {
	return t.failureRate * math.Exp(-float64(now-t.failureRateAt)/float64(failureDecayTime))
}

// recordOutcome adds an attempt to the failure rate; value is 1 for a failure and 0 for a success.
func (t *target) recordOutcome(now time.Duration, value float64) {
	t.failureRate = t.currentFailureRate(now)*(1-failureWeight) + value*failureWeight
	t.failureRateAt = now
}

// recordConnectionFailure starts or extends the back-off.
func (t *target) recordConnectionFailure(now time.Duration) {
	t.connectionFailures++
	pause := minBackOff << min(t.connectionFailures-1, 5)
	t.backOffUntil = now + min(pause, maxBackOff)
}

// tokenBucket is a token bucket; the zero value is full.
type tokenBucket struct {
	level     float64
	updatedAt time.Duration
	started   bool
}

// take takes a token and returns true if there is one. rate is in tokens per second, size is the maximum number of tokens.
func (b *tokenBucket) take(now time.Duration, rate, size float64) bool {
	b.fill(now, rate, size)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// fill adds the tokens for the time since the last call.
func (b *tokenBucket) fill(now time.Duration, rate, size float64) {
	if !b.started {
		b.level, b.started = size, true
	}
	b.level = min(size, b.level+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}
