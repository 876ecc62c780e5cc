package host

import (
	"sync"

	"almondrock.example/almondrock/pkg/link"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/proxy"
	"almondrock.example/almondrock/pkg/retry"
)

// proxyOptions returns the options of the data path of this host.
func (h *Host) proxyOptions() proxy.Options {
	store := recordStore{host: h, attempts: &sync.Map{}}
	return proxy.Options{
		Directory:   directory{h},
		PeerPool:    proxy.NewPeerPool(h.clientTLS(), h.options.Faults.dial()),
		Targets:     h.manager,
		RecordStore: store,
		// Both handlers share one tracker, because a retry may arrive from a caller or through another host (I8).
		RecordTracker:    proxy.NewRecordTracker(store),
		Retries:          retries{retry.NewBudget(h.clock)},
		LinkPacer:        linkAdapter{h.link},
		OwnershipChanged: h.ownershipChanged,
		Log:              h.decisions,
		Scope:            h.metrics.Scope,
		Clock:            h.clock,
	}
}

// ownershipChanged returns a channel that is closed at the next change of the ownership table, or nil outside a group.
func (h *Host) ownershipChanged() <-chan struct{} {
	if g := h.group.Load(); g != nil {
		return g.table.Changed()
	}
	return nil
}

// defaultLinkMbit is the capacity of the link between regions, in Mbit/s, until the configuration is known.
const defaultLinkMbit = 30

// newLink returns the pacer for this host's share of the link between regions.
func (h *Host) newLink() *link.Link {
	return link.New(link.Options{MbitPerSecond: defaultLinkMbit, OnBytes: func(direction link.Direction, class link.Class, bytes int) {
		h.metrics.Scope.Tagged(map[string]string{
			metrics.TagDirection: direction.String(), metrics.TagClass: class.String(),
		}).Counter(metrics.LinkBytes).Inc(int64(bytes))
	}})
}

// updateLinkShare divides the link among the hosts of the region.
func (h *Host) updateLinkShare(view *compiledView) {
	hosts := 0
	for _, host := range view.view.GetHosts() {
		if host.GetRegion() == h.settings.GetRegion() {
			hosts++
		}
	}
	h.link.SetHosts(max(1, hosts))
}
