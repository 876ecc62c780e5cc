package ownership

import (
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/placement"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxSlots is the largest number of slots that counts for a target, whatever it announces.
	maxSlots = 1024
	// defaultMovesPerMinute limits planned moves if the configuration sets no limit.
	defaultMovesPerMinute = 120
	// drainMovesPerRound is the number of moves that drains may make in each round beyond the limit.
	drainMovesPerRound = 256
	// maxAssignmentsPerCommand limits the shards of one command, so that log entries stay small.
	maxAssignmentsPerCommand = 512
	// rebalanceCooldown is the time after a move in which a shard does not move again for balance.
	rebalanceCooldown = time.Minute
	// firstTargetsWait is how long the first assignment of a service waits for targets to announce themselves, which they do
	// once a second. Without it the first target would get all shards.
	firstTargetsWait = 1200 * time.Millisecond
)

// plannerState is what the driver keeps between planning rounds.
type plannerState struct {
	// changeCount is the table's change count at the last plan. plannedAt is the time of the last round that could plan moves;
	// it is valid once hasPlanned is set.
	changeCount uint64
	plannedAt   time.Duration
	hasPlanned  bool
	// moveTimes are the times of the planned moves within the last minute, in ascending order.
	moveTimes []time.Duration
	// movedAt holds the time of the last planned move of each shard, within rebalanceCooldown.
	movedAt map[shardKey]time.Duration
	// hotKeys holds the shares of hot keys in this round.
	hotKeys hotKeyShares
	// awaitingTargets is set while a service waits for its first targets.
	awaitingTargets bool
	// firstTargetSeenAt is when the first target of each service was seen.
	firstTargetSeenAt map[string]time.Duration
}

func newPlannerState() plannerState {
	return plannerState{movedAt: map[shardKey]time.Duration{}, firstTargetSeenAt: map[string]time.Duration{}}
}

// placementCommands assigns shards without owner, finishes moves away from lost targets, and plans moves once a second.
func (d *Driver) placementCommands(now time.Duration) []*schemav1.GroupCommand {
	round := !d.planner.hasPlanned || now-d.planner.plannedAt >= planInterval
	if !round && d.planner.changeCount == d.table.changeCount.Load() && !d.hasTimedWait() {
		return nil
	}
	d.planner.changeCount, d.planner.awaitingTargets = d.table.changeCount.Load(), false
	movesLeft := 0
	if round {
		d.planner.hasPlanned, d.planner.plannedAt = true, now
		movesLeft = d.movesLeft(now)
	}
	var commands []*schemav1.GroupCommand
	shards := d.table.plannedShards()
	d.planner.hotKeys = d.hotKeyShares()
	for _, service := range d.exclusiveServices() {
		input := d.plannerInput(now, service, shards[service])
		if finished := d.finishableMoves(now, shards[service]); len(finished) > 0 {
			commands = append(commands, finishMovesCommands(finished)...)
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
		commands = append(commands, d.planCommands(now, plan, shards[service])...)
	}
	return commands
}

// hasTimedWait reports whether a plan may become possible just by the passing of time, without a change of the table: a
// service waits for its first targets, or shards of unattached targets wait for the expiry of a host lease.
func (d *Driver) hasTimedWait() bool {
	if d.planner.awaitingTargets {
		return true
	}
	for _, record := range d.targetRecords {
		if record.AttachedHost == "" && len(d.table.ShardsOf(record.Announcement.Target)) > 0 {
			return true
		}
	}
	return false
}

// exclusiveServices returns the services of the current configuration whose keys have exactly one owner.
func (d *Driver) exclusiveServices() []string {
	var names []string
	for _, service := range d.table.ControlView().GetConfiguration().GetServices() {
		if service.Kind == schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE {
			names = append(names, service.Name)
		}
	}
	return names
}

// movesLeft returns the number of planned moves that the limit per minute still allows. It also forgets old moves.
func (d *Driver) movesLeft(now time.Duration) int {
	for len(d.planner.moveTimes) > 0 && now-d.planner.moveTimes[0] >= time.Minute {
		d.planner.moveTimes = d.planner.moveTimes[1:]
	}
	for key, at := range d.planner.movedAt {
		if now-at >= rebalanceCooldown {
			delete(d.planner.movedAt, key)
		}
	}
	return max(movesPerMinute(d.table)-len(d.planner.moveTimes), 0)
}

// movesPerMinute returns the limit of planned moves: that of the data centre, else that of the configuration, else the default.
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

// plannerInput returns the planner's input for a service, or nil if the service has no targets or waits for its first ones.
func (d *Driver) plannerInput(now time.Duration, service string, shards []*schemav1.ShardRecord) *placement.Input {
	targets := d.table.TargetsOf(service)
	if len(targets) == 0 {
		return nil
	}
	if _, ok := d.planner.firstTargetSeenAt[service]; !ok {
		d.planner.firstTargetSeenAt[service] = now
		if d.anyEstablished(targets) {
			d.planner.firstTargetSeenAt[service] = now - firstTargetsWait
		}
	}
	d.observeStragglers(now, targets)
	input := &placement.Input{}
	owned := map[string]int{}
	for _, shard := range shards {
		owned[shard.Target]++
	}
	if owned[""] == len(shards) && now-d.planner.firstTargetSeenAt[service] < firstTargetsWait {
		d.planner.awaitingTargets = true
		return nil
	}
	for _, record := range targets {
		input.Targets = append(input.Targets, d.targetInput(now, record, owned[record.Announcement.Target] > 0))
	}
	for _, shard := range shards {
		input.Shards = append(input.Shards, d.shardInput(now, shard, owned[shard.Target]))
	}
	return input
}

// anyEstablished reports whether any of the targets was registered before this leader started.
func (d *Driver) anyEstablished(targets []*schemav1.TargetRecord) bool {
	return slices.ContainsFunc(targets, func(record *schemav1.TargetRecord) bool {
		observed := d.targets[record.Announcement.Target]
		return observed != nil && observed.established
	})
}

// targetInput describes a target to the planner. owner is set if the target owns shards: then a back-off after a return does
// not make it count as lost.
func (d *Driver) targetInput(now time.Duration, record *schemav1.TargetRecord, owner bool) placement.Target {
	a := record.Announcement
	observed := d.targets[a.Target]
	target := placement.Target{Name: a.Target, Capacity: float64(max(min(a.Slots, maxSlots), 1))}
	switch {
	case record.Lost || record.AttachedHost == "" || observed == nil:
		target.State = placement.Lost
	case a.Draining:
		target.State = placement.Draining
	case now < observed.backOffUntil && !owner:
		target.State = placement.Lost
	case !observed.established && now-observed.bootSeenAt < coldStartDuration:
		target.State = placement.Cold
	}
	target.Straggler = observed != nil && observed.straggler
	return target
}

// shardInput describes a shard to the planner. Only the loads of targets and of hot keys are measured, so the load of a
// target without its hot keys is divided equally among the ownersShards shards that it owns.
func (d *Driver) shardInput(now time.Duration, record *schemav1.ShardRecord, ownersShards int) placement.Shard {
	shard := placement.Shard{
		ID:    placement.ShardID{Keyspace: record.Keyspace, Shard: record.Shard, Hot: record.Hot, KeyHash: record.KeyHash},
		Owner: record.Target,
	}
	if movedAt, ok := d.planner.movedAt[shardKeyOf(record)]; ok && now-movedAt < rebalanceCooldown {
		shard.RecentlyMoved = true
	}
	owner, ok := d.table.Target(record.Target)
	if !ok {
		return shard
	}
	observed := d.targets[record.Target]
	if observed == nil {
		shard.Pinned = true
		return shard
	}
	moving := record.State == schemav1.ShardState_SHARD_STATE_MOVING
	if owner.Lost && !moving && d.previousHostStopped(now, observed, owner) {
		shard.Owner = ""
	}
	shard.Pinned = moving || owner.AttachedHost == ""
	capacity := float64(max(min(owner.Announcement.Slots, maxSlots), 1))
	shard.Load = d.planner.hotKeys.byShard[shardKeyOf(record)] * capacity
	if record.Hot {
		// A hot key below the merge threshold does not move, because it is going to be merged into its shard.
		hot := d.hotKeys[hotKeyOf(record.Keyspace, record.KeyHash)]
		shard.Pinned = shard.Pinned || hot != nil && hot.belowMerge
		return shard
	}
	shard.Load += max(observed.utilisation-d.planner.hotKeys.byTarget[record.Target], 0) * capacity / float64(max(ownersShards, 1))
	return shard
}

// finishableMoves returns the moving shards whose owner is lost and certain to receive no more requests.
func (d *Driver) finishableMoves(now time.Duration, shards []*schemav1.ShardRecord) []*schemav1.ShardRecord {
	var finished []*schemav1.ShardRecord
	for _, shard := range shards {
		owner, ok := d.table.Target(shard.Target)
		if shard.State != schemav1.ShardState_SHARD_STATE_MOVING || !ok || !owner.Lost {
			continue
		}
		if observed := d.targets[shard.Target]; observed != nil && d.previousHostStopped(now, observed, owner) {
			finished = append(finished, shard)
		}
	}
	return finished
}

// finishMovesCommands returns the commands that complete the moves of shards.
func finishMovesCommands(shards []*schemav1.ShardRecord) []*schemav1.GroupCommand {
	var changes []*schemav1.ShardAssignment
	for _, shard := range shards {
		changes = append(changes, assignmentOf(shard, shard.NextTarget))
	}
	return batchCommands(changes, func(part []*schemav1.ShardAssignment) *schemav1.GroupCommand {
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishMoves{
			FinishMoves: &schemav1.FinishMoves{Moves: part},
		}}
	})
}

// assignmentOf returns the change that gives a shard to target, valid only while the shard has its present fence.
func assignmentOf(record *schemav1.ShardRecord, target string) *schemav1.ShardAssignment {
	return &schemav1.ShardAssignment{
		Keyspace: record.Keyspace, Shard: record.Shard, Hot: record.Hot, KeyHash: record.KeyHash, Target: target,
		ExpectedFenceCounter: record.Fence.GetCounter(),
	}
}

// planCommands turns a plan into commands. Each change takes effect only if the shard is still in the state that the plan was
// made from.
func (d *Driver) planCommands(now time.Duration, plan placement.Plan, shards []*schemav1.ShardRecord) []*schemav1.GroupCommand {
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
		d.planner.moveTimes = append(d.planner.moveTimes, now)
		d.planner.movedAt[shardKeyOf(records[change.ID])] = now
		d.logChange("move", records[change.ID], change)
	}
	commands := batchCommands(assigned, func(part []*schemav1.ShardAssignment) *schemav1.GroupCommand {
		return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AssignShards{
			AssignShards: &schemav1.AssignShards{Assignments: part},
		}}
	})
	return append(commands, batchCommands(moved, startMovesCommand)...)
}

// startMovesCommand returns the command that starts the given moves.
func startMovesCommand(part []*schemav1.ShardAssignment) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_StartMoves{
		StartMoves: &schemav1.StartMoves{Moves: part},
	}}
}

// batchCommands wraps changes into commands of at most maxAssignmentsPerCommand each.
func batchCommands(changes []*schemav1.ShardAssignment, wrap func([]*schemav1.ShardAssignment) *schemav1.GroupCommand) []*schemav1.GroupCommand {
	var commands []*schemav1.GroupCommand
	for len(changes) > 0 {
		part := changes[:min(maxAssignmentsPerCommand, len(changes))]
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
