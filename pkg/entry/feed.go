package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/registrar"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// watchTimeout is the time that a registry host waits for a change plus a round trip with a retransmission.
	watchTimeout = 900 * time.Millisecond
	// watchPause is the pause after a failed call, while another host is tried.
	watchPause = 20 * time.Millisecond
	// staleTurns is the number of calls in a row after which a registry host without a leader is left for another.
	staleTurns = 2
	// homeReturn is how long another registry host is used before the nearest is tried again.
	homeReturn = 3 * time.Second
)

// follow keeps the view up to date until ctx ends.
func (h *Host) follow(ctx context.Context) {
	at, stale := 0, 0
	movedAt := h.now()
	for ctx.Err() == nil {
		sources := h.sources()
		if at > 0 && h.now()-movedAt > homeReturn {
			at = 0
		}
		source := sources[at%len(sources)]
		update, err := h.watch(ctx, source)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			klog.InfoS("registry host not answering", "address", source, "viewVersion", h.current().version, "err", err)
			at, stale, movedAt = at+1, 0, h.now()
			pause(ctx, watchPause)
		case !update.GetLeaderKnown():
			// The view may be old, but not older than the one in force; a first view must be certain.
			if h.current().version > 0 {
				h.accept(update, false)
			}
			if stale++; stale >= staleTurns {
				klog.InfoS("registry host has no leader", "address", source, "viewVersion", h.current().version)
				at, stale, movedAt = at+1, 0, h.now()
				pause(ctx, watchPause)
			}
		default:
			stale = 0
			h.accept(update, true)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (h *Host) watch(ctx context.Context, address string) (*schemav1.ViewUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	update := &schemav1.ViewUpdate{}
	request := &schemav1.ViewHello{Version: h.current().version, Entry: h.entry, KeyLoads: h.keyLoads.take()}
	return update, h.client.Call(ctx, address, registrar.MethodWatch, request, update)
}

// sources returns the peer addresses of registry hosts, the nearest first.
func (h *Host) sources() []string {
	hosts := slices.Clone(h.current().hosts)
	slices.SortStableFunc(hosts, func(a, b *schemav1.RegistryHost) int {
		return cmp.Compare(h.distance(a.GetDataCentre()), h.distance(b.GetDataCentre()))
	})
	var addresses []string
	for _, host := range hosts {
		addresses = append(addresses, host.GetPeerAddress())
	}
	for _, seed := range *h.seeds.Load() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

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

// accept puts an update in force.
func (h *Host) accept(update *schemav1.ViewUpdate, certain bool) {
	old := h.current()
	if update.GetVersion() == old.version {
		if certain {
			h.confirmedAt.Store(int64(h.now()))
		}
		return
	}
	next := old.next(update, h.options.DecodeConfiguration)
	if next == nil {
		klog.InfoS("older view ignored", "version", update.GetVersion(), "inForce", old.version)
		return
	}
	h.view.Store(next)
	if certain {
		h.confirmedAt.Store(int64(h.now()))
	}
	now := h.now()
	h.core.SetColdRates(next.coldRates())
	h.core.SetEvacuated(next.evacuated)
	if update.GetFull() || len(update.GetTargets()) > 0 {
		h.core.SetTargets(now, next.dispatchTargets(h.options.Regions))
	}
	if update.GetHostsChanged() {
		here, rank := 0, 0
		for _, entry := range next.entries {
			if entry.GetDataCentre() != h.options.DataCentre {
				continue
			}
			if entry.GetName() == h.options.Name {
				rank = here
			}
			here++
		}
		h.core.SetEntryHosts(len(next.entries), here, rank)
		h.setPeers(next.entries)
	}
	h.changed.broadcast()
	h.core.DispatchWaiting(now)
	if old.table == nil && next.table != nil {
		klog.InfoS("first configuration in force", "revision", next.table.Configuration.Revision)
	}
	klog.V(1).InfoS("view in force", "version", next.version, "full", update.GetFull(), "targets", len(update.GetTargets()),
		"bytes", proto.Size(update))
}
