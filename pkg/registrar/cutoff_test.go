package registrar

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/routes"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// maxStaleClaim is how long a registry host that is cut off may still say that it is up to date. Of the 2 s in which a change must be in
// force, this leaves one second in which its entry hosts turn to another registry host.
const maxStaleClaim = time.Second

// partition separates one registry host from all others, and those in dark from each other too: calls in both directions are held until they
// time out.
type partition struct {
	address atomic.Pointer[string]
	dark    atomic.Pointer[[]string]
	// held holds up the commands of one host on their way to the leader.
	held atomic.Pointer[heldForwards]
	// pauseClock is the clock by which the hosts detect pauses, or nil.
	pauseClock func() time.Duration
	// clock is the clock of the replicas, or nil.
	clock clockwork.Clock
	// apart is set if each host has a data centre of its own, with its name.
	apart bool
}

func (p *partition) cuts(a, b string) bool {
	if dark := p.dark.Load(); dark != nil && (slices.Contains(*dark, a) || slices.Contains(*dark, b)) {
		return true
	}
	cut := p.address.Load()
	return cut != nil && (*cut == a) != (*cut == b)
}

// partitionedClient is the client of the registry host at address.
type partitionedClient struct {
	rpc.Client
	address   string
	partition *partition
}

func (c *partitionedClient) Call(ctx context.Context, address, method string, request, response proto.Message) error {
	if c.partition.cuts(c.address, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	if held := c.partition.held.Load(); held != nil && held.from == c.address && method == methodForward {
		return held.hold(ctx, c.Client, address, request)
	}
	return c.Client.Call(ctx, address, method, request, response)
}

// startGroup starts three voters and a learner, which is the last one.
func startGroup(p *partition) []*Registrar { return startGroupOn(p, nil) }

// startGroupOn is like startGroup, with the file systems of the hosts unless there are none.
func startGroupOn(p *partition, fileSystems []wal.FS) []*Registrar {
	GinkgoHelper()
	var addresses []string
	var listeners []net.Listener
	for range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		addresses, listeners = append(addresses, listener.Addr().String()), append(listeners, listener)
	}
	var hosts []*Registrar
	for i, address := range addresses {
		var fileSystem wal.FS
		if len(fileSystems) > 0 {
			fileSystem = fileSystems[i]
		}
		name, dataCentre := fmt.Sprint("r", i), "n"
		if p.apart {
			dataCentre = name
		}
		r, err := New(context.Background(), Options{
			listener: listeners[i], fileSystem: fileSystem, pauseClock: p.pauseClock, clock: p.clock,
			Name: name, DataCentre: dataCentre, AnnounceAddress: name, PeerAddress: address, Seeds: addresses[:3], Bootstrap: true, FaultTolerance: 1,
			DataDir: GinkgoT().TempDir(),
			Decode: func(d *schemav1.RouteDocument) (*routes.Configuration, error) {
				c := &routes.Configuration{Revision: d.GetRevision(), Services: map[string]routes.Service{"desk": {Name: "desk", ColdPeriod: time.Minute}}}
				if c.Revision > 1 {
					c.Services["added"] = routes.Service{Name: "added"}
				}
				return c, nil
			},
		})
		Expect(err).NotTo(HaveOccurred())
		r.client = &partitionedClient{r.client, address, p}
		Expect(r.Start()).To(Succeed())
		DeferCleanup(r.Stop)
		hosts = append(hosts, r)
	}
	return hosts
}

// says returns whether a registry host tells an entry host with its view that the view is up to date.
func says(r *Registrar) bool {
	update, err := r.handleWatch(context.Background(), &schemav1.ViewHello{Version: r.state.Version(), Entry: &schemav1.EntryHost{Name: "e"}})
	return err == nil && update.GetUpToDate()
}

var _ = Describe("Registry host that is cut off from its leader", func() {
	// Guards against entry hosts that go on with an older configuration (HOME in inc1 and CONFIG on sbfa-fitting).
	DescribeTable("stops to call itself up to date, and does so again when it is back",
		func(learner bool) {
			p := &partition{}
			hosts := startGroup(p)
			submit := func(revision uint64) {
				GinkgoHelper()
				document := &schemav1.RouteDocument{Revision: revision, Body: []byte("{}")}
				Eventually(func() error { return hosts[0].SubmitConfiguration(context.Background(), document) }, "10s").Should(Succeed())
			}
			inForce := func(r *Registrar) func() uint64 { return func() uint64 { return r.state.Routes().GetRevision() } }
			submit(1)
			for _, r := range hosts {
				Eventually(inForce(r), "10s").Should(BeEquivalentTo(1))
				Eventually(says, "10s").WithArguments(r).Should(BeTrue())
			}
			leader := hosts[0].currentReplica().Status().LeaderAddress
			cut := hosts[3]
			if !learner {
				for _, r := range hosts[1:3] {
					if r.options.PeerAddress != leader {
						cut = r
					}
				}
			}
			p.address.Store(&cut.options.PeerAddress)
			cutAt := time.Now()
			submit(2)
			lastClaim := time.Duration(0)
			for time.Since(cutAt) < maxStaleClaim+time.Second {
				if says(cut) {
					lastClaim = time.Since(cutAt)
				}
			}
			Expect(lastClaim).To(BeNumerically("<", maxStaleClaim))
			Expect(inForce(cut)()).To(BeEquivalentTo(1))
			for _, r := range hosts {
				if r != cut {
					// The cut goes on meanwhile, so that a host which it affects stays out of date.
					Eventually(says, "10s").WithArguments(r).Should(BeTrue(), r.options.Name)
				}
			}
			p.address.Store(nil)
			Eventually(inForce(cut), "10s").Should(BeEquivalentTo(2))
			Eventually(says, "10s").WithArguments(cut).Should(BeTrue())
		},
		Entry("as a learner", true),
		Entry("as a voter", false),
	)

	// Guards against a registry host that stays outside the group after a long partition: it is removed as a learner meanwhile, and no
	// message tells it so.
	It("joins again as a learner when it was removed meanwhile", func() {
		p := &partition{}
		hosts := startGroup(p)
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
		}
		cut := hosts[3]
		p.address.Store(&cut.options.PeerAddress)
		Eventually(func() error {
			for _, r := range hosts[:3] {
				if replica := r.currentReplica(); replica.Status().Role == raft.Leader {
					return replica.Remove(context.Background(), cut.id)
				}
			}
			return ErrNoLeader
		}, "10s").Should(Succeed())
		Eventually(says, "10s").WithArguments(cut).Should(BeFalse())
		p.address.Store(nil)
		Eventually(says, "10s").WithArguments(cut).Should(BeTrue())
	})
})

var _ = It("does not refuse a target for good whose service it may only not know yet", func() {
	// Guards against a registry host that is cut off and tells a target that its service does not exist, after a change has added it.
	p := &partition{}
	hosts := startGroup(p)
	submit := func(revision uint64) {
		GinkgoHelper()
		document := &schemav1.RouteDocument{Revision: revision, Body: []byte("{}")}
		Eventually(func() error { return hosts[0].SubmitConfiguration(context.Background(), document) }, "10s").Should(Succeed())
	}
	cut := hosts[3]
	announce := func() error {
		_, err := cut.Announce(context.Background(), &schemav1.Registration{Id: "t", Service: "added", Address: "10.0.0.1:1", StartedUnixMs: 1, Life: schemav1.Life_LIFE_READY}, 1)
		return err
	}
	submit(1)
	Eventually(announce, "10s").Should(MatchError(ErrUnknownService))
	p.address.Store(&cut.options.PeerAddress)
	cutAt := time.Now()
	submit(2)
	Eventually(announce, maxStaleClaim-time.Since(cutAt), "20ms").Should(MatchError(ErrOutdated))
	Consistently(announce, "1s", "100ms").Should(MatchError(ErrOutdated))
	p.address.Store(nil)
	Eventually(announce, "10s").Should(Succeed())
})

var _ = It("acknowledges that a target is cold again only when all hosts know it", func() {
	// Guards against a cold target that gets as many requests as a warm one (FAILBACK): the host that is cut off still has the registration of
	// the first time that the target was cold, and took the second announcement for a repeated one.
	p := &partition{}
	hosts := startGroup(p)
	document := &schemav1.RouteDocument{Revision: 2, Body: []byte("{}")}
	Eventually(func() error { return hosts[0].SubmitConfiguration(context.Background(), document) }, "10s").Should(Succeed())
	cut := hosts[3]
	announce := func(r *Registrar, sequence uint64, cold bool) error {
		_, err := r.Announce(context.Background(), &schemav1.Registration{
			Id: "t", Service: "added", Address: "10.0.0.1:1", StartedUnixMs: 1, Life: schemav1.Life_LIFE_READY, Cold: cold,
		}, sequence)
		return err
	}
	isCold := func(r *Registrar) bool {
		target, _ := r.state.Target("t")
		return target.GetCold()
	}
	Eventually(announce, "10s").WithArguments(hosts[0], uint64(1), true).Should(Succeed())
	Eventually(isCold, "10s").WithArguments(cut).Should(BeTrue())
	p.address.Store(&cut.options.PeerAddress)
	Eventually(announce, "10s").WithArguments(hosts[0], uint64(2), false).Should(Succeed())
	Eventually(says, "10s").WithArguments(cut).Should(BeFalse())
	Expect(announce(cut, 3, true)).NotTo(Succeed())
	p.address.Store(nil)
	Eventually(announce, "10s").WithArguments(cut, uint64(4), true).Should(Succeed())
	for _, r := range hosts {
		Eventually(isCold, "10s").WithArguments(r).Should(BeTrue(), r.options.Name)
	}
})
