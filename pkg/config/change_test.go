package config_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const changeBase = `regions: [{name: east}, {name: west}]
data_centres:
  - {name: east-1, region: east}
  - {name: east-2, region: east}
  - {name: west-1, region: west}
tenants:
  - {name: farm, home_regions: [east]}
services:
  - {name: desk, kind: exclusive, shards: 16, routes: [{path_prefix: /, class: booking}]}
  - {name: library, kind: shared, routes: [{path_prefix: /, class: file}]}
`

func changed(pairs ...string) (string, *config.LoadResult) {
	base := spoil(changeBase, pairs...)
	return base, config.LoadFiles(config.SourceFile{Name: "base.yaml", Content: []byte(base)}, nil)
}

const (
	outOne  = "east-1, region: east"
	outTwo  = "east-2, region: east"
	outWest = "west-1, region: west"
	out     = ", out: true"
)

// A change that loses keys, service or a region must not take effect because of a typing mistake.
var _ = DescribeTable("dangers",
	func(pairs []string, expected ...string) {
		_, old := changed()
		_, next := changed(pairs...)
		Expect(next.Problems).To(BeEmpty())
		lines := []string{}
		for _, problem := range next.CheckChange(old.Configuration) {
			lines = append(lines, config.FormatProblem(problem))
		}
		Expect(lines).To(Equal(append([]string{}, expected...)))
	},
	Entry("none", []string{outOne, outOne + out}),
	Entry("region without home regions", []string{outWest, outWest + out}),
	Entry("last data centre of a home region", []string{outOne, outOne + out, outTwo, outTwo + ", lost: true", "tenants:", "allow: [data-centre-lost]\ntenants:"},
		"base.yaml:3:34: home region east has no data centre left in service: requests for its keys are refused (dangerous-change); write allow: [last-data-centre] if this is intended",
	),
	Entry("all out", []string{outOne, outOne + out, outTwo, outTwo + out, outWest, outWest + out},
		"base.yaml:2:1: all data centres are out: all requests are refused (dangerous-change); write allow: [all-data-centres-out] if this is intended",
		"base.yaml:3:34: home region east has no data centre left in service: requests for its keys are refused (dangerous-change); write allow: [last-data-centre] if this is intended",
	),
	Entry("data centre lost", []string{outWest, outWest + ", lost: true"},
		"base.yaml:5:34: data centre west-1 is declared lost: its keys get new owners without waiting for the old ones (dangerous-change); write allow: [data-centre-lost] if this is intended",
	),
	Entry("data centre removed", []string{"  - {name: east-2, region: east}\n", ""},
		"base.yaml:2:1: data centre east-2 is removed while in service: take it out first (dangerous-change); write allow: [remove-data-centre] if this is intended",
	),
	Entry("data centre in another region", []string{outTwo, "east-2, region: west"},
		"base.yaml:4:20: data centre east-2 moves to region west: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); add a data centre with another name",
	),
	Entry("region removed", []string{", {name: west}", "", "  - {name: west-1, region: west}\n", ""},
		"base.yaml:1:1: region west is removed: no keys can be kept there (dangerous-change); write allow: [remove-region] if this is intended",
		"base.yaml:2:1: data centre west-1 is removed while in service: take it out first (dangerous-change); write allow: [remove-data-centre] if this is intended",
	),
	Entry("service removed", []string{"  - {name: desk, kind: exclusive, shards: 16, routes: [{path_prefix: /, class: booking}]}\n", ""},
		"base.yaml:8:1: service desk is removed: its requests are refused (dangerous-change); write allow: [remove-service] if this is intended",
	),
	Entry("shard count", []string{"shards: 16", "shards: 32"},
		"base.yaml:9:35: service desk changes from 16 to 32 shards: all its keys are assigned anew (dangerous-change); write allow: [shard-count] if this is intended",
	),
	Entry("shard count by default", []string{"shards: 16, ", ""},
		"base.yaml:9:6: service desk changes from 16 to 256 shards: all its keys are assigned anew (dangerous-change); write allow: [shard-count] if this is intended",
	),
	Entry("tenant home regions", []string{"[east]", "[east, west]"},
		"base.yaml:7:18: tenant farm changes its home regions from east to east, west: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); remove the tenant, and add it with its new home regions 60 s later",
	),
	Entry("tenant home regions dropped", []string{", home_regions: [east]", ""},
		"base.yaml:7:6: tenant farm changes its home regions from east to all regions: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); remove the tenant, and add it with its new home regions 60 s later",
	),
	Entry("tenant home regions, with allow", []string{"[east]", "[west, east]", "tenants:", "allow: [remove-service, shard-count]\ntenants:"},
		"base.yaml:8:18: tenant farm changes its home regions from east to west, east: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); remove the tenant, and add it with its new home regions 60 s later",
	),
	Entry("service home regions", []string{"shards: 16", "shards: 16, home_regions: [east]"},
		"base.yaml:9:47: service desk changes its home regions from all regions to east: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); add a service with another name, or remove this one first",
	),
	Entry("service kind", []string{"kind: exclusive", "kind: shared"},
		"base.yaml:9:18: service desk changes its kind: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); add a service with another name, or remove this one first",
	),
	Entry("route with home regions under another route", []string{"routes: [", "routes: [{path_prefix: /east, class: file, home_regions: [east], separate_keys: true}, "},
		"base.yaml:9:90: the home regions of service desk under /east/ change from all regions to east: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); add a route with another path_prefix, or remove this one first",
	),
	Entry("route home regions", []string{"class: booking", "class: booking, home_regions: [east], separate_keys: true"},
		"base.yaml:9:89: the home regions of service desk under / change from all regions to east: the keys would have two owners or leave their home regions while the change spreads (forbidden-change); add a route with another path_prefix, or remove this one first",
	),
)

var _ = It("accepts any first revision", func() {
	_, first := changed(outOne, outOne+out, outTwo, outTwo+out, outWest, outWest+out)
	Expect(first.CheckChange(nil)).To(BeEmpty())
})

// An allow that names something else must not let a danger through.
var _ = DescribeTable("allow",
	func(names string, refused int) {
		_, old := changed()
		_, next := changed("shards: 16", "shards: 32", "tenants:", "allow: ["+names+"]\ntenants:")
		Expect(next.Problems).To(BeEmpty())
		Expect(next.CheckChange(old.Configuration)).To(HaveLen(refused))
	},
	Entry("the danger", "shard-count", 0),
	Entry("another danger", "remove-service", 1),
	Entry("several", "remove-service, shard-count", 0),
)

var _ = Describe("Diff", func() {
	It("names the fields that differ, and only those", func() {
		_, old := changed()
		_, next := changed("shards: 16", "shards: 32", "{name: library, kind: shared", "{name: films, kind: shared", outOne, outOne+out,
			"[east]}", "[east, west], weight: 2}")
		var lines []string
		for _, change := range config.Diff(old.Configuration, config.WithRevision(next.Configuration, 9)) {
			lines = append(lines, change.GetPath()+": "+change.GetOldValue()+" -> "+change.GetNewValue())
		}
		Expect(lines).To(Equal([]string{
			"data_centres[east-1].out:  -> true",
			"tenants[farm].home_regions: [east] -> [east, west]",
			"tenants[farm].weight: 1 -> 2",
			"services[desk].shards: 16 -> 32",
			"services[library]: library -> ",
			"services[films].name:  -> films",
			"services[films].kind:  -> shared",
			"services[films].shards:  -> 256",
			"services[films].on_partition:  -> hold",
			"services[films].routes[/].path_prefix:  -> /",
			"services[films].routes[/].class:  -> file",
		}))
	})

	It("is empty for equal revisions and works without one", func() {
		_, same := changed()
		Expect(config.Diff(same.Configuration, same.Configuration)).To(BeEmpty())
		Expect(config.Diff(nil, same.Configuration)).NotTo(BeEmpty())
	})
})

var _ = Describe("Plan", func() {
	plan := func(input config.PlanInput, pairs ...string) *schemav1.Plan {
		_, old := changed()
		_, next := changed(pairs...)
		planned, err := config.Plan(old.Configuration, next.Configuration, input)
		Expect(err).NotTo(HaveOccurred())
		return planned
	}
	space := func(plan *schemav1.Plan, id string) *schemav1.KeyspacePlan {
		for _, candidate := range plan.GetKeyspaces() {
			if candidate.GetKeyspace() == id {
				return candidate
			}
		}
		return nil
	}
	delegated := config.PlanInput{
		SlotsByDataCentre: map[string]uint32{"east-1": 4, "east-2": 6, "west-1": 5},
		Delegations: []*schemav1.KeyspaceDelegation{
			{Keyspace: "desk/*", Runs: []*schemav1.DelegationRun{
				{FirstShard: 0, Count: 10, DataCentre: "east-1"},
				{FirstShard: 10, Count: 2, DataCentre: "west-1"},
				{FirstShard: 12, Count: 4, DataCentre: "east-1", NextDataCentre: "east-2"},
			}},
			{Keyspace: "desk/east", Runs: []*schemav1.DelegationRun{{Count: 16, DataCentre: "east-1"}}},
		},
	}

	It("moves the shards of a data centre that is taken out, and tells what is left", func() {
		planned := plan(delegated, outOne, outOne+out)
		Expect(planned.GetEstimated()).To(BeFalse())
		Expect(space(planned, "desk/*").GetMoves()).To(ConsistOf(
			HaveField("To", "east-2"), HaveField("To", "west-1")))
		Expect(space(planned, "desk/east").GetMoves()).To(HaveExactElements(
			SatisfyAll(HaveField("From", "east-1"), HaveField("To", "east-2"), HaveField("Shards", BeEquivalentTo(16)))))
		Expect(planned.GetDataCentres()[0]).To(SatisfyAll(HaveField("ShardsBefore", BeEquivalentTo(26)), HaveField("ShardsAfter", BeEquivalentTo(0))))
		Expect(planned.GetRegions()[0]).To(SatisfyAll(HaveField("DataCentresBefore", BeEquivalentTo(2)),
			HaveField("DataCentresAfter", BeEquivalentTo(1)), HaveField("SlotsBefore", BeEquivalentTo(10)), HaveField("SlotsAfter", BeEquivalentTo(6))))
	})

	It("moves nothing when no data centre changes", func() {
		for _, keyspace := range plan(delegated, "shared, routes", "shared, shards: 64, routes").GetKeyspaces() {
			Expect(keyspace.GetMoves()).To(BeEmpty())
		}
	})

	It("assumes an even spread without delegations", func() {
		planned := plan(config.PlanInput{}, outWest, outWest+out)
		Expect(planned.GetEstimated()).To(BeTrue())
		moved := uint32(0)
		for _, move := range space(planned, "desk/*").GetMoves() {
			Expect(move.GetFrom()).To(Equal("west-1"))
			moved += move.GetShards()
		}
		Expect(moved).To(BeEquivalentTo(5))
	})

	It("counts shards that no data centre may take", func() {
		planned := plan(delegated, outOne, outOne+out, outTwo, outTwo+out)
		Expect(space(planned, "desk/east").GetStranded()).To(BeEquivalentTo(16))
		Expect(space(planned, "desk/*").GetStranded()).To(BeZero())
	})

	It("names added and removed keyspaces", func() {
		planned := plan(delegated, "[east]", "[west]", "name: farm", "name: mill")
		Expect(space(planned, "desk/east").GetRemoved()).To(BeTrue())
		Expect(space(planned, "desk/west").GetAdded()).To(BeTrue())
	})

	It("has the problems instead when the files are refused", func() {
		_, old := changed()
		base, _ := changed("shards: 16", "shards: 17")
		Expect(config.PlanFiles(old.Configuration, config.SourceFile{Name: "b", Content: []byte(base)}, nil, delegated).GetProblems()).To(HaveLen(1))
		base, _ = changed("shards: 16", "shards: 32")
		planned := config.PlanFiles(proto.CloneOf(old.Configuration), config.SourceFile{Name: "b", Content: []byte(base)}, nil, delegated)
		Expect(planned.GetProblems()).To(HaveLen(1))
		Expect(planned.GetChanges()).To(HaveLen(1))
	})
})
