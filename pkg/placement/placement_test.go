package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// world is a service whose plans are carried out at once.
type world struct {
	targets []placement.Target
	shards  []placement.Shard
	moves   int // changes of owner of shards that had one
}

func newWorld(targets, shards int) *world {
	w := &world{}
	for i := range targets {
		w.add(i)
	}
	for i := range shards {
		w.shards = append(w.shards, placement.Shard{
			ID: placement.ShardID{Keyspace: "k", Shard: uint32(i)}, Load: 0.1, //nolint:gosec // small and positive
		})
	}
	return w
}

func (w *world) add(i int) {
	w.targets = append(w.targets, placement.Target{Name: fmt.Sprintf("t%04d", i), Capacity: 2})
}

// round plans and carries out one round and returns the number of planned moves.
func (w *world) round(cap int) int {
	plan := placement.PlanTargets(placement.Input{Targets: w.targets, Shards: w.shards, MovesLeft: cap})
	for _, change := range append(plan.Assignments, plan.Moves...) {
		w.shards[change.ID.Shard].Owner = change.To
	}
	w.moves += len(plan.Moves)
	return len(plan.Moves)
}

// settle runs rounds until nothing moves.
func (w *world) settle() {
	GinkgoHelper()
	for range 1000 {
		if w.round(10) == 0 {
			return
		}
	}
	Fail("the plan never settles")
}

func (w *world) lose(i int) {
	w.targets[i].State = placement.Lost
	for j := range w.shards {
		if w.shards[j].Owner == w.targets[i].Name {
			w.shards[j].Owner = ""
			w.moves++
		}
	}
}

func (w *world) owned(i int) int {
	count := 0
	for _, s := range w.shards {
		if s.Owner == w.targets[i].Name {
			count++
		}
	}
	return count
}

var _ = Describe("PlanTargets", func() {
	// More churn than needed makes keys unavailable for the time of a move, all over the data centre.
	It("moves about 1/N of the shards when one of N targets comes or goes", func() {
		w := newWorld(22, 256)
		w.settle()
		w.moves = 0
		w.lose(3)
		w.settle()
		Expect(w.moves).To(BeNumerically("<=", 256/22+2))
		w.moves = 0
		w.add(100)
		w.settle()
		Expect(w.moves).To(And(BeNumerically(">=", 256/22-3), BeNumerically("<=", 256/22+1)))
	})

	It("gives shards by capacity and believes no absurd capacity", func() {
		w := newWorld(4, 100)
		w.targets[0].Capacity, w.targets[1].Capacity = 4, -1
		w.settle()
		Expect(w.owned(0)).To(BeNumerically("~", 44, 3))
		Expect(w.owned(1)).To(BeNumerically("~", 11, 2))
		w.targets[1].Capacity = 1e300
		w.shards[0].Load, w.shards[1].Load = math.NaN(), math.Inf(1)
		w.settle()
		Expect(w.owned(2)).To(BeNumerically(">=", 0))
	})

	// Target I9: a leaving target gets no new work, and gives away what it has even when the cap is used up.
	It("I9: drains first and above the cap", func() {
		w := newWorld(4, 40)
		w.settle()
		w.targets[0].State = placement.Draining
		plan := placement.PlanTargets(placement.Input{Targets: w.targets, Shards: w.shards, DrainMovesLeft: 7})
		Expect(plan.Moves).To(HaveLen(7))
		for _, move := range plan.Moves {
			Expect(move.From).To(Equal("t0000"))
			Expect(move.Reason).To(Equal(placement.ReasonDrain))
		}
	})

	// A target in cold start must not get the share of a warm one at once, and one that restarts keeps what it has (I3).
	It("I3: fills a cold target only in part", func() {
		w := newWorld(10, 200)
		w.settle()
		w.targets[0].State = placement.Cold
		Expect(w.round(100)).To(BeZero(), "a restarted target keeps its shards")
		w.add(10)
		w.targets[10].State = placement.Cold
		w.settle()
		Expect(w.owned(10)).To(And(BeNumerically(">", 0), BeNumerically("<=", 200/11/2)))
	})

	It("takes load from a straggler one shard per round", func() {
		w := newWorld(10, 200)
		w.settle()
		w.targets[0].Straggler = true
		Expect(w.round(100)).To(Equal(1))
		w.settle()
		Expect(w.owned(0)).To(BeNumerically("~", 10, 2))
	})

	// Noise in the observed loads must not move shards to and fro.
	It("does not flap under noise and leaves settling and pinned shards", func() {
		w := newWorld(22, 256)
		w.settle()
		w.moves = 0
		rng := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			for i := range w.shards {
				w.shards[i].Load = 0.1 * (0.9 + 0.2*rng.Float64())
			}
			w.round(10)
		}
		Expect(w.moves).To(BeNumerically("<=", 2))
		for i := range w.shards {
			w.shards[i].RecentlyMoved, w.shards[i].Pinned = i%2 == 0, i%2 == 1
		}
		w.add(50)
		Expect(w.round(100)).To(BeZero())
	})

	It("plans the same whatever the order of its input", func() {
		rng := rand.New(rand.NewPCG(2, 2))
		w := newWorld(22, 256)
		w.settle()
		w.lose(1)
		w.add(40)
		input := placement.Input{Targets: w.targets, Shards: w.shards, MovesLeft: 50}
		plan := placement.PlanTargets(input)
		rng.Shuffle(len(w.targets), func(i, j int) { w.targets[i], w.targets[j] = w.targets[j], w.targets[i] })
		rng.Shuffle(len(w.shards), func(i, j int) { w.shards[i], w.shards[j] = w.shards[j], w.shards[i] })
		Expect(placement.PlanTargets(input)).To(Equal(plan))
	})

	It("plans nothing when no target may get shards", func() {
		w := newWorld(2, 4)
		w.targets[0].State, w.targets[1].State = placement.Draining, placement.Lost
		Expect(placement.PlanTargets(placement.Input{Targets: w.targets, Shards: w.shards})).To(Equal(placement.Plan{}))
	})
})
