package ownership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// benchSizes are sizes of one data centre: that of a present deployment, and 95 targets and 2,849 shards, a 23rd of the design
// size.
var benchSizes = []struct {
	hosts, targets int
	shards         uint32
}{{3, 15, 256}, {12, 95, 2849}}

// benchGroup returns a leader whose targets own all shards.
func benchGroup(b *testing.B, hosts, targets int, shards uint32) *testLeader {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	s := newTestLeader(hosts, shards)
	for i := range targets {
		s.apply(registerTarget(announcement(fmt.Sprintf("t%d", i), "b1", 1)))
	}
	s.sequence = 1
	s.advance(5*time.Second, idleReport)
	return s
}

// BenchmarkStep measures a step of the driver on an idle leader. The time advances by 1 µs per step, so that nearly all steps
// are without a planning round; a leader makes one round per second.
func BenchmarkStep(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d hosts, %d targets, %d shards", size.hosts, size.targets, size.shards), func(b *testing.B) {
			s := benchGroup(b, size.hosts, size.targets, size.shards)
			b.ReportAllocs()
			for b.Loop() {
				s.now += time.Microsecond // leases stay valid
				s.driver.Step(s.now)
			}
		})
	}
}

// BenchmarkRound measures a step that includes a planning round.
func BenchmarkRound(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d hosts, %d targets, %d shards", size.hosts, size.targets, size.shards), func(b *testing.B) {
			s := benchGroup(b, size.hosts, size.targets, size.shards)
			for b.Loop() {
				b.StopTimer()
				s.advance(time.Second-20*time.Millisecond, idleReport)
				s.now += 20 * time.Millisecond
				b.StartTimer()
				s.driver.Step(s.now)
			}
		})
	}
}

// BenchmarkRenew measures one lease renewal with reports.
func BenchmarkRenew(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d hosts, %d targets, %d shards", size.hosts, size.targets, size.shards), func(b *testing.B) {
			s := benchGroup(b, size.hosts, size.targets, size.shards)
			request := &schemav1.RenewRequest{Host: "h1", Identity: 1, Generation: 1, Applied: s.table.AppliedIndex()}
			for _, record := range s.table.TargetsAttachedTo("h1") {
				request.Targets = append(request.Targets, &schemav1.TargetReport{
					Target: record.Announcement.Target, BootId: "b1", LatencyP50Us: 1000, Utilisation: 0.5,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				s.driver.Renew(s.now, request)
			}
		})
	}
}

// BenchmarkAssignment measures the look-up on the request path, on all processors at the same time.
func BenchmarkAssignment(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	rep := newReplica()
	rep.apply(setView(controlView(1, 2, 65536)))
	for i := range 96 {
		rep.apply(registerTarget(announcement(fmt.Sprintf("t%d", i), "b1", 1)))
	}
	var changes []*schemav1.ShardAssignment
	for shard := range uint32(65536) {
		changes = append(changes, shardChange(shard, fmt.Sprintf("t%d", shard%96), 0, 0))
	}
	rep.apply(assignShards(changes...))
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for shard := uint32(0); pb.Next(); shard++ {
			if _, ok := rep.table.Assignment(keyspaceID, shard%65536, uint64(shard)); !ok {
				b.Fail()
			}
		}
	})
}
