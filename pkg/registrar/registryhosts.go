package registrar

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// reachabilityInterval is how often a registry host is asked whether it can be reached, while targets are to be sent on to it. One that has not
// answered for two intervals is named to no target.
const reachabilityInterval = 3 * time.Second

// departures finds the registry hosts that have left the group. The zero value is ready for use by a new leader.
type departures struct {
	// since is the time since which the leader knows that a host is no member, by name.
	since map[string]time.Duration
}

// next returns the name of a registry host that has been no member for learnerTimeout, or "". One that was cut off may be no member for a while. A
// host that does not respond stays, however long: it may only have much to do, and without it the others would have more.
func (d *departures) next(now time.Duration, hosts []*schemav1.RegistryHost, members []replication.MemberStatus) string {
	since, left := map[string]time.Duration{}, ""
	for _, host := range hosts {
		if slices.ContainsFunc(members, func(m replication.MemberStatus) bool { return m.Address == host.GetPeerAddress() }) {
			continue
		}
		name := host.GetName()
		known, ok := d.since[name]
		if !ok {
			known = now
		}
		since[name] = known
		if now-known > learnerTimeout {
			left = name
		}
	}
	d.since = since
	return left
}

// removeDeparted starts to remove a registry host that has left the group. Only the leader calls it.
func (r *Registrar) removeDeparted(departures *departures, status replication.Status) {
	left := departures.next(time.Since(r.started), r.state.RegistryHosts(), status.Members)
	if left == "" || !r.removingDeparted.CompareAndSwap(false, true) {
		return
	}
	r.start("remove registry host", func() {
		defer r.removingDeparted.Store(false)
		_, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{RegistryHost: &schemav1.RegistryHost{Name: left}})
		klog.InfoS("registry host has left", "name", left, "err", err)
	})
}

// reachability remembers which registry hosts answer. The zero value is ready for use.
type reachability struct {
	mu                  sync.Mutex
	askedAt, answeredAt map[string]time.Time
}

// isReachable reports whether a registry host has answered lately. From time to time it starts to ask again.
func (r *Registrar) isReachable(address string) bool {
	peers, now := &r.reachability, time.Now()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.askedAt == nil {
		peers.askedAt, peers.answeredAt = map[string]time.Time{}, map[string]time.Time{}
	}
	if now.Sub(peers.askedAt[address]) >= reachabilityInterval {
		expired := func(_ string, at time.Time) bool { return now.Sub(at) >= 2*reachabilityInterval }
		maps.DeleteFunc(peers.askedAt, expired)
		maps.DeleteFunc(peers.answeredAt, expired)
		peers.askedAt[address] = now
		r.start("ask registry host", func() {
			if err := r.call(address, methodWatching, &schemav1.EntryHostNames{}, &schemav1.EntryHostNames{}); err != nil {
				klog.InfoS("registry host not reachable, named to no target", "address", address, "err", err)
				return
			}
			peers.mu.Lock()
			defer peers.mu.Unlock()
			peers.answeredAt[address] = time.Now()
		})
	}
	answeredAt, answered := peers.answeredAt[address]
	return answered && now.Sub(answeredAt) < 2*reachabilityInterval
}
