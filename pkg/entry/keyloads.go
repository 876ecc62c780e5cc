package entry

import (
	"maps"
	"slices"
	"sync"

	"almondrock.example/almondrock/pkg/grants"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// keyLoads counts requests for keys, to be told to the registry. Counts of a call that fails are lost, which only delays
// the spread of busy keys.
type keyLoads struct {
	mu     sync.Mutex
	counts map[string]map[uint32]uint32
}

func (l *keyLoads) note(service string, key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]map[uint32]uint32{}
	}
	if l.counts[service] == nil {
		l.counts[service] = map[uint32]uint32{}
	}
	l.counts[service][key>>grants.BucketBits]++
}

// take returns the counts since the last call.
func (l *keyLoads) take() []*schemav1.KeyLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []*schemav1.KeyLoad
	for service, counts := range l.counts {
		load := &schemav1.KeyLoad{Service: service}
		for _, bucket := range slices.Sorted(maps.Keys(counts)) {
			load.Buckets = append(load.Buckets, bucket)
			load.Counts = append(load.Counts, counts[bucket])
		}
		loads = append(loads, load)
	}
	l.counts = nil
	return loads
}
