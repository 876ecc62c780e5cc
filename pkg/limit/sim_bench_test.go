package limit

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// fleets are the target counts and slots of the two users; both have lookups of about 10 ms.
var fleets = []struct{ targets, slots int }{{30, 2}, {20, 3}}

func overloadSimulation(targets, slots int, load float64, disableEarlyRefusal bool) simulation {
	return simulation{
		targets: targets, slots: slots, service: 10 * time.Millisecond, load: load, length: 10 * time.Second,
		disableEarlyRefusal: disableEarlyRefusal, tenants: []simTenant{{share: 1, deadline: 250 * time.Millisecond}},
	}
}

// BenchmarkGoodput reports the responses within the deadline as a fraction of the capacity, and the late responses.
func BenchmarkGoodput(b *testing.B) {
	for _, fleet := range fleets {
		for _, load := range []float64{0.5, 1, 1.5, 3} {
			for _, disableEarlyRefusal := range []bool{false, true} {
				name := fmt.Sprintf("targets=%d/slots=%d/load=%.1f/early=%t", fleet.targets, fleet.slots, load, !disableEarlyRefusal)
				b.Run(name, func(b *testing.B) {
					var result simResult
					for range b.N {
						result = overloadSimulation(fleet.targets, fleet.slots, load, disableEarlyRefusal).run()
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

// BenchmarkFairness reports the responses in time of two tenants of equal weight, the first with ten times the load.
func BenchmarkFairness(b *testing.B) {
	for _, load := range []float64{1, 1.5, 3} {
		b.Run(fmt.Sprintf("load=%.1f", load), func(b *testing.B) {
			s := overloadSimulation(30, 2, load, false)
			s.tenants = []simTenant{
				{share: 10.0 / 11, deadline: 250 * time.Millisecond}, {share: 1.0 / 11, deadline: 250 * time.Millisecond},
			}
			var result simResult
			for range b.N {
				result = s.run()
			}
			b.ReportMetric(float64(result.inTime[0])/float64(result.offered[0]), "loud-good/offered")
			b.ReportMetric(float64(result.inTime[1])/float64(result.offered[1]), "quiet-good/offered")
			b.ReportMetric(result.goodput, "goodput/capacity")
		})
	}
}

// BenchmarkAcquire measures one admission and release without waiting.
func BenchmarkAcquire(b *testing.B) {
	gate := NewGate(Options{Slots: 2})
	gate.scheduler.ramp.step = rampSteps
	b.ReportAllocs()
	for range b.N {
		permit, err := gate.Acquire(context.Background(), Ticket{Deadline: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(Outcome{Latency: time.Millisecond})
	}
}

// BenchmarkEnqueue measures queueing, admission and release of a request while 63 others of 4 tenants wait.
func BenchmarkEnqueue(b *testing.B) {
	c := newScheduler(2, DefaultMaxQueue, 0)
	c.ramp.step = rampSteps
	c.onSettled = func(*waiter, error) {}
	tenants := []string{"a", "b", "c", "d"}
	for i := range 65 {
		w := newWaiter(Ticket{Tenant: tenants[i%4], Deadline: time.Hour}, 0)
		if !c.tryStart(0, w.class) && c.enqueue(0, w) != nil {
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

// BenchmarkRefuse measures one early refusal, the most frequent operation of a host under overload.
func BenchmarkRefuse(b *testing.B) {
	c := newScheduler(1, DefaultMaxQueue, 0)
	c.ramp.step = rampSteps
	c.tryStart(0, 1)
	c.times[1] = time.Second
	b.ReportAllocs()
	for range b.N {
		if c.enqueue(0, newWaiter(Ticket{Deadline: time.Millisecond}, 0)) == nil {
			b.Fatal("not refused")
		}
	}
}
