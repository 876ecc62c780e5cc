package registrar

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/grants"
	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/replication"
)

// membershipChangeInterval is the minimum time between membership changes, so that a refused one is not repeated at once.
const membershipChangeInterval = 200 * time.Millisecond

// leadership does what only the leader may do: it runs the manager of the grants and changes the membership of the group.
type leadership struct {
	registrar           *Registrar
	replica             *replication.Replica
	term                uint64
	manager             *grants.Manager
	cancel              context.CancelFunc
	ctx                 context.Context
	membershipChangedAt time.Time
	adoptedAt           time.Time
	membershipChanges   sync.WaitGroup
	suspectAges         suspectAges
	expectedCold        expectedCold
	departures          departures
}

// step makes the decisions that are due if this host is the leader. It ends earlier work if this host no longer is the leader or the term
// has changed.
func (l *leadership) step(status replication.Status) {
	if status.Role != raft.Leader || (l.manager != nil && l.term != status.Term) {
		l.end()
	}
	if status.Role != raft.Leader {
		return
	}
	r := l.registrar
	if l.manager == nil {
		l.term = status.Term
		l.ctx, l.cancel = context.WithCancel(r.ctx)
		l.suspectAges, l.expectedCold, l.departures = suspectAges{}, expectedCold{}, departures{}
		l.manager = grants.New(r.state, r, r.options.Granter, func() time.Duration { return time.Since(r.started) })
		l.manager.Term = status.Term
		r.quotas.begin(time.Since(r.started), status.Term, r.options.QuotaTolerance)
	}
	l.changeMembership(status)
	r.removeDeparted(&l.departures, status)
	if time.Since(l.adoptedAt) >= adoptInterval {
		l.adoptedAt = time.Now()
		r.watchers.adopt(r.state.EntryHostNames())
	}
	r.expireSuspects(&l.suspectAges)
	for _, load := range r.keyLoads.take(time.Now()) {
		for i, bucket := range load.GetBuckets() {
			if i < len(load.GetCounts()) {
				l.manager.RecordRequests(load.GetService(), bucket, load.GetCounts()[i])
			}
		}
		for i, key := range load.GetKeys() {
			if i < len(load.GetKeyCounts()) {
				l.manager.RecordKeyRequests(load.GetService(), key, load.GetKeyCounts()[i])
			}
		}
		for _, o := range load.GetOwners() {
			l.manager.RecordResponses(load.GetService(), o.GetTarget(), o.GetCount(), time.Duration(o.GetTotalMs())*time.Millisecond)
		}
	}
	if configuration := r.Configuration(); configuration != nil && r.forming.isFormed() {
		r.endExpectedCold(&l.expectedCold, configuration.Services)
		l.manager.Step(l.ctx, configuration.Services)
	}
}

// changeMembership starts the next membership change if one is needed.
func (l *leadership) changeMembership(status replication.Status) {
	if time.Since(l.membershipChangedAt) < membershipChangeInterval {
		return
	}
	next, reason := nextMembershipChange(status.Members, status.ID, voterCount(l.registrar.options.FaultTolerance))
	if next == nil {
		return
	}
	l.membershipChangedAt = time.Now()
	l.membershipChanges.Go(func() {
		guard.Do("change of members", func() { l.applyMembershipChange(next, reason) })
	})
}

// applyMembershipChange makes a membership change.
func (l *leadership) applyMembershipChange(next *membershipChange, reason string) {
	ctx, cancel := context.WithTimeout(l.ctx, forwardTimeout)
	defer cancel()
	err := next.apply(ctx, l.replica)
	klog.InfoS("change of members", "reason", reason, "err", err)
}

// end stops everything that only the leader may do, and waits until it has stopped.
func (l *leadership) end() {
	if l.manager == nil {
		return
	}
	l.registrar.quotas.end()
	l.cancel()
	l.manager.Wait()
	l.membershipChanges.Wait()
	l.manager = nil
}
