package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/grants"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// keyLoads counts requests for keys and the answers of their owners, to be told to the registry. Counts of a call that fails
// are lost, which only delays the spread of busy keys.
type keyLoads struct {
	mu       sync.Mutex
	services map[string]*keyLoad
}

type keyLoad struct {
	counts map[uint32]uint32
	owners map[string]*schemav1.OwnerAnswers
}

// of returns the counts of a service. l.mu is held.
func (l *keyLoads) of(service string) *keyLoad {
	if l.services == nil {
		l.services = map[string]*keyLoad{}
	}
	if l.services[service] == nil {
		l.services[service] = &keyLoad{counts: map[uint32]uint32{}, owners: map[string]*schemav1.OwnerAnswers{}}
	}
	return l.services[service]
}

func (l *keyLoads) note(service string, key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(service).counts[key>>grants.BucketShift]++
}

func (l *keyLoads) noteAnswer(service, owner string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	owners := l.of(service).owners
	if owners[owner] == nil {
		owners[owner] = &schemav1.OwnerAnswers{Target: owner}
	}
	owners[owner].Count++
	owners[owner].TotalMs += uint32(took.Milliseconds())
}

// take returns the counts since the last call.
func (l *keyLoads) take() []*schemav1.KeyLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []*schemav1.KeyLoad
	for service, counted := range l.services {
		load := &schemav1.KeyLoad{Service: service, Owners: slices.Collect(maps.Values(counted.owners))}
		for _, bucket := range slices.Sorted(maps.Keys(counted.counts)) {
			load.Buckets = append(load.Buckets, bucket)
			load.Counts = append(load.Counts, counted.counts[bucket])
		}
		loads = append(loads, load)
	}
	l.services = nil
	return loads
}
