package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/decisionlog"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// ownerRetryAfter is the Retry-After for a key without a reachable owner; the loss of an owner is repaired within a second.
const ownerRetryAfter = time.Second

// nextHop is where a request goes next: a target attached to this host, or other hosts.
type nextHop struct {
	dataCentre string
	// target and fence are set in the owner's data centre; fence is nil for shared services.
	target string
	fence  *schemav1.Fence
	// local is set when the target is attached to this host.
	local bool
	// addresses are the data addresses of the hosts to forward to, in the order in which they are tried.
	addresses []string
	// host is the host that the target is attached to; empty when the next hop is another data centre.
	host string
}

// ownerRefusal returns a refusal with ran = not-run for a key whose owner cannot get the request now.
func ownerRefusal(code apierr.Code, message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: code, Ran: apierr.NotRun, Message: message, RetryAfter: ownerRetryAfter})
}

// locate finds the next hop of the request from the delegations and assignments that this host knows now.
func (x *exchange) locate() (nextHop, error) {
	if x.shared() {
		return x.locateShared()
	}
	directory := x.options.Directory
	dataCentre, _, ok := directory.Delegation(x.resolution.Keyspace, x.shard)
	if !ok {
		return nextHop{}, ownerRefusal(apierr.NoOwner, "the shard is delegated to no data centre")
	}
	if dataCentre != directory.Self().DataCentre {
		if x.forwarded && x.r.Header.Get(headerFrom) == dataCentre {
			// One of the two data centres has an older view. The sender looks up the owner again; sending the request back
			// would make it go back and forth until it is refused as a loop.
			x.skipOwnerWait = true
			return nextHop{}, ownerRefusal(apierr.Moving, "the data centres do not yet agree on the owner of the shard")
		}
		return x.locateRemote(dataCentre)
	}
	assignment, ok := directory.Assignment(x.resolution.Keyspace, x.shard, x.hash)
	switch {
	case !ok || assignment.Target == "":
		return nextHop{}, ownerRefusal(apierr.NoOwner, "no target owns the shard")
	case assignment.Moving:
		return nextHop{}, ownerRefusal(apierr.Moving, "the shard is being moved")
	}
	return x.locateAttachedHost(nextHop{dataCentre: dataCentre, target: assignment.Target, fence: assignment.Fence, host: assignment.Host})
}

// locateAttachedHost fills in local or addresses of p from the host that its target is attached to.
func (x *exchange) locateAttachedHost(p nextHop) (nextHop, error) {
	directory := x.options.Directory
	if p.host == "" {
		return p, ownerRefusal(apierr.OwnerUnreachable, "the target is attached to no host")
	}
	if p.host == directory.Self().Host {
		p.local = true
		return p, nil
	}
	address, ok := directory.HostAddress(p.host)
	if !ok {
		return p, ownerRefusal(apierr.OwnerUnreachable, "the target's host is not known")
	}
	p.addresses = []string{address}
	return p, nil
}

// locateRemote chooses hosts of another data centre, in random order. A data centre outside the home regions never gets
// the request, even if the shard is delegated to it (I5).
func (x *exchange) locateRemote(dataCentre string) (nextHop, error) {
	home := x.resolution.HomeRegions
	region := x.options.Directory.Config().RegionOf(dataCentre)
	if len(home) > 0 && !slices.Contains(home, region) {
		return nextHop{}, ownerRefusal(apierr.NoOwner, "the shard is delegated outside its home regions")
	}
	addresses := slices.Clone(x.options.Directory.HostAddressesIn(dataCentre))
	if len(addresses) == 0 {
		return nextHop{}, ownerRefusal(apierr.OwnerUnreachable, "no host of data centre "+dataCentre+" is known")
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	x.peers.moveUnresponsiveLast(addresses)
	return nextHop{dataCentre: dataCentre, addresses: addresses}, nil
}

// locateShared chooses a ready target of a shared service, or uses the target that the forwarding host chose.
func (x *exchange) locateShared() (nextHop, error) {
	directory := x.options.Directory
	self := directory.Self().DataCentre
	if x.chosenTarget != "" {
		record, ok := directory.Target(x.chosenTarget)
		if !ok || !isReady(record) {
			return nextHop{}, ownerRefusal(apierr.OwnerUnreachable, "the chosen target is not ready")
		}
		return x.locateAttachedHost(nextHop{dataCentre: self, target: x.chosenTarget, host: record.GetAttachedHost()})
	}
	var candidates []*schemav1.TargetRecord
	for _, record := range directory.Targets(x.service) {
		if isReady(record) {
			candidates = append(candidates, record)
		}
	}
	if len(candidates) == 0 {
		return nextHop{}, ownerRefusal(apierr.NoOwner, "no target of the service is ready")
	}
	record := x.options.ChooseTarget(x.service, candidates)
	return x.locateAttachedHost(nextHop{
		dataCentre: self, target: record.GetAnnouncement().GetTarget(), host: record.GetAttachedHost(),
	})
}

// isReady reports whether a target of a shared service may get new work (I9).
func isReady(record *schemav1.TargetRecord) bool {
	return !record.GetLost() && !record.GetAnnouncement().GetDraining() && record.GetAttachedHost() != ""
}

// logDecision logs one routing decision. reason is why p was chosen, or the code of the refusal.
func (x *exchange) logDecision(p nextHop, reason string) {
	if x.options.Log == nil {
		return
	}
	service := x.service
	if x.resolution.Service == nil {
		// An unresolved service name is arbitrary input of a caller.
		service = ""
	}
	entry := decisionlog.RoutingDecision{
		RequestID: x.id, Service: service, Keyspace: x.resolution.Keyspace, Shard: x.shard, KeyHash: x.hash,
		Hop: "ingress", NextHost: p.host, NextDataCentre: p.dataCentre, Target: p.target, Attempt: x.sendCount + 1, Reason: reason,
	}
	switch {
	case p.local:
		entry.Hop = "attached"
	case x.forwarded:
		entry.Hop = "relay"
	}
	if p.fence != nil {
		entry.Fence = target.FormatFence(p.fence)
	}
	x.options.Log.LogRouting(&entry)
}
