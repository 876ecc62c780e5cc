package dispatch

import (
	"math"
	"time"
)

// Target is what a registration says about a target.
type Target struct {
	ID         string
	Started    int64
	Service    string
	Address    string
	DataCentre string
	Region     string
	Slots      int
	Cold       bool
	Draining   bool
}

// Load is a target's own report.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the duration of work at the moment, relative to the usual one.
	Pace float64
}

// Outcome is how an attempt at a target ended.
type Outcome int

// Outcomes of attempts.
const (
	// Answered: a complete answer that is not a failure of the target.
	Answered Outcome = iota + 1
	// Failed: the target answered with a failure of its own, or with bytes that are no answer.
	Failed
	// Shed: the target refused the request without running it.
	Shed
	// Broken: the connection failed or could not be opened.
	Broken
	// Silent: no answer within the time that the request had.
	Silent
	// Cancelled: the caller left.
	Cancelled
	// Outrun: another target answered first; the work would have taken longer than this.
	Outrun
	// Replaced: another target has the address.
	Replaced
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
	// paceWeight is the weight of one observation. The duration of work varies by its own size, so that an estimate needs
	// about ten answers; all hosts of a region share theirs.
	paceWeight = 0.12
	// unknownPace is the estimate for a target that has answered nothing. It is below 1, so that new targets are tried.
	unknownPace = 1.0
	// paceOutlier bounds one observation relative to the estimate, because a few requests take many times as long.
	paceOutlier = 4.0
	// paceMemory is how long a reported pace is taken as current. Targets share machines whose speed changes several
	// times a second.
	paceMemory = 400 * time.Millisecond
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
	// pace is the smoothed duration of work relative to the service's usual one, without the reported part.
	pace float64
	// observations counts those in pace.
	observations int
	report       Load
	reportAt     time.Duration
	// failures is the smoothed share of attempts that failed or were shed.
	failures   float64
	failuresAt time.Duration
	broken     int
	downUntil  time.Duration
	cold       coldTokens
}

func (t *target) load() int { return t.own + t.peers }

// paceAt is the expected duration of work relative to the usual one.
func (t *target) paceAt(now time.Duration) float64 {
	pace := t.pace
	if t.report.Pace > 0 {
		fresh := math.Exp(-float64(now-t.reportAt) / float64(paceMemory))
		pace *= 1 + (t.report.Pace-1)*fresh
	}
	return min(max(pace, minPace), maxPace)
}

// predict is the expected time from sending a request until its answer, for work that usually takes base.
func (t *target) predict(now, base time.Duration) time.Duration {
	ahead := max(0, t.load()+1-t.Slots)
	rounds := 1 + float64(ahead)/float64(max(1, t.Slots))
	return time.Duration(float64(base) * t.paceAt(now) * rounds)
}

// observe takes the duration of one piece of work, relative to the usual one, into the estimate. reported is the pace that
// the target told with it, or 0.
func (t *target) observe(now time.Duration, work, reported float64) {
	if reported > 0 {
		t.report.Pace, t.reportAt = reported, now
	} else {
		reported = 1
	}
	// The work began before the report, so that half of its deviation is taken as the pace during the work.
	pace := min(max(work/(1+(reported-1)/2), minPace), maxPace, t.pace*paceOutlier)
	t.observations++
	t.pace += (pace - t.pace) * max(paceWeight, 1/float64(t.observations+1))
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
