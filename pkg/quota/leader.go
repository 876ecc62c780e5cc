package quota

import "time"

const (
	// clockMargin covers clocks of hosts that run at slightly different speeds.
	clockMargin = 50 * time.Millisecond
	// leaseReserve is how long the leader counts a lease.
	leaseReserve = LeaseDuration + clockMargin
)

// Leader grants leases. It has no memory of the leases of its predecessor, so it grants none until those have expired. It is not safe for
// concurrent use.
type Leader struct {
	tolerance  Tolerance
	grantsFrom time.Duration
	// lastNumber is the number of the last lease. The term is its upper half, so that numbers increase over changes of the leader.
	lastNumber uint64
	pools      map[string]*pool
}

// NewLeader returns the leader of a term that begins now.
func NewLeader(now time.Duration, term uint64, tolerance Tolerance) *Leader {
	return &Leader{tolerance: tolerance, grantsFrom: now + leaseReserve, lastNumber: term << 32, pools: map[string]*pool{}}
}

// pool has the leases of one tenant.
type pool struct {
	members map[string]*member
	// tokens belong to the part of rate and depth that is not leased, as of updatedAt.
	tokens    float64
	updatedAt time.Duration
}

// member is a host that has reported demand of a tenant.
type member struct {
	demand     float64
	reportedAt time.Duration
	grants     []grant
}

// grant is a lease that a host may have.
type grant struct {
	number      uint64
	rate, depth float64
	end         time.Duration
}

// reserved returns the largest rate and depth that the host may have.
func (m *member) reserved() (rate, depth float64) {
	for _, g := range m.grants {
		rate, depth = max(rate, g.rate), max(depth, g.depth)
	}
	return rate, depth
}

// reserved returns the sums over all hosts but one.
func (p *pool) reserved(except string) (rate, depth float64) {
	for name, m := range p.members {
		if name != except {
			r, d := m.reserved()
			rate, depth = rate+r, depth+d
		}
	}
	return rate, depth
}

// expire removes leases that have expired, and hosts that have none and do not report any more. The tokens of the part that is not leased
// grow with the reservations before that.
func (p *pool) expire(now time.Duration, plan Plan) {
	p.addTokens(now, plan)
	for name, m := range p.members {
		kept := m.grants[:0]
		for _, g := range m.grants {
			if now < g.end {
				kept = append(kept, g)
			}
		}
		m.grants = kept
		if len(kept) == 0 && now-m.reportedAt >= LeaseDuration {
			delete(p.members, name)
		}
	}
}

func (p *pool) addTokens(now time.Duration, plan Plan) {
	rate, depth := p.reserved("")
	if now > p.updatedAt {
		p.tokens += nonNegative(plan.LeaseRate-rate) * (now - p.updatedAt).Seconds()
		p.updatedAt = now
	}
	p.tokens = min(p.tokens, nonNegative(plan.LeaseDepth-depth))
}

// demand returns the sum of the demands of all hosts.
func (p *pool) demand() float64 {
	total := 0.0
	for _, m := range p.members {
		total += m.demand
	}
	return total
}

// Grant returns the leases for a report of a host. limits has the limits of all tenants, and hosts is the number of entry hosts.
func (l *Leader) Grant(now time.Duration, host string, asks []Ask, limits map[string]Limit, hosts int) []Lease {
	for name := range l.pools {
		if !(limits[name].Rate > 0) {
			delete(l.pools, name)
		}
	}
	var leases []Lease
	for _, ask := range asks {
		if limit := limits[ask.Tenant]; limit.Rate > 0 {
			if lease, ok := l.grant(now, host, ask, NewPlan(limit, l.tolerance, hosts)); ok {
				leases = append(leases, lease)
			}
		}
	}
	return leases
}

func (l *Leader) grant(now time.Duration, host string, ask Ask, plan Plan) (Lease, bool) {
	p := l.pools[ask.Tenant]
	if p == nil {
		// Until grants are made, hosts may still have leases of the predecessor, whose buckets fill in place of this one.
		p = &pool{members: map[string]*member{}, updatedAt: max(now, l.grantsFrom)}
		l.pools[ask.Tenant] = p
	}
	p.expire(now, plan)
	m := p.members[host]
	if m == nil {
		m = &member{}
		p.members[host] = m
	}
	m.demand, m.reportedAt = min(nonNegative(ask.Demand), maxValue), now
	m.endBefore(ask.Held)
	if now < l.grantsFrom {
		return Lease{}, false
	}
	rate, depth := 0.0, 0.0
	if m.demand >= minDemand {
		share := m.demand / p.demand()
		rate, depth = plan.LeaseRate*share, plan.LeaseDepth*share
		if ask.NoFloor {
			depth = max(depth, min(1, plan.LeaseDepth))
		}
	}
	othersRate, othersDepth := p.reserved(host)
	rate, depth = min(rate, nonNegative(plan.LeaseRate-othersRate)), min(depth, nonNegative(plan.LeaseDepth-othersDepth))
	rateBefore, depthBefore := m.reserved()
	if max(rate, depth, rateBefore, depthBefore) == 0 {
		return Lease{}, false
	}
	l.lastNumber++
	lease := Lease{Tenant: ask.Tenant, Number: l.lastNumber, Rate: rate, Depth: depth, Tokens: min(p.tokens, nonNegative(depth-depthBefore))}
	m.grants = append(m.grants, grant{lease.Number, rate, depth, now + leaseReserve})
	p.tokens -= lease.Tokens
	p.addTokens(now, plan)
	return lease, true
}

// endBefore removes the leases that the host does not have any more because it has a later one.
func (m *member) endBefore(held uint64) {
	kept := m.grants[:0]
	for _, g := range m.grants {
		if g.number >= held {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}
