package dispatch

import (
	"math"
	"time"
)

// Target is what a registration says about a target.
type Target struct {
	ID            string
	StartedUnixMs int64
	Service       string
	Address       string
	DataCentre    string
	Region        string
	Slots         int
	Cold          bool
	Draining      bool
}

// TargetLoad is a target's own report.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the duration of work at the moment, relative to the usual one.
	Slowdown float64
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswered: a complete answer that is not a failure of the target.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed: the target answered with a failure of its own, or with bytes that are no answer.
	OutcomeFailed
	// OutcomeShed: the target refused the request without running it.
	OutcomeShed
	// OutcomeConnectionFailed: the connection failed or could not be opened.
	OutcomeConnectionFailed
	// OutcomeTimedOut: no answer within the time that the request had.
	OutcomeTimedOut
	// OutcomeCancelled: the caller left.
	OutcomeCancelled
	// OutcomeHedgeLost: another target answered first; the work would have taken longer than this.
	OutcomeHedgeLost
	// OutcomeReplaced: another target has the address.
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

// Smoothing and back-off of what is known about a target.
const (
	// slownessWeight is the weight of one observation. The duration of work varies by its own size, so that an estimate
	// needs about ten answers.
	slownessWeight = 0.12
	// unknownPace is the pace of a target that reports none.
	unknownPace = 1.0
	// outlier bounds one observation relative to the estimate, because a few requests take many times as long.
	outlier = 4.0
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.2
	// failureMemory is the time constant with which an unused target is forgiven.
	failureMemory = 4 * time.Second
	// backOffFirst and backOffLast bound the time without requests after broken connections in a row. The first is
	// about one round trip with a retransmission, the last lets a returned target be found within seconds.
	backOffFirst = 150 * time.Millisecond
	backOffLast  = 3 * time.Second
	// replacedFor is how long a target stays out whose address answers as another one; its registration is expected
	// to end by then.
	replacedFor = 30 * time.Second
	// minPace and maxPace bound the estimate against single odd answers.
	minPace = 0.2
	maxPace = 20.0
)

// target is what this host knows of one target.
type target struct {
	Target
	hash uint32
	// own counts requests in flight from this host; peers from the others of the region.
	own   int
	peers int
	// preferred is set for the targets that this host prefers.
	preferred bool
	// owner is set once the target was asked as the owner of a key.
	owner bool
	// slowness is the smoothed duration of work relative to what its reported pace lets expect.
	slowness float64
	// observations counts those in slowness.
	observations int
	// pace is the reported pace, others the reported load that neither this host nor its peers know of.
	pace, others tracked
	reported     bool
	reportAt     time.Duration
	// failures is the smoothed share of attempts that failed or were shed.
	failures   float64
	failuresAt time.Duration
	broken     int
	downUntil  time.Duration
	cold       coldTokens
}

// predict is the expected time from sending a request until its answer, for work that usually takes base.
func (t *target) predict(now, base time.Duration) time.Duration {
	return time.Duration(float64(base) * t.paceAt(now) * (1 + t.ahead(now)/float64(t.Slots)))
}

// ahead is the expected number of requests that must end before one that is sent now begins.
func (t *target) ahead(now time.Duration) float64 { return max(0, t.load(now)+1-float64(t.Slots)) }

// observe takes the duration of one piece of work, relative to what was expected of it at the reported pace, into the
// estimate.
func (t *target) observe(relative float64) {
	relative = min(max(relative, minPace), maxPace, t.slowness*outlier)
	t.observations++
	t.slowness += (relative - t.slowness) * max(slownessWeight, 1/float64(t.observations+1))
}

func (t *target) failureShare(now time.Duration) float64 {
	return t.failures * math.Exp(-float64(now-t.failuresAt)/float64(failureMemory))
}

func (t *target) noteFailure(now time.Duration, value float64) {
	t.failures = t.failureShare(now)*(1-failureWeight) + value*failureWeight
	t.failuresAt = now
}

func (t *target) noteBroken(now time.Duration) {
	t.broken++
	pause := backOffFirst << min(t.broken-1, 5)
	t.downUntil = now + min(pause, backOffLast)
}

// bucket is a token bucket; the zero value is full.
type bucket struct {
	level float64
	at    time.Duration
	used  bool
}

// take takes a token if there is one. rate is in tokens per second, size the largest number of tokens.
func (b *bucket) take(now time.Duration, rate, size float64) bool {
	b.fill(now, rate, size)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (b *bucket) fill(now time.Duration, rate, size float64) {
	if !b.used {
		b.level, b.used = size, true
	}
	b.level = min(size, b.level+rate*(now-b.at).Seconds())
	b.at = now
}
