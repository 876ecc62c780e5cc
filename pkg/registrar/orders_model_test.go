package registrar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/internal/pauses"
	"almondrock.example/almondrock/pkg/registry"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	orderModelSeeds = 320
	// orderModelTime is the simulated time of one run, in which each operator gives about twenty orders.
	orderModelTime        = 20 * time.Second
	orderModelHosts       = 3
	orderModelDataCentres = 8
	// orderModelLog is how many of the last events of a data centre are shown.
	orderModelLog = 30
)

// retransmissionTime is the time after which a lost packet is sent again, without the round trip.
const retransmissionTime = 200 * time.Millisecond

var errLost = errors.New("lost")

// orderModel simulates operators that give orders to registry hosts while hosts stand still and restart, and calls, answers and ends of
// connections are held up or lost. The hosts commit orders by orderCommitter; the group is one state, to which commands are applied in the
// order in which they reach the leader.
type orderModel struct {
	seed    uint64
	state   *registry.State
	hosts   []*modelHost
	start   time.Time
	callers sync.WaitGroup

	mu sync.Mutex
	// electionUntil is the end of the last time without a leader.
	electionUntil time.Time
	// promised has what was acknowledged last, for data centres for which nothing else was sent since.
	promised map[string]bool
	// events has what happened, with the data centre that it concerns or an empty string.
	events []modelEvent
	// broken is the data centre of the first violation, and violation that violation.
	broken, violation                     string
	eventsBefore, acknowledged, abandoned int
}

type modelEvent struct{ dataCentre, text string }

// modelHost is a registry host.
type modelHost struct {
	model *orderModel
	name  string

	mu sync.Mutex
	// pausedFrom and pausedUntil are the last time in which the host stood still.
	pausedFrom, pausedUntil time.Time
	// cutUntil is the end of the last cut from the leader, closesHeldUntil that of the last cut in the direction from its callers.
	cutUntil, closesHeldUntil time.Time
	process                   *modelProcess
}

// modelProcess is one process of a host.
type modelProcess struct {
	host      *modelHost
	ctx       context.Context
	stop      context.CancelFunc
	committer *orderCommitter
}

func milliseconds(random *rand.Rand, from, to int) time.Duration {
	return time.Duration(from*1000+random.IntN((to-from)*1000)) * time.Microsecond
}

func (m *orderModel) record(dataCentre, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, modelEvent{dataCentre, fmt.Sprintf("%8.3f ", time.Since(m.start).Seconds()) + fmt.Sprintf(format, args...)})
}

// violate records the first violation. m.mu must be held.
func (m *orderModel) violate(dataCentre, format string, args ...any) {
	if m.violation == "" {
		m.broken, m.violation, m.eventsBefore = dataCentre, dataCentre+": "+fmt.Sprintf(format, args...), len(m.events)
	}
}

// report returns the last events of the data centre with the violation.
func (m *orderModel) report() string {
	var lines []string
	for _, e := range m.events[:m.eventsBefore] {
		if e.dataCentre == m.broken || e.dataCentre == "" {
			lines = append(lines, e.text)
		}
	}
	return m.violation + "\n" + strings.Join(lines[max(0, len(lines)-orderModelLog):], "\n")
}

// checkOrder checks the promise when an order is applied.
func (m *orderModel) checkOrder(o registry.EvacuationOutcome) {
	m.record(o.DataCentre, "applied out=%v overtaken=%v number=%d", o.Out, o.Overtaken, o.Number)
	m.mu.Lock()
	defer m.mu.Unlock()
	if out, ok := m.promised[o.DataCentre]; ok && !o.Overtaken && o.Out != out {
		m.violate(o.DataCentre, "out=%v was acknowledged, and out=%v is applied after it", out, o.Out)
	}
}

func (h *modelHost) startProcess() {
	p := &modelProcess{host: h}
	p.ctx, p.stop = context.WithCancel(context.Background())
	detector := pauses.New(h.clock)
	p.committer = &orderCommitter{pauses: detector, sleep: p.sleep, read: p.read, propose: p.propose}
	h.model.callers.Go(func() { detector.Run(p.ctx) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = p
}

// clock is what the host sees of the time: while it stands still, it sees nothing.
func (h *modelHost) clock() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.pausedUntil) {
		return h.pausedFrom.Sub(h.model.start)
	}
	return time.Since(h.model.start)
}

// awaitCallers returns when what callers send arrives, and whether it was held up.
func (h *modelHost) awaitCallers() bool {
	for wasHeld := false; ; wasHeld = true {
		h.mu.Lock()
		left := time.Until(h.closesHeldUntil)
		h.mu.Unlock()
		if left <= 0 {
			return wasHeld
		}
		time.Sleep(left)
	}
}

// awaitAwake returns when the host does not stand still.
func (h *modelHost) awaitAwake() {
	for {
		h.mu.Lock()
		left := time.Until(h.pausedUntil)
		h.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// transfer waits until a call of the host to the leader, or its answer, arrives. It returns false if it is lost.
func (p *modelProcess) transfer(random *rand.Rand) bool {
	h := p.host
	h.mu.Lock()
	held := max(0, time.Until(h.cutUntil))
	h.mu.Unlock()
	if held > 0 && random.IntN(4) == 0 || random.IntN(50) == 0 {
		return false
	}
	time.Sleep(held + milliseconds(random, 0, 30))
	return true
}

// callSeries returns the random numbers of a call.
func (m *orderModel) callSeries(h *modelHost) *rand.Rand {
	return rand.New(rand.NewPCG(m.seed, uint64(time.Now().UnixNano())^xxhash.Sum64String(h.name)))
}

func (m *orderModel) hasLeader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !time.Now().Before(m.electionUntil)
}

// call makes a call to the leader, which runs f when it arrives, also if the caller has given up.
func call[T any](ctx context.Context, p *modelProcess, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	p.host.awaitAwake()
	if p.ctx.Err() != nil || ctx.Err() != nil {
		return none, errLost
	}
	random := p.host.model.callSeries(p.host)
	answer := make(chan result, 1)
	go func() {
		if !p.transfer(random) {
			return
		}
		var value T
		err := ErrNoLeader
		if p.host.model.hasLeader() {
			value, err = f()
		}
		if p.transfer(random) {
			answer <- result{value, err}
		}
	}()
	select {
	case r := <-answer:
		p.host.awaitAwake()
		return r.value, r.err
	case <-ctx.Done():
		p.host.awaitAwake()
		select {
		case r := <-answer:
			// A host that stood still finds the answer and the end of its time together.
			return r.value, r.err
		default:
			return none, ctx.Err()
		}
	}
}

// sleep is like monotonic.Sleep of a process that may stand still meanwhile.
func (p *modelProcess) sleep(ctx context.Context, d time.Duration) bool {
	monotonic.Sleep(ctx, d)
	p.host.awaitAwake()
	return ctx.Err() == nil
}

func (p *modelProcess) read(ctx context.Context, read *schemav1.CurrentRead) (*schemav1.CurrentReadAnswer, error) {
	return call(ctx, p, func() (*schemav1.CurrentReadAnswer, error) {
		number := p.host.model.state.EvacuationOrder(read.GetDataCentre())
		p.host.model.record(read.GetDataCentre(), "number %d read at the leader for %s", number, p.host.name)
		return &schemav1.CurrentReadAnswer{EvacuationOrder: number}, nil
	})
}

func (p *modelProcess) propose(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	return retry(ctx, func(ctx context.Context) (*schemav1.RegistryResult, error) {
		return call(ctx, p, func() (*schemav1.RegistryResult, error) {
			encoded, err := proto.Marshal(command)
			if err != nil {
				return nil, err
			}
			result := &schemav1.RegistryResult{}
			return result, proto.Unmarshal(p.host.model.state.Apply(0, encoded), result)
		})
	})
}

// serve handles an order as a host does that reads it now.
func (p *modelProcess) serve(ctx context.Context, dataCentre string, out bool) error {
	return p.committer.commit(ctx, &schemav1.CurrentRead{DataCentre: dataCentre}, func(current *schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error) {
		return &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{
			DataCentre: dataCentre, Out: out, ExpectedOrder: proto.Uint64(current.GetEvacuationOrder()),
		}}, nil
	})
}

// send sends an order to a host, waits for at most patience and then closes the connection.
func (m *orderModel) send(random *rand.Rand, h *modelHost, dataCentre string, out bool, patience time.Duration) bool {
	m.record(dataCentre, "operator sends out=%v to %s", out, h.name)
	reply := make(chan error, 1)
	closed := make(chan struct{})
	// What is sent while the way to the host is cut arrives when the cut ends, with the end of the connection a round trip after it, or one
	// retransmission later if that is lost.
	lateOrder, lateClose, closeLost := random.IntN(4) == 0, random.IntN(2) == 0, random.IntN(2) == 0
	arrival, answer, closeArrival := milliseconds(random, 0, 30), milliseconds(random, 0, 30), milliseconds(random, 0, 30)
	answerLost := random.IntN(12) == 0
	m.callers.Go(func() {
		time.Sleep(arrival)
		wasHeld := lateOrder && h.awaitCallers()
		h.awaitAwake()
		h.mu.Lock()
		p := h.process
		h.mu.Unlock()
		ctx, cancel := context.WithCancel(p.ctx)
		defer cancel()
		m.callers.Go(func() {
			select {
			case <-closed:
			case <-ctx.Done():
				return
			}
			time.Sleep(closeArrival)
			switch {
			case wasHeld && closeLost:
				time.Sleep(retransmissionTime + closeArrival)
			case lateClose && !lateOrder && patience == time.Second:
				h.awaitCallers()
			}
			h.awaitAwake()
			cancel()
		})
		m.record(dataCentre, "%s reads the order out=%v", h.name, out)
		err := p.serve(ctx, dataCentre, out)
		h.awaitAwake()
		m.record(dataCentre, "%s ends the order out=%v: %v", h.name, out, err)
		if p.ctx.Err() != nil {
			err = errLost
		}
		if answerLost {
			return
		}
		time.Sleep(answer)
		reply <- err
	})
	timer := time.NewTimer(patience)
	defer timer.Stop()
	defer close(closed)
	select {
	case err := <-reply:
		return err == nil
	case <-timer.C:
		return false
	}
}

// operate gives orders for one data centre.
func (m *orderModel) operate(random *rand.Rand, dataCentre string) {
	out := false
	for time.Since(m.start) < orderModelTime {
		if random.IntN(5) > 0 {
			out = !out
		}
		m.mu.Lock()
		if promised, ok := m.promised[dataCentre]; ok && promised != out {
			delete(m.promised, dataCentre)
		}
		m.mu.Unlock()
		m.record(dataCentre, "operator orders out=%v", out)
		begun, limit := time.Now(), time.Hour
		if random.IntN(3) == 0 {
			limit = milliseconds(random, 500, 4000)
		}
		acknowledged := false
		for !acknowledged && time.Since(begun) < limit && time.Since(m.start) < 2*orderModelTime {
			patience := time.Second
			if random.IntN(10) == 0 {
				// This is the end of the time for which the operator repeats the order.
				patience, limit = milliseconds(random, 50, 950), 0
			}
			acknowledged = m.send(random, m.hosts[random.IntN(len(m.hosts))], dataCentre, out, patience)
			if !acknowledged {
				time.Sleep(milliseconds(random, 20, 200))
			}
		}
		m.mu.Lock()
		if acknowledged {
			m.promised[dataCentre] = out
			m.acknowledged++
		} else {
			m.abandoned++
		}
		m.mu.Unlock()
		m.record(dataCentre, "operator ends the order out=%v acknowledged=%v", out, acknowledged)
		if acknowledged && m.state.IsEvacuated(dataCentre) != out {
			m.mu.Lock()
			m.violate(dataCentre, "out=%v was acknowledged and is not in force", out)
			m.mu.Unlock()
		}
		if random.IntN(3) > 0 {
			time.Sleep(milliseconds(random, 1, 30))
		} else {
			time.Sleep(milliseconds(random, 30, 1000))
		}
	}
}

// disturb lets one host stand still, cuts it from the leader or from its callers, and restarts it.
func (h *modelHost) disturb(random *rand.Rand) {
	for time.Since(h.model.start) < orderModelTime {
		time.Sleep(milliseconds(random, 50, 3000))
		switch random.IntN(6) {
		case 0:
			h.pause(milliseconds(random, 700, 5000))
		case 1:
			h.pause(milliseconds(random, 100, 700))
		case 2:
			for range 2 + random.IntN(4) {
				h.pause(milliseconds(random, 200, 690))
				time.Sleep(milliseconds(random, 1, 110))
			}
		case 3:
			h.mu.Lock()
			h.cutUntil = time.Now().Add(milliseconds(random, 200, 4000))
			h.mu.Unlock()
		case 4:
			h.mu.Lock()
			h.closesHeldUntil = time.Now().Add(milliseconds(random, 500, 6000))
			h.mu.Unlock()
			if random.IntN(4) > 0 {
				h.pause(milliseconds(random, 300, 700))
			}
			if random.IntN(4) > 0 {
				h.mu.Lock()
				h.cutUntil = time.Now().Add(milliseconds(random, 100, 900))
				h.mu.Unlock()
			}
		case 5:
			h.mu.Lock()
			old := h.process
			h.mu.Unlock()
			old.stop()
			h.startProcess()
		}
	}
}

// pause lets a host stand still, and returns after it.
func (h *modelHost) pause(d time.Duration) {
	h.model.record("", "%s stands still for %v", h.name, d)
	h.mu.Lock()
	h.pausedFrom, h.pausedUntil = time.Now(), time.Now().Add(d)
	h.mu.Unlock()
	time.Sleep(d)
}

// changeLeaders takes the leader away for a while, again and again. The next one may begin from a snapshot.
func (m *orderModel) changeLeaders(random *rand.Rand) {
	for time.Since(m.start) < orderModelTime {
		time.Sleep(milliseconds(random, 500, 5000))
		m.mu.Lock()
		m.electionUntil = time.Now().Add(milliseconds(random, 100, 1500))
		m.mu.Unlock()
		if random.IntN(2) == 0 {
			snapshot, err := m.state.Snapshot()
			if err == nil {
				err = m.state.Restore(snapshot)
			}
			if err != nil {
				m.record("", "snapshot: %v", err)
			}
		}
	}
}

func runOrderModel(t *testing.T, seed uint64) *orderModel {
	m := &orderModel{seed: seed, state: registry.NewState(), promised: map[string]bool{}}
	synctest.Test(t, func(*testing.T) {
		m.start = time.Now()
		m.state.OnEvacuationOrder(m.checkOrder)
		series := uint64(0)
		random := func() *rand.Rand { series++; return rand.New(rand.NewPCG(seed, series)) }
		var acting sync.WaitGroup
		for i := range orderModelHosts {
			h := &modelHost{model: m, name: fmt.Sprint("r", i)}
			m.hosts = append(m.hosts, h)
			h.startProcess()
			disturbances := random()
			acting.Go(func() { h.disturb(disturbances) })
		}
		elections := random()
		acting.Go(func() { m.changeLeaders(elections) })
		for i := range orderModelDataCentres {
			orders := random()
			acting.Go(func() { m.operate(orders, fmt.Sprint("d", i)) })
		}
		acting.Wait()
		time.Sleep(10 * time.Second)
		for _, h := range m.hosts {
			h.process.stop()
		}
		m.callers.Wait()
	})
	return m
}

// Guards against an evacuated data centre that gets requests again although nobody has withdrawn the evacuation since it was acknowledged (EVAC).
func TestAcknowledgedEvacuationsStayUntilTheNextOrder(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	defer klog.LogToStderr(true)
	acknowledged, abandoned := 0, 0
	for seed := range uint64(orderModelSeeds) {
		m := runOrderModel(t, seed)
		acknowledged += m.acknowledged
		abandoned += m.abandoned
		if m.violation != "" {
			t.Fatalf("seed %d: %s", seed, m.report())
		}
	}
	t.Logf("%d orders acknowledged, %d abandoned", acknowledged, abandoned)
}

// Guards against an order that waited in a paused host and whose number is then read so late that it is that of a newer order (EVAC).
func TestOrderIsNotProposedWhenItsNumberIsReadLate(t *testing.T) {
	for _, c := range []struct {
		paused, reading time.Duration
		proposed        bool
	}{
		{0, 100 * time.Millisecond, true},
		{0, 500 * time.Millisecond, true},
		{500 * time.Millisecond, 100 * time.Millisecond, true},
		{650 * time.Millisecond, 400 * time.Millisecond, false},
		{500 * time.Millisecond, 600 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			begun, offset := time.Now(), atomic.Int64{}
			detector := pauses.New(func() time.Duration { return time.Since(begun) + time.Duration(offset.Load()) })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go detector.Run(ctx)
			time.Sleep(time.Second)
			offset.Add(int64(c.paused))
			proposed := false
			committer := &orderCommitter{
				pauses: detector, sleep: monotonic.Sleep,
				read: func(context.Context, *schemav1.CurrentRead) (*schemav1.CurrentReadAnswer, error) {
					time.Sleep(c.reading)
					return &schemav1.CurrentReadAnswer{}, nil
				},
				propose: func(context.Context, *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
					proposed = true
					return &schemav1.RegistryResult{}, nil
				},
			}
			err := committer.commit(ctx, &schemav1.CurrentRead{}, func(*schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error) {
				return &schemav1.RegistryCommand{}, nil
			})
			if proposed != c.proposed {
				t.Errorf("after a pause of %v and a reading of %v the order was proposed: %v (%v)", c.paused, c.reading, proposed, err)
			}
		})
	}
}
