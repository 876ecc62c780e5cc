package entry

import (
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

// reasonStopping is the reason of a refusal by a host that stops. Other hosts can take the request at once.
const reasonStopping dispatch.Reason = "stopping"

// stopPlan tells which requests a host still takes while it stops. Times are relative to the start of the host.
type stopPlan struct {
	// halfway is the middle of the grace period, and end when the connections of callers are closed.
	halfway, end time.Duration
}

// newStopPlan returns the plan of a host that begins to stop now.
func newStopPlan(now, gracePeriod time.Duration) *stopPlan {
	return &stopPlan{halfway: now + gracePeriod/2, end: now + gracePeriod - stopMargin}
}

// takes reports whether a request may be passed on to a target at now. In the first half of the grace period there is time enough for nearly
// all requests, whatever their deadline. Later ones are taken only if they end in time even if the target takes until their deadline,
// because they would be cut off at the end although they may have run. A nil plan is that of a host that does not stop.
func (p *stopPlan) takes(now, deadline time.Duration) bool {
	return p == nil || now < p.halfway || deadline+lateResponseMargin <= p.end
}
