package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/quota"
	"almondrock.example/almondrock/pkg/registrar"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// quotaPollInterval is how often the host looks whether a report on its quotas is due.
	quotaPollInterval = 50 * time.Millisecond
	// quotaReportTimeout is how long an answer is awaited. A lease is valid for 2 s from the report.
	quotaReportTimeout = 800 * time.Millisecond
	// quotaLogInterval is the time between two log lines about the refusals of one tenant.
	quotaLogInterval = time.Second
	// reasonTenantLimit is the code of a refusal because the rate of the tenant is used up.
	reasonTenantLimit = "tenant-limit"
)

// tenantQuotas limits the requests of tenants at this host.
type tenantQuotas struct {
	mu       sync.Mutex
	host     *quota.Host
	refusals map[string]*refusals
	// limited is set if a tenant has a limit.
	limited bool
	// wake wakes the reporter.
	wake chan struct{}
}

// refusals counts the refused requests of one tenant since its last log line.
type refusals struct {
	count    int
	loggedAt time.Duration
}

func newTenantQuotas(host string, tolerance quota.Tolerance) *tenantQuotas {
	return &tenantQuotas{host: quota.NewHost(host, tolerance), refusals: map[string]*refusals{}, wake: make(chan struct{}, 1)}
}

// setLimits sets the limits of a view.
func (q *tenantQuotas) setLimits(now time.Duration, v *view) {
	limits := map[string]quota.Limit{}
	if v.table != nil {
		for _, tenant := range v.table.Configuration.Tenants {
			if tenant.Rate > 0 {
				limits[tenant.Name] = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
			}
		}
	}
	hosts := make([]string, 0, len(v.entryHosts))
	for _, host := range v.entryHosts {
		hosts = append(hosts, host.GetName())
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = len(limits) > 0
	q.host.SetLimits(now, limits, hosts)
	for name := range q.refusals {
		if _, ok := limits[name]; !ok {
			delete(q.refusals, name)
		}
	}
	q.notify()
}

func (q *tenantQuotas) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// hasRoom reports whether a request of the tenant would be admitted now.
func (q *tenantQuotas) hasRoom(now time.Duration, tenant string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.host.HasRoom(now, tenant)
}

// admit takes a request from the quota of the tenant. Otherwise it returns when room is expected.
func (q *tenantQuotas) admit(now time.Duration, tenant string) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, after := q.host.Admit(now, tenant)
	if !ok {
		q.recordRefusal(now, tenant)
		q.notify()
	}
	return ok, after
}

// recordRefusal logs the refusals of a tenant, at most once in quotaLogInterval. The caller must hold q.mu.
func (q *tenantQuotas) recordRefusal(now time.Duration, tenant string) {
	r := q.refusals[tenant]
	if r == nil {
		r = &refusals{loggedAt: now - quotaLogInterval}
		q.refusals[tenant] = r
	}
	r.count++
	if now-r.loggedAt < quotaLogInterval {
		return
	}
	share := q.host.Shares(now)[tenant]
	klog.InfoS("rate of tenant used up at this host", "tenant", tenant, "refused", r.count, "floorPerS", share.FloorRate, "leasePerS", share.LeaseRate,
		"demandPerS", share.Demand)
	r.count, r.loggedAt = 0, now
}

// giveBack returns the quota of a request that has certainly not run.
func (q *tenantQuotas) giveBack(now time.Duration, tenant string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.host.Return(now, tenant)
}

// dueReport returns the report that is due after the last one at reportedAt. wait is how long to wait for the next; 0 means until wake.
func (q *tenantQuotas) dueReport(now, reportedAt time.Duration) (asks []quota.Ask, due bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limited {
		return nil, false, 0
	}
	if !q.host.IsReportDue(now, reportedAt) {
		return nil, false, quotaPollInterval
	}
	return q.host.Report(now), true, quotaPollInterval
}

// apply puts the leases of an answer in force.
func (q *tenantQuotas) apply(now, askedAt time.Duration, answer *schemav1.QuotaAnswer) {
	leases := make([]quota.Lease, 0, len(answer.GetLeases()))
	for _, lease := range answer.GetLeases() {
		leases = append(leases, quota.Lease{Tenant: lease.GetTenant(), Number: lease.GetNumber(), Rate: lease.GetRate(), Depth: lease.GetDepth(), Tokens: lease.GetTokens()})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.host.Apply(now, askedAt, leases)
}

// reportQuotas reports the demand of tenants to the registry host that this host follows, and applies the leases in the answers, until ctx
// ends. A report is sent only after the answer to the one before, or when that is given up.
func (h *Host) reportQuotas(ctx context.Context) {
	reportedAt := h.now()
	for ctx.Err() == nil {
		now := h.now()
		asks, due, wait := h.quotas.dueReport(now, reportedAt)
		if due {
			reportedAt = now
			if len(asks) > 0 {
				h.sendQuotaReport(ctx, now, asks)
				continue
			}
		}
		var poll <-chan time.Time
		if wait > 0 {
			poll = time.After(wait)
		}
		select {
		case <-h.quotas.wake:
		case <-poll:
		case <-ctx.Done():
		}
	}
}

// sendQuotaReport sends one report and applies the answer.
func (h *Host) sendQuotaReport(ctx context.Context, now time.Duration, asks []quota.Ask) {
	address := h.registryAddress.Load()
	if address == nil {
		return
	}
	report := &schemav1.QuotaReport{Entry: h.options.Name}
	for _, ask := range asks {
		report.Asks = append(report.Asks, &schemav1.QuotaAsk{Tenant: ask.Tenant, Demand: ask.Demand, Held: ask.Held, NoFloor: ask.NoFloor})
	}
	ctx, cancel := context.WithTimeout(ctx, quotaReportTimeout)
	defer cancel()
	answer := &schemav1.QuotaAnswer{}
	err := h.registryClient.Call(ctx, *address, registrar.MethodQuota, report, answer)
	result := "answered"
	if err != nil {
		result = "failed"
		klog.V(1).InfoS("quota report not answered", "address", *address, "err", err)
	} else {
		h.quotas.apply(h.now(), now, answer)
	}
	h.requestMetrics.scope.Tagged(map[string]string{metrics.TagResult: result}).Counter(metrics.QuotaReports).Inc(1)
}

// refuseWithoutRoom refuses the request if the quota of its tenant is used up, and returns the result for the log; otherwise it returns "".
// It takes nothing from the quota unless there has been room only since it looked.
func (x *exchange) refuseWithoutRoom() string {
	if x.tenant == nil || x.host.quotas.hasRoom(x.host.now(), x.tenant.Name) {
		return ""
	}
	return x.takeQuota()
}

// takeQuota takes the request from the quota of its tenant, once. If there is no room, it sends the response and returns the result for the
// log; otherwise it returns "".
func (x *exchange) takeQuota() string {
	if x.tenant == nil || x.quotaTaken {
		return ""
	}
	ok, after := x.host.quotas.admit(x.host.now(), x.tenant.Name)
	if ok {
		x.quotaTaken = true
		return ""
	}
	x.host.requestMetrics.recordRefusal(reasonTenantLimit)
	x.setRetryAfter(after)
	return x.writeError(http.StatusTooManyRequests, reasonTenantLimit)
}

// giveBackQuota returns the quota of a request that has ended with this result, if it has certainly not run.
func (x *exchange) giveBackQuota(result string) {
	if x.quotaTaken && (x.refused || result == resultCallerLeft && !x.mayHaveRun && x.sends == 0) {
		x.host.quotas.giveBack(x.host.now(), x.tenant.Name)
	}
}
