package capacity_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/ownership"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const keyspaceName = "desk/*"

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// applyCommand applies a command to a table at the next log index. It fails the benchmark if the command has no effect.
func applyCommand(b *testing.B, table *ownership.Table, index *uint64, command *schemav1.GroupCommand) {
	b.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		b.Fatal(err)
	}
	*index++
	var result schemav1.GroupResult
	if err := proto.Unmarshal(table.Apply(*index, data), &result); err != nil || !result.GetApplied() {
		b.Fatalf("command %d not applied: %v", *index, err)
	}
}

// newHosts returns hosts in 23 data centres and 7 regions.
func newHosts(count int) []*schemav1.Host {
	list := make([]*schemav1.Host, 0, count)
	for i := range count {
		list = append(list, &schemav1.Host{
			Name: fmt.Sprintf("dc-%02d-host-%04d", i%23, i), Identity: uint64(i)<<32 + 12345, //nolint:gosec // small
			DataCentre: fmt.Sprintf("dc-%02d", i%23), Region: fmt.Sprintf("region-%d", i%7),
			RpcAddress: "10.20.30.40:8082", DataAddress: "10.20.30.40:8081", StartedUnixMs: 1_790_000_000_000,
		})
	}
	return list
}

// newDelegation returns a delegation of all shards to data centre dc-00, in runs of equal size.
func newDelegation(shards, runs uint32) *schemav1.KeyspaceDelegation {
	delegation := &schemav1.KeyspaceDelegation{Keyspace: keyspaceName, Service: "desk", Shards: shards}
	for i := range runs {
		delegation.Runs = append(delegation.Runs, &schemav1.DelegationRun{
			FirstShard: i * (shards / runs), Count: shards / runs, DataCentre: "dc-00", Epoch: uint64(i) + 1,
		})
	}
	return delegation
}

func newAnnouncement(i int) *schemav1.Announcement {
	return &schemav1.Announcement{
		Target: fmt.Sprintf("desk-%05d", i), Service: "desk", Address: "10.20.40.50:9080", DataCentre: "dc-00",
		BootId: "0d5b2c9e-8f7e-4f1c-9d2a-0b1c2d3e4f50", Sequence: 1, Slots: 2, MaxConnections: 130,
		Capabilities: &schemav1.TargetCapabilities{Fence: true, Drain: true, Deadline: true, Cancel: true, Load: true},
	}
}

// newTable returns the table of a data centre group with its targets registered and all shards assigned.
func newTable(b *testing.B, targets int, shards uint32) *ownership.Table {
	b.Helper()
	table := ownership.NewTable("dc-00", 1)
	index := uint64(0)
	applyCommand(b, table, &index, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_SetControlView{
		SetControlView: &schemav1.SetControlView{View: &schemav1.ControlView{
			Index: 1, Hosts: newHosts(96), Delegations: []*schemav1.KeyspaceDelegation{newDelegation(shards, 1)},
		}},
	}})
	for i := range targets {
		applyCommand(b, table, &index, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_RegisterTarget{
			RegisterTarget: &schemav1.RegisterTarget{Announcement: newAnnouncement(i)},
		}})
	}
	assign := &schemav1.AssignShards{}
	for shard := range shards {
		assign.Assignments = append(assign.Assignments, &schemav1.ShardAssignment{
			Keyspace: keyspaceName, Shard: shard, Target: newAnnouncement(int(shard) % targets).GetTarget(),
		})
	}
	applyCommand(b, table, &index, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_AssignShards{AssignShards: assign}})
	return table
}

// BenchmarkTableMemory measures the memory of the table that every host of a data centre keeps, and the size of its snapshot.
func BenchmarkTableMemory(b *testing.B) {
	for _, size := range []struct {
		targets int
		shards  uint32
	}{{96, 256}, {96, 4096}, {96, 16384}, {96, 65536}, {24, 4096}, {384, 4096}} {
		b.Run(fmt.Sprintf("targets=%d/shards=%d", size.targets, size.shards), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				table := newTable(b, size.targets, size.shards)
				used := heapInUse() - before
				snapshot, err := table.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(used, "heap-B")
				b.ReportMetric(used/float64(size.shards), "heap-B/shard")
				b.ReportMetric(float64(len(snapshot)), "snapshot-B")
				runtime.KeepAlive(table)
			}
		})
	}
}

// BenchmarkViewSize measures the size of the control view, which after each change is sent to the leader of each data centre
// group and from there to each host.
func BenchmarkViewSize(b *testing.B) {
	for _, size := range []struct {
		hosts int
		runs  uint32
	}{{12, 1}, {240, 1}, {720, 1}, {2200, 1}, {2200, 256}, {2200, 4096}} {
		b.Run(fmt.Sprintf("hosts=%d/runs=%d", size.hosts, size.runs), func(b *testing.B) {
			view := &schemav1.ControlView{Hosts: newHosts(size.hosts), Delegations: []*schemav1.KeyspaceDelegation{newDelegation(65536, size.runs)}}
			var data []byte
			for b.Loop() {
				data, _ = proto.Marshal(view)
			}
			b.ReportMetric(float64(len(data)), "view-B")
			b.ReportMetric(float64(len(data))/float64(size.hosts), "view-B/host")
		})
	}
}

// BenchmarkControlState measures the memory and the snapshot size of a member of the control group, by number of hosts.
func BenchmarkControlState(b *testing.B) {
	for _, count := range []int{240, 720, 2200} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				state := newControlState(b, count)
				used := heapInUse() - before
				snapshot, err := state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(used, "heap-B")
				b.ReportMetric(used/float64(count), "heap-B/host")
				b.ReportMetric(float64(len(snapshot)), "snapshot-B")
				runtime.KeepAlive(state)
			}
		})
	}
}

func newControlState(b *testing.B, count int) *control.State {
	b.Helper()
	state := control.NewState()
	for i, host := range newHosts(count) {
		data, err := proto.Marshal(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_Join{Join: &schemav1.JoinHost{Host: host}}})
		if err != nil {
			b.Fatal(err)
		}
		state.Apply(uint64(i)+1, data) //nolint:gosec // small
	}
	return state
}

// BenchmarkControlPoll measures the CPU time that the leader of the control group needs for one poll of a data centre leader
// and for one of its own steps, by number of hosts.
func BenchmarkControlPoll(b *testing.B) {
	for _, count := range []int{240, 720, 2200} {
		state := newControlState(b, count)
		driver := control.NewDriver(state, 0)
		poll := &schemav1.PollRequest{Host: "dc-00-host-0000", DataCentre: "dc-00", LeadsGroup: true, HasLeader: true}
		for _, host := range state.Hosts() {
			if host.GetDataCentre() == "dc-00" {
				poll.LiveHosts = append(poll.LiveHosts, host.GetName())
			}
		}
		b.Run(fmt.Sprintf("observe/hosts=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				driver.RecordPoll(time.Second, poll)
			}
		})
		b.Run(fmt.Sprintf("step/hosts=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				driver.Step(time.Second)
			}
		})
	}
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRenewWire measures the bytes on the connection (in both directions, without TCP headers) and the CPU time of one
// lease renewal, by number of attached targets.
func BenchmarkRenewWire(b *testing.B) {
	for _, targets := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			counting := &countingListener{Listener: listener}
			server := rpc.NewServer(rpc.ServerOptions{})
			rpc.Register(server, "Group.Renew", func(context.Context, *schemav1.RenewRequest) (*schemav1.RenewResponse, error) {
				return &schemav1.RenewResponse{Granted: true, LeaseMs: 450}, nil
			})
			go func() { _ = server.Serve(counting) }()
			defer server.Close()
			client := rpc.NewClient(rpc.ClientOptions{})
			defer client.Close()
			request := &schemav1.RenewRequest{Host: "dc-00-host-0000", Identity: 1 << 60, Generation: 3, Applied: 1 << 30}
			for i := range targets {
				a := newAnnouncement(i)
				request.Targets = append(request.Targets, &schemav1.TargetReport{
					Target: a.GetTarget(), BootId: a.GetBootId(), Utilisation: 0.5, LatencyP50Us: 4000,
				})
			}
			for b.Loop() {
				if err := client.Call(context.Background(), listener.Addr().String(), "Group.Renew", request, &schemav1.RenewResponse{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(counting.bytes.Load())/float64(b.N), "wire-B/call")
		})
	}
}
