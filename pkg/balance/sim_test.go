package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/balance"
)

// The simulation sends requests of several hosts to the targets of one shared service, on fake time and with a fixed
// seed. Each host has its own chooser and knows only its own requests. A target serves its queue in order of arrival.

const simSeed = 42

// fleet describes a run.
type fleet struct {
	hosts, targets, slots int
	// service is the mean service time, exponentially distributed.
	service time.Duration
	// load is the offered load, as a part of what all slots can serve.
	load   float64
	length time.Duration
	// slow targets take slowFactor times as long for slowFor of each slowEvery, at different times.
	slow               int
	slowFactor         float64
	slowFor, slowEvery time.Duration
	// reportAge is how old the load is that a target reports.
	reportAge time.Duration
}

func standardFleet(slow int) fleet {
	return fleet{
		hosts: 10, targets: 30, slots: 2, service: 10 * time.Millisecond, load: 0.5, length: 30 * time.Second,
		slow: slow, slowFactor: 10, slowFor: 2 * time.Second, slowEvery: 10 * time.Second, reportAge: time.Second,
	}
}

// policy chooses a target for one host. done is called when the request has been answered.
type policy interface {
	choose(now time.Duration) (target int, done func(latency time.Duration))
	report(target int, load float64)
}

type simTarget struct {
	busy     int
	queue    []func()
	reported float64
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

type simRun struct {
	fleet
	random    *rand.Rand
	now       time.Duration
	events    simEvents
	targets   []*simTarget
	policies  []policy
	latencies *hdrhistogram.Histogram
}

// run returns the latencies in microseconds.
func (f fleet) run(newPolicy func(run *simRun, random *rand.Rand) policy) *hdrhistogram.Histogram {
	r := &simRun{
		fleet: f, random: rand.New(rand.NewPCG(simSeed, 1)),
		latencies: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for range f.targets {
		r.targets = append(r.targets, &simTarget{})
	}
	for host := range f.hosts {
		r.policies = append(r.policies, newPolicy(r, rand.New(rand.NewPCG(simSeed, uint64(host)+2))))
		r.arrive(host)
	}
	r.reportLoad()
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(simEvent)
		r.now = event.at
		event.do()
	}
	return r.latencies
}

func (r *simRun) after(d time.Duration, do func()) {
	heap.Push(&r.events, simEvent{at: r.now + d, do: do})
}

func (r *simRun) arrive(host int) {
	rate := r.load * float64(r.fleet.targets*r.slots) / r.service.Seconds() / float64(r.hosts)
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < r.length {
			r.send(host)
			r.arrive(host)
		}
	})
}

func (r *simRun) send(host int) {
	index, done := r.policies[host].choose(r.now)
	target := r.targets[index]
	sent := r.now
	serve := func() {
		takes := time.Duration(r.random.ExpFloat64() * float64(r.service) * r.slowness(index))
		r.after(takes, func() {
			_ = r.latencies.RecordValue((r.now - sent).Microseconds())
			done(r.now - sent)
			target.next()
		})
	}
	if target.busy < r.slots {
		target.busy++
		serve()
		return
	}
	target.queue = append(target.queue, serve)
}

func (t *simTarget) next() {
	if len(t.queue) == 0 {
		t.busy--
		return
	}
	serve := t.queue[0]
	t.queue = t.queue[1:]
	serve()
}

// slowness is the factor on a target's service times now.
func (r *simRun) slowness(target int) float64 {
	if target >= r.slow {
		return 1
	}
	offset := r.slowEvery * time.Duration(target) / time.Duration(r.slow)
	if (r.now+offset)%r.slowEvery < r.slowFor {
		return r.slowFactor
	}
	return 1
}

// reportLoad gives all hosts the load that each target had at the last report.
func (r *simRun) reportLoad() {
	if r.now >= r.length {
		return
	}
	for index, target := range r.targets {
		for _, p := range r.policies {
			p.report(index, target.reported)
		}
		target.reported = float64(target.busy+len(target.queue)) / float64(r.slots)
	}
	r.after(r.reportAge, r.reportLoad)
}

// chooserPolicy is the policy under test.
type chooserPolicy struct{ chooser *balance.Chooser }

func newChooserPolicy(run *simRun, random *rand.Rand) policy {
	chooser := balance.New(balance.Options{Clock: func() time.Duration { return run.now }, Random: random})
	var targets []balance.Target
	for i := range run.fleet.targets {
		targets = append(targets, balance.Target{Name: fmt.Sprint(i), Slots: uint32(run.slots)})
	}
	chooser.SetTargets(targets)
	return &chooserPolicy{chooser: chooser}
}

func (p *chooserPolicy) choose(time.Duration) (int, func(time.Duration)) {
	choice := p.chooser.Choose(balance.Query{})
	var index int
	_, _ = fmt.Sscan(choice.Target.Name, &index)
	return index, func(latency time.Duration) { choice.Done(balance.Outcome{Latency: latency}) }
}

func (p *chooserPolicy) report(target int, load float64) {
	p.chooser.ReportLoad(fmt.Sprint(target), load)
}

// Baselines.

type randomPolicy struct {
	random  *rand.Rand
	targets int
}

func newRandom(run *simRun, random *rand.Rand) policy {
	return &randomPolicy{random: random, targets: run.fleet.targets}
}

func (p *randomPolicy) choose(time.Duration) (int, func(time.Duration)) {
	return p.random.IntN(p.targets), func(time.Duration) {}
}

func (p *randomPolicy) report(int, float64) {}

type roundRobin struct{ next, targets int }

func newRoundRobin(run *simRun, random *rand.Rand) policy {
	return &roundRobin{targets: run.fleet.targets, next: random.IntN(run.fleet.targets)}
}

func (p *roundRobin) choose(time.Duration) (int, func(time.Duration)) {
	p.next = (p.next + 1) % p.targets
	return p.next, func(time.Duration) {}
}

func (p *roundRobin) report(int, float64) {}

// leastReported takes the target with the least reported load, and a random one of several.
type leastReported struct {
	random *rand.Rand
	loads  []float64
}

func newLeastReported(run *simRun, random *rand.Rand) policy {
	return &leastReported{random: random, loads: make([]float64, run.fleet.targets)}
}

func (p *leastReported) choose(time.Duration) (int, func(time.Duration)) {
	best, ties := 0, 0
	for i, load := range p.loads {
		switch {
		case load < p.loads[best] || i == 0:
			best, ties = i, 1
		case load == p.loads[best]:
			ties++
			if p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, func(time.Duration) {}
}

func (p *leastReported) report(target int, load float64) { p.loads[target] = load }

// policies has the policy under test first and then the baselines.
var policies = []struct {
	name string
	make func(*simRun, *rand.Rand) policy
}{
	{"chooser", newChooserPolicy},
	{"random", newRandom},
	{"round-robin", newRoundRobin},
	{"least-reported", newLeastReported},
}

var _ = DescribeTable("simulation: stragglers cost callers less than with any baseline",
	func(slow int) {
		f := standardFleet(slow)
		f.length = 10 * time.Second
		p99 := f.run(newChooserPolicy).ValueAtPercentile(99)
		for _, baseline := range policies[1:] {
			Expect(p99).To(BeNumerically("<", f.run(baseline.make).ValueAtPercentile(99)), baseline.name)
		}
	},
	Entry("1 target slow", 1), Entry("3 targets slow", 3), Entry("6 targets slow", 6),
)
