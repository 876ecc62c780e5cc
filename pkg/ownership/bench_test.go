package ownership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// The sizes of one data centre: what a user has today, and a 23rd of the size to design for (95 targets, 2,849 shards).
var benchSizes = []struct {
	hosts, targets int
	shards         uint32
}{{3, 15, 256}, {12, 95, 2849}}

// benchGroup returns a settled group.
func benchGroup(b *testing.B, hosts, targets int, shards uint32) *single {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	s := newSingle(hosts, shards)
	for i := range targets {
		s.apply(register(announcement(fmt.Sprintf("t%d", i), "b1", 1)))
	}
	s.sequence = 1
	s.advance(5*time.Second, quiet)
	return s
}

// BenchmarkStep measures the driver on an idle leader, at 50 steps a second with a planning round each second.
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

// BenchmarkRound measures a step with a planning round.
func BenchmarkRound(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d hosts, %d targets, %d shards", size.hosts, size.targets, size.shards), func(b *testing.B) {
			s := benchGroup(b, size.hosts, size.targets, size.shards)
			for b.Loop() {
				b.StopTimer()
				s.advance(time.Second-20*time.Millisecond, quiet)
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

// BenchmarkAssignment measures the look-up of the request path, from all processors at once.
func BenchmarkAssignment(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	l := newLog()
	l.apply(setView(view(1, 2, 65536)))
	for i := range 96 {
		l.apply(register(announcement(fmt.Sprintf("t%d", i), "b1", 1)))
	}
	var changes []*schemav1.ShardAssignment
	for shard := range uint32(65536) {
		changes = append(changes, change(shard, fmt.Sprintf("t%d", shard%96), 0, 0))
	}
	l.apply(assign(changes...))
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for shard := uint32(0); pb.Next(); shard++ {
			if _, ok := l.table.Assignment(keyspaceID, shard%65536, uint64(shard)); !ok {
				b.Fail()
			}
		}
	})
}
