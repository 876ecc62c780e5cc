package entry

import (
	"maps"
	"slices"
	"sort"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// view is what an entry host knows of the registry. It is immutable; updates make a new one.
type view struct {
	version   uint64
	table     *routes.Table
	targets   map[string]*schemav1.Registration
	evacuated []string
	keys      map[string]*schemav1.KeyTable
	entries   []*schemav1.EntryHost
	hosts     []*schemav1.RegistryHost
}

// next returns the view after an update, or nil if the update is older than the view.
func (v *view) next(update *schemav1.ViewUpdate, decode func(*schemav1.RouteDocument) (*routes.Configuration, error)) *view {
	if update.GetVersion() < v.version {
		return nil
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
	if update.GetFull() {
		n.targets = map[string]*schemav1.Registration{}
	} else if len(update.GetTargets()) > 0 {
		n.targets = cloneMap(v.targets)
	}
	for _, target := range update.GetTargets() {
		if target.GetLife() == schemav1.Life_LIFE_GONE {
			delete(n.targets, target.GetId())
			continue
		}
		n.targets[target.GetId()] = target
	}
	if update.GetEvacuatedChanged() {
		n.evacuated = update.GetEvacuated()
	}
	if len(update.GetKeys()) > 0 {
		n.keys = cloneMap(v.keys)
		for _, table := range update.GetKeys() {
			n.keys[table.GetService()] = table
		}
	}
	if update.GetHostsChanged() {
		n.entries, n.hosts = update.GetEntries(), update.GetRegistryHosts()
	}
	return &n
}

// cloneMap is maps.Clone that returns a map for nil too.
func cloneMap[V any](m map[string]V) map[string]V {
	cloned := make(map[string]V, len(m))
	maps.Copy(cloned, m)
	return cloned
}

// owner returns the range of a key; ok is false when the service has no ranges yet.
func (v *view) owner(service string, key uint32) (*schemav1.KeyRange, bool) {
	ranges := v.keys[service].GetRanges()
	at := sort.Search(len(ranges), func(i int) bool { return ranges[i].GetLast() >= key })
	if at == len(ranges) || ranges[at].GetFirst() > key {
		return nil, false
	}
	return ranges[at], true
}

// coldRates returns the rate of cold targets by service.
func (v *view) coldRates() map[string]float64 {
	rates := map[string]float64{}
	if v.table != nil {
		for name, service := range v.table.Configuration.Services {
			rates[name] = service.ColdRate
		}
	}
	return rates
}

// dispatchTargets returns the targets for choices.
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
