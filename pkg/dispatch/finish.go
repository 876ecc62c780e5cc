package dispatch

import "time"

const (
	// defaultBaseDuration is the base duration of a route before the first response.
	defaultBaseDuration = 100 * time.Millisecond
	// baseDurationWeight is the weight of one response in the base duration of a route, once there have been enough responses.
	baseDurationWeight = 0.05
)

// baseDuration is the learned processing time of the requests of a route on an idle target of normal speed.
type baseDuration struct {
	mean    time.Duration
	samples int
}

// base returns the base duration of a route.
func (d *Dispatcher) base(route string) time.Duration {
	if known, ok := d.baseDuration[route]; ok {
		return known.mean
	}
	return defaultBaseDuration
}

// Result is the result of an attempt.
type Result struct {
	Outcome Outcome
	// Latency is the time from sending the request to the response or to the end of the attempt.
	Latency time.Duration
	// Report is the load report that came with the response, or nil.
	Report *TargetLoad
}

// Finish records the end of the attempt for which choice was made, and learns from its result.
func (d *Dispatcher) Finish(now time.Duration, choice *Choice, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := choice.target
	t.ownInFlight--
	d.loadChanged = d.loadChanged || !d.isScheduled(t)
	if result.Report != nil {
		report := result.Report.bounded(t.Slots)
		result.Report = &report
		t.recordReport(now, report)
	}
	switch result.Outcome {
	case OutcomeAnswered:
		t.connectionFailures, t.backOffUntil = 0, 0
		t.recordOutcome(now, 0)
		d.updateEstimates(choice, t, result.Latency, result.Report)
	case OutcomeFailed, OutcomeShed:
		t.connectionFailures = 0
		t.recordOutcome(now, 1)
	case OutcomeHedgeLost:
		d.updateEstimates(choice, t, result.Latency, result.Report)
	case OutcomeTimedOut:
		t.recordOutcome(now, 1)
		d.updateEstimates(choice, t, result.Latency, result.Report)
	case OutcomeConnectionFailed:
		t.recordOutcome(now, 1)
		t.recordConnectionFailure(now)
	case OutcomeReplaced:
		t.backOffUntil = now + replacedBackOff
	case OutcomeCancelled:
	}
	t.observePace(now, choice, result)
	d.collectPaceChanges(t)
}

// updateEstimates adds the latency of a response to the slowdown of the target and the base duration of the route.
func (d *Dispatcher) updateEstimates(choice *Choice, t *target, latency time.Duration, report *TargetLoad) {
	slowdown := choice.slowdown
	if report != nil && report.Slowdown > 0 {
		// The slowdown changes during the processing, so its values at the start and at the end count equally.
		slowdown = (slowdown + report.Slowdown*t.slowdownCorrection) / 2
	}
	processing := float64(latency) / (1 + choice.requestsAhead/float64(t.Slots))
	t.updateSlowdown(processing / float64(choice.base) / slowdown * t.slowdownCorrection)
	base := d.base(choice.route)
	// The base duration is the processing time at a slowdown of 1.
	learned := d.baseDuration[choice.route]
	learned.samples++
	baseDuration := processing / slowdown
	if learned.samples > 1 {
		baseDuration = min(baseDuration, float64(base)*maxObservationFactor)
	}
	learned.mean = base + time.Duration((baseDuration-float64(base))*max(baseDurationWeight, 1/float64(learned.samples)))
	d.baseDuration[choice.route] = learned
}
