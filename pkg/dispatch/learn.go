package dispatch

import "time"

const (
	// defaultBase is the expected time of work before the first answer.
	defaultBase = 100 * time.Millisecond
	// baseWeight is the weight of one answer in the usual time of work of a route.
	baseWeight = 0.05
)

// usual is how long the work of a route takes on the targets that are chosen.
type usual struct {
	work  time.Duration
	count int
}

func (c *Dispatcher) base(route string) time.Duration {
	if known, ok := c.usual[route]; ok {
		return known.work
	}
	return defaultBase
}

// Result is what an attempt showed.
type Result struct {
	Outcome Outcome
	// Latency is the time from sending the request until the answer.
	Latency time.Duration
	// Report is the target's load report; nil when there was none.
	Report *TargetLoad
}

// Finish ends the attempt of a choice.
func (c *Dispatcher) Finish(now time.Duration, choice *Choice, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := choice.target
	t.own--
	c.dirty = true
	if result.Report != nil {
		t.noteReport(now, *result.Report)
	}
	switch result.Outcome {
	case OutcomeAnswered:
		t.broken, t.downUntil = 0, 0
		t.noteFailure(now, 0)
		c.learn(choice, t, result.Latency, result.Report)
	case OutcomeFailed, OutcomeShed:
		t.broken = 0
		t.noteFailure(now, 1)
	case OutcomeHedgeLost:
		c.learn(choice, t, result.Latency, result.Report)
	case OutcomeTimedOut:
		t.noteFailure(now, 1)
		c.learn(choice, t, result.Latency, result.Report)
	case OutcomeConnectionFailed:
		t.noteFailure(now, 1)
		t.noteBroken(now)
	case OutcomeReplaced:
		t.downUntil = now + replacedFor
	case OutcomeCancelled:
	}
}

// learn takes the time of an answer into the slowness of the target and the usual time of the route.
func (c *Dispatcher) learn(choice *Choice, t *target, took time.Duration, report *TargetLoad) {
	pace := choice.pace
	if report != nil && report.Slowdown > 0 {
		// The pace changes during the work, so that what held at its begin and at its end count the same.
		pace = (pace + report.Slowdown*t.slowness) / 2
	}
	alone := float64(took) / (1 + choice.ahead/float64(t.Slots))
	t.observe(alone / float64(choice.base) / pace * t.slowness)
	base := c.base(choice.route)
	// The usual time is that of work at a pace of 1.
	known := c.usual[choice.route]
	known.count++
	usual := alone / pace
	if known.count > 1 {
		usual = min(usual, float64(base)*outlier)
	}
	known.work = base + time.Duration((usual-float64(base))*max(baseWeight, 1/float64(known.count)))
	c.usual[choice.route] = known
}
