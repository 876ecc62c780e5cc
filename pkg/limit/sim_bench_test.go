package limit

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Fleets of the two users; both have lookups of about 10 ms.
var fleets = []struct{ targets, slots int }{{30, 2}, {20, 3}}

func overload(targets, slots int, load float64, admitAll bool) simulation {
	return simulation{
		targets: targets, slots: slots, service: 10 * time.Millisecond, load: load, length: 10 * time.Second,
		admitAll: admitAll, tenants: []simTenant{{share: 1, deadline: 250 * time.Millisecond}},
	}
}

// BenchmarkGoodput reports answers within the deadline as a part of the capacity, and answers that came too late.
func BenchmarkGoodput(b *testing.B) {
	for _, fleet := range fleets {
		for _, load := range []float64{0.5, 1, 1.5, 3} {
			for _, admitAll := range []bool{false, true} {
				name := fmt.Sprintf("targets=%d/slots=%d/load=%.1f/early=%t", fleet.targets, fleet.slots, load, !admitAll)
				b.Run(name, func(b *testing.B) {
					var result simResult
					for range b.N {
						result = overload(fleet.targets, fleet.slots, load, admitAll).run()
					}
					offered := float64(result.offered[0])
					b.ReportMetric(result.goodput, "goodput/capacity")
					b.ReportMetric(float64(result.late[0])/offered, "late/offered")
					b.ReportMetric(float64(result.refused[0])/offered, "refused/offered")
				})
			}
		}
	}
}

// BenchmarkFairness reports what two tenants of equal weight get when the first offers ten times the load of the second.
func BenchmarkFairness(b *testing.B) {
	for _, load := range []float64{1, 1.5, 3} {
		b.Run(fmt.Sprintf("load=%.1f", load), func(b *testing.B) {
			s := overload(30, 2, load, false)
			s.tenants = []simTenant{
				{share: 10.0 / 11, deadline: 250 * time.Millisecond}, {share: 1.0 / 11, deadline: 250 * time.Millisecond},
			}
			var result simResult
			for range b.N {
				result = s.run()
			}
			b.ReportMetric(float64(result.good[0])/float64(result.offered[0]), "loud-good/offered")
			b.ReportMetric(float64(result.good[1])/float64(result.offered[1]), "quiet-good/offered")
			b.ReportMetric(result.goodput, "goodput/capacity")
		})
	}
}

// BenchmarkAcquire is the cost of one admission and release without waiting.
func BenchmarkAcquire(b *testing.B) {
	gate := NewGate(Options{Slots: 2})
	gate.core.ramp.step = rampSteps
	b.ReportAllocs()
	for range b.N {
		permit, err := gate.Acquire(context.Background(), Ticket{Deadline: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(Outcome{Latency: time.Millisecond})
	}
}

// BenchmarkEnqueue is the cost of one decision with a queue that holds 63 others of 4 tenants: queue, admit, release.
func BenchmarkEnqueue(b *testing.B) {
	c := newCore(2, DefaultMaxQueue, 0)
	c.ramp.step = rampSteps
	c.settled = func(*waiter, error) {}
	tenants := []string{"a", "b", "c", "d"}
	for i := range 65 {
		w := newWaiter(Ticket{Tenant: tenants[i%4], Deadline: time.Hour}, 0)
		if !c.startNow(0, w.class) && c.enqueue(0, w) != nil {
			b.Fatal("the queue is too short")
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i)
		w := newWaiter(Ticket{Tenant: tenants[i%4], Deadline: time.Hour}, now)
		if err := c.enqueue(now, w); err != nil {
			b.Fatal(err)
		}
		c.finish(now, w.class, now, Outcome{Latency: time.Millisecond})
		c.advance(now)
	}
}

// BenchmarkRefuse is the cost of one early refusal, which is what a host does most under overload.
func BenchmarkRefuse(b *testing.B) {
	c := newCore(1, DefaultMaxQueue, 0)
	c.ramp.step = rampSteps
	c.startNow(0, 1)
	c.times[1] = time.Second
	b.ReportAllocs()
	for range b.N {
		if c.enqueue(0, newWaiter(Ticket{Deadline: time.Millisecond}, 0)) == nil {
			b.Fatal("not refused")
		}
	}
}
