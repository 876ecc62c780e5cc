package ownership

import (
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/placement"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxSlots is the most slots that an announcement is believed to have.
	maxSlots = 1024
	// defaultMovesPerMinute caps planned moves where the configuration states no limit.
	defaultMovesPerMinute = 120
	// drainMovesPerRound is the allowance of drains above the cap.
	drainMovesPerRound = 256
	// maxChanges bounds the shards of one command, so that no log entry is large.
	maxChanges = 512
	// settleTime is how long a shard that has moved does not move again for balance.
	settleTime = time.Minute
	// firstTargetsTime is how long the first assignment of a service waits for its targets, which announce themselves
	// once a second; without it the first target would get every shard.
	firstTargetsTime = 1200 * time.Millisecond
)

// plannerState is the driver's memory between planning rounds.
type plannerState struct {
	// changes is the count of the table's changes at the last plan, plannedAt the time of the last round of moves.
	changes   uint64
	plannedAt time.Duration
	ran       bool
	// moves are the times of planned moves within the last minute.
	moves []time.Duration
	// movedAt has the shards that moved lately.
	movedAt map[shardKey]time.Duration
	// hot has the shares of hot keys in this round.
	hot hotShares
	// gathering is set while a service waits for its first targets.
	gathering bool
	// firstTarget is when the first target of a service was seen.
	firstTarget map[string]time.Duration
}

func newPlannerState() plannerState {
	return plannerState{movedAt: map[shardKey]time.Duration{}, firstTarget: map[string]time.Duration{}}
}

// placements assigns shards without owner, finishes moves whose owner is gone, and plans moves once a second.
func (d *Driver) placements(now time.Duration) []*schemav1.GroupCommand {
	round := !d.planner.ran || now-d.planner.plannedAt >= planInterval
	if !round && d.planner.changes == d.table.changes.Load() && !d.waiting() {
		return nil
	}
	d.planner.changes, d.planner.gathering = d.table.changes.Load(), false
	movesLeft := 0
	if round {
		d.planner.ran, d.planner.plannedAt = true, now
		movesLeft = d.movesLeft(now)
	}
	var commands []*schemav1.GroupCommand
	shards := d.table.planShards()
	d.planner.hot = d.hotShares()
	for _, service := range d.exclusiveServices() {
		input := d.planInput(now, service, shards[service])
		if finished := d.finishable(now, shards[service]); len(finished) > 0 {
			commands = append(commands, finishMoves(finished)...)
		}
		if input == nil {
			continue
		}
		input.MovesLeft = movesLeft
		if round {
			input.DrainMovesLeft = drainMovesPerRound
		}
		plan := placement.PlanTargets(*input)
		movesLeft = max(movesLeft-len(plan.Moves), 0)
		commands = append(commands, d.propose(now, plan, shards[service])...)
	}
	return commands
}

// waiting tells whether a service waits for targets, or shards of lost targets for a lease to end; the passing of that
// time changes nothing in the table.
func (d *Driver) waiting() bool {
	if d.planner.gathering {
		return true
	}
	for _, record := range d.records {
		if record.AttachedHost == "" && len(d.table.ShardsOf(record.Announcement.Target)) > 0 {
			return true
		}
	}
	return false
}

// exclusiveServices are the services whose keys have one owner, by the configuration in force.
func (d *Driver) exclusiveServices() []string {
	var names []string
	for _, service := range d.table.ControlView().GetConfiguration().GetServices() {
		if service.Kind == schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE {
			names = append(names, service.Name)
		}
	}
	return names
}

// movesLeft is what the cap of the data centre allows now.
func (d *Driver) movesLeft(now time.Duration) int {
	for len(d.planner.moves) > 0 && now-d.planner.moves[0] >= time.Minute {
		d.planner.moves = d.planner.moves[1:]
	}
	for key, at := range d.planner.movedAt {
		if now-at >= settleTime {
			delete(d.planner.movedAt, key)
		}
	}
	return max(movesPerMinute(d.table)-len(d.planner.moves), 0)
}

func movesPerMinute(table *Table) int {
	configuration := table.ControlView().GetConfiguration()
	limit := configuration.GetLimits().GetMaxMovesPerMinute()
	for _, dataCentre := range configuration.GetDataCentres() {
		if own := dataCentre.GetLimits().GetMaxMovesPerMinute(); dataCentre.Name == table.DataCentre() && own > 0 {
			limit = own
		}
	}
	if limit == 0 {
		return defaultMovesPerMinute
	}
	return int(limit)
}

// planInput describes a service to the planner; nil while it waits for its first targets.
func (d *Driver) planInput(now time.Duration, service string, shards []*schemav1.ShardRecord) *placement.Input {
	targets := d.table.TargetsOf(service)
	if len(targets) == 0 {
		return nil
	}
	if _, ok := d.planner.firstTarget[service]; !ok {
		d.planner.firstTarget[service] = now
		if d.anyEstablished(targets) {
			d.planner.firstTarget[service] = now - firstTargetsTime
		}
	}
	d.observeStragglers(now, targets)
	input := &placement.Input{}
	owned := map[string]int{}
	for _, shard := range shards {
		owned[shard.Target]++
	}
	if owned[""] == len(shards) && now-d.planner.firstTarget[service] < firstTargetsTime {
		d.planner.gathering = true
		return nil
	}
	for _, record := range targets {
		input.Targets = append(input.Targets, d.planTarget(now, record, owned[record.Announcement.Target] > 0))
	}
	for _, shard := range shards {
		input.Shards = append(input.Shards, d.planShard(now, shard, owned[shard.Target]))
	}
	return input
}

// anyEstablished tells whether a target was registered before this leader.
func (d *Driver) anyEstablished(targets []*schemav1.TargetRecord) bool {
	return slices.ContainsFunc(targets, func(record *schemav1.TargetRecord) bool {
		watch := d.targets[record.Announcement.Target]
		return watch != nil && watch.established
	})
}

func (d *Driver) planTarget(now time.Duration, record *schemav1.TargetRecord, owner bool) placement.Target {
	a := record.Announcement
	watch := d.targets[a.Target]
	target := placement.Target{Name: a.Target, Capacity: float64(max(min(a.Slots, maxSlots), 1))}
	switch {
	case record.Lost || record.AttachedHost == "" || watch == nil:
		target.State = placement.Lost
	case a.Draining:
		target.State = placement.Draining
	case now < watch.holdUntil && !owner:
		target.State = placement.Lost
	case !watch.established && now-watch.bootAt < coldTime:
		target.State = placement.Cold
	}
	target.Straggler = watch != nil && watch.straggler
	return target
}

// planShard describes a shard. The load of a target, less that of its hot keys, is taken as equal among its shards,
// since only targets and hot keys are measured.
func (d *Driver) planShard(now time.Duration, record *schemav1.ShardRecord, ownersShards int) placement.Shard {
	shard := placement.Shard{
		ID:    placement.ShardID{Keyspace: record.Keyspace, Shard: record.Shard, Hot: record.Hot, KeyHash: record.KeyHash},
		Owner: record.Target,
	}
	if movedAt, ok := d.planner.movedAt[keyOf(record)]; ok && now-movedAt < settleTime {
		shard.RecentlyMoved = true
	}
	owner, ok := d.table.Target(record.Target)
	if !ok {
		return shard
	}
	watch := d.targets[record.Target]
	if watch == nil {
		shard.Pinned = true
		return shard
	}
	moving := record.State == schemav1.ShardState_SHARD_STATE_MOVING
	if owner.Lost && !moving && d.clear(now, watch, owner) {
		shard.Owner = ""
	}
	shard.Pinned = moving || owner.AttachedHost == ""
	capacity := float64(max(min(owner.Announcement.Slots, maxSlots), 1))
	shard.Load = d.planner.hot.byShard[keyOf(record)] * capacity
	if record.Hot {
		// A key that cools down is about to return to its shard.
		hot := d.hot[hotKey(record.Keyspace, record.KeyHash)]
		shard.Pinned = shard.Pinned || hot != nil && hot.below
		return shard
	}
	shard.Load += max(watch.utilisation-d.planner.hot.byTarget[record.Target], 0) * capacity / float64(max(ownersShards, 1))
	return shard
}

// finishable returns the moving shards whose owner is lost and certain to get nothing more.
func (d *Driver) finishable(now time.Duration, shards []*schemav1.ShardRecord) []*schemav1.ShardRecord {
	var finished []*schemav1.ShardRecord
	for _, shard := range shards {
		owner, ok := d.table.Target(shard.Target)
		if shard.State != schemav1.ShardState_SHARD_STATE_MOVING || !ok || !owner.Lost {
			continue
		}
		if watch := d.targets[shard.Target]; watch != nil && d.clear(now, watch, owner) {
			finished = append(finished, shard)
		}
	}
	return finished
}

func finishMoves(shards []*schemav1.ShardRecord) []*schemav1.GroupCommand {
	var changes []*schemav1.ShardAssignment
	for _, shard := range shards {
		changes = append(changes, assignmentOf(shard, shard.NextTarget))
	}
	return chunked(changes, func(part []*schemav1.ShardAssignment) *schemav1.GroupCommand {
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishMoves{
			FinishMoves: &schemav1.FinishMoves{Moves: part},
		}}
	})
}

func assignmentOf(record *schemav1.ShardRecord, target string) *schemav1.ShardAssignment {
	return &schemav1.ShardAssignment{
		Keyspace: record.Keyspace, Shard: record.Shard, Hot: record.Hot, KeyHash: record.KeyHash, Target: target,
		ExpectedFenceCounter: record.Fence.GetCounter(),
	}
}

// propose turns a plan into commands, guarded by the state that it was made from.
func (d *Driver) propose(now time.Duration, plan placement.Plan, shards []*schemav1.ShardRecord) []*schemav1.GroupCommand {
	records := make(map[placement.ShardID]*schemav1.ShardRecord, len(shards))
	for _, r := range shards {
		records[placement.ShardID{Keyspace: r.Keyspace, Shard: r.Shard, Hot: r.Hot, KeyHash: r.KeyHash}] = r
	}
	var assigned, moved []*schemav1.ShardAssignment
	for _, change := range plan.Assignments {
		record := records[change.ID]
		a := assignmentOf(record, change.To)
		if owner, ok := d.table.Target(record.Target); ok {
			a.ExpectedOwnerAttachment = owner.Attachment
		}
		assigned = append(assigned, a)
		d.logChange("assign", record, change)
	}
	for _, change := range plan.Moves {
		moved = append(moved, assignmentOf(records[change.ID], change.To))
		d.planner.moves = append(d.planner.moves, now)
		d.planner.movedAt[keyOf(records[change.ID])] = now
		d.logChange("move", records[change.ID], change)
	}
	commands := chunked(assigned, func(part []*schemav1.ShardAssignment) *schemav1.GroupCommand {
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AssignShards{
			AssignShards: &schemav1.AssignShards{Assignments: part},
		}}
	})
	return append(commands, chunked(moved, startMoves)...)
}

func startMoves(part []*schemav1.ShardAssignment) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_StartMoves{
		StartMoves: &schemav1.StartMoves{Moves: part},
	}}
}

func chunked(changes []*schemav1.ShardAssignment, wrap func([]*schemav1.ShardAssignment) *schemav1.GroupCommand) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for len(changes) > 0 {
		part := changes[:min(maxChanges, len(changes))]
		changes = changes[len(part):]
		commands = append(commands, wrap(part))
	}
	return commands
}

func (d *Driver) logChange(kind string, record *schemav1.ShardRecord, change placement.OwnerChange) {
	d.options.DecisionLog.LogPlacement(&decisionlog.PlacementDecision{
		Kind: kind, Keyspace: record.Keyspace, Shard: record.Shard, KeyHash: record.KeyHash, From: record.Target,
		To: change.To, Reason: string(change.Reason),
	})
}
