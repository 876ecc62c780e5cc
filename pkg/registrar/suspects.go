package registrar

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/suspects"
)

// MethodReportSuspects is the method by which entry hosts report the requests that targets end on, and those that they answer.
const MethodReportSuspects = "Registry.ReportSuspects"

// handleReportSuspects commits what an entry host has observed.
func (r *Registrar) handleReportSuspects(ctx context.Context, request *schemav1.SuspectReport) (*schemav1.SuspectReportAnswer, error) {
	change := request.GetChange()
	result, err := r.proposeWithRetry(ctx, &schemav1.RegistryCommand{Suspects: change})
	klog.InfoS("suspects reported", "crashed", len(change.GetCrashed()), "cleared", len(change.GetCleared()), "err", err)
	return &schemav1.SuspectReportAnswer{Version: result.GetVersion()}, err
}

// suspectAges has the ages of the suspects as far as the leader knows them. The zero value is ready for use.
type suspectAges struct {
	// since is when the leader first saw a suspect with its crashes.
	since map[string]suspectAge
	// lastCheck is the time of the last check.
	lastCheck time.Duration
}

type suspectAge struct {
	crashes []uint64
	at      time.Duration
}

// suspectCheckInterval is how often the leader looks for expired suspects, which live for minutes.
const suspectCheckInterval = time.Second

// expired returns the suspects whose last crash is longer ago than suspects.Lifetime. A new leader counts from its start.
func (a *suspectAges) expired(now time.Duration, known []*schemav1.Suspect) []*schemav1.Suspect {
	a.lastCheck = now
	next := make(map[string]suspectAge, len(known))
	var expired []*schemav1.Suspect
	for _, s := range known {
		age, ok := a.since[string(s.GetFingerprint())]
		if !ok || !slices.Equal(age.crashes, s.GetCrashes()) {
			age = suspectAge{s.GetCrashes(), now}
		}
		next[string(s.GetFingerprint())] = age
		if now-age.at >= suspects.Lifetime {
			expired = append(expired, s)
		}
	}
	a.since = next
	return expired
}

// expireSuspects starts to remove the suspects that have expired. Only the leader calls it.
func (r *Registrar) expireSuspects(ages *suspectAges) {
	now := time.Since(r.started)
	if now-ages.lastCheck < suspectCheckInterval {
		return
	}
	expired := ages.expired(now, r.state.Suspects())
	if len(expired) == 0 {
		return
	}
	r.start("expire suspects", func() {
		_, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{Suspects: &schemav1.SuspectChange{Expired: expired}})
		klog.InfoS("suspects expired", "count", len(expired), "err", err)
	})
}
