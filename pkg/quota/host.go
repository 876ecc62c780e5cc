package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowDemandTime is the time constant of the measured demand: long, because a few requests a second arrive at irregular times.
	// fastDemandTime is that of the measurement which shows that the demand has changed, if the two differ by more than demandDeviations
	// standard deviations.
	slowDemandTime   = 1500 * time.Millisecond
	fastDemandTime   = 250 * time.Millisecond
	demandDeviations = 3
	// minDemand is the demand in requests a second below which a host without a lease asks for none.
	minDemand = 0.05
	// maxRetryAfter bounds the time after which refused callers are told to return. Shares change within it.
	maxRetryAfter = time.Second
	// leaseDelay is when a host that has no room may have a lease: it asks at once, and the answer takes up to two round trips.
	leaseDelay = 200 * time.Millisecond
	// reportInterval is the time between two reports. A lease outlasts three reports that are lost.
	reportInterval = 500 * time.Millisecond
	// shortInterval is the time between two reports of a host that has refused a request, and reducedInterval that of one whose lease was
	// reduced, so that other hosts can have the rest of it.
	shortInterval   = 100 * time.Millisecond
	reducedInterval = 20 * time.Millisecond
)

// Ask is what a host reports on one tenant.
type Ask struct {
	Tenant string
	// Demand is the number of requests a second that arrive for the tenant.
	Demand float64
	// Held is the number of the lease that the host has, or 0. Earlier leases have no effect any more.
	Held uint64
	// NoFloor is set if the host can admit nothing without a lease.
	NoFloor bool
}

// Lease is a share of a tenant's rate for one host.
type Lease struct {
	Tenant string
	// Number is not 0 and increases with each lease of a tenant.
	Number      uint64
	Rate, Depth float64
	// Tokens are added to the bucket of the host.
	Tokens float64
}

// account is what a host knows of one tenant.
type account struct {
	limit                 Limit
	plan                  Plan
	floorRate, floorDepth float64
	lease                 Lease
	leaseEnd              time.Duration
	// tokens is as of updatedAt.
	tokens    float64
	updatedAt time.Duration
	// slowDemand and fastDemand are as of demandAt.
	slowDemand, fastDemand float64
	demandAt               time.Duration
	// promisedAt is when the last refused caller was told to return.
	promisedAt time.Duration
	// short is set once a request has been refused since the last report, and reduced if the last lease was smaller than the one before.
	short, reduced bool
}

// Host admits the requests of tenants at one entry host. It is not safe for concurrent use.
type Host struct {
	name      string
	tolerance Tolerance
	accounts  map[string]*account
	// started is set once SetLimits has been called with entry hosts, which the first view has.
	started bool
}

// NewHost returns a host that limits nothing until SetLimits is called.
func NewHost(name string, tolerance Tolerance) *Host {
	return &Host{name: name, tolerance: tolerance, accounts: map[string]*account{}}
}

// SetLimits sets the limits by tenant and the names of all entry hosts. Those without a rate are not limited. The first buckets are
// empty, so that a host that starts again adds nothing to what it has admitted before. That of a tenant that gets a limit later has its floor.
func (h *Host) SetLimits(now time.Duration, limits map[string]Limit, hosts []string) {
	for name := range h.accounts {
		if !(limits[name].Rate > 0) {
			delete(h.accounts, name)
		}
	}
	for name, limit := range limits {
		if !(limit.Rate > 0) {
			continue
		}
		a := h.accounts[name]
		isNew := a == nil
		if isNew {
			a = &account{updatedAt: now, demandAt: now}
			h.accounts[name] = a
		}
		a.refill(now)
		earlier := a.plan
		a.limit, a.plan = limit, NewPlan(limit, h.tolerance, len(hosts))
		a.reduceLease(earlier)
		a.floorRate, a.floorDepth = 0, 0
		if hasFloor(name, h.name, hosts, a.plan.FloorHosts) {
			a.floorRate, a.floorDepth = a.plan.FloorRate, a.plan.FloorDepth
		}
		a.lease.Rate, a.lease.Depth = min(a.lease.Rate, a.plan.LeaseRate), min(a.lease.Depth, a.plan.LeaseDepth)
		if isNew && h.started {
			a.tokens = a.depth()
		}
		a.tokens = min(a.tokens, a.depth())
	}
	h.started = h.started || len(hosts) > 0
}

// reduceLease reduces the lease in the proportion of a lowered limit. All hosts do, so that their leases fit the limit before the leader has
// granted new ones.
func (a *account) reduceLease(earlier Plan) {
	if earlier.LeaseRate > a.plan.LeaseRate {
		a.lease.Rate *= a.plan.LeaseRate / earlier.LeaseRate
		a.reduced = true
	}
	if earlier.LeaseDepth > a.plan.LeaseDepth {
		a.lease.Depth *= a.plan.LeaseDepth / earlier.LeaseDepth
		a.reduced = true
	}
}

func (a *account) rate() float64  { return a.floorRate + a.lease.Rate }
func (a *account) depth() float64 { return a.floorDepth + a.lease.Depth }

// refill adds the tokens of the time since the last call, and ends the lease when it has expired.
func (a *account) refill(now time.Duration) {
	if a.lease.Number != 0 && now >= a.leaseEnd {
		a.add(a.leaseEnd)
		a.lease = Lease{}
		a.tokens = min(a.tokens, a.depth())
	}
	a.add(now)
}

func (a *account) add(until time.Duration) {
	if until > a.updatedAt {
		a.tokens = min(a.depth(), a.tokens+a.rate()*(until-a.updatedAt).Seconds())
		a.updatedAt = until
	}
}

// decayDemand brings the measured demand up to date.
func (a *account) decayDemand(now time.Duration) {
	if now > a.demandAt {
		passed := float64(now - a.demandAt)
		a.slowDemand *= math.Exp(-passed / float64(slowDemandTime))
		a.fastDemand *= math.Exp(-passed / float64(fastDemandTime))
		a.demandAt = now
	}
}

// demand returns the requests a second that arrive for the tenant.
func (a *account) demand(now time.Duration) float64 {
	a.decayDemand(now)
	deviation := demandDeviations * math.Sqrt(a.fastDemand/(2*fastDemandTime.Seconds()))
	return min(max(a.slowDemand, a.fastDemand-deviation), a.fastDemand+deviation)
}

// Admit reports whether a request of the tenant may run, and takes it from the quota. Otherwise it returns when room is expected.
func (h *Host) Admit(now time.Duration, tenant string) (bool, time.Duration) {
	a := h.accounts[tenant]
	if a == nil {
		return true, 0
	}
	a.refill(now)
	a.decayDemand(now)
	a.slowDemand += 1 / slowDemandTime.Seconds()
	a.fastDemand += 1 / fastDemandTime.Seconds()
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	a.short = true
	return false, a.retryAfter(now)
}

// HasRoom reports whether Admit would admit a request. It does not count the request.
func (h *Host) HasRoom(now time.Duration, tenant string) bool {
	a := h.accounts[tenant]
	if a == nil {
		return true
	}
	a.refill(now)
	return a.tokens >= 1
}

// retryAfter returns when there is room for a refused request. Each gets a time of its own, because one token serves only one of them.
func (a *account) retryAfter(now time.Duration) time.Duration {
	if a.depth() < 1 || a.rate() <= 0 {
		return leaseDelay
	}
	interval := time.Duration(float64(time.Second) / max(a.rate(), 1e-3))
	room := now + time.Duration(float64(interval)*(1-a.tokens))
	// A token that is all but full is rounded to no time at all.
	a.promisedAt = min(max(room, a.promisedAt+interval, now+time.Millisecond), now+maxRetryAfter)
	return a.promisedAt - now
}

// Return gives back the quota of a request that was admitted and certainly has not run.
func (h *Host) Return(now time.Duration, tenant string) {
	if a := h.accounts[tenant]; a != nil {
		a.refill(now)
		a.tokens = min(a.depth(), a.tokens+1)
	}
}

// IsReportDue reports whether the next report is due at now, after the last one at reportedAt.
func (h *Host) IsReportDue(now, reportedAt time.Duration) bool {
	short, reduced := false, false
	for _, a := range h.accounts {
		short, reduced = short || a.short, reduced || a.reduced
	}
	since := now - reportedAt
	return since >= reportInterval || short && since >= shortInterval || reduced && since >= reducedInterval
}

// Report returns what the leader must know now, in the order of the tenants' names. It is empty if there is neither demand nor a lease.
func (h *Host) Report(now time.Duration) []Ask {
	var asks []Ask
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		a.refill(now)
		demand := a.demand(now)
		if demand >= minDemand || a.lease.Rate > 0 || a.lease.Depth > 0 || a.reduced {
			asks = append(asks, Ask{Tenant: name, Demand: demand, Held: a.lease.Number, NoFloor: a.floorDepth < 1})
		}
		a.short, a.reduced = false, false
	}
	return asks
}

// Apply puts the leases of an answer in force. askedAt is when the host sent the report. Only the answer to the last report may be applied.
func (h *Host) Apply(now, askedAt time.Duration, leases []Lease) {
	for _, lease := range leases {
		a := h.accounts[lease.Tenant]
		if a == nil || lease.Number == 0 || now >= askedAt+LeaseDuration {
			continue
		}
		a.refill(now)
		lease.Rate, lease.Depth = min(nonNegative(lease.Rate), a.plan.LeaseRate), min(nonNegative(lease.Depth), a.plan.LeaseDepth)
		a.reduced = lease.Rate < a.lease.Rate || lease.Depth < a.lease.Depth
		a.lease, a.leaseEnd = lease, askedAt+LeaseDuration
		a.tokens = min(a.depth(), a.tokens+nonNegative(lease.Tokens))
	}
}

// Share tells what a host may admit of a tenant now.
type Share struct {
	FloorRate, LeaseRate, Demand float64
}

// Shares returns the shares of this host, by tenant.
func (h *Host) Shares(now time.Duration) map[string]Share {
	shares := map[string]Share{}
	for name, a := range h.accounts {
		a.refill(now)
		shares[name] = Share{FloorRate: a.floorRate, LeaseRate: a.lease.Rate, Demand: a.demand(now)}
	}
	return shares
}
