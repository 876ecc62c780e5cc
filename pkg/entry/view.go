package entry

import (
	"maps"
	"slices"
	"sort"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// view is the state of the registry as known to an entry host. It is immutable; each update creates a new one.
type view struct {
	version       uint64
	table         *routes.Table
	targets       map[string]*schemav1.Registration
	evacuated     []string
	keyTables     map[string]*schemav1.KeyTable
	entryHosts    []*schemav1.EntryHost
	registryHosts []*schemav1.RegistryHost
	// suspects has the suspects by fingerprint.
	suspects map[string]*schemav1.Suspect
}

// updated returns a copy of the view with the update applied, or nil if the update is older than the view.
func (v *view) updated(update *schemav1.ViewUpdate, decode func(*schemav1.RouteDocument) (*routes.Configuration, error)) *view {
	if update.GetVersion() < v.version {
		return nil
	}
	base, err := registry.Base(update)
	if err != nil {
		klog.ErrorS(err, "view update cannot be decoded", "version", update.GetVersion())
		return nil
	}
	full := update.GetFull()
	if base != nil {
		// The base may be older than this view; together with the changes after it, the update is not.
		v, full = (&view{table: v.table, registryHosts: v.registryHosts}).updated(base, decode), false
		if v == nil {
			return nil
		}
	}
	n := *v
	n.version = update.GetVersion()
	if update.GetRoutes() != nil && (v.table == nil || update.GetRoutes().GetRevision() > v.table.Configuration.Revision) {
		configuration, err := decode(update.GetRoutes())
		if err != nil {
			klog.ErrorS(err, "accepted configuration cannot be decoded", "revision", update.GetRoutes().GetRevision())
		} else {
			n.table = routes.Compile(configuration)
		}
	}
	if full {
		n.targets = map[string]*schemav1.Registration{}
	} else if len(update.GetTargets()) > 0 {
		n.targets = cloneMap(v.targets)
	}
	for _, target := range update.GetTargets() {
		usable := target.GetLife() != schemav1.Life_LIFE_GONE
		if err := registry.CheckRegistration(target); usable && err != nil {
			// Logs and snapshots of earlier versions may hold registrations that are not accepted any more.
			klog.InfoS("registration ignored", "viewVersion", update.GetVersion(), "err", err)
			usable = false
		}
		if !usable {
			delete(n.targets, target.GetId())
			continue
		}
		n.targets[target.GetId()] = target
	}
	if update.GetEvacuatedChanged() {
		n.evacuated = update.GetEvacuated()
	}
	if len(update.GetKeys()) > 0 {
		n.keyTables = cloneMap(v.keyTables)
		for _, table := range update.GetKeys() {
			known := n.keyTables[table.GetService()].GetRanges()
			if full {
				known = nil
			}
			n.keyTables[table.GetService()] = &schemav1.KeyTable{Service: table.GetService(), Ranges: registry.MergeRanges(known, table.GetRanges())}
		}
	}
	if full {
		n.entryHosts = nil
	}
	n.entryHosts = registry.MergeEntryHosts(n.entryHosts, update.GetEntries())
	if len(update.GetRegistryHosts()) > 0 {
		n.registryHosts = update.GetRegistryHosts()
	}
	n.suspects = registry.MergeSuspects(v.suspects, update)
	return &n
}

// cloneMap is like maps.Clone but returns an empty map for nil.
func cloneMap[V any](m map[string]V) map[string]V {
	cloned := make(map[string]V, len(m))
	maps.Copy(cloned, m)
	return cloned
}

// owner returns the range that contains the key, with its owner. It returns false when the service has no such range.
func (v *view) owner(service string, key uint32) (*schemav1.KeyRange, bool) {
	ranges := v.keyTables[service].GetRanges()
	index := sort.Search(len(ranges), func(i int) bool { return ranges[i].GetLast() >= key })
	if index == len(ranges) || ranges[index].GetFirst() > key {
		return nil, false
	}
	return ranges[index], true
}

// coldRates returns the request rate that cold targets tolerate, by service.
func (v *view) coldRates() map[string]float64 {
	rates := map[string]float64{}
	if v.table != nil {
		for name, service := range v.table.Configuration.Services {
			rates[name] = service.ColdRate
		}
	}
	return rates
}

// dispatchTargets converts the targets of the view to those of the dispatcher. regions maps data centres to regions.
func (v *view) dispatchTargets(regions map[string]string) []dispatch.Target {
	targets := make([]dispatch.Target, 0, len(v.targets))
	for _, id := range slices.Sorted(maps.Keys(v.targets)) {
		t := v.targets[id]
		targets = append(targets, dispatch.Target{
			ID: id, StartedUnixMs: t.GetStartedUnixMs(), Service: t.GetService(), Address: t.GetAddress(), DataCentre: t.GetDataCentre(),
			Region: regions[t.GetDataCentre()], Slots: int(t.GetSlots()), Cold: t.GetCold(),
			Draining: t.GetLife() != schemav1.Life_LIFE_READY,
		})
	}
	return targets
}
