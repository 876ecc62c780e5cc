package ownership

import (
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Apply applies a serialised GroupCommand and returns a serialised GroupResult. It is deterministic. An unknown or
// malformed command changes nothing: every replica must skip it in the same way.
func (t *Table) Apply(index uint64, command []byte) []byte {
	var decoded schemav1.GroupCommand
	if err := proto.Unmarshal(command, &decoded); err != nil {
		klog.ErrorS(err, "skipping malformed group command", "index", index)
		decoded.Reset()
	}
	encoded, err := proto.Marshal(t.ApplyCommand(index, &decoded))
	if err != nil {
		klog.ErrorS(err, "encoding group result", "index", index)
	}
	return encoded
}

// ApplyCommand is Apply on decoded messages. The table keeps parts of command; the caller must not change it after.
func (t *Table) ApplyCommand(index uint64, command *schemav1.GroupCommand) *schemav1.GroupResult {
	t.mu.Lock()
	result, visible := t.dispatch(command)
	t.applied.Store(index)
	changed := visible && result.Applied
	if changed {
		t.changes.Add(1)
	}
	t.mu.Unlock()
	if changed {
		t.notify()
	}
	return result
}

// dispatch reports also whether the command changes what Changed announces.
func (t *Table) dispatch(command *schemav1.GroupCommand) (result *schemav1.GroupResult, visible bool) {
	switch c := command.Command.(type) {
	case *schemav1.GroupCommand_BeginRecord:
		return t.beginRecord(c.BeginRecord.GetRecord()), false
	case *schemav1.GroupCommand_FinishRecord:
		return t.records.finish(c.FinishRecord), false
	case *schemav1.GroupCommand_ExpireRecords:
		return &schemav1.GroupResult{Applied: t.records.expire(c.ExpireRecords.GetBeforeUnixMs())}, false
	default:
		return &schemav1.GroupResult{Applied: t.applyPlacement(command)}, true
	}
}

// beginRecord refuses a host process that the control group has removed: nobody would finish its record.
func (t *Table) beginRecord(record *schemav1.IdempotencyRecord) *schemav1.GroupResult {
	hosts := t.view.Load().Hosts
	if len(hosts) > 0 && !present(hosts, record.GetHost(), record.GetHostIdentity()) {
		return &schemav1.GroupResult{Record: t.records.byID[string(record.GetId())]}
	}
	return t.records.begin(record)
}

// applyPlacement applies commands about targets, shards and the control view.
func (t *Table) applyPlacement(command *schemav1.GroupCommand) bool {
	switch c := command.Command.(type) {
	case *schemav1.GroupCommand_RegisterTarget:
		return t.registerTarget(c.RegisterTarget.GetAnnouncement())
	case *schemav1.GroupCommand_MarkTargetLost:
		return t.markTargetLost(c.MarkTargetLost)
	case *schemav1.GroupCommand_SetTargetWarm:
		return t.setTargetWarm(c.SetTargetWarm)
	case *schemav1.GroupCommand_AttachTarget:
		return t.attachTarget(c.AttachTarget)
	case *schemav1.GroupCommand_AssignShards:
		return t.eachAssignment(c.AssignShards.GetAssignments(), t.assignShard)
	case *schemav1.GroupCommand_StartMoves:
		return t.eachAssignment(c.StartMoves.GetMoves(), t.startMove)
	case *schemav1.GroupCommand_FinishMoves:
		return t.eachAssignment(c.FinishMoves.GetMoves(), t.finishMove)
	case *schemav1.GroupCommand_SetControlView:
		return t.setControlView(c.SetControlView.GetView())
	case *schemav1.GroupCommand_SplitHotKey:
		return t.splitHotKey(c.SplitHotKey)
	case *schemav1.GroupCommand_MergeHotKey:
		return t.mergeHotKey(c.MergeHotKey)
	default:
		return false
	}
}

// eachAssignment reports whether any of the changes applied; each one is guarded on its own.
func (t *Table) eachAssignment(changes []*schemav1.ShardAssignment, apply func(*schemav1.ShardAssignment) bool) bool {
	applied := false
	for _, change := range changes {
		if change != nil && apply(change) {
			applied = true
		}
	}
	return applied
}

// nextFence returns the next fence for a shard of the given delegation epoch. The counter is shared by all shards, so
// it never goes back, not even for a shard that is delegated away and returns.
func (t *Table) nextFence(epoch uint64) *schemav1.Fence {
	t.fenceCounter++
	return &schemav1.Fence{Epoch: epoch, Generation: t.generation, Counter: t.fenceCounter}
}
