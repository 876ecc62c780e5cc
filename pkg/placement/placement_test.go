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

// simulatedService is a service whose plans take effect at once.
type simulatedService struct {
	targets []placement.Target
	shards  []placement.Shard
	moves   int // number of owner changes of shards that had an owner
}

func newSimulatedService(targets, shards int) *simulatedService {
	svc := &simulatedService{}
	for i := range targets {
		svc.addTarget(i)
	}
	for i := range shards {
		svc.shards = append(svc.shards, placement.Shard{
			ID: placement.ShardID{Keyspace: "k", Shard: uint32(i)}, Load: 0.1, //nolint:gosec // small and positive
		})
	}
	return svc
}

func (svc *simulatedService) addTarget(i int) {
	svc.targets = append(svc.targets, placement.Target{Name: fmt.Sprintf("t%04d", i), Capacity: 2})
}

// runRound makes and applies one plan with at most maxMoves moves, and returns the number of planned moves.
func (svc *simulatedService) runRound(maxMoves int) int {
	plan := placement.PlanTargets(placement.Input{Targets: svc.targets, Shards: svc.shards, MovesLeft: maxMoves})
	for _, change := range append(plan.Assignments, plan.Moves...) {
		svc.shards[change.ID.Shard].Owner = change.To
	}
	svc.moves += len(plan.Moves)
	return len(plan.Moves)
}

// runUntilStable runs rounds until the plan contains no moves.
func (svc *simulatedService) runUntilStable() {
	GinkgoHelper()
	for range 1000 {
		if svc.runRound(10) == 0 {
			return
		}
	}
	Fail("the plan still contains moves after 1,000 rounds")
}

func (svc *simulatedService) loseTarget(i int) {
	svc.targets[i].State = placement.Lost
	for j := range svc.shards {
		if svc.shards[j].Owner == svc.targets[i].Name {
			svc.shards[j].Owner = ""
			svc.moves++
		}
	}
}

func (svc *simulatedService) ownedShards(i int) int {
	count := 0
	for _, s := range svc.shards {
		if s.Owner == svc.targets[i].Name {
			count++
		}
	}
	return count
}

var _ = Describe("PlanTargets", func() {
	// Unnecessary moves would make keys unavailable for the time of a move, on targets all over the data centre.
	It("moves about 1/N of the shards when one of N targets is lost or added", func() {
		svc := newSimulatedService(22, 256)
		svc.runUntilStable()
		svc.moves = 0
		svc.loseTarget(3)
		svc.runUntilStable()
		Expect(svc.moves).To(BeNumerically("<=", 256/22+2))
		svc.moves = 0
		svc.addTarget(100)
		svc.runUntilStable()
		Expect(svc.moves).To(And(BeNumerically(">=", 256/22-3), BeNumerically("<=", 256/22+1)))
	})

	It("assigns shards in proportion to capacity and limits implausible capacities and loads", func() {
		svc := newSimulatedService(4, 100)
		svc.targets[0].Capacity, svc.targets[1].Capacity = 4, -1
		svc.runUntilStable()
		Expect(svc.ownedShards(0)).To(BeNumerically("~", 44, 3))
		Expect(svc.ownedShards(1)).To(BeNumerically("~", 11, 2))
		svc.targets[1].Capacity = 1e300
		svc.shards[0].Load, svc.shards[1].Load = math.NaN(), math.Inf(1)
		svc.runUntilStable()
		Expect(svc.ownedShards(2)).To(BeNumerically(">=", 0))
	})

	// A draining target gets no new shards, and its shards move away even when the limit of planned moves is used up.
	It("I9: drains first and beyond the move limit", func() {
		svc := newSimulatedService(4, 40)
		svc.runUntilStable()
		svc.targets[0].State = placement.Draining
		plan := placement.PlanTargets(placement.Input{Targets: svc.targets, Shards: svc.shards, DrainMovesLeft: 7})
		Expect(plan.Moves).To(HaveLen(7))
		for _, move := range plan.Moves {
			Expect(move.From).To(Equal("t0000"))
			Expect(move.Reason).To(Equal(placement.ReasonDrain))
		}
	})

	// A target in cold start must not get a full share at once, and a target that restarts keeps its shards (I3).
	It("I3: gives a cold target only part of a share", func() {
		svc := newSimulatedService(10, 200)
		svc.runUntilStable()
		svc.targets[0].State = placement.Cold
		Expect(svc.runRound(100)).To(BeZero(), "a restarted target keeps its shards")
		svc.addTarget(10)
		svc.targets[10].State = placement.Cold
		svc.runUntilStable()
		Expect(svc.ownedShards(10)).To(And(BeNumerically(">", 0), BeNumerically("<=", 200/11/2)))
	})

	It("moves one shard per round away from a straggler", func() {
		svc := newSimulatedService(10, 200)
		svc.runUntilStable()
		svc.targets[0].Straggler = true
		Expect(svc.runRound(100)).To(Equal(1))
		svc.runUntilStable()
		Expect(svc.ownedShards(0)).To(BeNumerically("~", 10, 2))
	})

	// Noise in the observed loads must not move shards back and forth.
	It("does not move shards because of load noise, and does not move recently moved or pinned shards", func() {
		svc := newSimulatedService(22, 256)
		svc.runUntilStable()
		svc.moves = 0
		rng := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			for i := range svc.shards {
				svc.shards[i].Load = 0.1 * (0.9 + 0.2*rng.Float64())
			}
			svc.runRound(10)
		}
		Expect(svc.moves).To(BeNumerically("<=", 2))
		for i := range svc.shards {
			svc.shards[i].RecentlyMoved, svc.shards[i].Pinned = i%2 == 0, i%2 == 1
		}
		svc.addTarget(50)
		Expect(svc.runRound(100)).To(BeZero())
	})

	It("makes the same plan for any order of its input", func() {
		rng := rand.New(rand.NewPCG(2, 2))
		svc := newSimulatedService(22, 256)
		svc.runUntilStable()
		svc.loseTarget(1)
		svc.addTarget(40)
		input := placement.Input{Targets: svc.targets, Shards: svc.shards, MovesLeft: 50}
		plan := placement.PlanTargets(input)
		rng.Shuffle(len(svc.targets), func(i, j int) { svc.targets[i], svc.targets[j] = svc.targets[j], svc.targets[i] })
		rng.Shuffle(len(svc.shards), func(i, j int) { svc.shards[i], svc.shards[j] = svc.shards[j], svc.shards[i] })
		Expect(placement.PlanTargets(input)).To(Equal(plan))
	})

	It("returns an empty plan when no target may get shards", func() {
		svc := newSimulatedService(2, 4)
		svc.targets[0].State, svc.targets[1].State = placement.Draining, placement.Lost
		Expect(placement.PlanTargets(placement.Input{Targets: svc.targets, Shards: svc.shards})).To(Equal(placement.Plan{}))
	})
})
