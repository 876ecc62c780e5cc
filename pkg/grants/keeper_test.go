package grants

import (
	"context"
	"fmt"
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

// bed runs a keeper against targets in memory, on a clock of its own.
type bed struct {
	mu    sync.Mutex
	now   time.Duration
	state *registry.State
	lead  bool
	// until is when the grant of a range ends at a target, by target and first key.
	until map[string]map[uint32]time.Duration
	// silent targets get calls that time out after they may have arrived; dead ones cannot be connected to.
	silent, dead map[string]bool
	// late targets carry grants out without an answer, lateBy after they arrived.
	late    map[string]bool
	pending []lateGrant
	// process counts the starts at the address of a target; a connection reaches the start that it was opened to.
	process map[string]int
	// opened has the process to which the connection of a fence was opened, and taken the process that got it first.
	opened, taken map[uint64]int
	// violations has keys that two targets held at once, and fences that two processes got.
	violations []string
	released   int
	keeper     *Manager
}

const lateBy = 2 * time.Second

type lateGrant struct {
	at, until time.Duration
	grant     Grant
}

// carryOut applies late grants that are due and not over.
func (b *bed) carryOut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.pending[:0]
	for _, l := range b.pending {
		switch {
		case b.now < l.at:
			kept = append(kept, l)
		case b.now < l.until:
			b.hold(l.grant.Target, l.grant.First, l.until)
		}
	}
	b.pending = kept
}

// hold notes that a target holds a range, and checks that no other does.
func (b *bed) hold(target string, first uint32, until time.Duration) {
	for other, held := range b.until {
		if other != target && held[first] > b.now {
			b.violations = append(b.violations, other+" still holds a key granted to "+target)
		}
	}
	if b.until[target] == nil {
		b.until[target] = map[uint32]time.Duration{}
	}
	b.until[target][first] = until
}

func newBed(targets []*schemav1.Registration) *bed {
	b := &bed{
		state: registry.NewState(), lead: true, until: map[string]map[uint32]time.Duration{}, silent: map[string]bool{}, dead: map[string]bool{},
		late: map[string]bool{}, process: map[string]int{}, opened: map[uint64]int{}, taken: map[uint64]int{},
	}
	for _, t := range targets {
		t.Service = "files"
		t.Address = t.GetId()
		b.mustApply(&schemav1.RegistryCommand{Registration: t})
	}
	b.keeper = New(b.state, b, b, b.clock)
	return b
}

func (b *bed) clock() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *bed) mustApply(c *schemav1.RegistryCommand) *schemav1.RegistryResult {
	encoded, err := proto.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	result := &schemav1.RegistryResult{}
	Expect(proto.Unmarshal(b.state.Apply(0, encoded), result)).To(Succeed())
	return result
}

// Propose implements Log.
func (b *bed) Propose(_ context.Context, c *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	// Decisions for several ranges are under way at once, as over a network.
	time.Sleep(time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mustApply(c), nil
}

// HoldsLeaderLease implements Log.
func (b *bed) HoldsLeaderLease() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lead
}

// Grant implements Granter.
func (b *bed) Grant(_ context.Context, g *Grant) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead[g.Target] {
		return &upstream.Error{Stage: upstream.NotSent, Cause: context.DeadlineExceeded}
	}
	connection, process := g.Fence<<32+uint64(g.First), b.process[g.Target]
	if opened, ok := b.opened[connection]; g.Renewal && (!ok || opened != process) {
		return ErrConnectionClosed
	}
	b.opened[connection] = process
	if first, ok := b.taken[connection]; ok && first != process {
		b.violations = append(b.violations, "a second process at "+g.Target+" got a fence that the first had")
	}
	b.taken[connection] = process
	// The target's clock may run slow by the whole error.
	until := b.now + g.Validity + time.Duration(float64(g.Validity)*clockError)
	if b.late[g.Target] {
		b.pending = append(b.pending, lateGrant{b.now + lateBy, until, *g})
		return &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded}
	}
	b.hold(g.Target, g.First, until)
	if b.silent[g.Target] {
		return &upstream.Error{Stage: upstream.Sent, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Release implements Granter.
func (b *bed) Release(_ context.Context, g *Grant) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead[g.Target] || b.silent[g.Target] {
		return "", &upstream.Error{Stage: upstream.NotSent, Cause: context.DeadlineExceeded}
	}
	delete(b.until[g.Target], g.First)
	b.released++
	return "handover", nil
}

// run advances the clock, with a step of the keeper each 50 ms.
func (b *bed) run(d time.Duration) {
	ctx := context.Background()
	for end := b.clock() + d; b.clock() < end; {
		b.keeper.Step(ctx, map[string]routes.Service{"files": {Name: "files", Exclusive: true}})
		b.keeper.Wait()
		b.carryOut()
		b.mu.Lock()
		b.now += 50 * time.Millisecond
		b.mu.Unlock()
	}
	Expect(b.violations).To(BeEmpty())
}

func (b *bed) rangesOf(target string) int {
	count := 0
	for _, r := range b.state.Keys("files").GetRanges() {
		if r.GetOwner() == target && r.GetState() == schemav1.RangeState_RANGE_STATE_ACTIVE {
			count++
		}
	}
	return count
}

var _ = Describe("Keeper", func() {
	It("divides the keys once the targets have settled, and keeps them granted", func() {
		b := newBed(owners(3))
		b.run(20 * time.Second)
		for _, t := range []string{"t0", "t1", "t2"} {
			Expect(b.rangesOf(t)).To(Equal(rangesPerOwner))
			for _, until := range b.until[t] {
				Expect(until).To(BeNumerically(">", b.now), "a grant ran out")
			}
		}
	})

	It("moves the keys of a dead target only after its hold is certainly over, and then within seconds", func() {
		b := newBed(owners(3))
		b.run(5 * time.Second)
		b.dead["t0"] = true
		b.run(certain + renewEvery + time.Second)
		Expect(b.rangesOf("t0")).To(BeZero())
		Expect(b.rangesOf("t1") + b.rangesOf("t2")).To(Equal(3 * rangesPerOwner))
	})

	It("spreads the keys of a lost target over the others", func() {
		b := newBed(owners(4))
		b.run(5 * time.Second)
		b.dead["t0"] = true
		b.run(certain + renewEvery + time.Second)
		for _, t := range []string{"t1", "t2", "t3"} {
			Expect(b.rangesOf(t)).To(Equal(rangesPerOwner + 1))
		}
	})

	It("counts a call without an answer as arrived, so that a silent target keeps its keys for a whole hold more", func() {
		b := newBed(owners(2))
		b.run(5 * time.Second)
		b.silent["t0"] = true
		b.run(certain + renewEvery + tryFor + time.Second)
		Expect(b.rangesOf("t0")).To(BeZero())
		Expect(b.rangesOf("t1")).To(Equal(2 * rangesPerOwner))
	})

	It("takes the keys of a draining target back and passes them on at once", func() {
		targets := owners(3)
		b := newBed(targets)
		b.run(5 * time.Second)
		leaving := proto.Clone(targets[0]).(*schemav1.Registration)
		leaving.Life = schemav1.Life_LIFE_DRAINING
		b.mustApply(&schemav1.RegistryCommand{Registration: leaving})
		b.run(500 * time.Millisecond)
		Expect(b.rangesOf("t0")).To(BeZero())
		Expect(b.rangesOf("t1") + b.rangesOf("t2")).To(Equal(3 * rangesPerOwner))
		Expect(b.released).To(Equal(rangesPerOwner))
	})

	It("waits after a release for grants that may still be carried out late (applied_late)", func() {
		targets := owners(3)
		b := newBed(targets)
		b.run(5 * time.Second)
		b.late["t0"] = true
		b.run(renewEvery + 200*time.Millisecond)
		b.late["t0"] = false
		leaving := proto.Clone(targets[0]).(*schemav1.Registration)
		leaving.Life = schemav1.Life_LIFE_DRAINING
		b.mustApply(&schemav1.RegistryCommand{Registration: leaving})
		b.run(2 * certain)
		Expect(b.rangesOf("t1") + b.rangesOf("t2")).To(Equal(3 * rangesPerOwner))
	})

	It("gives the keys of a target that started again a higher fence", func() {
		targets := owners(2)
		b := newBed(targets)
		b.run(5 * time.Second)
		before := b.state.Keys("files").GetRanges()[0].GetFence()
		again := proto.Clone(targets[0]).(*schemav1.Registration)
		again.StartedUnixMs++
		b.mu.Lock()
		delete(b.until, "t0")
		b.mu.Unlock()
		b.mustApply(&schemav1.RegistryCommand{Registration: again})
		b.run(time.Second)
		first := b.state.Keys("files").GetRanges()[0]
		Expect(first.GetFence()).To(BeNumerically(">", before))
		Expect(first.GetState()).To(Equal(schemav1.RangeState_RANGE_STATE_ACTIVE))
	})

	It("gives another process at the address of an owner no fence that the owner had (cold_return, sbfa-fitting-grown trouble-1)", func() {
		b := newBed(owners(3))
		b.run(5 * time.Second)
		b.dead["t0"] = true
		b.run(500 * time.Millisecond)
		b.dead["t0"] = false
		b.mu.Lock()
		b.process["t0"]++
		delete(b.until, "t0")
		b.mu.Unlock()
		b.run(3 * time.Second)
		Expect(b.rangesOf("t0")).To(Equal(rangesPerOwner), "the process is granted the keys under a new fence")
	})

	It("raises the fences of all keys when it takes over, because it cannot know to which processes the last leader spoke", func() {
		b := newBed(owners(2))
		b.run(5 * time.Second)
		before := b.state.Keys("files").GetRanges()[0].GetFence()
		b.mu.Lock()
		b.opened = map[uint64]int{}
		b.process["t0"]++
		delete(b.until, "t0")
		b.mu.Unlock()
		b.keeper = New(b.state, b, b, b.clock)
		b.run(2 * time.Second)
		Expect(b.state.Keys("files").GetRanges()[0].GetFence()).To(BeNumerically(">", before))
		Expect(b.rangesOf("t0")).To(Equal(rangesPerOwner))
	})

	It("takes every grant as fresh when it takes over from another leader", func() {
		b := newBed(owners(2))
		b.run(5 * time.Second)
		b.dead["t0"] = true
		b.keeper = New(b.state, b, b, b.clock)
		b.run(certain - 200*time.Millisecond)
		Expect(b.rangesOf("t0")).To(Equal(rangesPerOwner), "the last leader may have renewed just before")
		b.run(time.Second)
		Expect(b.rangesOf("t0")).To(BeZero())
	})

	It("forgets targets that have ended, so that a long run with many releases needs no more memory", func() {
		b := newBed(owners(2))
		b.run(time.Second)
		for i := range 4 * keptEnded {
			id := fmt.Sprintf("ended%d", i)
			b.keeper.seen[id], b.keeper.shiftedAt[id], b.keeper.silentUntil[id] = 0, 0, 0
		}
		b.run(100 * time.Millisecond)
		Expect(len(b.keeper.seen)).To(Equal(2))
		Expect(b.keeper.shiftedAt).NotTo(HaveKey("ended0"))
		Expect(b.keeper.silentUntil).NotTo(HaveKey("ended0"))
	})

	It("calls no target without the leader's lease", func() {
		b := newBed(owners(2))
		b.lead = false
		b.run(5 * time.Second)
		Expect(b.until).To(BeEmpty())
		Expect(b.state.Keys("files")).To(BeNil())
	})
})
