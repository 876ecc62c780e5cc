package dispatch

import (
	"math"
	"time"
)

const (
	// paceMemory is how long a reported pace differs from the target's mean one. Targets share machines whose speed changes
	// several times a second.
	paceMemory = 400 * time.Millisecond
	// paceMeanMemory is the time constant of the mean pace of a target. It covers several such changes.
	paceMeanMemory = 3 * time.Second
	// othersMemory is how long a reported load from hosts that tell this one nothing differs from its mean: about the time of
	// one piece of work.
	othersMemory = 200 * time.Millisecond
	// othersMeanMemory is the time constant of that mean.
	othersMeanMemory = time.Second
	// othersForgotten is the time constant with which the reported load of an owner of keys is taken as unknown again.
	othersForgotten = 2 * time.Second
	// leastReportWeight is the weight in a mean of a report that follows another at once.
	leastReportWeight = 0.02
)

// tracked is a reported figure that changes faster than reports come: the last one, which holds for a while, and the mean,
// which is expected afterwards.
type tracked struct {
	last, mean float64
	at         time.Duration
	known      bool
}

func (v *tracked) note(now time.Duration, value float64, memory time.Duration) {
	if !v.known {
		*v = tracked{last: value, mean: value, at: now, known: true}
		return
	}
	weight := max(leastReportWeight, 1-math.Exp(-float64(now-v.at)/float64(memory)))
	v.mean += (value - v.mean) * weight
	v.last, v.at = value, now
}

// expect is the figure to expect now, or unknown if there was no report.
func (v *tracked) expect(now, memory time.Duration, unknown float64) float64 {
	if !v.known {
		return unknown
	}
	return v.mean + (v.last-v.mean)*math.Exp(-float64(now-v.at)/float64(memory))
}

// noteReport takes a target's own report. own and peers count without the request that was answered, which the report still
// counts as running.
func (t *target) noteReport(now time.Duration, report TargetLoad) {
	t.reportAt, t.reported = now, true
	others := report.Running + report.Waiting - 1 - t.own - t.peers
	t.others.note(now, float64(max(0, others)), othersMeanMemory)
	if report.Slowdown > 0 {
		t.pace.note(now, report.Slowdown, paceMeanMemory)
	}
}

// load is the expected number of requests at the target: those of this host, those that others tell, and those that only the
// target's reports show.
func (t *target) load(now time.Duration) float64 {
	others := t.others.expect(now, othersMemory, 0)
	if t.owner {
		// All hosts ask an owner, each of them seldom, so that a report is mostly old.
		others *= math.Exp(-float64(now-t.others.at) / float64(othersForgotten))
	}
	return float64(t.own+t.peers) + others
}

// paceAt is the expected duration of work relative to the usual one.
func (t *target) paceAt(now time.Duration) float64 {
	return min(max(t.slowness*t.pace.expect(now, paceMemory, unknownPace), minPace), maxPace)
}
