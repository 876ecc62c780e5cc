package config

import (
	"cmp"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// PlanInput is what is known about the deployment; all of it is optional.
type PlanInput struct {
	// Delegations in force. For a keyspace without one, an even spread over its data centres is assumed.
	Delegations []*schemav1.KeyspaceDelegation
	// SlotsByDataCentre of ready targets by data centre.
	SlotsByDataCentre map[string]uint32
}

// PlanFiles checks the files as a change from old and plans it. The plan has either problems or the rest. old is nil
// before the first revision.
func PlanFiles(old *schemav1.Configuration, base SourceFile, overlays []SourceFile, input PlanInput) *schemav1.Plan {
	loaded := LoadFiles(base, overlays)
	if problems := loaded.CheckChange(old); len(problems) > 0 {
		plan := &schemav1.Plan{OldRevision: old.GetRevision(), Problems: problems}
		if loaded.Configuration != nil {
			plan.Changes = Diff(old, loaded.Configuration)
		}
		return plan
	}
	plan, err := Plan(old, loaded.Configuration, input)
	if err != nil {
		// Load and Compile run the same checks, so only an invalid old configuration gets here.
		return &schemav1.Plan{OldRevision: old.GetRevision(), Problems: []*schemav1.Problem{
			{Rule: RuleUnsupported, Message: "the configuration in force does not compile: " + err.Error()},
		}}
	}
	return plan
}

// Plan summarises the change from old to next: the shards that change their data centre, and the data centres and slots
// left per region. The destinations of shards are an estimate by even spread; the control group decides at the time of
// the move. It fails with InvalidError if a configuration does not compile.
func Plan(old, next *schemav1.Configuration, input PlanInput) (*schemav1.Plan, error) {
	after, err := Compile(next)
	if err != nil {
		return nil, err
	}
	before := &Snapshot{configuration: &schemav1.Configuration{}}
	if old != nil {
		if before, err = Compile(old); err != nil {
			return nil, err
		}
	}
	p := &planner{before: before, after: after, input: input, plan: &schemav1.Plan{
		OldRevision: old.GetRevision(), Changes: Diff(old, next),
	}}
	p.addSites()
	p.addKeyspaces()
	p.addRegions()
	return p.plan, nil
}

type planner struct {
	before, after *Snapshot
	input         PlanInput
	plan          *schemav1.Plan
	sites         map[string]*schemav1.DataCentrePlan
}

// addSites lists the data centres of either revision.
func (p *planner) addSites() {
	p.sites = map[string]*schemav1.DataCentrePlan{}
	for i, snapshot := range []*Snapshot{p.before, p.after} {
		for _, site := range snapshot.configuration.GetDataCentres() {
			planned, known := p.sites[site.GetName()]
			if !known {
				planned = &schemav1.DataCentrePlan{Name: site.GetName(), Slots: p.input.SlotsByDataCentre[site.GetName()]}
				p.sites[site.GetName()] = planned
				p.plan.DataCentres = append(p.plan.DataCentres, planned)
			}
			planned.Region = site.GetRegion()
			if i == 0 {
				planned.InServiceBefore = isInService(site)
			} else {
				planned.InServiceAfter = isInService(site)
			}
		}
	}
}

// addKeyspaces plans the exclusive keyspaces; shared services have no delegated shards.
func (p *planner) addKeyspaces() {
	old := map[string]Keyspace{}
	for _, space := range p.before.Keyspaces() {
		old[space.ID] = space
	}
	for _, space := range p.after.Keyspaces() {
		before, existed := old[space.ID]
		delete(old, space.ID)
		if space.Exclusive {
			p.keyspace(before, space, existed)
		}
	}
	for _, space := range p.before.Keyspaces() {
		if _, removed := old[space.ID]; removed && space.Exclusive {
			p.addBefore(p.current(space))
			p.plan.Keyspaces = append(p.plan.Keyspaces, &schemav1.KeyspacePlan{Keyspace: space.ID, Shards: space.Shards, Removed: true})
		}
	}
}

func (p *planner) keyspace(before, space Keyspace, existed bool) {
	planned := &schemav1.KeyspacePlan{Keyspace: space.ID, Shards: space.Shards, Added: !existed}
	current := map[string]uint32{}
	if existed {
		current = p.current(before)
		p.addBefore(current)
	}
	if existed && before.Shards != space.Shards {
		// All keys are assigned anew, so no shard can be said to move.
		planned.Added, planned.Removed = true, true
		current = map[string]uint32{}
	}
	allowed := p.after.DataCentresFor(space.HomeRegions)
	if len(allowed) == 0 {
		planned.Stranded = space.Shards
	} else {
		wasAllowed := p.before.DataCentresFor(space.HomeRegions)
		target := spread(current, allowed, space.Shards, slices.Equal(wasAllowed, allowed))
		for name, count := range target {
			p.sites[name].ShardsAfter += count
		}
		if !planned.GetAdded() {
			planned.Moves = moves(current, target)
		}
	}
	p.plan.Keyspaces = append(p.plan.Keyspaces, planned)
}

func (p *planner) addBefore(current map[string]uint32) {
	for name, count := range current {
		if site, known := p.sites[name]; known {
			site.ShardsBefore += count
		}
	}
}

// current counts the shards of a keyspace by data centre. A moving shard counts where it goes.
func (p *planner) current(space Keyspace) map[string]uint32 {
	counts := map[string]uint32{}
	for _, delegation := range p.input.Delegations {
		if delegation.GetKeyspace() != space.ID {
			continue
		}
		for _, run := range delegation.GetRuns() {
			counts[cmp.Or(run.GetNextDataCentre(), run.GetDataCentre())] += run.GetCount()
		}
		return counts
	}
	p.plan.Estimated = true
	return spread(nil, p.before.DataCentresFor(space.HomeRegions), space.Shards, false)
}

// spread assigns shards to the allowed data centres. Shards stay where they are as far as that leaves an even spread;
// with keep, all shards that are on an allowed data centre stay.
func spread(current map[string]uint32, allowed []string, shards uint32, keep bool) map[string]uint32 {
	target := map[string]uint32{}
	if len(allowed) == 0 {
		return target
	}
	ceiling := (shards + uint32(len(allowed)) - 1) / uint32(len(allowed)) //nolint:gosec // few data centres
	placed := uint32(0)
	for _, name := range allowed {
		target[name] = current[name]
		if !keep {
			target[name] = min(current[name], ceiling)
		}
		placed += target[name]
	}
	for ; placed < shards; placed++ {
		least := slices.MinFunc(allowed, func(a, b string) int { return cmp.Compare(target[a], target[b]) })
		target[least]++
	}
	return target
}

// moves pairs the data centres that lose shards with those that gain some, both by name.
func moves(current, target map[string]uint32) []*schemav1.ShardMoves {
	losing, gaining := surplus(current, target), surplus(target, current)
	var found []*schemav1.ShardMoves
	for _, from := range losing {
		for _, to := range gaining {
			if count := min(from.shards, to.shards); count > 0 {
				from.shards, to.shards = from.shards-count, to.shards-count
				found = append(found, &schemav1.ShardMoves{From: from.name, To: to.name, Shards: count})
			}
		}
	}
	return found
}

type siteShards struct {
	name   string
	shards uint32
}

// surplus lists the data centres that have more shards in a than in b, by name.
func surplus(a, b map[string]uint32) []*siteShards {
	var found []*siteShards
	for name, count := range a {
		if count > b[name] {
			found = append(found, &siteShards{name: name, shards: count - b[name]})
		}
	}
	slices.SortFunc(found, func(x, y *siteShards) int { return cmp.Compare(x.name, y.name) })
	return found
}

func (p *planner) addRegions() {
	regions := map[string]*schemav1.RegionPlan{}
	for _, snapshot := range []*Snapshot{p.before, p.after} {
		for _, region := range snapshot.configuration.GetRegions() {
			if _, known := regions[region.GetName()]; !known {
				regions[region.GetName()] = &schemav1.RegionPlan{Name: region.GetName()}
				p.plan.Regions = append(p.plan.Regions, regions[region.GetName()])
			}
		}
	}
	for _, site := range p.plan.GetDataCentres() {
		region := regions[site.GetRegion()]
		if site.GetInServiceBefore() {
			region.DataCentresBefore++
			region.SlotsBefore += site.GetSlots()
		}
		if site.GetInServiceAfter() {
			region.DataCentresAfter++
			region.SlotsAfter += site.GetSlots()
		}
	}
}
