package config

import (
	"cmp"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// PlanInput holds the state of the deployment that a plan starts from. All fields are optional.
type PlanInput struct {
	// Delegations are the delegations in force, which give the data centre of each shard. The shards of a keyspace without
	// a delegation are assumed to be distributed evenly over its data centres.
	Delegations []*schemav1.KeyspaceDelegation
	// SlotsByDataCentre is the sum of the slots of the ready targets in each data centre.
	SlotsByDataCentre map[string]uint32
}

// PlanFiles checks the files as a change from old, and plans the change. If the files are refused, the plan has only the
// problems and, if the files are valid in themselves, the changes. old is nil before the first revision.
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
		// LoadFiles and Compile run the same checks, so this error can only come from the old configuration.
		return &schemav1.Plan{OldRevision: old.GetRevision(), Problems: []*schemav1.Problem{
			{Rule: RuleUnsupported, Message: "the configuration in force does not compile: " + err.Error()},
		}}
	}
	return plan
}

// Plan summarises the effects of a change from old to next: the shards that move to another data centre, and the data
// centres and slots that remain in each region. The destinations of the shards are an estimate that assumes an even
// distribution; the control group decides when the shards move. The error is a *ValidationError if a configuration does
// not compile.
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
	p.addDataCentres()
	p.addKeyspaces()
	p.addRegions()
	return p.plan, nil
}

type planner struct {
	before, after *Snapshot
	input         PlanInput
	plan          *schemav1.Plan
	dataCentres   map[string]*schemav1.DataCentrePlan
}

// addDataCentres adds the data centres of both revisions to the plan.
func (p *planner) addDataCentres() {
	p.dataCentres = map[string]*schemav1.DataCentrePlan{}
	for i, snapshot := range []*Snapshot{p.before, p.after} {
		for _, dataCentre := range snapshot.configuration.GetDataCentres() {
			planned, known := p.dataCentres[dataCentre.GetName()]
			if !known {
				planned = &schemav1.DataCentrePlan{Name: dataCentre.GetName(), Slots: p.input.SlotsByDataCentre[dataCentre.GetName()]}
				p.dataCentres[dataCentre.GetName()] = planned
				p.plan.DataCentres = append(p.plan.DataCentres, planned)
			}
			planned.Region = dataCentre.GetRegion()
			if i == 0 {
				planned.InServiceBefore = isInService(dataCentre)
			} else {
				planned.InServiceAfter = isInService(dataCentre)
			}
		}
	}
}

// addKeyspaces adds the keyspaces of exclusive services to the plan. Shared services have no delegated shards.
func (p *planner) addKeyspaces() {
	old := map[string]Keyspace{}
	for _, keyspace := range p.before.Keyspaces() {
		old[keyspace.ID] = keyspace
	}
	for _, keyspace := range p.after.Keyspaces() {
		before, existed := old[keyspace.ID]
		delete(old, keyspace.ID)
		if keyspace.Exclusive {
			p.planKeyspace(before, keyspace, existed)
		}
	}
	for _, keyspace := range p.before.Keyspaces() {
		if _, removed := old[keyspace.ID]; removed && keyspace.Exclusive {
			p.addShardsBefore(p.shardsByDataCentre(keyspace))
			p.plan.Keyspaces = append(p.plan.Keyspaces, &schemav1.KeyspacePlan{Keyspace: keyspace.ID, Shards: keyspace.Shards, Removed: true})
		}
	}
}

func (p *planner) planKeyspace(before, keyspace Keyspace, existed bool) {
	planned := &schemav1.KeyspacePlan{Keyspace: keyspace.ID, Shards: keyspace.Shards, Added: !existed}
	current := map[string]uint32{}
	if existed {
		current = p.shardsByDataCentre(before)
		p.addShardsBefore(current)
	}
	if existed && before.Shards != keyspace.Shards {
		// With another shard count, keys belong to other shards, so the plan shows no moves of shards.
		planned.Added, planned.Removed = true, true
		current = map[string]uint32{}
	}
	allowed := p.after.DataCentresFor(keyspace.HomeRegions)
	if len(allowed) == 0 {
		planned.Stranded = keyspace.Shards
	} else {
		wasAllowed := p.before.DataCentresFor(keyspace.HomeRegions)
		next := distributeShards(current, allowed, keyspace.Shards, slices.Equal(wasAllowed, allowed))
		for name, count := range next {
			p.dataCentres[name].ShardsAfter += count
		}
		if !planned.GetAdded() {
			planned.Moves = planMoves(current, next)
		}
	}
	p.plan.Keyspaces = append(p.plan.Keyspaces, planned)
}

func (p *planner) addShardsBefore(current map[string]uint32) {
	for name, count := range current {
		if dataCentre, known := p.dataCentres[name]; known {
			dataCentre.ShardsBefore += count
		}
	}
}

// shardsByDataCentre returns the number of shards of a keyspace per data centre. A shard that is moving counts at its
// destination.
func (p *planner) shardsByDataCentre(keyspace Keyspace) map[string]uint32 {
	counts := map[string]uint32{}
	for _, delegation := range p.input.Delegations {
		if delegation.GetKeyspace() != keyspace.ID {
			continue
		}
		for _, run := range delegation.GetRuns() {
			counts[cmp.Or(run.GetNextDataCentre(), run.GetDataCentre())] += run.GetCount()
		}
		return counts
	}
	p.plan.Estimated = true
	return distributeShards(nil, p.before.DataCentresFor(keyspace.HomeRegions), keyspace.Shards, false)
}

// distributeShards distributes shards over the allowed data centres and returns the number per data centre. Shards stay
// in their current data centre as far as the distribution stays even. With keepCurrent, all shards in an allowed data
// centre stay there.
func distributeShards(current map[string]uint32, allowed []string, shards uint32, keepCurrent bool) map[string]uint32 {
	next := map[string]uint32{}
	if len(allowed) == 0 {
		return next
	}
	maxPerDataCentre := (shards + uint32(len(allowed)) - 1) / uint32(len(allowed)) //nolint:gosec // few data centres
	placed := uint32(0)
	for _, name := range allowed {
		next[name] = current[name]
		if !keepCurrent {
			next[name] = min(current[name], maxPerDataCentre)
		}
		placed += next[name]
	}
	for ; placed < shards; placed++ {
		least := slices.MinFunc(allowed, func(a, b string) int { return cmp.Compare(next[a], next[b]) })
		next[least]++
	}
	return next
}

// planMoves pairs the data centres that lose shards with those that gain shards, both in the order of their names.
func planMoves(current, next map[string]uint32) []*schemav1.ShardMoves {
	losing, gaining := surplus(current, next), surplus(next, current)
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

type dataCentreShards struct {
	name   string
	shards uint32
}

// surplus returns the data centres that have more shards in a than in b, with the difference, in the order of their names.
func surplus(a, b map[string]uint32) []*dataCentreShards {
	var found []*dataCentreShards
	for name, count := range a {
		if count > b[name] {
			found = append(found, &dataCentreShards{name: name, shards: count - b[name]})
		}
	}
	slices.SortFunc(found, func(x, y *dataCentreShards) int { return cmp.Compare(x.name, y.name) })
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
	for _, dataCentre := range p.plan.GetDataCentres() {
		region := regions[dataCentre.GetRegion()]
		if dataCentre.GetInServiceBefore() {
			region.DataCentresBefore++
			region.SlotsBefore += dataCentre.GetSlots()
		}
		if dataCentre.GetInServiceAfter() {
			region.DataCentresAfter++
			region.SlotsAfter += dataCentre.GetSlots()
		}
	}
}
