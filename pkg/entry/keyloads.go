package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// keyLoads counts requests by key and responses by owner for the reports to the registry. The counts of a report that fails are
// lost, which only delays the redistribution of busy keys.
type keyLoads struct {
	mu       sync.Mutex
	services map[string]*serviceKeyLoad
}

// serviceKeyLoad has the counts of one service: requests by key, and responses by owner.
type serviceKeyLoad struct {
	keyCounts map[uint32]uint32
	owners    map[string]*schemav1.OwnerAnswers
}

// forService returns the counts of a service. The caller must hold l.mu.
func (l *keyLoads) forService(service string) *serviceKeyLoad {
	if l.services == nil {
		l.services = map[string]*serviceKeyLoad{}
	}
	if l.services[service] == nil {
		l.services[service] = &serviceKeyLoad{keyCounts: map[uint32]uint32{}, owners: map[string]*schemav1.OwnerAnswers{}}
	}
	return l.services[service]
}

func (l *keyLoads) recordRequest(service string, key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forService(service).keyCounts[key]++
}

func (l *keyLoads) recordResponse(service, owner string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	owners := l.forService(service).owners
	if owners[owner] == nil {
		owners[owner] = &schemav1.OwnerAnswers{Target: owner}
	}
	owners[owner].Count++
	owners[owner].TotalMs += uint32(latency.Milliseconds())
}

// takeCounts returns the counts since the last call and resets them.
func (l *keyLoads) takeCounts() []*schemav1.KeyLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []*schemav1.KeyLoad
	for service, serviceLoad := range l.services {
		load := &schemav1.KeyLoad{Service: service, Owners: slices.Collect(maps.Values(serviceLoad.owners))}
		for _, key := range slices.Sorted(maps.Keys(serviceLoad.keyCounts)) {
			load.Keys = append(load.Keys, key)
			load.KeyCounts = append(load.KeyCounts, serviceLoad.keyCounts[key])
		}
		loads = append(loads, load)
	}
	l.services = nil
	return loads
}
