package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LeaseDuration is how long a lease is valid. The host counts it from when it has asked, the leader from when it has granted it.
const LeaseDuration = 2 * time.Second

const (
	// floorShare is the share of a rate that is divided evenly among the hosts and needs no lease.
	floorShare = 0.2
	// maxFloorDepthShare is the largest share of the depth of all buckets that floors may have. A host needs a depth of 1 to admit any
	// request, so that the floors of many hosts would leave nothing to the leases of a small tenant.
	maxFloorDepthShare = 0.6
	// usedSlack is the share of the tolerated requests beside rate and burst that the depths use. The rest covers requests that run some
	// time after they were admitted.
	usedSlack = 0.5
)

// Limit is the rate in requests a second, and the burst, of a tenant on all hosts together. A rate of 0 means no limit.
type Limit struct{ Rate, Burst float64 }

// Tolerance is how far the requests of a tenant in one window may exceed rate x window + burst: by the share Overshoot, and by Slack requests.
type Tolerance struct{ Overshoot, Slack float64 }

// bounded returns the tolerance without values that have no meaning.
func (t Tolerance) bounded() Tolerance {
	return Tolerance{Overshoot: min(nonNegative(t.Overshoot), 1), Slack: min(nonNegative(t.Slack), maxValue)}
}

// maxValue bounds all rates and depths, so that sums of them are exact enough.
const maxValue = 1e9

// nonNegative returns the number, or 0 if it is negative or not a number.
func nonNegative(number float64) float64 {
	if !(number > 0) {
		return 0
	}
	return number
}

// Plan divides a limit into the floors of hosts and what all leases together may have. Depth is the largest number of tokens in a bucket. All
// rates add up to at most rate x (1 + Overshoot), and all depths to at most burst x (1 + Overshoot) + Slack, so that the requests of any
// window stay within the tolerance.
type Plan struct {
	// FloorHosts is the number of hosts that have a floor.
	FloorHosts            int
	FloorRate, FloorDepth float64
	LeaseRate, LeaseDepth float64
}

// NewPlan divides a limit among a number of hosts.
func NewPlan(limit Limit, tolerance Tolerance, hosts int) Plan {
	tolerance = tolerance.bounded()
	rate, burst := min(nonNegative(limit.Rate), maxValue), min(nonNegative(limit.Burst), maxValue)
	depth := burst + usedSlack*(tolerance.Overshoot*burst+tolerance.Slack)
	p := Plan{LeaseRate: rate * (1 + tolerance.Overshoot), LeaseDepth: depth}
	if hosts <= 0 {
		return p
	}
	p.FloorDepth = max(1, floorShare*burst/float64(hosts))
	p.FloorHosts = int(min(float64(hosts), math.Floor(maxFloorDepthShare*depth/p.FloorDepth)))
	p.FloorRate = floorShare * rate / float64(hosts)
	p.LeaseRate -= p.FloorRate * float64(p.FloorHosts)
	p.LeaseDepth -= p.FloorDepth * float64(p.FloorHosts)
	return p
}

// hasFloor reports whether a host has a floor of a tenant, by its position in an order of the hosts that differs between tenants.
func hasFloor(tenant, host string, hosts []string, count int) bool {
	if !slices.Contains(hosts, host) {
		return false
	}
	if count >= len(hosts) {
		return true
	}
	order := func(name string) uint64 { return xxhash.Sum64String(tenant + "\n" + name) }
	before := 0
	for _, other := range hosts {
		if cmp.Or(cmp.Compare(order(other), order(host)), cmp.Compare(other, host)) < 0 {
			before++
		}
	}
	return before < count
}
