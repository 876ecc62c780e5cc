package grants

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/upstream"
)

// holding is a range of keys that a target of the model holds.
type holding struct {
	first, last uint32
	fence       uint64
	until       time.Duration
}

// modelTarget is a target that may answer, lose its answers, carry grants out late, be unreachable and restart. Its clock runs slow by
// the maximum error.
type modelTarget struct {
	registration *schemav1.Registration
	holdings     []holding
	// connections has the fences and first keys that were granted over a connection that is still open.
	connections map[string]bool
	late        []lateGrant
	mode        string
	// announceAt is when the start of the current process is announced, or 0 if it has been.
	announceAt time.Duration
}

type lateGrant struct {
	at time.Duration
	holding
}

// model runs a Manager against targets on a simulated clock. It implements Proposer and Granter.
type model struct {
	mu         sync.Mutex
	now        time.Duration
	state      *registry.State
	targets    []*modelTarget
	manager    *Manager
	violations []string
}

func newModel(count int) *model {
	m := &model{state: registry.NewState()}
	for i := range count {
		id := fmt.Sprintf("t%d", i)
		target := &modelTarget{
			registration: &schemav1.Registration{
				Id: id, StartedUnixMs: 1, Service: "files", Address: id, DataCentre: id, Slots: 2, Life: schemav1.Life_LIFE_READY,
			},
			connections: map[string]bool{}, mode: "answering",
		}
		m.targets = append(m.targets, target)
		m.apply(&schemav1.RegistryCommand{Registration: target.registration})
	}
	m.changeLeader()
	return m
}

// changeLeader lets another leader take over, which has no connection to any target.
func (m *model) changeLeader() {
	m.mu.Lock()
	for _, t := range m.targets {
		t.connections = map[string]bool{}
	}
	m.mu.Unlock()
	m.manager = New(m.state, m, m, m.clock)
}

func (m *model) clock() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *model) apply(c *schemav1.RegistryCommand) *schemav1.RegistryResult {
	return applyCommand(m.state, c)
}

// applyCommand applies a command to a state as a replica does.
func applyCommand(state *registry.State, c *schemav1.RegistryCommand) *schemav1.RegistryResult {
	encoded, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	result := &schemav1.RegistryResult{}
	if err := proto.Unmarshal(state.Apply(0, encoded), result); err != nil {
		panic(err)
	}
	return result
}

// Propose implements Proposer.
func (m *model) Propose(_ context.Context, c *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(c), nil
}

// HoldsLeaderLease implements Proposer.
func (m *model) HoldsLeaderLease() bool { return true }

func (m *model) target(id string) *modelTarget {
	for _, t := range m.targets {
		if t.registration.GetId() == id {
			return t
		}
	}
	return nil
}

// Grant implements Granter.
func (m *model) Grant(_ context.Context, g *Grant) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.target(g.Target)
	connection := fmt.Sprint(g.Fence, " ", g.First)
	if g.Renewal && !t.connections[connection] {
		return ErrConnectionClosed
	}
	if t.mode == "unreachable" {
		return &upstream.Error{Stage: upstream.NotSent, Cause: context.DeadlineExceeded}
	}
	granted := holding{g.First, g.Last, g.Fence, m.now + g.Validity + time.Duration(float64(g.Validity)*maxClockError)}
	for _, h := range t.holdings {
		if h.first <= g.Last && g.First <= h.last && h.fence > g.Fence && h.until > m.now {
			return &StaleFenceError{Target: g.Target}
		}
	}
	t.connections[connection] = true
	lost := &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded}
	if t.mode == "late" {
		t.late = append(t.late, lateGrant{m.now + grantDelay, granted})
		delete(t.connections, connection)
		return lost
	}
	m.hold(t, granted)
	if t.mode == "answers lost" {
		delete(t.connections, connection)
		return lost
	}
	return nil
}

// hold records that a target holds keys, which no other target may hold.
func (m *model) hold(t *modelTarget, granted holding) {
	for _, other := range m.targets {
		for _, h := range other.holdings {
			if other != t && h.until > m.now && h.first <= granted.last && granted.first <= h.last {
				m.violations = append(m.violations, fmt.Sprintf("%v: %s holds %d to %d (fence %d), which %s gets with fence %d", m.now,
					other.registration.GetId(), h.first, h.last, h.fence, t.registration.GetId(), granted.fence))
			}
		}
	}
	t.release(granted.first, granted.last, granted.fence)
	t.holdings = append(t.holdings, granted)
}

// release ends what the target holds of a range under a fence up to this one.
func (t *modelTarget) release(first, last uint32, fence uint64) {
	var kept []holding
	for _, h := range t.holdings {
		if h.fence > fence || h.last < first || last < h.first {
			kept = append(kept, h)
			continue
		}
		if h.first < first {
			kept = append(kept, holding{h.first, first - 1, h.fence, h.until})
		}
		if h.last > last {
			kept = append(kept, holding{last + 1, h.last, h.fence, h.until})
		}
	}
	t.holdings = kept
}

// Release implements Granter.
func (m *model) Release(_ context.Context, g *Grant) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.target(g.Target)
	switch t.mode {
	case "unreachable", "late":
		return "", &upstream.Error{Stage: upstream.NotSent, Cause: context.DeadlineExceeded}
	}
	// A target ends only what it holds under this very fence.
	var kept []holding
	for _, h := range t.holdings {
		if h.fence != g.Fence || h.last < g.First || g.Last < h.first {
			kept = append(kept, h)
		}
	}
	t.holdings = kept
	if t.mode == "answers lost" {
		return "", &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded}
	}
	return "handover", nil
}

// step advances the clock by 50 ms, after a step of the manager.
func (m *model) step() {
	m.manager.Step(context.Background(), map[string]routes.Service{"files": {Name: "files", Exclusive: true}})
	m.manager.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += 50 * time.Millisecond
	for _, t := range m.targets {
		var waiting []lateGrant
		for _, l := range t.late {
			switch {
			case m.now < l.at:
				waiting = append(waiting, l)
			case m.now < l.until:
				m.hold(t, l.holding)
			}
		}
		t.late = waiting
		if t.announceAt > 0 && m.now >= t.announceAt {
			t.announceAt = 0
			m.apply(&schemav1.RegistryCommand{Registration: t.registration})
		}
	}
}

func (m *model) run(d time.Duration) {
	for end := m.clock() + d; m.clock() < end; {
		m.step()
	}
}

// change applies one random change to the model.
func (m *model) change(t *rapid.T) {
	target := rapid.SampledFrom(m.targets).Draw(t, "target")
	id := target.registration.GetId()
	switch rapid.SampledFrom([]string{"mode", "mode", "evacuate", "return", "restart", "leader", "connections", "load", "slow", "heal"}).Draw(t, "change") {
	case "mode":
		m.mu.Lock()
		target.mode = rapid.SampledFrom([]string{"answering", "answers lost", "late", "unreachable"}).Draw(t, "mode")
		m.mu.Unlock()
	case "evacuate":
		m.apply(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: id, Out: true}})
	case "return":
		m.apply(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: id}})
	case "restart":
		// Late grants of the old process are lost with it.
		m.mu.Lock()
		target.holdings, target.late, target.connections = nil, nil, map[string]bool{}
		next := proto.Clone(target.registration).(*schemav1.Registration)
		next.StartedUnixMs++
		target.registration = next
		if target.announceAt = m.now + time.Duration(rapid.IntRange(0, 60).Draw(t, "announced after"))*50*time.Millisecond; target.announceAt == m.now {
			target.announceAt = 0
			m.apply(&schemav1.RegistryCommand{Registration: next})
		}
		m.mu.Unlock()
	case "leader":
		m.changeLeader()
	case "connections":
		m.mu.Lock()
		target.connections = map[string]bool{}
		m.mu.Unlock()
	case "load":
		m.manager.RecordRequests("files", uint32(rapid.IntRange(0, 1023).Draw(t, "bucket")), 500)
	case "slow":
		m.manager.RecordResponses("files", id, 50, 50*time.Second)
	case "heal":
		m.heal()
	}
}

// heal ends all trouble of the targets.
func (m *model) heal() {
	for _, target := range m.targets {
		m.mu.Lock()
		target.mode = "answering"
		m.mu.Unlock()
		m.apply(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: target.registration.GetId()}})
	}
}

// unowned returns a description of a range that no target holds for its owner, or "".
func (m *model) unowned() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.state.Keys("files").GetRanges() {
		held := false
		for _, h := range m.target(r.GetOwner()).holdings {
			held = held || h.first <= r.GetFirst() && h.last >= r.GetLast() && h.until > m.now
		}
		if !held || r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			return r.String()
		}
	}
	return ""
}

var _ = Describe("Manager with random trouble", func() {
	It("never lets two targets hold a key, and gives each key an owner again once the trouble is over", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newModel(rapid.IntRange(2, 4).Draw(t, "targets"))
			m.run(2 * time.Second)
			for range rapid.IntRange(1, 30).Draw(t, "changes") {
				m.change(t)
				m.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * 50 * time.Millisecond)
				if len(m.violations) > 0 {
					t.Fatal(m.violations)
				}
			}
			m.heal()
			m.run(unresponsivePeriod + 2*maxGrantAge)
			if len(m.violations) > 0 {
				t.Fatal(m.violations)
			}
			// A move to even out the load may be in progress, but ends at once when all targets answer.
			for range 20 {
				if m.unowned() == "" {
					return
				}
				m.step()
			}
			t.Fatal("no owner: ", m.unowned())
		})
	})
})
