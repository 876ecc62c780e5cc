package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/quota"
	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// quotas grants leases of the rates of tenants while this host is the leader. The zero value grants none.
type quotas struct {
	mu     sync.Mutex
	term   uint64
	leader *quota.Leader
}

// begin starts a term of this host as the leader.
func (q *quotas) begin(now time.Duration, term uint64, tolerance quota.Tolerance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.term, q.leader = term, quota.NewLeader(now, term, tolerance)
	klog.InfoS("rates of tenants are leased by this host", "term", term, "after", quota.LeaseDuration)
}

// end forgets the leases. They expire at the hosts that have them.
func (q *quotas) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leader = nil
}

// grant returns the leases for a report of an entry host; false if this host is not the leader of the term.
func (q *quotas) grant(now time.Duration, term uint64, report *schemav1.QuotaReport, limits map[string]quota.Limit, hosts int) (*schemav1.QuotaAnswer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.leader == nil || q.term != term {
		return nil, false
	}
	asks := make([]quota.Ask, 0, len(report.GetAsks()))
	for _, ask := range report.GetAsks() {
		asks = append(asks, quota.Ask{Tenant: ask.GetTenant(), Demand: ask.GetDemand(), Held: ask.GetHeld(), NoFloor: ask.GetNoFloor()})
	}
	answer := &schemav1.QuotaAnswer{}
	for _, lease := range q.leader.Grant(now, report.GetEntry(), asks, limits, hosts) {
		answer.Leases = append(answer.Leases, &schemav1.QuotaLease{
			Tenant: lease.Tenant, Number: lease.Number, Rate: lease.Rate, Depth: lease.Depth, Tokens: lease.Tokens,
		})
	}
	return answer, true
}

// handleQuota grants leases of rates if this host is the leader, or forwards the report to the leader.
func (r *Registrar) handleQuota(ctx context.Context, report *schemav1.QuotaReport) (*schemav1.QuotaAnswer, error) {
	replica := r.currentReplica()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	status := replica.Status()
	if status.Role != raft.Leader {
		if report.GetForwarded() || status.LeaderAddress == "" {
			return nil, merry.Wrap(ErrNoLeader)
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		answer := &schemav1.QuotaAnswer{}
		forwarded := &schemav1.QuotaReport{Entry: report.GetEntry(), Asks: report.GetAsks(), Forwarded: true}
		return answer, r.client.Call(ctx, status.LeaderAddress, MethodQuota, forwarded, answer)
	}
	// While this host holds its lease there is no other leader, which could have begun to grant leases.
	if !replica.HoldsLease() {
		return nil, merry.Wrap(ErrNoLeader)
	}
	configuration := r.Configuration()
	if configuration == nil || r.state.EntryHost(report.GetEntry()) == nil {
		return &schemav1.QuotaAnswer{}, nil
	}
	limits := make(map[string]quota.Limit, len(configuration.Tenants))
	for _, tenant := range configuration.Tenants {
		limits[tenant.Name] = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
	}
	answer, ok := r.quotas.grant(time.Since(r.started), status.Term, report, limits, r.state.EntryHostCount())
	if !ok {
		return nil, merry.Wrap(ErrNoLeader)
	}
	return answer, nil
}
