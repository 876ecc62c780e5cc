package suspects

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/registry"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// What operators accept: a request that has crashed three targets may reach targets three more times later than 3 s after the third
// crash, and no more than one proper request in 500, and 5 more, may be refused.
const (
	acceptedCrashes  = 3
	contactTime      = 3 * time.Second
	acceptedArrivals = 3
	refusedPer       = 500
	refusedSlack     = 5
)

// Load of the model.
const (
	modelHosts     = 8
	modelTargets   = 24
	modelDuration  = 40 * time.Second
	runTime        = 150 * time.Millisecond
	downTime       = 2 * time.Second
	deadlyKinds    = 4
	deadlyInterval = 80 * time.Millisecond
	otherInterval  = 10 * time.Millisecond
	// popularKinds are requests that are sent again and again; every fourth request is one of them.
	popularKinds = 5
	// coincidenceInterval is the mean time between targets that end for another reason.
	coincidenceInterval = time.Second
	hostRestartInterval = 10 * time.Second
)

// mutant is a model that is broken on purpose.
type mutant struct {
	name     string
	limits   func(*limits)
	unshared bool
	unclear  bool
}

// modelEvent is what happens at a time of the model.
type modelEvent struct {
	at    time.Duration
	order int
	do    func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelTarget is a target with the requests that it runs.
type modelTarget struct {
	start   uint64
	down    bool
	running map[*modelRequest]bool
}

type modelRequest struct {
	fingerprint Fingerprint
	host        int
	deadly      bool
	tries       int
	// again is set for a request that its caller has repeated.
	again bool
}

// model runs the tables of several entry hosts and the registry on a simulated clock. Reports and updates of views are delayed, lost and
// repeated.
type model struct {
	mutant  mutant
	random  *rand.Rand
	now     time.Duration
	events  modelEvents
	orders  int
	state   *registry.State
	tables  []*Table
	targets []*modelTarget

	crashes               map[Fingerprint][]time.Duration
	lateArrivals          map[Fingerprint]int
	others, refused       int
	deadly, blockedOthers map[Fingerprint]bool
	refusedAfterwards     int
}

func runModel(seed uint64, broken mutant) *model {
	m := &model{
		mutant: broken, random: rand.New(rand.NewPCG(seed, 27)), state: registry.NewState(),
		crashes: map[Fingerprint][]time.Duration{}, lateArrivals: map[Fingerprint]int{},
		deadly: map[Fingerprint]bool{}, blockedOthers: map[Fingerprint]bool{},
	}
	for range modelHosts {
		m.tables = append(m.tables, m.newTable())
	}
	for i := range modelTargets {
		m.targets = append(m.targets, &modelTarget{start: uint64(i) << 32, running: map[*modelRequest]bool{}})
	}
	for kind := range deadlyKinds {
		m.deadly[FingerprintOf([]byte(fmt.Sprint("deadly", kind)))] = true
	}
	for host := range m.tables {
		m.updateView(host)
	}
	m.repeat(deadlyInterval, func() {
		kind := m.random.IntN(deadlyKinds)
		m.arrive(&modelRequest{fingerprint: FingerprintOf([]byte(fmt.Sprint("deadly", kind))), deadly: true})
	})
	count := 0
	m.repeat(otherInterval, func() {
		count++
		name := fmt.Sprint("other", count)
		if m.random.IntN(4) == 0 {
			name = fmt.Sprint("popular", m.random.IntN(popularKinds))
		}
		m.others++
		m.arrive(&modelRequest{fingerprint: FingerprintOf([]byte(name))})
	})
	m.repeat(coincidenceInterval, func() { m.crash(m.targets[m.random.IntN(modelTargets)]) })
	m.repeat(hostRestartInterval, func() {
		// A host takes no requests before it has a view.
		host := m.random.IntN(modelHosts)
		m.tables[host] = m.newTable()
		m.takeView(host)
	})
	for len(m.events) > 0 && m.events[0].at < modelDuration {
		next := heap.Pop(&m.events).(modelEvent)
		m.now = next.at
		next.do()
	}
	for _, s := range m.state.Suspects() {
		for _, table := range m.tables {
			if v, _ := table.Verdict(m.now+Lifetime, Fingerprint(s.GetFingerprint())); v == Blocked {
				m.refusedAfterwards++
			}
		}
	}
	return m
}

func (m *model) newTable() *Table {
	t := New()
	if m.mutant.limits != nil {
		m.mutant.limits(&t.limits)
	}
	return t
}

func (m *model) after(delay time.Duration, do func()) {
	m.orders++
	heap.Push(&m.events, modelEvent{m.now + delay, m.orders, do})
}

// between returns a random duration.
func (m *model) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.random.Int64N(int64(most-least)))
}

// repeat calls do at random times with this mean interval.
func (m *model) repeat(interval time.Duration, do func()) {
	m.after(m.between(0, 2*interval), func() {
		do()
		m.repeat(interval, do)
	})
}

// arrive lets a request arrive at a random host.
func (m *model) arrive(r *modelRequest) {
	r.host = m.random.IntN(modelHosts)
	m.send(r)
}

func (m *model) send(r *modelRequest) {
	if v, _ := m.tables[r.host].Verdict(m.now, r.fingerprint); v == Blocked {
		if !r.deadly {
			m.refused++
		}
		return
	}
	t := m.targets[m.random.IntN(modelTargets)]
	if t.down {
		return
	}
	t.running[r] = true
	if !r.deadly {
		m.after(runTime, func() { m.answer(t, r) })
		return
	}
	if crashes := m.crashes[r.fingerprint]; len(crashes) >= acceptedCrashes && m.now > crashes[acceptedCrashes-1]+contactTime {
		m.lateArrivals[r.fingerprint]++
	}
	// It takes the target down while it runs, with what runs beside it.
	m.after(m.between(runTime/3, runTime), func() {
		if t.running[r] {
			m.crashes[r.fingerprint] = append(m.crashes[r.fingerprint], m.now)
			m.crash(t)
		}
	})
}

func (m *model) answer(t *modelTarget, r *modelRequest) {
	if !t.running[r] {
		return
	}
	delete(t.running, r)
	if !m.mutant.unclear && m.tables[r.host].Answered(m.now, r.fingerprint) {
		m.report(r.host, &schemav1.SuspectChange{Cleared: [][]byte{r.fingerprint[:]}})
	}
}

// crash ends a target. The hosts of the requests that it ran learn of that soon, and send idempotent ones again.
func (m *model) crash(t *modelTarget) {
	if t.down {
		return
	}
	ended := t.start
	t.down, t.start = true, t.start+1
	m.after(downTime, func() { t.down = false })
	var broken []*modelRequest
	for r := range t.running {
		broken = append(broken, r)
	}
	slices.SortFunc(broken, func(a, b *modelRequest) int { return slices.Compare(a.fingerprint[:], b.fingerprint[:]) })
	clear(t.running)
	for _, r := range broken {
		m.after(m.between(5*time.Millisecond, 50*time.Millisecond), func() {
			added, blocked := m.tables[r.host].AddCrash(m.now, r.fingerprint, ended)
			m.recordBlocked(blocked)
			if !added {
				return
			}
			m.report(r.host, &schemav1.SuspectChange{Crashed: []*schemav1.Suspect{{Fingerprint: r.fingerprint[:], Crashes: []uint64{ended}}}})
		})
		if v, _ := m.tables[r.host].Verdict(m.now, r.fingerprint); v == Unknown && r.tries == 0 {
			m.after(time.Millisecond, func() { m.send(&modelRequest{fingerprint: r.fingerprint, host: r.host, deadly: r.deadly, tries: 1}) })
		} else if !r.again {
			// The caller gets an error and sends it again to another host.
			m.after(30*time.Millisecond, func() { m.arrive(&modelRequest{fingerprint: r.fingerprint, deadly: r.deadly, again: true}) })
		}
	}
}

// report commits a change. One report in ten is lost and sent again a second later, and one in ten is committed twice.
func (m *model) report(host int, change *schemav1.SuspectChange) {
	if m.mutant.unshared {
		return
	}
	commit := func() {
		encoded, err := proto.Marshal(&schemav1.RegistryCommand{Suspects: change})
		Expect(err).NotTo(HaveOccurred())
		m.state.Apply(0, encoded)
		version := m.state.Version()
		m.after(m.between(10*time.Millisecond, 50*time.Millisecond), func() {
			for _, s := range change.GetCrashed() {
				m.tables[host].Confirm(Fingerprint(s.GetFingerprint()), s.GetCrashes()[0], version)
			}
		})
	}
	switch delay := m.between(30*time.Millisecond, 150*time.Millisecond); m.random.IntN(10) {
	case 0:
		m.after(delay+time.Second, commit)
	case 1:
		m.after(delay, commit)
		m.after(delay+time.Second, commit)
	default:
		m.after(delay, commit)
	}
}

// updateView brings the view of a host up to date, again and again. One update in ten is late.
func (m *model) updateView(host int) {
	delay := m.between(20*time.Millisecond, 400*time.Millisecond)
	if m.random.IntN(10) == 0 {
		delay += time.Second
	}
	m.after(delay, func() {
		m.takeView(host)
		m.updateView(host)
	})
}

func (m *model) takeView(host int) {
	var known []Suspect
	for _, s := range m.state.Suspects() {
		known = append(known, Suspect{Fingerprint(s.GetFingerprint()), s.GetCrashes()})
	}
	blocked, cleared := m.tables[host].SetReplicated(m.now, m.state.Version(), known)
	m.recordBlocked(blocked)
	for _, fingerprint := range cleared {
		m.report(host, &schemav1.SuspectChange{Cleared: [][]byte{fingerprint[:]}})
	}
	m.tables[host].Expire(m.now)
}

// recordBlocked records which of the blocked requests no target crashes on.
func (m *model) recordBlocked(blocked []Fingerprint) {
	for _, fingerprint := range blocked {
		if !m.deadly[fingerprint] {
			m.blockedOthers[fingerprint] = true
		}
	}
}

// violation returns what is wrong with the run, or "".
func (m *model) violation() string {
	for fingerprint, late := range m.lateArrivals {
		if late > acceptedArrivals {
			return fmt.Sprintf("%v reached targets %d times later than %v after it crashed the third", fingerprint, late, contactTime)
		}
	}
	if accepted := refusedSlack + m.others/refusedPer; m.refused > accepted || len(m.blockedOthers) > accepted {
		return fmt.Sprintf("of %d other requests, %d were refused, and %d kinds were blocked", m.others, m.refused, len(m.blockedOthers))
	}
	if m.refusedAfterwards > 0 {
		return fmt.Sprintf("%d suspects are blocked longer than their lifetime", m.refusedAfterwards)
	}
	return ""
}

// modelSeeds is the number of runs of each model.
const modelSeeds = 20

var _ = Describe("Tables of several hosts", func() {
	It("keep requests that targets crash on from the targets, and hardly any others, while messages are lost", func() {
		for seed := range uint64(modelSeeds) {
			m := runModel(seed, mutant{})
			Expect(m.violation()).To(BeEmpty(), "seed %d", seed)
			Expect(m.crashes).To(HaveLen(deadlyKinds), "seed %d", seed)
		}
	})

	DescribeTable("is noticed when it is broken on purpose", func(broken mutant) {
		for seed := range uint64(modelSeeds) {
			if runModel(seed, broken).violation() != "" {
				return
			}
		}
		Fail("no run shows that " + broken.name)
	},
		Entry(nil, mutant{name: "a single crash blocks", limits: func(l *limits) { l.clearCrashes = 1 }}),
		Entry(nil, mutant{name: "nothing blocks", limits: func(l *limits) { l.clearCrashes, l.certainCrashes = 100, 100 }}),
		Entry(nil, mutant{name: "crashes are not shared", unshared: true}),
		Entry(nil, mutant{name: "answers do not clear", unclear: true}),
		Entry(nil, mutant{name: "blocks do not expire", limits: func(l *limits) { l.lifetime = 2 * Lifetime }}),
	)
})
