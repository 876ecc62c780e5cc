package registrar

import (
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// expectedColdMargin is the time beyond the cold period of its service for which a target counts as cold that is only expected to be.
	expectedColdMargin = time.Second
	// maxColdPeriod bounds that time, whatever the configuration says.
	maxColdPeriod = time.Minute
	// coldCheckInterval is how often the leader looks for such targets. It looks at all targets then.
	coldCheckInterval = 500 * time.Millisecond
)

// expectedCold has the targets that are only expected to be cold. The zero value is ready for use.
type expectedCold struct {
	// since is the time since which the leader knows it, by target.
	since map[string]time.Duration
	// lastCheck is the time of the last check.
	lastCheck time.Duration
}

// over returns those of the targets that must have become warm, by id and start. A new leader counts from its start.
func (e *expectedCold) over(now time.Duration, targets []*schemav1.Registration, services map[string]routes.Service) []*schemav1.Registration {
	e.lastCheck = now
	next := map[string]time.Duration{}
	var over []*schemav1.Registration
	for _, target := range targets {
		since, ok := e.since[target.GetId()]
		if !ok {
			since = now
		}
		next[target.GetId()] = since
		if now-since >= min(services[target.GetService()].ColdPeriod, maxColdPeriod)+expectedColdMargin {
			over = append(over, &schemav1.Registration{Id: target.GetId(), StartedUnixMs: target.GetStartedUnixMs()})
		}
	}
	e.since = next
	return over
}

// endExpectedCold starts to record the targets as warm that must have become warm. Only the leader calls it.
func (r *Registrar) endExpectedCold(expected *expectedCold, services map[string]routes.Service) {
	now := time.Since(r.started)
	if now-expected.lastCheck < coldCheckInterval {
		return
	}
	over := expected.over(now, r.state.ExpectedCold(), services)
	if len(over) == 0 || !r.endingExpectedCold.CompareAndSwap(false, true) {
		return
	}
	r.start("end of expected cold", func() {
		defer r.endingExpectedCold.Store(false)
		_, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{ExpectedColdOver: over})
		klog.InfoS("targets not heard since the end of an evacuation count as warm", "targets", len(over), "err", err)
	})
}
