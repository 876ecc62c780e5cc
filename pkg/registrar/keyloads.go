package registrar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// forwardInterval is the minimum time between two messages with key loads to the leader.
	forwardInterval = 400 * time.Millisecond
	// maxPendingLoads is the number of key loads that are kept while no leader is known. The oldest ones beyond it are dropped.
	maxPendingLoads = 4096
	// maxLoadAge is the age above which key loads are dropped. The leader counts them as requests of the moment that it receives them, and its
	// rates have a time constant of 1.5 s.
	maxLoadAge = 1500 * time.Millisecond
)

// keyLoads has the loads of keys that entry hosts reported to this host and that are not forwarded to the leader yet. On the leader,
// it has those that were not passed to the grants.Manager yet.
type keyLoads struct {
	mu          sync.Mutex
	pending     []pendingLoad
	forwardedAt time.Time
}

// pendingLoad is a key load with the time at which it was received.
type pendingLoad struct {
	*schemav1.KeyLoad
	receivedAt time.Time
}

func (l *keyLoads) add(now time.Time, loads []*schemav1.KeyLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, load := range loads {
		l.pending = append(l.pending, pendingLoad{load, now})
	}
	if len(l.pending) > maxPendingLoads {
		l.pending = l.pending[len(l.pending)-maxPendingLoads:]
	}
}

// take removes all pending loads and returns those that are not older than maxLoadAge.
func (l *keyLoads) take(now time.Time) []*schemav1.KeyLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []*schemav1.KeyLoad
	for _, load := range l.pending {
		if now.Sub(load.receivedAt) <= maxLoadAge {
			loads = append(loads, load.KeyLoad)
		}
	}
	l.pending, l.forwardedAt = nil, now
	return loads
}

// due reports whether there are loads to be forwarded now.
func (l *keyLoads) due() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0 && time.Since(l.forwardedAt) >= forwardInterval
}

func (r *Registrar) handleKeyLoads(_ context.Context, request *schemav1.KeyLoads) (*schemav1.KeyLoadsAnswer, error) {
	r.keyLoads.add(time.Now(), request.GetLoads())
	return &schemav1.KeyLoadsAnswer{}, nil
}

// forwardKeyLoads starts to send the pending loads to the leader if they are due.
func (r *Registrar) forwardKeyLoads(leader string) {
	if leader == "" || !r.keyLoads.due() {
		return
	}
	loads := mergeLoads(r.keyLoads.take(time.Now()))
	r.start("forward key loads", func() {
		if err := r.call(leader, methodKeyLoads, &schemav1.KeyLoads{Loads: loads}, &schemav1.KeyLoadsAnswer{}); err != nil {
			klog.V(1).InfoS("key loads not forwarded to leader", "leader", leader, "err", err)
		}
	})
}

// mergeLoads adds up the loads of the same service, so that fewer bytes are sent between regions.
func mergeLoads(loads []*schemav1.KeyLoad) []*schemav1.KeyLoad {
	buckets, keys := map[string]map[uint32]uint32{}, map[string]map[uint32]uint32{}
	owners := map[string]map[string]*schemav1.OwnerAnswers{}
	for _, load := range loads {
		service := load.GetService()
		if buckets[service] == nil {
			buckets[service], keys[service], owners[service] = map[uint32]uint32{}, map[uint32]uint32{}, map[string]*schemav1.OwnerAnswers{}
		}
		addCounts(buckets[service], load.GetBuckets(), load.GetCounts())
		addCounts(keys[service], load.GetKeys(), load.GetKeyCounts())
		for _, o := range load.GetOwners() {
			if owners[service][o.GetTarget()] == nil {
				owners[service][o.GetTarget()] = &schemav1.OwnerAnswers{Target: o.GetTarget()}
			}
			owners[service][o.GetTarget()].Count += o.GetCount()
			owners[service][o.GetTarget()].TotalMs += o.GetTotalMs()
		}
	}
	var merged []*schemav1.KeyLoad
	for service, counts := range buckets {
		load := &schemav1.KeyLoad{Service: service, Owners: slices.Collect(maps.Values(owners[service]))}
		load.Buckets, load.Counts = countLists(counts)
		load.Keys, load.KeyCounts = countLists(keys[service])
		merged = append(merged, load)
	}
	return merged
}

// addCounts adds counts, which is parallel to ids, to sums. IDs without a count are ignored.
func addCounts(sums map[uint32]uint32, ids, counts []uint32) {
	for i, id := range ids[:min(len(ids), len(counts))] {
		sums[id] += counts[i]
	}
}

// countLists returns the IDs and counts of sums as parallel lists.
func countLists(sums map[uint32]uint32) (ids, counts []uint32) {
	for id, count := range sums {
		ids = append(ids, id)
		counts = append(counts, count)
	}
	return ids, counts
}
