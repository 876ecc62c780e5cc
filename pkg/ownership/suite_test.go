package ownership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

const (
	dataCentre = "seoul-gangnam"
	service    = "fitting-desk"
	keyspaceID = "fitting-desk/*"
)

// replica applies commands to a table in serialised form and with increasing log indexes.
type replica struct {
	table *ownership.Table
	index uint64
}

func (rep *replica) apply(command *schemav1.GroupCommand) *schemav1.GroupResult {
	rep.index++
	encoded, err := proto.Marshal(command)
	Expect(err).NotTo(HaveOccurred())
	var result schemav1.GroupResult
	Expect(proto.Unmarshal(rep.table.Apply(rep.index, encoded), &result)).To(Succeed())
	return &result
}

func newReplica() *replica {
	return &replica{table: ownership.NewTable(dataCentre, 1)}
}

func announcement(target, boot string, sequence uint64) *schemav1.Announcement {
	return &schemav1.Announcement{
		Target: target, Service: service, Address: target + ":80", BootId: boot, Sequence: sequence, Slots: 2,
		MaxConnections: 130, DataCentre: dataCentre, Capabilities: &schemav1.TargetCapabilities{Fence: true},
	}
}

func registerTarget(a *schemav1.Announcement) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_RegisterTarget{
		RegisterTarget: &schemav1.RegisterTarget{Announcement: a},
	}}
}

// markT1Lost returns the command that marks boot b1 of target t1 as lost.
func markT1Lost() *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_MarkTargetLost{
		MarkTargetLost: &schemav1.MarkTargetLost{Target: "t1", BootId: "b1"},
	}}
}

func attachTarget(target, host string, expected uint64) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AttachTarget{
		AttachTarget: &schemav1.AttachTarget{Target: target, Host: host, ExpectedAttachment: expected},
	}}
}

func shardChange(shard uint32, target string, fence, attachment uint64) *schemav1.ShardAssignment {
	return &schemav1.ShardAssignment{
		Keyspace: keyspaceID, Shard: shard, Target: target, ExpectedFenceCounter: fence,
		ExpectedOwnerAttachment: attachment,
	}
}

func assignShards(a ...*schemav1.ShardAssignment) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AssignShards{
		AssignShards: &schemav1.AssignShards{Assignments: a},
	}}
}

func startMove(a ...*schemav1.ShardAssignment) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_StartMoves{StartMoves: &schemav1.StartMoves{Moves: a}}}
}

func finishMove(a ...*schemav1.ShardAssignment) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishMoves{FinishMoves: &schemav1.FinishMoves{Moves: a}}}
}

func setView(v *schemav1.ControlView) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetControlView{
		SetControlView: &schemav1.SetControlView{View: v},
	}}
}

// controlView returns a view with hosts h1 to hN, whose identities are 1 to N, that delegates all shards to this data centre
// under epoch 1.
func controlView(index uint64, hosts int, shards uint32) *schemav1.ControlView {
	v := &schemav1.ControlView{
		Index: index,
		Configuration: &schemav1.Configuration{Services: []*schemav1.Service{
			{Name: service, Kind: schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE, Shards: shards},
		}},
		Delegations: []*schemav1.KeyspaceDelegation{{
			Keyspace: keyspaceID, Service: service, Shards: shards,
			Runs: []*schemav1.DelegationRun{{FirstShard: 0, Count: shards, DataCentre: dataCentre, Epoch: 1}},
		}},
	}
	for i := 1; i <= hosts; i++ {
		v.Hosts = append(v.Hosts, &schemav1.Host{
			Name: fmt.Sprintf("h%d", i), Identity: uint64(i), DataCentre: dataCentre, //nolint:gosec // small and positive
		})
	}
	return v
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
