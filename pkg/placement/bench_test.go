package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"almondrock.example/almondrock/pkg/placement"
)

var sizes = []struct{ targets, shards int }{{22, 256}, {220, 4096}, {2200, 65536}}

// BenchmarkPlanTargets measures one planning round right after the loss of a target, with uneven shard loads.
func BenchmarkPlanTargets(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d targets, %d shards", size.targets, size.shards), func(b *testing.B) {
			svc := newSimulatedService(size.targets, size.shards)
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range svc.shards {
				svc.shards[i].Load = rng.Float64()
			}
			svc.runRound(0)
			svc.loseTarget(0)
			input := placement.Input{Targets: svc.targets, Shards: svc.shards, MovesLeft: 120}
			for b.Loop() {
				placement.PlanTargets(input)
			}
		})
	}
}

// placementMethod places all shards of svc on its live targets, by the planner or by a baseline algorithm.
type placementMethod func(svc *simulatedService)

// placeWithPlanner runs ten planning rounds of 20 moves each, as a limit of 120 moves per minute allows in ten seconds.
func placeWithPlanner(svc *simulatedService) {
	for range 10 {
		svc.runRound(20)
	}
}

func (svc *simulatedService) liveTargets() []string {
	var names []string
	for _, t := range svc.targets {
		if t.State != placement.Lost && t.State != placement.Draining {
			names = append(names, t.Name)
		}
	}
	slices.Sort(names)
	return names
}

// setOwner changes the owner of shard i and counts a move if the shard had another owner.
func (svc *simulatedService) setOwner(i int, owner string) {
	if svc.shards[i].Owner != owner {
		if svc.shards[i].Owner != "" {
			svc.moves++
		}
		svc.shards[i].Owner = owner
	}
}

// placeByModulo is a baseline: the hash of the shard modulo the number of targets.
func placeByModulo(svc *simulatedService) {
	names := svc.liveTargets()
	for i := range svc.shards {
		svc.setOwner(i, names[hash(fmt.Sprint(i))%uint64(len(names))])
	}
}

// placeByHashRing is a baseline: consistent hashing on a ring with 64 points per target.
func placeByHashRing(svc *simulatedService) {
	type point struct {
		position uint64
		name     string
	}
	var ring []point
	for _, name := range svc.liveTargets() {
		for replica := range 64 {
			ring = append(ring, point{hash(fmt.Sprint(name, "/", replica)), name})
		}
	}
	compare := func(p point, position uint64) int {
		if p.position < position {
			return -1
		}
		return 1
	}
	slices.SortFunc(ring, func(a, b point) int { return compare(a, b.position) })
	for i := range svc.shards {
		position, _ := slices.BinarySearchFunc(ring, hash(fmt.Sprint(i)), compare)
		svc.setOwner(i, ring[position%len(ring)].name)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// runEvents applies 60 events, in turn an added target, a lost target, a drained and replaced target, and new loads of some
// shards. It returns the mean fraction of shards moved per event (churn), and the mean over events of the highest load of a
// target relative to the mean load (imbalance).
func runEvents(size struct{ targets, shards int }, place placementMethod) (churn, imbalance float64) {
	const events = 60
	svc := newSimulatedService(size.targets, size.shards)
	place(svc)
	rng := rand.New(rand.NewPCG(7, 7))
	svc.moves = 0
	for event := range events {
		live := func() int {
			name := pick(rng, svc.liveTargets())
			return slices.IndexFunc(svc.targets, func(t placement.Target) bool { return t.Name == name })
		}
		switch event % 4 {
		case 0:
			svc.addTarget(10000 + event)
		case 1:
			svc.loseTarget(live())
		case 2:
			svc.targets[live()].State = placement.Draining
			svc.addTarget(10000 + event)
		case 3:
			for range max(size.shards/64, 1) {
				svc.shards[rng.IntN(size.shards)].Load = 0.05 + 0.4*rng.Float64()
			}
		}
		place(svc)
		imbalance += svc.imbalance() / events
	}
	return float64(svc.moves) / float64(size.shards) / events, imbalance
}

func pick(rng *rand.Rand, names []string) string { return names[rng.IntN(len(names))] }

func (svc *simulatedService) imbalance() float64 {
	loads, total, most := map[string]float64{}, 0.0, 0.0
	for _, s := range svc.shards {
		loads[s.Owner] += s.Load
		total += s.Load
	}
	for _, load := range loads {
		most = max(most, load)
	}
	return most * float64(len(svc.liveTargets())) / total
}

// BenchmarkSequence reports the churn and imbalance of the planner and the baselines over the same events.
func BenchmarkSequence(b *testing.B) {
	placers := map[string]placementMethod{"planner": placeWithPlanner, "modulo": placeByModulo, "consistent": placeByHashRing}
	for _, size := range sizes {
		for _, name := range []string{"planner", "modulo", "consistent"} {
			b.Run(fmt.Sprintf("%d targets, %d shards, %s", size.targets, size.shards, name), func(b *testing.B) {
				var churn, imbalance float64
				for b.Loop() {
					churn, imbalance = runEvents(size, placers[name])
				}
				b.ReportMetric(100*churn, "%moved/event")
				b.ReportMetric(imbalance, "max/mean")
			})
		}
	}
}
