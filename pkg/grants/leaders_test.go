package grants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// modelLease is the longest time for which a leader that no voter responds to still holds its lease.
	modelLease = 275 * time.Millisecond
	// modelUserTimeout is how long sent data is retransmitted on behalf of a process that stands still.
	modelUserTimeout = 3 * time.Second
	// modelThawSlack is the time after a pause of the sender or a cut in which a grant may arrive that was held up by it.
	modelThawSlack = 300 * time.Millisecond
	modelHosts     = 3
)

// modelProcess is one process of a target. What it holds ends with it.
type modelProcess struct {
	id, address, service string
	alive                bool
	holdings             []modelHolding
}

type modelHolding struct {
	first, last uint32
	fence       uint64
	until       time.Duration
	// heldUp is set for a grant that arrived right after a pause of its sender or a cut, which does not count.
	heldUp bool
}

// modelSlot is a place in which processes of one target run one after another.
type modelSlot struct {
	registration *schemav1.Registration
	process      *modelProcess
	mode         string
	busy         bool
}

// modelLink is the connection between a registry host and an address.
type modelLink struct {
	cutTo, cutFrom bool
	healedAt       time.Duration
}

// modelHost is a registry host. It is the Proposer and Granter of its manager while it is the leader.
type modelHost struct {
	w           *modelWorld
	name        int
	pausedUntil time.Duration
	thawedAt    time.Duration
	// suspended is the time for which the machine was suspended, which its monotonic clock does not count.
	suspended  time.Duration
	leaseUntil time.Duration
	// cut is set while the host cannot reach the other registry hosts.
	cut     bool
	links   map[string]*modelLink
	pools   map[string]*modelProcess
	ctx     context.Context
	cancel  context.CancelFunc
	manager *Manager
}

// modelWorld runs the managers of several leaders against targets on simulated time.
type modelWorld struct {
	mu       sync.Mutex
	random   *rand.Rand
	start    time.Time
	state    *registry.State
	services map[string]routes.Service
	slots    []*modelSlot
	hosts    []*modelHost
	// earlier is the leader before current, or nil.
	current, earlier *modelHost
	// uncommitted are proposals of a leader that was cut off, which the next leader may commit.
	uncommitted []*schemav1.RegistryCommand
	processes   []*modelProcess
	// fences has the highest fence of each key and the process that was granted it, by service.
	fences     map[string]*[Keys]modelFence
	violations []string
	calm       bool
	nextID     int
	tasks      sync.WaitGroup
}

type modelFence struct {
	fence   uint64
	process *modelProcess
}

func newModelWorld(seed uint64, targets int) *modelWorld {
	w := &modelWorld{
		random: rand.New(rand.NewPCG(seed, 38)), start: time.Now(), state: registry.NewState(),
		services: map[string]routes.Service{"files": {Name: "files", Exclusive: true}, "docs": {Name: "docs", Exclusive: true}},
		fences:   map[string]*[Keys]modelFence{"files": {}, "docs": {}},
	}
	for i := range targets {
		service := []string{"files", "docs"}[i%2]
		slot := &modelSlot{mode: "answering"}
		w.slots = append(w.slots, slot)
		w.startProcess(slot, fmt.Sprint("t", i), fmt.Sprint("a", i), service, fmt.Sprint("n", i%4), 0)
	}
	for i := range modelHosts {
		w.hosts = append(w.hosts, &modelHost{w: w, name: i, links: map[string]*modelLink{}, pools: map[string]*modelProcess{}})
	}
	return w
}

func (w *modelWorld) now() time.Duration { return time.Since(w.start) }

// between returns a random duration.
func (w *modelWorld) between(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *modelWorld) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

func (w *modelWorld) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// apply applies a command to the registry. w.mu must be held.
func (w *modelWorld) apply(c *schemav1.RegistryCommand) *schemav1.RegistryResult {
	return applyCommand(w.state, c)
}

// startProcess starts a process in a slot and announces it after a delay.
func (w *modelWorld) startProcess(slot *modelSlot, id, address, service, dataCentre string, announceAfter time.Duration) {
	w.mu.Lock()
	started := w.now().Milliseconds() + 1_000_000
	if w.random.Float64() < 0.05 && slot.registration != nil {
		// The time of day of the target was set back.
		started -= int64(w.random.IntN(5000))
	}
	process := &modelProcess{id: id, address: address, service: service, alive: true}
	registration := &schemav1.Registration{
		Id: id, StartedUnixMs: started, Service: service, Address: address, DataCentre: dataCentre, Slots: 2, Life: schemav1.Life_LIFE_READY,
	}
	slot.process, slot.registration = process, registration
	w.processes = append(w.processes, process)
	announce := func() { w.apply(&schemav1.RegistryCommand{Registration: registration}) }
	if announceAfter == 0 {
		announce()
	}
	w.mu.Unlock()
	if announceAfter > 0 {
		w.tasks.Go(func() {
			time.Sleep(announceAfter)
			w.mu.Lock()
			defer w.mu.Unlock()
			if process.alive {
				announce()
			}
		})
	}
}

// kill ends the process of a slot. w.mu must be held.
func (slot *modelSlot) kill() { slot.process.alive, slot.process.holdings = false, nil }

// listener returns the live process at an address, or nil. w.mu must be held.
func (w *modelWorld) listener(address string) *modelProcess {
	for _, slot := range w.slots {
		if slot.process.alive && slot.process.address == address {
			return slot.process
		}
	}
	return nil
}

// slotOf returns the slot of a process. w.mu must be held.
func (w *modelWorld) slotOf(process *modelProcess) *modelSlot {
	for _, slot := range w.slots {
		if slot.process == process {
			return slot
		}
	}
	return nil
}

// hold records a grant that takes effect at a process. w.mu must be held.
func (w *modelWorld) hold(process *modelProcess, granted modelHolding) {
	now := w.now()
	for _, other := range w.processes {
		if other == process || !other.alive || other.service != process.service || granted.heldUp {
			continue
		}
		for _, h := range other.holdings {
			if !h.heldUp && h.until > now && h.first <= granted.last && granted.first <= h.last {
				w.violations = append(w.violations, fmt.Sprintf("%v: %s (%s) holds %d to %d of %s until %v (fence %d), which %s (%s) gets with fence %d",
					now, other.id, other.address, h.first, h.last, process.service, h.until, h.fence, process.id, process.address, granted.fence))
			}
		}
	}
	for key := granted.first; key <= granted.last; key++ {
		known := &w.fences[process.service][key]
		if known.process != nil && known.process != process && granted.fence <= known.fence && !granted.heldUp {
			w.violations = append(w.violations, fmt.Sprintf("%v: %s (%s) gets key %d of %s with fence %d, which %s had with %d",
				now, process.id, process.address, key, process.service, granted.fence, known.process.id, known.fence))
			break
		}
		if granted.fence >= known.fence && !granted.heldUp {
			*known = modelFence{granted.fence, process}
		}
	}
	process.drop(granted.first, granted.last, func(fence uint64) bool { return fence <= granted.fence })
	process.holdings = append(process.holdings, granted)
}

// drop ends what a process holds of a range under the fences that match.
func (p *modelProcess) drop(first, last uint32, matches func(fence uint64) bool) {
	var kept []modelHolding
	for _, h := range p.holdings {
		if !matches(h.fence) || h.last < first || last < h.first {
			kept = append(kept, h)
			continue
		}
		before, after := h, h
		if before.last = first - 1; h.first < first {
			kept = append(kept, before)
		}
		if after.first = last + 1; h.last > last {
			kept = append(kept, after)
		}
	}
	p.holdings = kept
}

// step is called between two steps of a host. It returns once the host is not paused; a pause may also begin here.
func (h *modelHost) step() { h.stepOrPause(0.0005) }

// stepOrPause is step with the probability of a pause.
func (h *modelHost) stepOrPause(pause float64) {
	h.w.mu.Lock()
	pauses := !h.w.calm && h.w.random.Float64() < pause
	h.w.mu.Unlock()
	if pauses {
		h.pause(h.w.between(50*time.Millisecond, 9*time.Second), h.w.chance(0.5))
	}
	for {
		h.w.mu.Lock()
		wait := h.pausedUntil - h.w.now()
		h.w.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// clock is the monotonic clock of the host.
func (h *modelHost) clock() time.Duration {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.w.now() - h.suspended
}

// sleep waits for a time by the clock of the host.
func (h *modelHost) sleep(d time.Duration) {
	for end := h.clock() + d; h.clock() < end; {
		time.Sleep(end - h.clock())
		h.step()
	}
}

// pause makes a host stand still. The others elect another leader if it takes long enough.
func (h *modelHost) pause(d time.Duration, suspension bool) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	now := h.w.now()
	if now < h.pausedUntil {
		return
	}
	h.pausedUntil, h.thawedAt = now+d, now+d
	if suspension {
		h.suspended += d
	}
	if h.w.current == h && d > modelLease {
		h.w.replaceLeader(now+time.Duration(h.w.random.Int64N(int64(modelLease))), modelLease)
	}
}

// replaceLeader lets the current leader's lease end at a time and elects another one after delay. w.mu must be held.
func (w *modelWorld) replaceLeader(leaseUntil, delay time.Duration) {
	old := w.current
	old.leaseUntil = leaseUntil
	w.current = nil
	wait := max(leaseUntil-w.now(), delay) + time.Duration(w.random.Int64N(int64(300*time.Millisecond)))
	notice := time.Duration(w.random.Int64N(int64(500 * time.Millisecond)))
	w.tasks.Go(func() {
		time.Sleep(wait)
		w.elect(old)
		old.step()
		time.Sleep(notice)
		old.end()
	})
}

// elect makes a host the leader that is neither the last one nor paused.
func (w *modelWorld) elect(last *modelHost) {
	for {
		w.mu.Lock()
		order := w.random.Perm(modelHosts)
		if w.earlier != nil && w.random.IntN(2) == 0 {
			// A host that was the leader before still has connections.
			order = append([]int{w.earlier.name}, order...)
		}
		for _, i := range order {
			h := w.hosts[i]
			if h == last || h.cut || h.cancel != nil || w.now() < h.pausedUntil {
				continue
			}
			for _, c := range w.uncommitted {
				w.apply(c)
			}
			w.uncommitted, w.earlier = nil, last
			w.current, h.leaseUntil = h, 1<<62
			h.ctx, h.cancel = context.WithCancel(context.Background())
			h.manager = New(w.state, h, h, h.clock)
			manager, ctx := h.manager, h.ctx
			w.mu.Unlock()
			w.tasks.Go(func() { h.lead(ctx, manager) })
			return
		}
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// lead is the main loop of a leader.
func (h *modelHost) lead(ctx context.Context, manager *Manager) {
	for ctx.Err() == nil {
		manager.Step(ctx, h.w.services)
		time.Sleep(100 * time.Millisecond)
		h.step()
	}
	manager.Wait()
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.cancel = nil
}

// end ends the work of a leader that knows that it was replaced.
func (h *modelHost) end() {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
	}
}

// HoldsLeaderLease implements Proposer.
func (h *modelHost) HoldsLeaderLease() bool {
	h.w.mu.Lock()
	now := h.w.now()
	held := now < h.leaseUntil && h.ctx.Err() == nil
	h.w.mu.Unlock()
	h.step()
	return held
}

var errNotCommitted = fmt.Errorf("not committed")

// Propose implements Proposer. A host that was replaced forwards its proposals.
func (h *modelHost) Propose(ctx context.Context, c *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	// What was decided may be outdated once it is committed.
	h.stepOrPause(0.03)
	h.sleep(h.w.between(time.Millisecond, 40*time.Millisecond))
	h.step()
	h.w.mu.Lock()
	if ctx.Err() != nil || h.cut || h.w.current == nil {
		if h.w.now() < h.leaseUntil && h.w.random.IntN(2) == 0 {
			h.w.uncommitted = append(h.w.uncommitted, c)
		}
		h.w.mu.Unlock()
		return nil, errNotCommitted
	}
	result := h.w.apply(c)
	h.w.mu.Unlock()
	h.sleep(h.w.between(time.Millisecond, 20*time.Millisecond))
	h.step()
	return result, nil
}

// link returns the link to an address. w.mu must be held.
func (h *modelHost) link(address string) *modelLink {
	if h.links[address] == nil {
		h.links[address] = &modelLink{}
	}
	return h.links[address]
}

// notSent and lost are the errors of calls that were not sent, and that got no response.
func notSent(err error) error { return &upstream.Error{Stage: upstream.NotSent, Cause: err} }

func lost() error { return &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded} }

// dial opens a connection and returns the process at its other end.
func (h *modelHost) dial(address string) (*modelProcess, error) {
	delay := h.w.between(time.Millisecond, 30*time.Millisecond)
	if h.w.chance(0.1) {
		delay = h.w.between(time.Millisecond, upstream.DefaultDialTimeout)
	}
	h.sleep(delay)
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	link, process := h.link(address), h.w.listener(address)
	if link.cutTo || link.cutFrom || process == nil || h.ctx.Err() != nil {
		return nil, notSent(context.DeadlineExceeded)
	}
	return process, nil
}

// travel waits until sent bytes arrive. It returns false if they are discarded before that.
func (h *modelHost) travel(ctx context.Context, address string, deadline time.Duration) bool {
	sentAt := h.w.now()
	time.Sleep(h.w.between(time.Millisecond, 15*time.Millisecond))
	for {
		h.w.mu.Lock()
		link, now := h.link(address), h.w.now()
		cut, paused := link.cutTo, now < h.pausedUntil
		expired := !paused && (now-h.suspended >= deadline || ctx.Err() != nil) || now-sentAt >= modelUserTimeout
		h.w.mu.Unlock()
		if !cut {
			return true
		}
		if expired {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitResponse waits for a response that was sent, or until the deadline if there is none.
func (h *modelHost) awaitResponse(ctx context.Context, address string, responded bool, deadline time.Duration) bool {
	time.Sleep(h.w.between(time.Millisecond, 15*time.Millisecond))
	for {
		h.step()
		h.w.mu.Lock()
		arrived := responded && !h.link(address).cutFrom
		expired := h.w.now()-h.suspended >= deadline || ctx.Err() != nil
		h.w.mu.Unlock()
		if arrived || expired {
			return arrived
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// context returns the context of the leadership.
func (h *modelHost) context() context.Context {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.ctx
}

// Grant implements Granter.
func (h *modelHost) Grant(_ context.Context, g *Grant) error {
	h.step()
	ctx, deadline := h.context(), h.clock()+grantTimeout
	pool := fmt.Sprint(g.Target, g.Address, g.First, " ", g.Fence)
	h.w.mu.Lock()
	process := h.pools[pool]
	delete(h.pools, pool)
	open := process != nil && process.alive
	h.w.mu.Unlock()
	switch {
	case open:
	case g.Renewal:
		return ErrConnectionClosed
	default:
		var err error
		if process, err = h.dial(g.Address); err != nil {
			return err
		}
	}
	h.step()
	if err := g.BeforeSend(); err != nil {
		return notSent(err)
	}
	if h.clock() >= deadline || !h.travel(ctx, g.Address, deadline) {
		return lost()
	}
	responded, err := h.w.receive(h, process, g)
	if !h.awaitResponse(ctx, g.Address, responded, deadline) {
		return lost()
	}
	if err == nil {
		h.w.mu.Lock()
		h.pools[pool] = process
		h.w.mu.Unlock()
	}
	return err
}

// receive makes a process take a grant that has arrived.
func (w *modelWorld) receive(from *modelHost, process *modelProcess, g *Grant) (responded bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !process.alive {
		return false, nil
	}
	if process.id != g.Target {
		return true, &StatusError{Target: g.Target, Status: "421"}
	}
	now, link := w.now(), from.link(process.address)
	within := func(since time.Duration) bool { return since > 0 && now >= since && now < since+modelThawSlack }
	granted := modelHolding{
		first: g.First, last: g.Last, fence: g.Fence, until: now + time.Duration(float64(g.Validity)/(1-maxClockError)),
		heldUp: within(from.thawedAt) || within(link.healedAt) || now < from.pausedUntil,
	}
	take := func() bool {
		for _, held := range process.holdings {
			if held.fence > granted.fence && held.first <= granted.last && granted.first <= held.last {
				return false
			}
		}
		w.hold(process, granted)
		return true
	}
	mode := w.slotOf(process).mode
	if mode == "late" && w.random.IntN(2) == 0 {
		mode = "answering"
	}
	switch mode {
	case "late":
		delay := time.Duration(w.random.Int64N(int64(12 * time.Second)))
		if w.random.IntN(2) == 0 {
			// Only grants that are applied before they expire can do harm.
			delay %= Validity
		}
		w.tasks.Go(func() {
			time.Sleep(delay)
			w.mu.Lock()
			defer w.mu.Unlock()
			if process.alive && w.now() < granted.until {
				take()
			}
		})
		return false, nil
	case "answers lost":
		take()
		return false, nil
	}
	if !take() {
		return true, &StaleFenceError{Target: g.Target}
	}
	return true, nil
}

// Release implements Granter.
func (h *modelHost) Release(_ context.Context, g *Grant) (string, error) {
	h.step()
	ctx, deadline := h.context(), h.clock()+releaseTimeout
	process, err := h.dial(g.Address)
	if err != nil {
		return "", err
	}
	h.step()
	if !h.travel(ctx, g.Address, deadline) {
		return "", lost()
	}
	h.w.mu.Lock()
	responded, work := process.alive, time.Duration(0)
	switch {
	case !process.alive:
	case process.id != g.Target:
		err = &StatusError{Target: g.Target, Status: "421"}
	default:
		process.drop(g.First, g.Last, func(fence uint64) bool { return fence == g.Fence })
		responded = h.w.slotOf(process).mode != "answers lost"
		work = time.Duration(max(0, h.w.random.Int64N(int64(2*time.Second))-int64(time.Second)))
	}
	h.w.mu.Unlock()
	time.Sleep(work)
	if !h.awaitResponse(ctx, g.Address, responded, deadline) {
		return "", lost()
	}
	return "handover", err
}

// change applies one random change.
func (w *modelWorld) change() {
	slot, host := w.slots[w.pick(len(w.slots))], w.hosts[w.pick(modelHosts)]
	w.mu.Lock()
	if w.current != nil && w.random.IntN(3) > 0 {
		host = w.current
	}
	address := slot.process.address
	w.mu.Unlock()
	switch w.pick(14) {
	case 0, 1:
		w.restart(slot, 0)
	case 2:
		// A series of restarts.
		w.restart(slot, w.pick(3)+1)
	case 3:
		w.exchange(slot, w.slots[w.pick(len(w.slots))])
	case 4:
		w.leave(slot)
	case 5, 6:
		w.mu.Lock()
		slot.mode = []string{"answering", "answers lost", "late"}[w.random.IntN(3)]
		w.mu.Unlock()
	case 7, 8:
		dataCentre := fmt.Sprint("n", w.pick(4))
		w.mu.Lock()
		w.apply(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: dataCentre, Out: !w.state.IsEvacuated(dataCentre)}})
		w.mu.Unlock()
	case 9:
		w.cut(host, address)
	case 10:
		host.pause(w.between(100*time.Millisecond, 12*time.Second), w.chance(0.5))
	case 11:
		w.mu.Lock()
		if w.current != nil {
			// Leadership is transferred, or the leader is cut off from the other registry hosts.
			if cut := w.random.IntN(2) == 0; cut {
				cutOff := w.current
				cutOff.cut = true
				w.tasks.Go(func() {
					time.Sleep(w.between(time.Second, 4*time.Second))
					w.mu.Lock()
					defer w.mu.Unlock()
					cutOff.cut = false
				})
				w.replaceLeader(w.now()+modelLease, modelLease)
			} else {
				w.replaceLeader(w.now(), 0)
			}
		}
		w.mu.Unlock()
	case 12:
		// The leader stands still for long enough to be replaced, and then again the next one.
		w.mu.Lock()
		leader := w.current
		w.mu.Unlock()
		if leader != nil {
			leader.pause(w.between(modelLease, 2*time.Second), w.chance(0.5))
			time.Sleep(w.between(500*time.Millisecond, 1500*time.Millisecond))
		}
	case 13:
		w.mu.Lock()
		process, manager := slot.process, (*Manager)(nil)
		if w.current != nil {
			manager = w.current.manager
		}
		w.mu.Unlock()
		if manager != nil {
			manager.RecordRequests(process.service, uint32(w.pick(1024)), 500)
			manager.RecordResponses(process.service, process.id, 50, 50*time.Second)
		}
	}
}

// restart kills the process of a slot and starts others, under its ID or a new one, at its address or a new one, which are announced late.
func (w *modelWorld) restart(slot *modelSlot, more int) {
	w.mu.Lock()
	if slot.busy {
		w.mu.Unlock()
		return
	}
	slot.busy = true
	slot.kill()
	w.mu.Unlock()
	w.tasks.Go(func() {
		for range more + 1 {
			w.mu.Lock()
			slot.kill()
			r := slot.registration
			id, address := r.GetId(), r.GetAddress()
			if w.random.IntN(4) == 0 {
				w.nextID++
				id = fmt.Sprint("r", w.nextID)
			}
			if w.random.IntN(4) == 0 {
				w.nextID++
				address = fmt.Sprint("b", w.nextID)
			}
			w.mu.Unlock()
			time.Sleep(w.between(0, 2*time.Second))
			w.startProcess(slot, id, address, r.GetService(), r.GetDataCentre(), w.between(0, 4*time.Second))
			if more > 0 {
				time.Sleep(w.between(100*time.Millisecond, 3*time.Second))
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		slot.busy = false
	})
}

// exchange restarts two targets at each other's address.
func (w *modelWorld) exchange(a, b *modelSlot) {
	w.mu.Lock()
	if a == b || a.busy || b.busy {
		w.mu.Unlock()
		return
	}
	a.busy, b.busy = true, true
	a.kill()
	b.kill()
	w.mu.Unlock()
	w.tasks.Go(func() {
		time.Sleep(w.between(0, 2*time.Second))
		w.mu.Lock()
		ra, rb := a.registration, b.registration
		w.mu.Unlock()
		w.startProcess(a, ra.GetId(), rb.GetAddress(), ra.GetService(), ra.GetDataCentre(), w.between(0, 3*time.Second))
		w.startProcess(b, rb.GetId(), ra.GetAddress(), rb.GetService(), rb.GetDataCentre(), w.between(0, 3*time.Second))
		w.mu.Lock()
		defer w.mu.Unlock()
		a.busy, b.busy = false, false
	})
}

// leave removes a target whose process goes on for a while, and starts it again later.
func (w *modelWorld) leave(slot *modelSlot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slot.busy {
		return
	}
	slot.busy = true
	r := slot.registration
	w.apply(&schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: r.GetId(), StartedUnixMs: r.GetStartedUnixMs()}})
	w.tasks.Go(func() {
		time.Sleep(w.between(0, 8*time.Second))
		w.mu.Lock()
		slot.kill()
		w.mu.Unlock()
		time.Sleep(w.between(0, 2*time.Second))
		w.startProcess(slot, r.GetId(), r.GetAddress(), r.GetService(), r.GetDataCentre(), w.between(0, 3*time.Second))
		w.mu.Lock()
		defer w.mu.Unlock()
		slot.busy = false
	})
}

// cut cuts the link between a registry host and an address, in one or both directions, for a while.
func (w *modelWorld) cut(host *modelHost, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := host.link(address)
	if link.cutTo || link.cutFrom {
		return
	}
	direction := w.random.IntN(3)
	link.cutTo, link.cutFrom = direction != 0, direction != 1
	w.tasks.Go(func() {
		time.Sleep(w.between(200*time.Millisecond, 8*time.Second))
		w.mu.Lock()
		defer w.mu.Unlock()
		link.cutTo, link.cutFrom, link.healedAt = false, false, w.now()
	})
}

// heal ends all trouble that does not end by itself.
func (w *modelWorld) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calm = true
	for _, slot := range w.slots {
		slot.mode = "answering"
		w.apply(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: slot.registration.GetDataCentre()}})
	}
	// IDs that no process uses any more are removed, as the platform does with targets that are lost for good.
	for _, target := range w.state.Targets() {
		used := false
		for _, slot := range w.slots {
			used = used || slot.registration.GetId() == target.GetId()
		}
		if !used {
			w.apply(&schemav1.RegistryCommand{ForgetTarget: target})
		}
	}
}

// unserved returns a range that its owner does not hold, or "".
func (w *modelWorld) unserved() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for service := range w.services {
		for _, r := range w.state.Keys(service).GetRanges() {
			held := false
			for _, p := range w.processes {
				for _, h := range p.holdings {
					held = held || p.alive && p.id == r.GetOwner() && h.first <= r.GetFirst() && h.last >= r.GetLast() && h.until > w.now()
				}
			}
			if !held || r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
				return service + " " + r.String()
			}
		}
	}
	return ""
}

func (w *modelWorld) isBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.violations) > 0
}

// violationsIn returns what is broken in a run with random trouble, or "".
func violationsIn(seed uint64, targets int, trouble time.Duration) string {
	w := newModelWorld(seed, targets)
	w.elect(nil)
	time.Sleep(2 * time.Second)
	for end := w.now() + trouble; w.now() < end && !w.isBroken(); {
		w.change()
		time.Sleep(w.between(time.Millisecond, 1200*time.Millisecond))
	}
	w.heal()
	time.Sleep(unresponsivePeriod + 4*maxGrantAge)
	unserved := w.unserved()
	for range 200 {
		if unserved == "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
		unserved = w.unserved()
	}
	for _, h := range w.hosts {
		h.end()
	}
	w.tasks.Wait()
	if unserved != "" {
		w.violations = append(w.violations, "not served: "+unserved)
	}
	return strings.Join(w.violations, "\n")
}

// testLeaders plays random trouble with several leaders for each seed.
func testLeaders(t *testing.T, seeds uint64, targets int, trouble time.Duration) {
	first, last := uint64(1), seeds
	if chosen := os.Getenv("GRANT_SEEDS"); chosen != "" {
		if _, err := fmt.Sscanf(chosen, "%d-%d", &first, &last); err != nil {
			t.Fatal(err)
		}
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if violations := violationsIn(seed, targets, trouble); violations != "" {
					t.Error(violations)
				}
			})
		})
	}
}

// Guards against two processes that hold the same keys, or a fence that does not rise, whatever leaders, targets and links go through.
func TestKeysHaveOneOwnerUnderSeveralLeaders(t *testing.T) { testLeaders(t, 20, 8, 40*time.Second) }

// Guards against the same where many ranges move at once.
func TestKeysHaveOneOwnerWithManyTargets(t *testing.T) { testLeaders(t, 1, 240, 20*time.Second) }
