package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/placement"
)

func fourCentres() []placement.DataCentre {
	return []placement.DataCentre{
		{Name: "g", Region: "seoul", Capacity: 20},
		{Name: "m", Region: "seoul", Capacity: 20},
		{Name: "h", Region: "busan", Capacity: 20},
		{Name: "s", Region: "busan", Capacity: 20},
	}
}

// carryOut applies a plan to owners and returns the number of shards that changed.
func carryOut(owners []string, plan placement.DataCentrePlan) int {
	changed := 0
	for _, change := range append(plan.Assignments, plan.Moves...) {
		for i := change.FirstShard; i < change.FirstShard+change.Count; i++ {
			Expect(owners[i]).To(Equal(change.From))
			owners[i] = change.To
			changed++
		}
	}
	return changed
}

func countOf(owners []string) map[string]int {
	counts := map[string]int{}
	for _, owner := range owners {
		counts[owner]++
	}
	return counts
}

var _ = Describe("PlanCentres", func() {
	plan := func(centres []placement.DataCentre, owners []string, homes ...string) int {
		return carryOut(owners, placement.PlanDataCentres(placement.DataCentreInput{
			DataCentres: centres, HomeRegions: homes, Owners: owners, MovesLeft: 1000,
		}))
	}

	// A shard outside the home regions would store requests where they must not be (I5).
	It("I5: keeps to the home regions", func() {
		owners := make([]string, 256)
		plan(fourCentres(), owners, "busan")
		Expect(countOf(owners)).To(Equal(map[string]int{"h": 128, "s": 128}))
		plan(fourCentres(), owners, "seoul")
		Expect(countOf(owners)).To(Equal(map[string]int{"g": 128, "m": 128}))
	})

	It("I4: empties a data centre that is out, with the fewest moves, and fills it again", func() {
		owners, centres := make([]string, 256), fourCentres()
		Expect(placement.PlanDataCentres(placement.DataCentreInput{DataCentres: centres, Owners: owners}).Assignments).To(HaveLen(4))
		plan(centres, owners)
		centres[0].OutOfService = true
		Expect(plan(centres, owners)).To(Equal(64))
		Expect(countOf(owners)).NotTo(HaveKey("g"))
		centres[0].OutOfService = false
		Expect(plan(centres, owners)).To(And(BeNumerically(">=", 50), BeNumerically("<=", 64)))
		Expect(plan(centres, owners)).To(BeZero())
	})

	// A partitioned data centre goes on serving what it has: nobody else may get it (I1).
	It("I1: takes shards from a lost data centre but not from a silent one", func() {
		owners, centres := make([]string, 256), fourCentres()
		plan(centres, owners)
		centres[1].Unreachable, centres[1].Capacity = true, 0
		Expect(plan(centres, owners)).To(BeZero())
		centres[1].Lost = true
		Expect(plan(centres, owners)).To(Equal(64))
	})

	It("ignores small changes of capacity, and plans nothing without a place", func() {
		owners, centres := make([]string, 256), fourCentres()
		plan(centres, owners)
		centres[0].Capacity = 18
		Expect(plan(centres, owners)).To(BeZero())
		centres[0].Capacity = 8
		Expect(plan(centres, owners)).To(BeNumerically(">", 0))
		Expect(plan(centres, owners, "nowhere")).To(BeZero())
	})
})
