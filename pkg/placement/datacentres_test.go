package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/placement"
)

func fourDataCentres() []placement.DataCentre {
	return []placement.DataCentre{
		{Name: "g", Region: "seoul", Capacity: 20},
		{Name: "m", Region: "seoul", Capacity: 20},
		{Name: "h", Region: "busan", Capacity: 20},
		{Name: "s", Region: "busan", Capacity: 20},
	}
}

// applyPlan applies a plan to owners and returns the number of shards whose owner changed.
func applyPlan(owners []string, plan placement.DataCentrePlan) int {
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

func shardsPerOwner(owners []string) map[string]int {
	counts := map[string]int{}
	for _, owner := range owners {
		counts[owner]++
	}
	return counts
}

var _ = Describe("PlanDataCentres", func() {
	plan := func(dataCentres []placement.DataCentre, owners []string, homeRegions ...string) int {
		return applyPlan(owners, placement.PlanDataCentres(placement.DataCentreInput{
			DataCentres: dataCentres, HomeRegions: homeRegions, Owners: owners, MovesLeft: 1000,
		}))
	}

	// A shard outside the home regions would have its requests processed and stored where they must not be (I5).
	It("I5: delegates only to data centres in the home regions", func() {
		owners := make([]string, 256)
		plan(fourDataCentres(), owners, "busan")
		Expect(shardsPerOwner(owners)).To(Equal(map[string]int{"h": 128, "s": 128}))
		plan(fourDataCentres(), owners, "seoul")
		Expect(shardsPerOwner(owners)).To(Equal(map[string]int{"g": 128, "m": 128}))
	})

	It("I4: moves all shards away from a data centre that is out of service, with the fewest moves, and back later", func() {
		owners, dataCentres := make([]string, 256), fourDataCentres()
		Expect(placement.PlanDataCentres(placement.DataCentreInput{DataCentres: dataCentres, Owners: owners}).Assignments).To(HaveLen(4))
		plan(dataCentres, owners)
		dataCentres[0].OutOfService = true
		Expect(plan(dataCentres, owners)).To(Equal(64))
		Expect(shardsPerOwner(owners)).NotTo(HaveKey("g"))
		dataCentres[0].OutOfService = false
		Expect(plan(dataCentres, owners)).To(And(BeNumerically(">=", 50), BeNumerically("<=", 64)))
		Expect(plan(dataCentres, owners)).To(BeZero())
	})

	// A data centre behind a partition still serves its shards, so no other one may get them (I1).
	It("I1: reassigns the shards of a lost data centre but not those of an unreachable one", func() {
		owners, dataCentres := make([]string, 256), fourDataCentres()
		plan(dataCentres, owners)
		dataCentres[1].Unreachable, dataCentres[1].Capacity = true, 0
		Expect(plan(dataCentres, owners)).To(BeZero())
		dataCentres[1].Lost = true
		Expect(plan(dataCentres, owners)).To(Equal(64))
	})

	It("ignores small changes of capacity, and plans nothing without an eligible data centre", func() {
		owners, dataCentres := make([]string, 256), fourDataCentres()
		plan(dataCentres, owners)
		dataCentres[0].Capacity = 18
		Expect(plan(dataCentres, owners)).To(BeZero())
		dataCentres[0].Capacity = 8
		Expect(plan(dataCentres, owners)).To(BeNumerically(">", 0))
		Expect(plan(dataCentres, owners, "nowhere")).To(BeZero())
	})
})
