package limit_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/limit"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

const (
	interactive = schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE
	booking     = schemav1.RequestClass_REQUEST_CLASS_BOOKING
	file        = schemav1.RequestClass_REQUEST_CLASS_FILE
)

// fakeClock moves only by advance, which runs the due timers in order.
type fakeClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []*fakeTimer
}

type fakeTimer struct {
	at time.Duration
	f  func()
}

func (c *fakeClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) AfterFunc(d time.Duration, f func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &fakeTimer{at: c.now + d, f: f}
	c.timers = append(c.timers, timer)
	return func() { c.drop(timer) }
}

func (c *fakeClock) drop(timer *fakeTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers = slices.DeleteFunc(c.timers, func(t *fakeTimer) bool { return t == timer })
}

func (c *fakeClock) advance(d time.Duration) {
	end := c.Now() + d
	for {
		c.mu.Lock()
		var next *fakeTimer
		for _, timer := range c.timers {
			if timer.at <= end && (next == nil || timer.at < next.at) {
				next = timer
			}
		}
		if next == nil {
			c.now = end
			c.mu.Unlock()
			return
		}
		c.now = max(c.now, next.at)
		c.mu.Unlock()
		c.drop(next)
		next.f()
	}
}

// call is an Acquire in its own goroutine.
type call struct {
	permit *limit.Permit
	err    error
	done   chan struct{}
}

// testGate is a gate on a fake clock.
type testGate struct {
	clock *fakeClock
	gate  *limit.Gate
}

func newTestGate(slots uint32, maxQueue int) *testGate {
	clock := &fakeClock{now: time.Hour}
	return &testGate{clock: clock, gate: limit.NewGate(limit.Options{Slots: slots, MaxQueue: maxQueue, Clock: clock})}
}

// endColdStart sends one request in each second until the target is warm. Each takes the service time service.
func (b *testGate) endColdStart(service time.Duration) {
	for range 12 {
		b.acquire(limit.Ticket{Deadline: time.Minute}).Release(limit.Outcome{Latency: service})
		b.clock.advance(time.Second)
	}
}

func (b *testGate) acquire(ticket limit.Ticket) *limit.Permit {
	GinkgoHelper()
	permit, err := b.gate.Acquire(context.Background(), ticket)
	Expect(err).NotTo(HaveOccurred())
	return permit
}

// acquireAsync starts an Acquire and returns once it has been queued, refused or admitted.
func (b *testGate) acquireAsync(ctx context.Context, ticket limit.Ticket) *call {
	GinkgoHelper()
	before, _, _ := b.gate.Load()
	c := &call{done: make(chan struct{})}
	go func() {
		defer close(c.done)
		c.permit, c.err = b.gate.Acquire(ctx, ticket)
	}()
	Eventually(func() bool {
		queued, _, _ := b.gate.Load()
		select {
		case <-c.done:
			return true
		default:
			return queued > before
		}
	}).Should(BeTrue())
	return c
}

// expectRefusal checks the refusal and returns its RetryAfter.
func (c *call) expectRefusal(code apierr.Code) time.Duration {
	GinkgoHelper()
	Eventually(c.done).Should(BeClosed())
	var refusal *apierr.Refusal
	Expect(errors.As(c.err, &refusal)).To(BeTrue(), "%v", c.err)
	Expect(refusal.Code).To(Equal(code))
	Expect(refusal.Ran).To(Equal(apierr.NotRun))
	return refusal.RetryAfter
}

var _ = Describe("Gate", func() {
	ctx := context.Background()
	minute := limit.Ticket{Deadline: time.Minute}

	It("never runs more requests than slots under concurrent callers (I3)", func() {
		b := newTestGate(3, 64)
		b.endColdStart(time.Millisecond)
		var mu sync.Mutex
		var group sync.WaitGroup
		running, most := 0, 0
		for range 50 {
			group.Go(func() {
				permit, err := b.gate.Acquire(ctx, minute)
				if err != nil {
					return
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(100 * time.Microsecond)
				mu.Lock()
				running--
				mu.Unlock()
				permit.Release(limit.Outcome{Latency: time.Millisecond})
			})
		}
		group.Wait()
		Expect(most).To(And(BeNumerically(">", 0), BeNumerically("<=", 3)))
		_, inFlight, _ := b.gate.Load()
		Expect(inFlight).To(BeZero())
	})

	It("frees one slot when a permit is released twice", func() {
		b := newTestGate(2, 64)
		b.endColdStart(time.Millisecond)
		first := b.acquire(minute)
		b.acquire(minute)
		first.Release(limit.Outcome{})
		first.Release(limit.Outcome{})
		_, inFlight, _ := b.gate.Load()
		Expect(inFlight).To(Equal(1))
	})

	It("serves classes in order and each by deadline, not by arrival", func() {
		b := newTestGate(1, 64)
		b.endColdStart(time.Millisecond)
		permit := b.acquire(minute)
		order := map[string]limit.Ticket{
			"5": {Class: file, Deadline: time.Second},
			"4": {Class: booking, Deadline: 20 * time.Second},
			"3": {Class: booking, Deadline: 10 * time.Second},
			"2": {Class: interactive, Deadline: 40 * time.Second},
			"1": {Class: interactive, Deadline: 30 * time.Second},
		}
		calls := map[string]*call{}
		for name, ticket := range order {
			calls[name] = b.acquireAsync(ctx, ticket)
		}
		for _, name := range []string{"1", "2", "3", "4", "5"} {
			permit.Release(limit.Outcome{Latency: time.Millisecond})
			Eventually(calls[name].done).Should(BeClosed(), name)
			Expect(calls[name].err).NotTo(HaveOccurred())
			permit = calls[name].permit
		}
	})

	DescribeTable("reserves a slot for requests other than files",
		func(slots, files int) {
			b := newTestGate(uint32(slots), 64)
			b.endColdStart(time.Millisecond)
			var held []*limit.Permit
			for range files {
				held = append(held, b.acquire(limit.Ticket{Class: file, Deadline: time.Minute}))
			}
			waiting := b.acquireAsync(ctx, limit.Ticket{Class: file, Deadline: time.Minute})
			Consistently(waiting.done, "20ms").ShouldNot(BeClosed())
			for range slots - files {
				b.acquire(minute)
			}
			held[0].Release(limit.Outcome{Latency: time.Millisecond})
			Eventually(waiting.done).Should(BeClosed())
			Expect(waiting.err).NotTo(HaveOccurred())
		},
		Entry("one slot", 1, 1), Entry("two slots", 2, 1), Entry("three slots", 3, 2),
	)

	It("refuses a ticket whose deadline passes while it waits, as not run (I7)", func() {
		b := newTestGate(1, 64)
		b.endColdStart(time.Millisecond)
		held := b.acquire(minute)
		waiting := b.acquireAsync(ctx, limit.Ticket{Deadline: 50 * time.Millisecond})
		b.clock.advance(49 * time.Millisecond)
		Consistently(waiting.done, "20ms").ShouldNot(BeClosed())
		b.clock.advance(time.Millisecond)
		waiting.expectRefusal(apierr.DeadlineExceeded)
		held.Release(limit.Outcome{})
		queued, inFlight, _ := b.gate.Load()
		Expect([]int{queued, inFlight}).To(Equal([]int{0, 0}))
	})

	It("refuses requests at once that can't be answered in time, with the estimated wait as RetryAfter (I7)", func() {
		b := newTestGate(1, 64)
		b.endColdStart(100 * time.Millisecond)
		b.acquire(minute)
		b.acquireAsync(ctx, limit.Ticket{Deadline: 240 * time.Millisecond})
		retryAfter := b.acquireAsync(ctx, limit.Ticket{Deadline: 250 * time.Millisecond}).expectRefusal(apierr.Overloaded)
		Expect(retryAfter).To(Equal(200 * time.Millisecond))
		inTime := b.acquireAsync(ctx, limit.Ticket{Deadline: 350 * time.Millisecond})
		Consistently(inTime.done, "20ms").ShouldNot(BeClosed())
	})

	It("gives a freed slot to the request that can still be answered in time", func() {
		b := newTestGate(1, 64)
		b.endColdStart(100 * time.Millisecond)
		held := b.acquire(minute)
		tooLate := b.acquireAsync(ctx, limit.Ticket{Deadline: 250 * time.Millisecond})
		inTime := b.acquireAsync(ctx, limit.Ticket{Deadline: 500 * time.Millisecond})
		b.clock.advance(200 * time.Millisecond)
		held.Release(limit.Outcome{Latency: 100 * time.Millisecond})
		tooLate.expectRefusal(apierr.Overloaded)
		Eventually(inTime.done).Should(BeClosed())
		Expect(inTime.err).NotTo(HaveOccurred())
	})

	It("admits a request to an idle target even when its last responses took longer than the request's deadline", func() {
		// A wrong estimate must not refuse all requests: without responses it would never be corrected.
		b := newTestGate(1, 64)
		b.endColdStart(time.Second)
		b.acquire(limit.Ticket{Deadline: 10 * time.Millisecond})
	})

	It("removes a cancelled request from the queue and releases its slot (I7)", func() {
		b := newTestGate(1, 64)
		b.endColdStart(time.Millisecond)
		held := b.acquire(minute)
		cancelable, cancel := context.WithCancel(ctx)
		waiting := b.acquireAsync(cancelable, minute)
		cancel()
		waiting.expectRefusal(apierr.DeadlineExceeded)
		Expect(errors.Is(waiting.err, context.Canceled)).To(BeTrue())
		queued, _, _ := b.gate.Load()
		Expect(queued).To(BeZero())
		held.Release(limit.Outcome{})
		b.acquire(minute)
	})

	It("refuses when the queue is full, but replaces waiters by those of a higher class or of a tenant with fewer waiters", func() {
		b := newTestGate(1, 4)
		b.endColdStart(time.Millisecond)
		b.acquire(limit.Ticket{Deadline: time.Hour})
		greedy := limit.Ticket{Class: booking, Tenant: "greedy", Deadline: time.Minute}
		var calls []*call
		for range 4 {
			calls = append(calls, b.acquireAsync(ctx, greedy))
			greedy.Deadline += time.Second
		}
		b.acquireAsync(ctx, greedy).expectRefusal(apierr.Overloaded)
		b.acquireAsyncInFullQueue(ctx, limit.Ticket{Class: booking, Tenant: "small", Deadline: time.Minute})
		calls[3].expectRefusal(apierr.Overloaded)
		b.acquireAsyncInFullQueue(ctx, minute)
		calls[2].expectRefusal(apierr.Overloaded)
		b.acquireAsync(ctx, limit.Ticket{Class: file, Deadline: time.Hour}).expectRefusal(apierr.Overloaded)
	})

	It("refuses waiting and later requests once closed, with the given reason (I9)", func() {
		b := newTestGate(1, 64)
		b.acquire(minute)
		waiting := b.acquireAsync(ctx, minute)
		b.gate.Close(&apierr.Refusal{Code: apierr.Draining, Ran: apierr.NotRun, Message: "the target leaves"})
		waiting.expectRefusal(apierr.Draining)
		b.acquireAsync(ctx, minute).expectRefusal(apierr.Draining)
	})

	It("starts cold again when the target's boot ID changes (I3)", func() {
		b := newTestGate(4, 64)
		b.gate.Boot("first", 4)
		b.endColdStart(time.Millisecond)
		b.gate.Boot("first", 4)
		_, _, before := b.gate.Load()
		b.gate.Boot("second", 4)
		_, _, after := b.gate.Load()
		Expect([]int{before, after}).To(Equal([]int{4, 1}))
	})

	DescribeTable("admits tenants by weight within a class, independent of their offered load",
		func(weight uint32, least, most int) {
			b := newTestGate(1, 64)
			b.endColdStart(time.Millisecond)
			permit := b.acquire(minute)
			results := make(chan string, 64)
			admitted := make(chan *limit.Permit, 64)
			enqueue := func(ticket limit.Ticket) {
				c := b.acquireAsync(ctx, ticket)
				go func() {
					<-c.done
					if c.err == nil {
						results <- ticket.Tenant
						admitted <- c.permit
					}
				}()
			}
			for range 40 {
				enqueue(limit.Ticket{Tenant: "loud", Deadline: time.Minute})
			}
			for range 10 {
				enqueue(limit.Ticket{Tenant: "quiet", Weight: weight, Deadline: 2 * time.Minute})
			}
			quiet := 0
			for range 12 {
				permit.Release(limit.Outcome{Latency: time.Millisecond})
				if <-results == "quiet" {
					quiet++
				}
				permit = <-admitted
			}
			Expect(quiet).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		},
		Entry("equal weights", uint32(1), 6, 6),
		Entry("threefold weight", uint32(3), 9, 9),
	)
})

// acquireAsyncInFullQueue starts an Acquire that replaces a waiter of the full queue, whose length doesn't change.
func (b *testGate) acquireAsyncInFullQueue(ctx context.Context, ticket limit.Ticket) {
	go func() { _, _ = b.gate.Acquire(ctx, ticket) }()
}
