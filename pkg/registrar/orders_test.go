package registrar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// heldForwards holds up the commands of one registry host on their way to the leader. They arrive after their caller has given up, when
// release is called.
type heldForwards struct {
	from string
	mu   sync.Mutex
	held []func()
}

// hold keeps a command, and returns when its caller gives up.
func (c *heldForwards) hold(ctx context.Context, client rpc.Client, address string, request proto.Message) error {
	c.mu.Lock()
	c.held = append(c.held, func() {
		late, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(client.Call(late, address, methodForward, request, &schemav1.RegistryForwarded{})).To(Succeed())
	})
	c.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// release delivers what is held, and returns how many commands there were.
func (c *heldForwards) release() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, deliver := range c.held {
		deliver()
	}
	return len(c.held)
}

var _ = Describe("Order that is held up on its way to the leader", func() {
	var hosts []*Registrar
	var late, leader *Registrar
	var held *heldForwards
	BeforeEach(func() {
		p := &partition{}
		hosts = startGroup(p)
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		late = hosts[3]
		for _, r := range hosts {
			if r.options.PeerAddress == late.currentReplica().Status().LeaderAddress {
				leader = r
			}
		}
		held = &heldForwards{from: late.options.PeerAddress}
		p.held.Store(held)
	})

	// Guards against an evacuated data centre that gets requests again, because an order which its caller had given up and repeated elsewhere
	// is carried out after a newer one (EVAC, review/2).
	It("does not undo a newer evacuation", func() {
		evacuate := func(out bool) { Expect(leader.SetEvacuated(context.Background(), "n", out)).To(Succeed()) }
		evacuate(true)
		Expect(late.SetEvacuated(context.Background(), "n", false)).NotTo(Succeed())
		evacuate(false)
		evacuate(true)
		evacuated := func(r *Registrar) bool { return r.state.IsEvacuated("n") }
		current, err := leader.readCurrent(context.Background(), &schemav1.CurrentRead{DataCentre: "n"})
		Expect(err).NotTo(HaveOccurred())
		newest := current.GetEvacuationOrder()
		for _, r := range hosts {
			// The leader and one more voter hold what is acknowledged, the others a little later.
			Eventually(r.state.EvacuationOrder, "5s", "5ms").WithArguments("n").Should(Equal(newest))
			Expect(evacuated(r)).To(BeTrue())
		}
		Expect(held.release()).To(BeNumerically(">", 0))
		for _, r := range hosts {
			Consistently(evacuated, "300ms").WithArguments(r).Should(BeTrue())
			Expect(r.state.EvacuationOrder("n")).To(Equal(newest), "the late order has no number")
		}
	})

	// Guards against a target that never gets requests again, because a removal that states no start ends the start after the one it meant.
	It("does not remove a later start of a target", func() {
		start := func() {
			GinkgoHelper()
			started := time.Now().UnixMilli()
			document := &schemav1.RouteDocument{Revision: 1, Body: []byte("{}")}
			Eventually(func() error { return leader.SubmitConfiguration(context.Background(), document) }, "10s").Should(Succeed())
			Eventually(func() error {
				_, err := leader.Announce(context.Background(), &schemav1.Registration{
					Id: "t", Service: "desk", Address: "10.0.0.1:1", StartedUnixMs: started, Life: schemav1.Life_LIFE_READY,
				}, 1)
				return err
			}, "10s").Should(Succeed())
		}
		start()
		Expect(late.RemoveTarget(context.Background(), "t", 0)).NotTo(Succeed())
		Expect(leader.RemoveTarget(context.Background(), "t", 0)).To(Succeed())
		time.Sleep(2 * time.Millisecond)
		start()
		Expect(held.release()).To(BeNumerically(">", 0))
		Consistently(func() schemav1.Life {
			target, _ := leader.state.Target("t")
			return target.GetLife()
		}, "300ms").Should(Equal(schemav1.Life_LIFE_READY))
	})
})

var _ = Describe("Order", func() {
	// Guards against an order that waited in the connection of a caller while this host stood still, and is carried out although its caller has
	// given newer ones to other hosts since (EVAC, review/3).
	It("is refused after a pause of the host for as long as it may have waited there", func() {
		var now atomic.Int64
		now.Store(int64(time.Hour))
		hosts := startGroup(&partition{pauseClock: func() time.Duration { return time.Duration(now.Load()) }})
		Eventually(says, "10s").WithArguments(hosts[0]).Should(BeTrue())
		pausing := hosts[0]
		evacuate := func() error { return pausing.SetEvacuated(context.Background(), "n", true) }
		Expect(evacuate()).To(Succeed())
		now.Add(int64(4 * time.Second))
		Expect(evacuate()).To(MatchError(ErrPaused))
		Expect(pausing.RemoveTarget(context.Background(), "t", 0)).To(MatchError(ErrPaused))
		for range 12 {
			now.Add(int64(100 * time.Millisecond))
			pausing.pauses.Now()
		}
		Expect(evacuate()).To(Succeed())
	})

	It("is not carried out once its caller has left", func() {
		hosts := startGroup(&partition{})
		Eventually(says, "10s").WithArguments(hosts[0]).Should(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), closeDelay/2)
		defer cancel()
		Expect(hosts[0].SetEvacuated(ctx, "n", true)).NotTo(Succeed())
		Consistently(func() bool { return hosts[0].state.IsEvacuated("n") }, "300ms").Should(BeFalse())
	})

	It("that removes a target which is not registered is not acknowledged", func() {
		hosts := startGroup(&partition{})
		Eventually(says, "10s").WithArguments(hosts[3]).Should(BeTrue())
		Expect(hosts[3].RemoveTarget(context.Background(), "t", 0)).To(MatchError(ErrUnknownTarget))
	})
})
