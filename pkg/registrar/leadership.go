package registrar

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/grants"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/replication"
)

// changePause is the time between changes of members, so that a refused one is not repeated at once.
const changePause = 200 * time.Millisecond

// leadership is what a registry host does while it leads.
type leadership struct {
	registrar *Registrar
	replica   *replication.Replica
	term      uint64
	keeper    *grants.Manager
	cancel    context.CancelFunc
	ctx       context.Context
	changed   time.Time
	changing  sync.WaitGroup
}

func (l *leadership) step(status replication.Status) {
	if status.Role != raft.Leader || (l.keeper != nil && l.term != status.Term) {
		l.end()
	}
	if status.Role != raft.Leader {
		return
	}
	r := l.registrar
	if l.keeper == nil {
		l.term = status.Term
		l.ctx, l.cancel = context.WithCancel(r.ctx)
		l.keeper = grants.New(r.state, r, r.options.Granter, func() time.Duration { return time.Since(r.started) })
	}
	l.changeMembers(status)
	for _, load := range r.keyLoads.take() {
		for i, bucket := range load.GetBuckets() {
			if i < len(load.GetCounts()) {
				l.keeper.RecordRequests(load.GetService(), bucket, load.GetCounts()[i])
			}
		}
		for _, o := range load.GetOwners() {
			l.keeper.RecordResponses(load.GetService(), o.GetTarget(), o.GetCount(), time.Duration(o.GetTotalMs())*time.Millisecond)
		}
	}
	if configuration := r.Configuration(); configuration != nil {
		l.keeper.Step(l.ctx, configuration.Services)
	}
}

func (l *leadership) changeMembers(status replication.Status) {
	if time.Since(l.changed) < changePause {
		return
	}
	next, reason := nextChange(status.Members, status.ID, wantedVoters(l.registrar.options.FaultTolerance))
	if next == nil {
		return
	}
	l.changed = time.Now()
	l.changing.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, forwardTimeout)
		defer cancel()
		err := next(ctx, l.replica)
		klog.InfoS("change of members", "reason", reason, "err", err)
	})
}

// end stops everything that only a leader may do.
func (l *leadership) end() {
	if l.keeper == nil {
		return
	}
	l.cancel()
	l.keeper.Wait()
	l.changing.Wait()
	l.keeper = nil
}
