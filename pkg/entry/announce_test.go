package entry

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/registrar"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// serveCalls starts a server for calls of one method, and returns its address.
func serveCalls[Request, Response proto.Message](method string, handle func(Request) (Response, error)) string {
	server := rpc.NewServer(rpc.ServerOptions{})
	rpc.Register(server, method, func(_ context.Context, request Request) (Response, error) { return handle(request) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// startRegistry starts a registry host that takes announcements, and returns the channel in which they arrive.
func startRegistry(h *Host, answer func(*schemav1.TargetAnnouncement) error) <-chan *schemav1.TargetAnnouncement {
	received := make(chan *schemav1.TargetAnnouncement, 16)
	address := serveCalls(registrar.MethodAnnounce, func(a *schemav1.TargetAnnouncement) (*schemav1.TargetAnnouncementAnswer, error) {
		received <- a
		return &schemav1.TargetAnnouncementAnswer{}, answer(a)
	})
	h.registryAddress.Store(&address)
	return received
}

var _ = Describe("Host that takes announcements of targets", func() {
	var h *Host
	var received <-chan *schemav1.TargetAnnouncement
	var failure error
	var known *schemav1.Registration
	BeforeEach(func() {
		h, failure = startHost(), nil
		received = startRegistry(h, func(*schemav1.TargetAnnouncement) error { return failure })
		target := startTarget("t", "desk")
		applyView(h, 1, nil, target)
		known = h.current().targets["t"]
	})
	announce := func(target *schemav1.Registration, sequence uint64) error {
		_, err := h.Announce(context.Background(), target, sequence)
		return err
	}
	changed := func(life schemav1.Life, started int64) *schemav1.Registration {
		return &schemav1.Registration{
			Id: "t", StartedUnixMs: started, Service: "desk", Address: known.GetAddress(), DataCentre: "n", Slots: 2, Life: life,
		}
	}

	// Guards against registry hosts without processor time at thousands of targets.
	It("answers repeated announcements itself", func() {
		for sequence := range uint64(5) {
			Expect(announce(changed(schemav1.Life_LIFE_READY, 1), sequence)).To(Succeed())
		}
		Expect(received).To(BeEmpty())
	})

	// Guards against a cold target that an earlier announcement makes count as warm at another host (FAILBACK, review/8).
	It("passes on repeated announcements of a cold target", func() {
		cold := changed(schemav1.Life_LIFE_READY, 1)
		cold.Cold = true
		h.applyUpdate(&schemav1.ViewUpdate{Version: 3, Targets: []*schemav1.Registration{cold}}, notConfirmed)
		Expect(announce(cold, 7)).To(Succeed())
		Expect(received).To(Receive(HaveField("Sequence", BeEquivalentTo(7))))
	})

	// Guards against an acknowledgement of a draining target that does not bind on all hosts (DRAIN).
	It("acknowledges a change only after the registry has done so", func() {
		for _, target := range []*schemav1.Registration{
			changed(schemav1.Life_LIFE_DRAINING, 1), changed(schemav1.Life_LIFE_READY, 2), {Id: "new", StartedUnixMs: 1, Service: "desk", Life: schemav1.Life_LIFE_READY},
		} {
			Expect(announce(target, 7)).To(Succeed())
			Expect((<-received).GetRegistration().GetLife()).To(Equal(target.GetLife()))
		}
		failure = registrar.ErrNoLeader
		Expect(announce(changed(schemav1.Life_LIFE_DRAINING, 1), 8)).NotTo(Succeed())
		Expect(h.RemoveTarget(context.Background(), "t", 1)).NotTo(Succeed())
		Expect(received).To(Receive())
		Expect(received).To(Receive(HaveField("Removed", BeTrue())))
	})

	// Guards against a target that had left and is in use again because of a delayed announcement.
	It("passes on no delayed announcement of the same start", func() {
		Expect(announce(changed(schemav1.Life_LIFE_DRAINING, 1), 9)).To(Succeed())
		Expect(received).To(Receive())
		Expect(announce(changed(schemav1.Life_LIFE_READY, 1), 8)).To(Succeed())
		Expect(received).To(BeEmpty())
	})

	// Guards against targets that turn to the registry hosts all at once while these are too busy to confirm views, which kept a deployment
	// of 300 hosts from recovering.
	It("answers repeated announcements also while its view may be outdated", func() {
		h.completeUntil.Store(int64(h.now() - maxViewAge - time.Millisecond))
		h.registryAddress.Store(nil)
		Expect(announce(changed(schemav1.Life_LIFE_READY, 1), 1)).To(Succeed())
	})

	It("lets targets wait for its first view", func() {
		fresh := startHost()
		result := make(chan error, 1)
		go func() {
			_, err := fresh.Announce(context.Background(), changed(schemav1.Life_LIFE_READY, 1), 1)
			result <- err
		}()
		Consistently(result, "50ms").ShouldNot(Receive())
		fresh.view.Store(h.current())
		fresh.viewChanged.broadcast()
		Eventually(result).Should(Receive(BeNil()))
	})

	It("refuses changes without a registry host, and all announcements while it stops", func() {
		h.registryAddress.Store(nil)
		Expect(announce(changed(schemav1.Life_LIFE_DRAINING, 1), 2)).To(MatchError(ErrNoRelay))
		h.shuttingDown.Store(true)
		Expect(announce(changed(schemav1.Life_LIFE_READY, 1), 3)).To(MatchError(ErrNoRelay))
	})
})
