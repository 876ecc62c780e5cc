package dispatch

import (
	"slices"
	"time"
)

// SetScheduled sets the services whose targets are assigned by slot schedulers. InFlightReport leaves out their targets, because the
// schedulers count the requests there.
func (d *Dispatcher) SetScheduled(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.services {
		s.scheduled = slices.Contains(names, name)
	}
	for _, name := range names {
		d.service(name).scheduled = true
	}
}

// Assign counts the request as in flight at a target that a slot scheduler has assigned to it, whatever this host knows about the load of
// the target. Finish must be called for the choice. If the request must not be sent there, Assign returns nil and the reason.
func (d *Dispatcher) Assign(now time.Duration, r *Request, targetID string) (*Choice, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[targetID]
	if t == nil || t.Service != r.Service {
		return nil, ReasonNoTarget
	}
	if reason := d.assignmentObstacle(now, t, r); reason != "" {
		return nil, reason
	}
	base := d.base(r.Route)
	// The scheduler gives no more turns than there are slots, so that the request does not wait at the target.
	load := min(t.expectedLoad(now), float64(t.Slots-1))
	return d.count(now, r, base, scoredTarget{target: t, expected: t.predictLatency(now, base, load)}, load), ""
}

// Assignable returns those of the targets to which a slot scheduler may assign the request.
func (d *Dispatcher) Assignable(now time.Duration, r *Request, targetIDs []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var assignable []string
	for _, id := range targetIDs {
		if t := d.targets[id]; t != nil && d.assignmentObstacle(now, t, r) == "" {
			assignable = append(assignable, id)
		}
	}
	return assignable
}

// assignmentObstacle returns why a slot scheduler must not assign the request to a target, or "" if it may.
func (d *Dispatcher) assignmentObstacle(now time.Duration, t *target, r *Request) Reason {
	if t.notices.isLeaving() {
		return ReasonLeaving
	}
	return d.obstacle(now, t, r)
}

// BaseDuration returns the expected processing time of the requests of a route on an idle target of normal speed.
func (d *Dispatcher) BaseDuration(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.base(route)
}

// DistanceCost returns the time by which a target in a data centre and region may be worse than one in the own data centre before that
// one is preferred.
func (o Options) DistanceCost(dataCentre, region string, largeResponse bool) time.Duration {
	cost := time.Duration(0)
	switch {
	case region != o.Region:
		cost = otherRegionCost
	case dataCentre != o.DataCentre:
		cost = otherDataCentreCost
	}
	if largeResponse {
		cost *= largeResponseFactor
	}
	return cost
}
