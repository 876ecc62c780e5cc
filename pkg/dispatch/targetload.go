package dispatch

import (
	"math"
	"time"
)

const (
	// slowdownDecayTime is the time constant with which the last reported slowdown is replaced by its mean. Targets share machines
	// whose speed changes several times a second.
	slowdownDecayTime = 400 * time.Millisecond
	// slowdownMeanDecayTime is the time constant of the mean slowdown of a target. It covers several such changes.
	slowdownMeanDecayTime = 3 * time.Second
	// otherLoadDecayTime is the time constant with which the last known load from hosts that are not peers is replaced by its mean. It
	// is about the processing time of one request.
	otherLoadDecayTime = 200 * time.Millisecond
	// otherLoadMeanDecayTime is the time constant of the mean load from hosts that are not peers.
	otherLoadMeanDecayTime = time.Second
	// ownerLoadDecayTime is the time constant with which the load of an owner of keys from hosts that are not peers fades to 0 when
	// no new report arrives.
	ownerLoadDecayTime = 2 * time.Second
	// typicalWeight is the weight of one report in the typical load and slowdown of the targets of a service. It averages over about as
	// many targets as one host asks within seconds.
	typicalWeight = 0.03
	// typicalLoadDecayTime is the time constant with which the load that a target reported is replaced by the typical one. Without it,
	// a host that sends to hundreds of targets believes that those which it does not know are idle.
	typicalLoadDecayTime = 2 * time.Second
	// maxReportedPerSlot bounds the requests that one report may claim for each slot of a target. Targets queue a few more requests than they
	// have slots; without a bound, one odd report would outweigh all later ones.
	maxReportedPerSlot = 20
	// outdatedReportAge is the age of the last report of a target from which on it is no reason to send no request there. The load that it
	// showed has changed several times since, and only a response tells how.
	outdatedReportAge = 5 * time.Second
	// minReportWeight is the minimum weight of a report in a mean, used if it arrives right after another one.
	minReportWeight = 0.02
)

// trackedValue estimates a reported value that changes faster than reports arrive. Shortly after a report, the estimate is the last
// value; later it approaches the mean.
type trackedValue struct {
	last, mean float64
	updatedAt  time.Duration
	known      bool
}

// record adds a reported value. decayTime is the time constant of the mean.
func (v *trackedValue) record(now time.Duration, value float64, decayTime time.Duration) {
	if !v.known {
		*v = trackedValue{last: value, mean: value, updatedAt: now, known: true}
		return
	}
	weight := max(minReportWeight, 1-math.Exp(-float64(now-v.updatedAt)/float64(decayTime)))
	v.mean += (value - v.mean) * weight
	v.last, v.updatedAt = value, now
}

// estimate returns the value to expect now, or fallback if there was no report. decayTime is the time constant with which the last
// value is replaced by the mean.
func (v *trackedValue) estimate(now, decayTime time.Duration, fallback float64) float64 {
	if !v.known {
		return fallback
	}
	return v.mean + (v.last-v.mean)*math.Exp(-float64(now-v.updatedAt)/float64(decayTime))
}

// typical has the means of what the targets of a service in one region reported, as the estimate for a target that has not reported for
// long. The regions are kept apart because requests that may run in one region only can load it far more than the others.
type typical struct {
	// load is the number of other requests at a target for each of its slots.
	load float64
	// slowdown is the product of the reported slowdown and the correction.
	slowdown float64
	known    bool
	// inUse is set in deployments with many entry hosts. With few, each host learns the load of all targets from its peers and from the
	// responses, and an average would only hide the idle ones.
	inUse bool
}

// typicalIn returns what is typical for the targets of the service in a region.
func (s *service) typicalIn(region string) *typical {
	y, ok := s.typical[region]
	if !ok {
		y = &typical{}
		s.typical[region] = y
	}
	return y
}

// record adds the report of a target.
func (y *typical) record(load, slowdown float64) {
	if !y.known {
		y.load, y.slowdown, y.known = load, slowdown, true
		return
	}
	y.load += (load - y.load) * typicalWeight
	y.slowdown += (slowdown - y.slowdown) * typicalWeight
}

// bounded returns the report of a target with this number of slots with its values within the bounds of what can be.
func (l TargetLoad) bounded(slots int) TargetLoad {
	l.Running, l.Waiting = min(max(l.Running, 0), slots*maxReportedPerSlot), min(max(l.Waiting, 0), slots*maxReportedPerSlot)
	if !(l.Slowdown > 0) {
		l.Slowdown = 0
	}
	l.Slowdown = min(l.Slowdown, maxSlowdown)
	return l
}

// recordReport adds a load report of the target itself, which came with a response. The report still counts the request of that
// response as running, but ownInFlight and peerInFlight do not.
func (t *target) recordReport(now time.Duration, report TargetLoad) {
	t.reportAt, t.hasReport = now, true
	if !t.isOwner {
		t.typical.record(float64(max(0, report.Running+report.Waiting-1))/float64(t.Slots), t.slowdownCorrection*max(report.Slowdown, minSlowdown))
	}
	otherLoad := report.Running + report.Waiting - 1 - t.ownInFlight - t.peerInFlight
	t.otherLoad.record(now, float64(max(0, otherLoad)), otherLoadMeanDecayTime)
	if report.Slowdown > 0 {
		t.reportedSlowdown.record(now, report.Slowdown, slowdownMeanDecayTime)
	}
}

// reportedLoad returns the number of requests at the target as far as reports show it: those of this host, those that peers reported,
// and those of other hosts, which only the reports of the target show.
func (t *target) reportedLoad(now time.Duration) float64 {
	otherLoad := t.otherLoad.estimate(now, otherLoadDecayTime, 0)
	if t.isOwner {
		// All hosts send requests to an owner, but each of them rarely, so the last report is usually old.
		otherLoad *= math.Exp(-float64(now-t.otherLoad.updatedAt) / float64(ownerLoadDecayTime))
	}
	return float64(t.ownInFlight+t.peerInFlight) + otherLoad
}

// expectedLoad returns the expected number of requests at the target, for the choice among targets. Where there are no recent reports
// it rests on what is typical for the service, which is no reason to refuse a request.
func (t *target) expectedLoad(now time.Duration) float64 {
	reported := t.reportedLoad(now)
	if t.isOwner || !t.typical.inUse || !t.typical.known {
		return reported
	}
	expected := max(float64(t.ownInFlight+t.peerInFlight), t.typical.load*float64(t.Slots))
	return expected + (reported-expected)*t.reportWeight(now)
}

// reportWeight returns the weight of the last load report relative to what is typical for the service.
func (t *target) reportWeight(now time.Duration) float64 {
	if !t.hasReport {
		return 0
	}
	return math.Exp(-float64(now-t.reportAt) / float64(typicalLoadDecayTime))
}

// slowdownAt returns the expected processing time at the target relative to the base duration.
func (t *target) slowdownAt(now time.Duration) float64 {
	if !t.hasReport && t.observations == 0 && t.typical.inUse && t.typical.known {
		return min(max(t.typical.slowdown, minSlowdown), maxSlowdown)
	}
	return min(max(t.slowdownCorrection*t.reportedSlowdown.estimate(now, slowdownDecayTime, defaultSlowdown), minSlowdown), maxSlowdown)
}
