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

// ownerRetryAfter is the hint to callers when a key has no reachable owner; a loss is repaired within a second.
const ownerRetryAfter = time.Second

// place is where a request goes next.
type place struct {
	dataCentre string
	// target and fence are set in the owner's data centre; fence is nil for shared services.
	target string
	fence  *schemav1.Fence
	// local is set when the target is attached to this host.
	local bool
	// addresses are the hosts to forward to, in order.
	addresses []string
	host      string
}

func noOwner(code apierr.Code, message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: code, Ran: apierr.NotRun, Message: message, RetryAfter: ownerRetryAfter})
}

// locate finds the next place of the request from what this host knows now.
func (x *exchange) locate() (place, error) {
	if x.shared() {
		return x.locateShared()
	}
	directory := x.options.Directory
	dataCentre, _, ok := directory.Delegation(x.resolution.Keyspace, x.shard)
	if !ok {
		return place{}, noOwner(apierr.NoOwner, "the shard is delegated to no data centre")
	}
	if dataCentre != directory.Self().DataCentre {
		if x.forwarded && x.r.Header.Get(headerFrom) == dataCentre {
			// One of the two data centres has an older view. The sender looks again; sending the request back would make
			// it go round until it is refused as a loop.
			x.noWait = true
			return place{}, noOwner(apierr.Moving, "the data centres do not yet agree on the owner of the shard")
		}
		return x.locateElsewhere(dataCentre)
	}
	assignment, ok := directory.Assignment(x.resolution.Keyspace, x.shard, x.hash)
	switch {
	case !ok || assignment.Target == "":
		return place{}, noOwner(apierr.NoOwner, "no target owns the shard")
	case assignment.Moving:
		return place{}, noOwner(apierr.Moving, "the shard is being moved")
	}
	return x.locateHost(place{dataCentre: dataCentre, target: assignment.Target, fence: assignment.Fence, host: assignment.Host})
}

// locateHost completes a place in this data centre.
func (x *exchange) locateHost(p place) (place, error) {
	directory := x.options.Directory
	if p.host == "" {
		return p, noOwner(apierr.OwnerUnreachable, "the target is attached to no host")
	}
	if p.host == directory.Self().Host {
		p.local = true
		return p, nil
	}
	address, ok := directory.HostAddress(p.host)
	if !ok {
		return p, noOwner(apierr.OwnerUnreachable, "the target's host is not known")
	}
	p.addresses = []string{address}
	return p, nil
}

// locateElsewhere chooses hosts of another data centre. A data centre outside the home regions never gets the request,
// whatever the delegation says (I5).
func (x *exchange) locateElsewhere(dataCentre string) (place, error) {
	home := x.resolution.HomeRegions
	region := x.options.Directory.Config().RegionOf(dataCentre)
	if len(home) > 0 && !slices.Contains(home, region) {
		return place{}, noOwner(apierr.NoOwner, "the shard is delegated outside its home regions")
	}
	addresses := slices.Clone(x.options.Directory.HostAddressesIn(dataCentre))
	if len(addresses) == 0 {
		return place{}, noOwner(apierr.OwnerUnreachable, "no host of data centre "+dataCentre+" is known")
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	x.peers.order(addresses)
	return place{dataCentre: dataCentre, addresses: addresses}, nil
}

// locateShared chooses a ready target, or finds the one that the first host chose.
func (x *exchange) locateShared() (place, error) {
	directory := x.options.Directory
	self := directory.Self().DataCentre
	if x.chosen != "" {
		record, ok := directory.Target(x.chosen)
		if !ok || !ready(record) {
			return place{}, noOwner(apierr.OwnerUnreachable, "the chosen target is not ready")
		}
		return x.locateHost(place{dataCentre: self, target: x.chosen, host: record.GetAttachedHost()})
	}
	var candidates []*schemav1.TargetRecord
	for _, record := range directory.Targets(x.service) {
		if ready(record) {
			candidates = append(candidates, record)
		}
	}
	if len(candidates) == 0 {
		return place{}, noOwner(apierr.NoOwner, "no target of the service is ready")
	}
	record := x.options.ChooseTarget(x.service, candidates)
	return x.locateHost(place{
		dataCentre: self, target: record.GetAnnouncement().GetTarget(), host: record.GetAttachedHost(),
	})
}

// ready reports whether a target of a shared service may get new work (I9).
func ready(record *schemav1.TargetRecord) bool {
	return !record.GetLost() && !record.GetAnnouncement().GetDraining() && record.GetAttachedHost() != ""
}

// decide logs one routing decision; reason is why this place was chosen, or the code of the refusal.
func (x *exchange) decide(p place, reason string) {
	if x.options.Log == nil {
		return
	}
	service := x.service
	if x.resolution.Service == nil {
		// Until it is resolved, the name is whatever a caller wrote.
		service = ""
	}
	entry := decisionlog.RoutingDecision{
		RequestID: x.id, Service: service, Keyspace: x.resolution.Keyspace, Shard: x.shard, KeyHash: x.hash,
		Hop: "ingress", NextHost: p.host, NextDataCentre: p.dataCentre, Target: p.target, Attempt: x.sends + 1, Reason: reason,
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
