package limit

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The simulation runs the cores of many targets on fake time, with a fixed seed. Requests belong to fixed targets, as
// the keys of an exclusive service do.

const simSeed = 42

// simulation describes one run.
type simulation struct {
	targets, slots int
	// service is the mean service time, exponentially distributed.
	service time.Duration
	// load is the offered load, as a part of what all slots can serve.
	load     float64
	length   time.Duration
	admitAll bool
	tenants  []simTenant
}

// simTenant is one source of requests.
type simTenant struct {
	// share is the tenant's part of the offered load.
	share    float64
	deadline time.Duration
}

// simResult counts requests per tenant.
type simResult struct {
	offered, good, late, refused []int
	// goodput is the answers within their deadline, as a part of what all slots can serve.
	goodput float64
}

type simRequest struct {
	tenant  int
	target  int
	w       *waiter
	arrived time.Duration
	started time.Duration
	service time.Duration
}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simRun is the state of a run.
type simRun struct {
	simulation
	random  *rand.Rand
	now     time.Duration
	events  simEvents
	cores   []*core
	wakes   []time.Duration
	waiting map[*waiter]*simRequest
	result  simResult
	// timely counts good answers before the end of the run; what is answered while the queues drain isn't goodput.
	timely int
}

func (s simulation) run() simResult {
	r := &simRun{simulation: s, random: rand.New(rand.NewPCG(simSeed, 1)), waiting: map[*waiter]*simRequest{}}
	n := len(s.tenants)
	r.result = simResult{offered: make([]int, n), good: make([]int, n), late: make([]int, n), refused: make([]int, n)}
	r.wakes = make([]time.Duration, s.targets)
	for range s.targets {
		c := newCore(s.slots, DefaultMaxQueue, 0)
		c.admitAll = s.admitAll
		c.ramp.step, c.ramp.warmed = rampSteps, true
		c.settled = r.settled
		r.cores = append(r.cores, c)
	}
	for tenant := range s.tenants {
		r.arrive(tenant)
	}
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(simEvent)
		r.now = event.at
		event.do()
	}
	r.result.goodput = float64(r.timely) / (r.capacity() * s.length.Seconds())
	return r.result
}

// capacity is the requests per second that all slots can serve.
func (r *simRun) capacity() float64 {
	return float64(r.targets*r.slots) / r.service.Seconds()
}

func (r *simRun) after(d time.Duration, do func()) {
	heap.Push(&r.events, simEvent{at: r.now + d, do: do})
}

// arrive schedules the next arrival of a tenant, as a Poisson process.
func (r *simRun) arrive(tenant int) {
	rate := r.capacity() * r.load * r.tenants[tenant].share
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < r.length {
			r.offer(tenant)
			r.arrive(tenant)
		}
	})
}

func (r *simRun) offer(tenant int) {
	r.result.offered[tenant]++
	source := r.tenants[tenant]
	request := &simRequest{
		tenant: tenant, target: r.random.IntN(r.targets), arrived: r.now,
		service: time.Duration(r.random.ExpFloat64() * float64(r.service)),
	}
	request.w = newWaiter(Ticket{Tenant: strconv.Itoa(tenant), Deadline: source.deadline}, r.now)
	c := r.cores[request.target]
	if c.startNow(r.now, request.w.class) {
		r.start(request)
	} else {
		r.waiting[request.w] = request
		if c.enqueue(r.now, request.w) != nil {
			delete(r.waiting, request.w)
			r.result.refused[tenant]++
		}
	}
	r.changed(request.target)
}

func (r *simRun) start(request *simRequest) {
	request.started = r.now
	r.after(request.service, func() {
		c := r.cores[request.target]
		c.finish(r.now, request.w.class, request.started, Outcome{Latency: request.service})
		if r.now-request.arrived <= r.tenants[request.tenant].deadline {
			r.result.good[request.tenant]++
			if r.now <= r.length {
				r.timely++
			}
		} else {
			r.result.late[request.tenant]++
		}
		r.changed(request.target)
	})
}

func (r *simRun) settled(w *waiter, err error) {
	request := r.waiting[w]
	delete(r.waiting, w)
	if err != nil {
		r.result.refused[request.tenant]++
		return
	}
	r.start(request)
}

// changed lets the core admit and schedules its next change by time alone.
func (r *simRun) changed(target int) {
	c := r.cores[target]
	c.advance(r.now)
	at, ok := c.nextWake(r.now)
	if !ok || r.wakes[target] == at {
		return
	}
	r.wakes[target] = at
	r.after(at-r.now, func() {
		if r.wakes[target] == r.now {
			r.wakes[target] = 0
		}
		r.changed(target)
	})
}

var _ = Describe("simulation", func() {
	DescribeTable("keeps nine tenths of the goodput under overload, for the target's sake and the callers'",
		func(targets, slots int) {
			goodput := func(load float64) float64 {
				s := overload(targets, slots, load, false)
				s.length = 3 * time.Second
				return s.run().goodput
			}
			Expect(goodput(1.5)).To(BeNumerically(">=", 0.9*goodput(1)))
			Expect(goodput(3)).To(BeNumerically(">=", 0.9*goodput(1)))
		},
		Entry("30 targets with 2 slots", 30, 2), Entry("20 targets with 3 slots", 20, 3),
	)

	It("serves a tenant within its share in full, whatever another one offers", func() {
		s := overload(30, 2, 3, false)
		s.length = 3 * time.Second
		s.tenants = []simTenant{{share: 10.0 / 11, deadline: 250 * time.Millisecond}, {share: 1.0 / 11, deadline: 250 * time.Millisecond}}
		result := s.run()
		Expect(float64(result.good[1]) / float64(result.offered[1])).To(BeNumerically(">=", 0.99))
	})
})
