package ownership

import (
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Apply applies a serialised GroupCommand and returns a serialised GroupResult. It is deterministic: every replica must skip
// an unknown or malformed command in the same way, so such a command changes nothing.
func (t *Table) Apply(index uint64, command []byte) []byte {
	var decoded schemav1.GroupCommand
	if err := proto.Unmarshal(command, &decoded); err != nil {
		klog.ErrorS(err, "skipping malformed group command", "index", index)
		decoded.Reset()
	}
	encoded, err := proto.Marshal(t.ApplyCommand(index, &decoded))
	if err != nil {
		klog.ErrorS(err, "cannot encode the result of a group command", "index", index)
	}
	return encoded
}

// ApplyCommand is like Apply for decoded messages. The table keeps references into command, so the caller must not modify it
// afterwards.
func (t *Table) ApplyCommand(index uint64, command *schemav1.GroupCommand) *schemav1.GroupResult {
	t.mu.Lock()
	result, notifies := t.dispatch(command)
	t.appliedIndex.Store(index)
	changed := notifies && result.Applied
	if changed {
		t.changeCount.Add(1)
	}
	t.mu.Unlock()
	if changed {
		t.notify()
	}
	return result
}

// dispatch applies a command. notifies is set for the kinds of command whose changes close the channel returned by Changed.
func (t *Table) dispatch(command *schemav1.GroupCommand) (result *schemav1.GroupResult, notifies bool) {
	switch c := command.Command.(type) {
	case *schemav1.GroupCommand_BeginRecord:
		return t.beginRecord(c.BeginRecord.GetRecord()), false
	case *schemav1.GroupCommand_FinishRecord:
		return t.idempotencyRecords.finish(c.FinishRecord), false
	case *schemav1.GroupCommand_ExpireRecords:
		return &schemav1.GroupResult{Applied: t.idempotencyRecords.expire(c.ExpireRecords.GetMinutes())}, false
	default:
		return &schemav1.GroupResult{Applied: t.applyPlacement(command)}, true
	}
}

// beginRecord begins an idempotency record. It refuses a host process that the control group has removed, because nobody would
// finish its record.
func (t *Table) beginRecord(record *schemav1.IdempotencyRecord) *schemav1.GroupResult {
	hosts := t.view.Load().Hosts
	if len(hosts) > 0 && !containsHost(hosts, record.GetHost(), record.GetHostIdentity()) {
		return &schemav1.GroupResult{Record: t.idempotencyRecords.byID[string(record.GetId())]}
	}
	return t.idempotencyRecords.begin(record)
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
	case *schemav1.GroupCommand_SetTargetLeaving:
		return t.setTargetLeaving(c.SetTargetLeaving)
	case *schemav1.GroupCommand_AttachTarget:
		return t.attachTarget(c.AttachTarget)
	case *schemav1.GroupCommand_AssignShards:
		return t.applyEach(c.AssignShards.GetAssignments(), t.assignShard)
	case *schemav1.GroupCommand_StartMoves:
		return t.applyEach(c.StartMoves.GetMoves(), t.startMove)
	case *schemav1.GroupCommand_FinishMoves:
		return t.applyEach(c.FinishMoves.GetMoves(), t.finishMove)
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

// applyEach applies each change by itself and reports whether at least one took effect.
func (t *Table) applyEach(changes []*schemav1.ShardAssignment, apply func(*schemav1.ShardAssignment) bool) bool {
	applied := false
	for _, change := range changes {
		if change != nil && apply(change) {
			applied = true
		}
	}
	return applied
}

// nextFence returns the next fence for a shard of the given delegation epoch. All shards share one counter, so that fences
// increase even for a shard that is delegated to another data centre and back.
func (t *Table) nextFence(epoch uint64) *schemav1.Fence {
	t.fenceCounter++
	return &schemav1.Fence{Epoch: epoch, Generation: t.generation, Counter: t.fenceCounter}
}
