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

// BenchmarkPlanTargets measures one planning round right after the loss of a target, with uneven loads.
func BenchmarkPlanTargets(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d targets, %d shards", size.targets, size.shards), func(b *testing.B) {
			w := newWorld(size.targets, size.shards)
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range w.shards {
				w.shards[i].Load = rng.Float64()
			}
			w.round(0)
			w.lose(0)
			input := placement.Input{Targets: w.targets, Shards: w.shards, MovesLeft: 120}
			for b.Loop() {
				placement.PlanTargets(input)
			}
		})
	}
}

// placer is a way to place shards: the planner or a baseline. It brings w to its placement for the live targets.
type placer func(w *world)

// planned runs ten rounds, one second apart, under a cap of 120 moves a minute.
func planned(w *world) {
	for range 10 {
		w.round(20)
	}
}

func (w *world) alive() []string {
	var names []string
	for _, t := range w.targets {
		if t.State != placement.Lost && t.State != placement.Draining {
			names = append(names, t.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (w *world) move(i int, owner string) {
	if w.shards[i].Owner != owner {
		if w.shards[i].Owner != "" {
			w.moves++
		}
		w.shards[i].Owner = owner
	}
}

// modulo is the baseline of hashing modulo the number of targets.
func modulo(w *world) {
	names := w.alive()
	for i := range w.shards {
		w.move(i, names[hash(fmt.Sprint(i))%uint64(len(names))])
	}
}

// consistent is the baseline of a ring with 64 points per target.
func consistent(w *world) {
	type point struct {
		at   uint64
		name string
	}
	var ring []point
	for _, name := range w.alive() {
		for replica := range 64 {
			ring = append(ring, point{hash(fmt.Sprint(name, "/", replica)), name})
		}
	}
	compare := func(p point, at uint64) int {
		if p.at < at {
			return -1
		}
		return 1
	}
	slices.SortFunc(ring, func(a, b point) int { return compare(a, b.at) })
	for i := range w.shards {
		at, _ := slices.BinarySearchFunc(ring, hash(fmt.Sprint(i)), compare)
		w.move(i, ring[at%len(ring)].name)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// sequence runs 60 adds, losses, drains and changes of hot shards and returns the moved part of all shards per event
// and the mean over events of the highest utilisation relative to the mean.
func sequence(size struct{ targets, shards int }, place placer) (churn, imbalance float64) {
	const events = 60
	w := newWorld(size.targets, size.shards)
	place(w)
	rng := rand.New(rand.NewPCG(7, 7))
	w.moves = 0
	for event := range events {
		live := func() int {
			name := pick(rng, w.alive())
			return slices.IndexFunc(w.targets, func(t placement.Target) bool { return t.Name == name })
		}
		switch event % 4 {
		case 0:
			w.add(10000 + event)
		case 1:
			w.lose(live())
		case 2:
			w.targets[live()].State = placement.Draining
			w.add(10000 + event)
		case 3:
			for range max(size.shards/64, 1) {
				w.shards[rng.IntN(size.shards)].Load = 0.05 + 0.4*rng.Float64()
			}
		}
		place(w)
		imbalance += w.imbalance() / events
	}
	return float64(w.moves) / float64(size.shards) / events, imbalance
}

func pick(rng *rand.Rand, names []string) string { return names[rng.IntN(len(names))] }

func (w *world) imbalance() float64 {
	loads, total, most := map[string]float64{}, 0.0, 0.0
	for _, s := range w.shards {
		loads[s.Owner] += s.Load
		total += s.Load
	}
	for _, load := range loads {
		most = max(most, load)
	}
	return most * float64(len(w.alive())) / total
}

// BenchmarkSequence reports churn and imbalance of the planner and the baselines over the same events.
func BenchmarkSequence(b *testing.B) {
	placers := map[string]placer{"planner": planned, "modulo": modulo, "consistent": consistent}
	for _, size := range sizes {
		for _, name := range []string{"planner", "modulo", "consistent"} {
			b.Run(fmt.Sprintf("%d targets, %d shards, %s", size.targets, size.shards, name), func(b *testing.B) {
				var churn, imbalance float64
				for b.Loop() {
					churn, imbalance = sequence(size, placers[name])
				}
				b.ReportMetric(100*churn, "%moved/event")
				b.ReportMetric(imbalance, "max/mean")
			})
		}
	}
}
