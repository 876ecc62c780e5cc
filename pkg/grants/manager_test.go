package grants

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/upstream"
)

// harness runs a Manager on a simulated clock with simulated targets. It implements Proposer and Granter.
type harness struct {
	mu       sync.Mutex
	now      time.Duration
	state    *registry.State
	isLeader bool
	// heldUntil is when the grant of a range expires at a target, by target and first key.
	heldUntil map[string]map[uint32]time.Duration
	// Calls to unresponsive targets time out after they have arrived. No connection to unreachable targets can be opened.
	unresponsive, unreachable map[string]bool
	// Calls to delayed targets time out, and the targets apply the grants grantDelay after their arrival.
	delayed       map[string]bool
	delayedGrants []delayedGrant
	// process identifies the process that runs at the address of a target. A connection reaches only the process to which it was opened.
	process map[string]int
	// connectedProcess is the process to which the connection for a fence was opened last, firstProcess the first process that
	// received the fence.
	connectedProcess, firstProcess map[uint64]int
	// violations describes keys that two targets held at the same time and fences that two processes received.
	violations []string
	// highestFence is the highest fence that a target has seen; it refuses grants with lower ones.
	highestFence map[string]uint64
	// leaseEndsDuringDial makes the leader lease end while the connection of the next grant call is opened.
	leaseEndsDuringDial bool
	// released is the number of releases.
	released int
	// handedOver is the number of grants with the handover of an earlier owner.
	handedOver int
	manager    *Manager
}

// grantDelay is the time after which delayed targets apply a grant.
const grantDelay = 2 * time.Second

type delayedGrant struct {
	applyAt, heldUntil time.Duration
	grant              Grant
}

// applyDelayedGrants applies the delayed grants that are due and have not expired.
func (h *harness) applyDelayedGrants() {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.delayedGrants[:0]
	for _, d := range h.delayedGrants {
		switch {
		case h.now < d.applyAt:
			kept = append(kept, d)
		case h.now < d.heldUntil:
			h.recordGrant(d.grant.Target, d.grant.First, d.heldUntil)
		}
	}
	h.delayedGrants = kept
}

// recordGrant records that a target holds a range until heldUntil, and that this is a violation if another target holds it too.
func (h *harness) recordGrant(target string, first uint32, heldUntil time.Duration) {
	for other, held := range h.heldUntil {
		if other != target && held[first] > h.now {
			h.violations = append(h.violations, other+" still holds a key granted to "+target)
		}
	}
	if h.heldUntil[target] == nil {
		h.heldUntil[target] = map[uint32]time.Duration{}
	}
	h.heldUntil[target][first] = heldUntil
}

func newHarness(targets []*schemav1.Registration) *harness {
	h := &harness{
		state: registry.NewState(), isLeader: true, heldUntil: map[string]map[uint32]time.Duration{}, unresponsive: map[string]bool{}, unreachable: map[string]bool{},
		delayed: map[string]bool{}, process: map[string]int{}, connectedProcess: map[uint64]int{}, firstProcess: map[uint64]int{},
	}
	for _, t := range targets {
		t.Service = "files"
		t.Address = t.GetId()
		h.mustApply(&schemav1.RegistryCommand{Registration: t})
	}
	h.manager = New(h.state, h, h, h.clock)
	return h
}

func (h *harness) clock() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *harness) mustApply(c *schemav1.RegistryCommand) *schemav1.RegistryResult {
	encoded, err := proto.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	result := &schemav1.RegistryResult{}
	Expect(proto.Unmarshal(h.state.Apply(0, encoded), result)).To(Succeed())
	return result
}

// Propose implements Proposer.
func (h *harness) Propose(_ context.Context, c *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	// The pause lets proposals for several ranges overlap, as they do over a network.
	time.Sleep(time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mustApply(c), nil
}

// HoldsLeaderLease implements Proposer.
func (h *harness) HoldsLeaderLease() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLeader
}

// Grant implements Granter.
func (h *harness) Grant(_ context.Context, g *Grant) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable[g.Target] {
		return &upstream.Error{Stage: upstream.NotSent, Cause: context.DeadlineExceeded}
	}
	if g.Fence < h.highestFence[g.Target] {
		return &StaleFenceError{Target: g.Target}
	}
	connection, process := g.Fence<<32+uint64(g.First), h.process[g.Target]
	if connectedProcess, ok := h.connectedProcess[connection]; g.Renewal && (!ok || connectedProcess != process) {
		return ErrConnectionClosed
	}
	if h.leaseEndsDuringDial {
		h.isLeader = false
	}
	h.mu.Unlock()
	err := g.BeforeSend()
	h.mu.Lock()
	if err != nil {
		return &upstream.Error{Stage: upstream.NotSent, Cause: err}
	}
	h.connectedProcess[connection] = process
	if first, ok := h.firstProcess[connection]; ok && first != process {
		h.violations = append(h.violations, "a second process at "+g.Target+" received a fence that the first process had received")
	}
	h.firstProcess[connection] = process
	// The target's clock runs slow by the maximum error.
	heldUntil := h.now + g.Validity + time.Duration(float64(g.Validity)*maxClockError)
	if h.delayed[g.Target] {
		h.delayedGrants = append(h.delayedGrants, delayedGrant{h.now + grantDelay, heldUntil, *g})
		return &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded}
	}
	h.recordGrant(g.Target, g.First, heldUntil)
	if g.Handover != "" {
		h.handedOver++
	}
	if h.unresponsive[g.Target] {
		return &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Release implements Granter.
func (h *harness) Release(_ context.Context, g *Grant) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable[g.Target] || h.unresponsive[g.Target] {
		return "", &upstream.Error{Stage: upstream.NotSent, Cause: context.DeadlineExceeded}
	}
	delete(h.heldUntil[g.Target], g.First)
	h.released++
	return "handover", nil
}

// run advances the clock by d, with a step of the manager every 50 ms, and checks that there were no violations.
func (h *harness) run(d time.Duration) {
	ctx := context.Background()
	for end := h.clock() + d; h.clock() < end; {
		h.manager.Step(ctx, map[string]routes.Service{"files": {Name: "files", Exclusive: true}})
		h.manager.Wait()
		h.applyDelayedGrants()
		h.mu.Lock()
		h.now += 50 * time.Millisecond
		h.mu.Unlock()
	}
	Expect(h.violations).To(BeEmpty())
}

// activeRanges returns the number of active ranges that a target owns.
func (h *harness) activeRanges(target string) int {
	count := 0
	for _, r := range h.state.Keys("files").GetRanges() {
		if r.GetOwner() == target && r.GetState() == schemav1.RangeState_RANGE_STATE_ACTIVE {
			count++
		}
	}
	return count
}

var _ = Describe("Manager", func() {
	It("assigns the keys once the targets have not changed for a while, and keeps them granted", func() {
		h := newHarness(owners(3))
		h.run(20 * time.Second)
		for _, t := range []string{"t0", "t1", "t2"} {
			Expect(h.activeRanges(t)).To(Equal(initialRangesPerOwner))
			for _, heldUntil := range h.heldUntil[t] {
				Expect(heldUntil).To(BeNumerically(">", h.now), "a grant has expired")
			}
		}
	})

	// Guards against a call that leaves after another leader has taken over and moved the keys.
	It("sends no grant if the leader lease ends while the connection is opened", func() {
		h := newHarness(owners(2))
		h.leaseEndsDuringDial = true
		h.run(5 * time.Second)
		Expect(h.isLeader).To(BeFalse())
		Expect(h.heldUntil).To(BeEmpty())
	})

	// Guards against two owners (OWNER) after a leader is replaced, elected again, and renews grants over the connections that it still has,
	// while the leader in between stood still on its way to move the keys that it had released.
	It("does not let the decision of an earlier leader move keys that it has granted", func() {
		h := newHarness(owners(2))
		h.run(5 * time.Second)
		earlier := h.state.Keys("files").GetRanges()
		h.manager = New(h.state, h, h, h.clock)
		h.run(2 * renewInterval)
		for _, r := range earlier {
			next := "t0"
			if r.GetOwner() == next {
				next = "t1"
			}
			h.mustApply(&schemav1.RegistryCommand{Range: &schemav1.RangeChange{
				Service: "files", ExpectedFence: r.GetFence(), Range: &schemav1.KeyRange{
					First: r.GetFirst(), Last: r.GetLast(), Owner: next, OwnerStartedUnixMs: r.GetOwnerStartedUnixMs(),
				},
			}})
		}
		h.run(time.Second)
	})

	// Guards against the result of a call that counts as one under a later fence, and a data race, when an earlier proposal changes the range.
	It("keeps what it knows of a range until the call in progress has ended", func() {
		h := newHarness(owners(2))
		h.run(5 * time.Second)
		r := h.state.Keys("files").GetRanges()[0]
		record := h.manager.beginCall("files", r, false)
		Expect(record).NotTo(BeNil())
		changed := proto.Clone(r).(*schemav1.KeyRange)
		changed.Fence += 100
		Expect(h.manager.beginCall("files", changed, false)).To(BeNil())
		Expect(record.fence).To(Equal(r.GetFence()))
		h.manager.endCall(record, 0)
		Expect(h.manager.beginCall("files", changed, false).phase).To(Equal(phaseInherited))
		Expect(record.fence).To(Equal(changed.GetFence()))
	})

	It("moves the keys of an unreachable target only after its grants have certainly expired, and then within seconds", func() {
		h := newHarness(owners(3))
		h.run(5 * time.Second)
		h.unreachable["t0"] = true
		h.run(maxGrantAge + renewInterval + time.Second)
		Expect(h.activeRanges("t0")).To(BeZero())
		Expect(h.activeRanges("t1") + h.activeRanges("t2")).To(Equal(3 * initialRangesPerOwner))
	})

	It("distributes the keys of a lost target evenly over the others", func() {
		h := newHarness(owners(4))
		h.run(5 * time.Second)
		h.unreachable["t0"] = true
		h.run(maxGrantAge + renewInterval + time.Second)
		for _, t := range []string{"t1", "t2", "t3"} {
			Expect(h.activeRanges(t)).To(Equal(initialRangesPerOwner + 1))
		}
	})

	It("assumes that a call without a response has arrived, so that an unresponsive target keeps its keys until that grant has expired", func() {
		h := newHarness(owners(2))
		h.run(5 * time.Second)
		h.unresponsive["t0"] = true
		h.run(maxGrantAge + renewInterval + renewRetryPeriod + time.Second)
		Expect(h.activeRanges("t0")).To(BeZero())
		Expect(h.activeRanges("t1")).To(Equal(2 * initialRangesPerOwner))
	})

	It("releases the keys of a draining target and assigns them to other targets at once", func() {
		targets := owners(3)
		h := newHarness(targets)
		h.run(5 * time.Second)
		draining := proto.Clone(targets[0]).(*schemav1.Registration)
		draining.Life = schemav1.Life_LIFE_DRAINING
		h.mustApply(&schemav1.RegistryCommand{Registration: draining})
		h.run(500 * time.Millisecond)
		Expect(h.activeRanges("t0")).To(BeZero())
		Expect(h.activeRanges("t1") + h.activeRanges("t2")).To(Equal(3 * initialRangesPerOwner))
		Expect(h.released).To(Equal(initialRangesPerOwner))
	})

	It("waits after a release until earlier grants can no longer take effect (applied_late)", func() {
		targets := owners(3)
		h := newHarness(targets)
		h.run(5 * time.Second)
		h.delayed["t0"] = true
		h.run(renewInterval + 200*time.Millisecond)
		h.delayed["t0"] = false
		draining := proto.Clone(targets[0]).(*schemav1.Registration)
		draining.Life = schemav1.Life_LIFE_DRAINING
		h.mustApply(&schemav1.RegistryCommand{Registration: draining})
		h.run(2 * maxGrantAge)
		Expect(h.activeRanges("t1") + h.activeRanges("t2")).To(Equal(3 * initialRangesPerOwner))
	})

	It("asks an owner for a release again when it was granted the keys anew after an earlier release (two evacuations, dmau-gateway scale-2)", func() {
		targets := owners(3)
		for _, t := range targets {
			t.DataCentre = t.GetId()
		}
		h := newHarness(targets)
		h.run(5 * time.Second)
		evacuate := func(out bool) {
			h.mustApply(&schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: "t0", Out: out}})
		}
		// A new leader must wait after the release, because it does not know which calls of the earlier one may still take effect.
		h.manager = New(h.state, h, h, h.clock)
		evacuate(true)
		h.run(time.Second)
		Expect(h.released).To(BeNumerically(">", 0))
		evacuate(false)
		h.mu.Lock()
		h.connectedProcess = map[uint64]int{}
		h.mu.Unlock()
		h.run(4 * time.Second)
		Expect(h.activeRanges("t0")).To(BeNumerically(">", 0))
		evacuate(true)
		h.run(5 * time.Second)
		Expect(h.activeRanges("t0")).To(BeZero())
	})

	It("raises the fence of an owner that has seen a higher one, and does not move its keys before its grant has expired", func() {
		h := newHarness(owners(2))
		h.run(5 * time.Second)
		h.mu.Lock()
		h.highestFence = map[string]uint64{"t1": h.state.Keys("files").GetRanges()[0].GetFence() + 20}
		h.mu.Unlock()
		h.run(5 * time.Second)
		Expect(h.activeRanges("t1")).To(Equal(initialRangesPerOwner))
	})

	It("raises the fences of the keys of a target that restarted", func() {
		targets := owners(2)
		h := newHarness(targets)
		h.run(5 * time.Second)
		before := h.state.Keys("files").GetRanges()[0].GetFence()
		restarted := proto.Clone(targets[0]).(*schemav1.Registration)
		restarted.StartedUnixMs++
		h.mu.Lock()
		delete(h.heldUntil, "t0")
		h.mu.Unlock()
		h.mustApply(&schemav1.RegistryCommand{Registration: restarted})
		h.run(time.Second)
		first := h.state.Keys("files").GetRanges()[0]
		Expect(first.GetFence()).To(BeNumerically(">", before))
		Expect(first.GetState()).To(Equal(schemav1.RangeState_RANGE_STATE_ACTIVE))
	})

	It("sends a new process at the address of an owner no fence that the old process received (cold_return, sbfa-fitting-grown trouble-1)", func() {
		h := newHarness(owners(3))
		h.run(5 * time.Second)
		h.unreachable["t0"] = true
		h.run(500 * time.Millisecond)
		h.unreachable["t0"] = false
		h.mu.Lock()
		h.process["t0"]++
		delete(h.heldUntil, "t0")
		h.mu.Unlock()
		h.run(3 * time.Second)
		Expect(h.activeRanges("t0")).To(Equal(initialRangesPerOwner), "the process is granted the keys under a new fence")
	})

	DescribeTable("waits for the new process of an owner that was granted the keys before its start was announced (two owners after a quick restart)",
		func(unresponsive bool, afterGrant func(*harness)) {
			targets := owners(3)
			h := newHarness(targets)
			h.run(5 * time.Second)
			h.mu.Lock()
			h.process["t0"]++
			delete(h.heldUntil, "t0")
			h.unresponsive["t0"] = unresponsive
			h.mu.Unlock()
			h.run(renewInterval + 200*time.Millisecond)
			Expect(slices.Max(slices.Collect(maps.Values(h.heldUntil["t0"])))).To(BeNumerically(">", h.now), "the new process holds keys")
			h.mu.Lock()
			h.unresponsive["t0"] = false
			afterGrant(h)
			h.mu.Unlock()
			restarted := proto.Clone(targets[0]).(*schemav1.Registration)
			restarted.StartedUnixMs, restarted.Cold = restarted.StartedUnixMs+1, true
			h.mustApply(&schemav1.RegistryCommand{Registration: restarted})
			h.run(2 * maxGrantAge)
			for _, r := range h.state.Keys("files").GetRanges() {
				Expect(h.heldUntil[r.GetOwner()][r.GetFirst()]).To(BeNumerically(">", h.now), "range %d", r.GetFirst())
			}
		},
		Entry("while all calls are answered", false, func(*harness) {}),
		Entry("by a call without a response", true, func(*harness) {}),
		Entry("over a connection that is closed since", false, func(h *harness) { h.connectedProcess = map[uint64]int{} }),
		Entry("by an earlier leader", false, func(h *harness) {
			h.connectedProcess = map[uint64]int{}
			h.manager = New(h.state, h, h, h.clock)
		}),
	)

	// Guards against keys without an owner for as long as the target that should give them up is the only one (found by review).
	It("leaves a range with its owner that was to move when there is no other candidate any more", func() {
		targets := owners(2)
		h := newHarness(targets)
		h.run(5 * time.Second)
		h.mustApply(&schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "t1"}})
		h.run(2 * maxGrantAge)
		moving := proto.Clone(h.state.Keys("files").GetRanges()[0]).(*schemav1.KeyRange)
		moving.State = schemav1.RangeState_RANGE_STATE_RELEASING
		h.mustApply(&schemav1.RegistryCommand{Range: &schemav1.RangeChange{Service: "files", ExpectedFence: moving.GetFence(), Range: moving}})
		h.run(2 * maxGrantAge)
		first := h.state.Keys("files").GetRanges()[0]
		Expect(first.GetState()).To(Equal(schemav1.RangeState_RANGE_STATE_ACTIVE))
		Expect(h.heldUntil["t0"][first.GetFirst()]).To(BeNumerically(">", h.now))
	})

	It("serves the keys of a restarted owner again within two calls if no call is without a response", func() {
		targets := owners(3)
		h := newHarness(targets)
		h.run(5 * time.Second)
		h.mu.Lock()
		h.process["t0"]++
		delete(h.heldUntil, "t0")
		h.mu.Unlock()
		restarted := proto.Clone(targets[0]).(*schemav1.Registration)
		restarted.StartedUnixMs, restarted.Cold = restarted.StartedUnixMs+1, true
		h.mustApply(&schemav1.RegistryCommand{Registration: restarted})
		h.run(renewInterval + 200*time.Millisecond)
		for _, r := range h.state.Keys("files").GetRanges() {
			Expect(r.GetOwner()).NotTo(Equal("t0"), "a cold target gets no keys while there are others")
			Expect(h.heldUntil[r.GetOwner()][r.GetFirst()]).To(BeNumerically(">", h.now))
		}
		Expect(h.handedOver).To(BeZero(), "the new process may never have held the keys")
	})

	It("raises the fences of all keys after a change of leader, because it does not know which processes the previous leader called", func() {
		h := newHarness(owners(2))
		h.run(5 * time.Second)
		before := h.state.Keys("files").GetRanges()[0].GetFence()
		h.mu.Lock()
		h.connectedProcess = map[uint64]int{}
		h.process["t0"]++
		delete(h.heldUntil, "t0")
		h.mu.Unlock()
		h.manager = New(h.state, h, h, h.clock)
		h.run(2 * time.Second)
		Expect(h.state.Keys("files").GetRanges()[0].GetFence()).To(BeNumerically(">", before))
		Expect(h.activeRanges("t0")).To(Equal(initialRangesPerOwner))
	})

	It("assumes after a change of leader that every grant was just renewed", func() {
		h := newHarness(owners(2))
		h.run(5 * time.Second)
		h.unreachable["t0"] = true
		h.manager = New(h.state, h, h, h.clock)
		h.run(maxGrantAge - 200*time.Millisecond)
		Expect(h.activeRanges("t0")).To(Equal(initialRangesPerOwner), "the previous leader may have renewed the grants just before")
		h.run(time.Second)
		Expect(h.activeRanges("t0")).To(BeZero())
	})

	It("forgets ended targets, so that memory use does not grow in a long run with many rollouts", func() {
		h := newHarness(owners(2))
		h.run(time.Second)
		for i := range 4 * maxEndedKept {
			id := fmt.Sprintf("ended%d", i)
			h.manager.readySince[id], h.manager.loadMovedAt[id], h.manager.unresponsiveUntil[id] = 0, 0, 0
		}
		h.run(100 * time.Millisecond)
		Expect(len(h.manager.readySince)).To(Equal(2))
		Expect(h.manager.loadMovedAt).NotTo(HaveKey("ended0"))
		Expect(h.manager.unresponsiveUntil).NotTo(HaveKey("ended0"))
	})

	It("calls no target and assigns no keys without the leader lease", func() {
		h := newHarness(owners(2))
		h.isLeader = false
		h.run(5 * time.Second)
		Expect(h.heldUntil).To(BeEmpty())
		Expect(h.state.Keys("files")).To(BeNil())
	})
})
