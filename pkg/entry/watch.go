package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/registrar"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// watchTimeout covers the time for which a registry host waits for a change, and a round trip with a retransmission.
	watchTimeout = 900 * time.Millisecond
	// watchRetryDelay is the pause after a failed call before another registry host is tried.
	watchRetryDelay = 20 * time.Millisecond
	// maxLeaderlessUpdates is the number of consecutive updates without a known leader after which another registry host is
	// used.
	maxLeaderlessUpdates = 2
	// lookupRetryDelay is the pause before the registry hosts are looked up again at another seed.
	lookupRetryDelay = 100 * time.Millisecond
	// maxLookups is the number of lookups after which the first view is asked for at a seed, whatever its distance.
	maxLookups = 10
	// nearestRetryInterval is how long a more distant registry host is used before the nearest one is tried again.
	nearestRetryInterval = 3 * time.Second
)

// lookUpRegistryHosts asks the seeds for the registry hosts, so that the first view, which is large, is asked for at the nearest one. Hosts
// begin at different seeds.
func (h *Host) lookUpRegistryHosts(ctx context.Context) {
	first := int(dispatch.TargetHash(h.options.Name) >> 1)
	for i := range maxLookups {
		seeds := *h.seeds.Load()
		if len(seeds) == 0 || ctx.Err() != nil {
			return
		}
		address := seeds[(first+i)%len(seeds)]
		update, err := h.callRegistry(ctx, address, &schemav1.ViewHello{Entry: h.self, HostsOnly: true})
		if hosts := update.GetRegistryHosts(); err == nil && len(hosts) > 0 {
			h.knownRegistryHosts = hosts
			return
		}
		klog.V(1).InfoS("registry hosts not found", "address", address, "err", err)
		monotonic.Sleep(ctx, lookupRetryDelay)
	}
}

// followRegistry keeps the view up to date until ctx ends.
func (h *Host) followRegistry(ctx context.Context) {
	h.lookUpRegistryHosts(ctx)
	index, leaderlessUpdates := 0, 0
	switchedAt := h.now()
	for ctx.Err() == nil {
		registryAddresses := h.registryAddresses()
		if index > 0 && h.now()-switchedAt > nearestRetryInterval {
			index = 0
		}
		address := registryAddresses[index%len(registryAddresses)]
		update, err := h.watch(ctx, address)
		if err == nil {
			h.registryAddress.Store(&address)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			klog.InfoS("registry host not answering", "address", address, "viewVersion", h.current().version, "err", err)
			index, leaderlessUpdates, switchedAt = index+1, 0, h.now()
			monotonic.Sleep(ctx, watchRetryDelay)
		case !update.GetLeaderKnown():
			// Without a leader the update may be outdated. It replaces the view in force only if it is newer, and it cannot be the
			// first view.
			if h.current().version > 0 {
				h.applyUpdate(update, false)
			}
			if leaderlessUpdates++; leaderlessUpdates >= maxLeaderlessUpdates {
				klog.InfoS("registry host has no leader", "address", address, "viewVersion", h.current().version)
				index, leaderlessUpdates, switchedAt = index+1, 0, h.now()
				monotonic.Sleep(ctx, watchRetryDelay)
			}
		default:
			leaderlessUpdates = 0
			h.applyUpdate(update, true)
		}
	}
}

// watch asks a registry host for the changes since the view in force, and reports the key loads of this host.
func (h *Host) watch(ctx context.Context, address string) (*schemav1.ViewUpdate, error) {
	return h.callRegistry(ctx, address, &schemav1.ViewHello{Version: h.current().version, Entry: h.self, KeyLoads: h.keyLoads.takeCounts()})
}

// callRegistry makes a watch call to a registry host.
func (h *Host) callRegistry(ctx context.Context, address string, request *schemav1.ViewHello) (*schemav1.ViewUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	update := &schemav1.ViewUpdate{}
	return update, h.registryClient.Call(ctx, address, registrar.MethodWatch, request, update)
}

// registryAddresses returns the peer addresses of the registry hosts in the view, or before the first one those that were looked up, the
// nearest first, followed by further seeds.
func (h *Host) registryAddresses() []string {
	registryHosts := slices.Clone(h.current().registryHosts)
	if len(registryHosts) == 0 {
		registryHosts = slices.Clone(h.knownRegistryHosts)
	}
	// Among hosts at the same distance, entry hosts use different ones, so that they share the load.
	preference := func(host *schemav1.RegistryHost) uint32 {
		return dispatch.TargetHash(h.options.Name + " " + host.GetName())
	}
	slices.SortStableFunc(registryHosts, func(a, b *schemav1.RegistryHost) int {
		return cmp.Or(cmp.Compare(h.distance(a.GetDataCentre()), h.distance(b.GetDataCentre())), cmp.Compare(preference(a), preference(b)))
	})
	var addresses []string
	for _, host := range registryHosts {
		addresses = append(addresses, host.GetPeerAddress())
	}
	for _, seed := range *h.seeds.Load() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// distance is 0 for the data centre of this host, 1 for others in its region and 2 for other regions.
func (h *Host) distance(dataCentre string) int {
	switch {
	case dataCentre == h.options.DataCentre:
		return 0
	case h.options.Regions[dataCentre] == h.options.Region:
		return 1
	default:
		return 2
	}
}

// applyUpdate replaces the view by the one after the update, and informs the dispatcher. leaderKnown is set when the update
// confirms that the view is current.
func (h *Host) applyUpdate(update *schemav1.ViewUpdate, leaderKnown bool) {
	old := h.current()
	if update.GetVersion() == old.version {
		if leaderKnown {
			h.confirmedAt.Store(int64(h.now()))
		}
		return
	}
	updated := old.updated(update, h.options.DecodeConfiguration)
	if updated == nil {
		klog.InfoS("outdated view update ignored", "version", update.GetVersion(), "inForce", old.version)
		return
	}
	h.view.Store(updated)
	if leaderKnown {
		h.confirmedAt.Store(int64(h.now()))
	}
	now := h.now()
	h.dispatcher.SetColdRates(updated.coldRates())
	h.dispatcher.SetEvacuated(updated.evacuated)
	if update.GetFull() || len(update.GetTargets()) > 0 {
		h.dispatcher.SetTargets(now, updated.dispatchTargets(h.options.Regions))
	}
	if update.GetHostsChanged() {
		hostsInDataCentre, hostIndex := 0, 0
		for _, entry := range updated.entryHosts {
			if entry.GetDataCentre() != h.options.DataCentre {
				continue
			}
			if entry.GetName() == h.options.Name {
				hostIndex = hostsInDataCentre
			}
			hostsInDataCentre++
		}
		h.dispatcher.SetEntryHosts(len(updated.entryHosts), hostsInDataCentre, hostIndex)
		h.setPeers(updated.entryHosts)
	}
	h.viewChanged.broadcast()
	h.dispatcher.DispatchWaiting(now)
	if old.table == nil && updated.table != nil {
		klog.InfoS("first configuration in force", "revision", updated.table.Configuration.Revision)
	}
	klog.V(1).InfoS("view in force", "version", updated.version, "full", update.GetFull(), "targets", len(update.GetTargets()),
		"bytes", proto.Size(update))
}
