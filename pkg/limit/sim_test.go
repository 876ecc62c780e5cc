package limit

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The simulation runs the schedulers of many targets on simulated time, with a fixed seed. Each request belongs to one
// target, as the keys of an exclusive service do.

const simSeed = 42

// simulation holds the parameters of one run.
type simulation struct {
	targets, slots int
	// service is the mean service time, exponentially distributed.
	service time.Duration
	// load is the offered load, as a fraction of the capacity of all slots.
	load                float64
	length              time.Duration
	disableEarlyRefusal bool
	tenants             []simTenant
}

// simTenant is one source of requests.
type simTenant struct {
	// share is the tenant's fraction of the offered load.
	share    float64
	deadline time.Duration
}

// simResult counts requests per tenant.
type simResult struct {
	offered, inTime, late, refused []int
	// goodput is the rate of responses within their deadline, as a fraction of the capacity of all slots.
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
	at     time.Duration
	action func()
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
	random     *rand.Rand
	now        time.Duration
	events     simEvents
	schedulers []*scheduler
	nextWakes  []time.Duration
	waiting    map[*waiter]*simRequest
	result     simResult
	// inTimeBeforeEnd counts responses in time before the end of the run; those sent while the queues drain don't count as
	// goodput.
	inTimeBeforeEnd int
}

func (s simulation) run() simResult {
	r := &simRun{simulation: s, random: rand.New(rand.NewPCG(simSeed, 1)), waiting: map[*waiter]*simRequest{}}
	n := len(s.tenants)
	r.result = simResult{offered: make([]int, n), inTime: make([]int, n), late: make([]int, n), refused: make([]int, n)}
	r.nextWakes = make([]time.Duration, s.targets)
	for range s.targets {
		c := newScheduler(s.slots, DefaultMaxQueue, 0)
		c.disableEarlyRefusal = s.disableEarlyRefusal
		c.ramp.step, c.ramp.hasWarmed = rampSteps, true
		c.onSettled = r.onSettled
		r.schedulers = append(r.schedulers, c)
	}
	for tenant := range s.tenants {
		r.arrive(tenant)
	}
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(simEvent)
		r.now = event.at
		event.action()
	}
	r.result.goodput = float64(r.inTimeBeforeEnd) / (r.capacity() * s.length.Seconds())
	return r.result
}

// capacity returns the requests per second that all slots can serve.
func (r *simRun) capacity() float64 {
	return float64(r.targets*r.slots) / r.service.Seconds()
}

func (r *simRun) after(d time.Duration, action func()) {
	heap.Push(&r.events, simEvent{at: r.now + d, action: action})
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
	c := r.schedulers[request.target]
	if c.tryStart(r.now, request.w.class) {
		r.start(request)
	} else {
		r.waiting[request.w] = request
		if c.enqueue(r.now, request.w) != nil {
			delete(r.waiting, request.w)
			r.result.refused[tenant]++
		}
	}
	r.update(request.target)
}

func (r *simRun) start(request *simRequest) {
	request.started = r.now
	r.after(request.service, func() {
		c := r.schedulers[request.target]
		c.finish(r.now, request.w.class, request.started, Outcome{Latency: request.service})
		if r.now-request.arrived <= r.tenants[request.tenant].deadline {
			r.result.inTime[request.tenant]++
			if r.now <= r.length {
				r.inTimeBeforeEnd++
			}
		} else {
			r.result.late[request.tenant]++
		}
		r.update(request.target)
	})
}

func (r *simRun) onSettled(w *waiter, err error) {
	request := r.waiting[w]
	delete(r.waiting, w)
	if err != nil {
		r.result.refused[request.tenant]++
		return
	}
	r.start(request)
}

// update advances the scheduler of a target and schedules its next change that depends on time alone.
func (r *simRun) update(target int) {
	c := r.schedulers[target]
	c.advance(r.now)
	at, ok := c.nextWake(r.now)
	if !ok || r.nextWakes[target] == at {
		return
	}
	r.nextWakes[target] = at
	r.after(at-r.now, func() {
		if r.nextWakes[target] == r.now {
			r.nextWakes[target] = 0
		}
		r.update(target)
	})
}

var _ = Describe("simulation", func() {
	DescribeTable("keeps nine tenths of the goodput under overload",
		func(targets, slots int) {
			goodput := func(load float64) float64 {
				s := overloadSimulation(targets, slots, load, false)
				s.length = 3 * time.Second
				return s.run().goodput
			}
			Expect(goodput(1.5)).To(BeNumerically(">=", 0.9*goodput(1)))
			Expect(goodput(3)).To(BeNumerically(">=", 0.9*goodput(1)))
		},
		Entry("30 targets with 2 slots", 30, 2), Entry("20 targets with 3 slots", 20, 3),
	)

	It("serves a tenant within its share in full, independent of the load of another tenant", func() {
		s := overloadSimulation(30, 2, 3, false)
		s.length = 3 * time.Second
		s.tenants = []simTenant{{share: 10.0 / 11, deadline: 250 * time.Millisecond}, {share: 1.0 / 11, deadline: 250 * time.Millisecond}}
		result := s.run()
		Expect(float64(result.inTime[1]) / float64(result.offered[1])).To(BeNumerically(">=", 0.99))
	})
})
