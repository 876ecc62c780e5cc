package target_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

const deskKeyspace = "desk/*"

// rig is a Manager with one stand-in target and a clock that the test advances.
type rig struct {
	manager  *target.Manager
	server   *standin.Server
	record   *schemav1.TargetRecord
	now      atomic.Int64
	lease    atomic.Int64
	mu       sync.Mutex
	released []*schemav1.ShardRecord
	boots    []string
}

type openGate struct{ rig *rig }

func (openGate) Acquire(context.Context, target.Ticket) (target.Permit, error) { return nil, nil }

func (g openGate) Boot(bootID string, _ uint32) {
	g.rig.mu.Lock()
	defer g.rig.mu.Unlock()
	g.rig.boots = append(g.rig.boots, bootID)
}

func newRig(capabilities *schemav1.TargetCapabilities) *rig {
	r := &rig{}
	r.now.Store(int64(time.Hour))
	r.lease.Store(int64(450 * time.Millisecond))
	server, err := standin.Start(standin.Options{Name: "t1", Service: "desk", Capabilities: capabilities, Clock: r.clock})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	r.server = server
	r.record = &schemav1.TargetRecord{Announcement: server.Announcement(), AttachedHost: "h1", Attachment: 1}
	r.manager = target.NewManager(target.ManagerOptions{
		Host: "h1", Clock: r.clock, RemainingLease: func() time.Duration { return time.Duration(r.lease.Load()) },
		NewGate: func(*schemav1.TargetRecord) target.Gate { return openGate{r} },
		OnShardReleased: func(_ string, shard *schemav1.ShardRecord) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.released = append(r.released, shard)
		},
	})
	DeferCleanup(r.manager.Close)
	return r
}

func (r *rig) clock() time.Duration             { return time.Duration(r.now.Load()) }
func (r *rig) advance(by time.Duration)         { r.now.Add(int64(by)) }
func (r *rig) attached() *target.AttachedTarget { a, _ := r.manager.AttachedTarget("t1"); return a }
func (r *rig) sync(s ...*schemav1.ShardRecord) {
	r.manager.Sync(context.Background(), []*schemav1.TargetRecord{r.record}, func(string) []*schemav1.ShardRecord { return s })
}

func (r *rig) releaseCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.released)
}

func shardRecord(number uint32, state schemav1.ShardState, counter uint64) *schemav1.ShardRecord {
	return &schemav1.ShardRecord{
		Keyspace: deskKeyspace, Shard: number, State: state, Target: "t1", Fence: &schemav1.Fence{Epoch: 1, Generation: 1, Counter: counter},
	}
}

func hotKeyRecord(hash uint64, state schemav1.ShardState, counter uint64) *schemav1.ShardRecord {
	record := shardRecord(7, state, counter)
	record.Hot, record.KeyHash = true, hash
	return record
}

const (
	owned  = schemav1.ShardState_SHARD_STATE_OWNED
	moving = schemav1.ShardState_SHARD_STATE_MOVING
)

func routedKey(number uint32, hash, counter uint64) target.RoutedKey {
	return target.RoutedKey{Keyspace: deskKeyspace, Shard: number, KeyHash: hash, Fence: &schemav1.Fence{Epoch: 1, Generation: 1, Counter: counter}}
}

func (r *rig) begin(s target.RoutedKey) *target.InFlightRequest {
	var inFlight *target.InFlightRequest
	Eventually(func() (err error) {
		inFlight, err = r.attached().Begin(s)
		return err
	}).Should(Succeed())
	return inFlight
}

// A request that begins without an active grant at the target, or under another fence, gives a key two owners.
var _ = DescribeTable("I1 I9: Begin refuses requests for shards that the target does not own, as not-run",
	func(capabilities *schemav1.TargetCapabilities, change func(r *rig), s target.RoutedKey, code apierr.Code) {
		r := newRig(capabilities)
		r.sync(shardRecord(7, owned, 5), hotKeyRecord(99, owned, 6))
		r.begin(routedKey(7, 1, 5)).End()
		r.begin(routedKey(7, 99, 6)).End()
		if change != nil {
			change(r)
		}
		_, err := r.attached().Begin(s)
		Expect(apierr.From(err).Code).To(Equal(code))
		Expect(apierr.From(err).Ran).To(Equal(apierr.NotRun))
	},
	Entry("another shard", nil, nil, routedKey(8, 1, 5), apierr.Moving),
	Entry("an older fence", nil, nil, routedKey(7, 1, 4), apierr.Moving),
	Entry("a newer fence", nil, nil, routedKey(7, 1, 6), apierr.Moving),
	Entry("a hot key under the shard's fence", nil, nil, routedKey(7, 99, 5), apierr.Moving),
	Entry("a moving shard", nil, func(r *rig) { r.sync(shardRecord(7, moving, 5)) }, routedKey(7, 1, 5), apierr.Moving),
	Entry("a moving shard of a target without fences", &schemav1.TargetCapabilities{},
		func(r *rig) { r.sync(shardRecord(7, moving, 5)) }, routedKey(7, 1, 5), apierr.Moving),
	Entry("a moving hot key", nil, func(r *rig) { r.sync(shardRecord(7, owned, 5), hotKeyRecord(99, moving, 6)) }, routedKey(7, 99, 6), apierr.Moving),
	Entry("a shard that the table gave to another target", nil, func(r *rig) { r.sync() }, routedKey(7, 1, 5), apierr.Moving),
	Entry("a grant that the target has not accepted yet", nil, func(r *rig) {
		r.lease.Store(0)
		r.sync(shardRecord(7, owned, 8))
	}, routedKey(7, 1, 8), apierr.Moving),
)

var _ = Describe("grants", func() {
	It("are renewed with the host lease and expire with it", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		r.advance(300 * time.Millisecond)
		seen := r.server.Counts().Grants
		r.manager.RenewGrants()
		Eventually(func() int { return r.server.Counts().Grants }).Should(BeNumerically(">", seen))
		r.advance(300 * time.Millisecond)
		Consistently(r.server.HeldGrants, "20ms").Should(HaveLen(1))
		r.lease.Store(0)
		r.manager.RenewGrants()
		r.advance(300 * time.Millisecond)
		Consistently(r.server.HeldGrants, "20ms").Should(BeEmpty())
	})

	It("are sent again to a target that has restarted", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		r.server.Restart()
		Expect(r.server.HeldGrants()).To(BeEmpty())
		r.manager.RenewGrants()
		Eventually(r.server.HeldGrants).Should(HaveLen(1))
		r.record = &schemav1.TargetRecord{Announcement: r.server.Announcement(), AttachedHost: "h1", Attachment: 1}
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		Expect(r.boots).To(Equal([]string{r.server.BootID()}))
	})

	// Until the target's clock is known, a grant is limited only by the time counted from its receipt.
	It("I1: never last longer than the lease when the target has no clock", func() {
		requests := make(chan target.GrantRequest, 10)
		fake := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var request target.GrantRequest
			_ = json.NewDecoder(r.Body).Decode(&request)
			requests <- request
			_ = json.NewEncoder(w).Encode(target.GrantResponse{BootID: "b", HeldGrants: 1})
		}))
		DeferCleanup(fake.Close)
		r := newRig(nil)
		r.record.Announcement.Address, r.record.Announcement.ClockMs = fake.Listener.Addr().String(), 0
		r.lease.Store(int64(321 * time.Millisecond))
		r.sync(shardRecord(7, owned, 5))
		for range 2 {
			var request target.GrantRequest
			Eventually(requests).Should(Receive(&request))
			Expect(request.ExpiryMs).To(BeEquivalentTo(321))
			Expect(request.ExpiresAtMs).To(BeZero())
			r.begin(routedKey(7, 1, 5)).End()
			r.manager.RenewGrants()
		}
	})

	It("I1: carry their expiry on the target's own clock", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		at, known := r.attached().TargetClockDeadline(200 * time.Millisecond)
		Expect(known).To(BeTrue())
		Expect(at).To(BeNumerically("<=", (time.Hour + 200*time.Millisecond).Milliseconds()))
		Expect(at).To(BeNumerically(">=", (time.Hour + 190*time.Millisecond).Milliseconds()))
	})
})

var _ = Describe("I10 I9: a moving shard", func() {
	It("is released after its last request, and its grant is revoked", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5), shardRecord(8, owned, 5))
		inFlight := r.begin(routedKey(7, 1, 5))
		r.sync(shardRecord(7, moving, 5), shardRecord(8, owned, 5))
		Consistently(r.releaseCount, "20ms").Should(BeZero())
		Expect(r.server.HeldGrants()).To(HaveLen(2))
		inFlight.End()
		Eventually(r.releaseCount).Should(Equal(1))
		Expect(r.server.HeldGrants()).To(HaveLen(1))
		Expect(r.begin(routedKey(8, 1, 5)).CheckOwnership()).To(Succeed())
	})

	It("waits for requests of a key that became hot after they began", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		inFlight := r.begin(routedKey(7, 99, 5))
		r.sync(shardRecord(7, owned, 5), hotKeyRecord(99, moving, 6))
		Consistently(r.releaseCount, "20ms").Should(BeZero())
		inFlight.End()
		Eventually(r.releaseCount).Should(Equal(1))
	})

	DescribeTable("waits for requests that began before the target changed",
		func(change func(r *rig)) {
			r := newRig(nil)
			r.sync(shardRecord(7, owned, 5))
			inFlight := r.begin(routedKey(7, 1, 5))
			r.record = proto.Clone(r.record).(*schemav1.TargetRecord)
			change(r)
			r.sync(shardRecord(7, owned, 5))
			r.begin(routedKey(7, 1, 5)).End()
			r.sync(shardRecord(7, moving, 5))
			Consistently(r.releaseCount, "20ms").Should(BeZero())
			inFlight.End()
			Eventually(r.releaseCount).Should(Equal(1))
		},
		Entry("another attachment", func(r *rig) { r.record.Attachment = 2 }),
		Entry("detached and attached again", func(r *rig) {
			r.manager.Sync(context.Background(), nil, nil)
			r.record.Attachment = 3
		}),
		Entry("more connections", func(r *rig) { r.record.Announcement.MaxConnections = 200 }),
		Entry("restarted", func(r *rig) {
			r.server.Restart()
			r.record.Announcement = r.server.Announcement()
		}),
	)

	It("reports its release again until the table shows it", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, moving, 5))
		Eventually(r.releaseCount).Should(Equal(1))
		r.manager.RenewGrants()
		Expect(r.releaseCount()).To(Equal(2))
		r.sync()
		r.manager.RenewGrants()
		Expect(r.releaseCount()).To(Equal(2))
	})

	It("I1: is released only after its grant has expired when the target does not respond", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		r.server.SetFaults(func(f *standin.Faults) { f.Freeze = true })
		r.sync(shardRecord(7, moving, 5))
		Consistently(r.releaseCount, "300ms").Should(BeZero())
		r.advance(400 * time.Millisecond)
		Consistently(r.releaseCount, "300ms").Should(BeZero())
		r.advance(300 * time.Millisecond)
		Eventually(r.releaseCount).Should(Equal(1))
	})
})

func request(r *rig) error {
	request, _ := http.NewRequest("GET", "/a", nil)
	exchange, err := r.attached().Send(request, nil)
	if err == nil {
		_ = exchange.Response.Body.Close()
	}
	return err
}

var _ = Describe("reports", func() {
	It("I1: withhold requests and grants from an unreachable target, because its grants must expire", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		Expect(r.manager.TakeReports()[0].GetUnreachable()).To(BeFalse())
		r.server.Kill()
		Eventually(func() bool {
			r.manager.RenewGrants()
			return r.manager.TakeReports()[0].GetUnreachable()
		}).Should(BeTrue())
		_, err := r.attached().Begin(routedKey(7, 1, 5))
		Expect(apierr.From(err).Code).To(Equal(apierr.OwnerUnreachable))
	})

	It("detect an unreachable target that gets no grants", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.sync(shardRecord(7, owned, 5))
		r.server.Kill()
		Eventually(func() bool {
			r.advance(300 * time.Millisecond)
			r.manager.RenewGrants()
			return r.manager.TakeReports()[0].GetUnreachable()
		}).Should(BeTrue())
	})

	It("detect a frozen target", func() {
		r := newRig(nil)
		r.sync(shardRecord(7, owned, 5))
		r.begin(routedKey(7, 1, 5)).End()
		r.server.SetFaults(func(f *standin.Faults) { f.Freeze = true })
		Eventually(func() bool {
			r.advance(100 * time.Millisecond)
			r.manager.RenewGrants()
			return r.manager.TakeReports()[0].GetUnreachable()
		}, "5s").Should(BeTrue())
	})

	It("do not call a target unreachable because its connections break", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.sync(shardRecord(7, owned, 5))
		r.server.SetFaults(func(f *standin.Faults) { f.DropResponse = true })
		for range 5 {
			Expect(request(r)).NotTo(Succeed())
			Consistently(func() bool { return r.manager.TakeReports()[0].GetUnreachable() }, "5ms").Should(BeFalse())
		}
	})

	It("call a target reachable again after a new attachment", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.sync(shardRecord(7, owned, 5))
		r.server.Kill()
		Eventually(func() bool {
			_ = request(r)
			return r.manager.TakeReports()[0].GetUnreachable()
		}).Should(BeTrue())
		r.record = &schemav1.TargetRecord{Announcement: r.record.GetAnnouncement(), AttachedHost: "h1", Attachment: 2}
		r.sync(shardRecord(7, owned, 5))
		Expect(r.manager.TakeReports()[0].GetUnreachable()).To(BeFalse())
	})

	It("contain the utilisation and the hashes of the busiest keys", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.sync(shardRecord(7, owned, 5))
		r.manager.TakeReports()
		// 1 s with two slots: one key uses 800 ms, another 100 ms, and 40 keys 1 ms each.
		for hash := range uint64(40) {
			inFlight := r.begin(routedKey(7, 1000+hash, 5))
			r.advance(time.Millisecond)
			inFlight.End()
		}
		for hash, took := range map[uint64]time.Duration{1: 800 * time.Millisecond, 2: 100 * time.Millisecond} {
			inFlight := r.begin(routedKey(7, hash, 5))
			r.advance(took)
			inFlight.End()
		}
		r.advance(60 * time.Millisecond)
		report := r.manager.TakeReports()[0]
		Expect(report.GetUtilisation()).To(BeNumerically("~", 0.47, 0.001))
		Expect(report.GetHotKeys()).To(HaveLen(1))
		Expect(report.GetHotKeys()[0].GetKeyHash()).To(BeEquivalentTo(1))
		// A counter that a new key took over may be too high by the smallest counter, which is at most 3 ms here.
		Expect(report.GetHotKeys()[0].GetShare()).To(BeNumerically("~", 0.4, 0.0031))
		Expect(r.manager.TakeReports()[0].GetUtilisation()).To(BeZero())
	})
})

var _ = Describe("connections", func() {
	It("I7: write no byte of a request that the guard rejects, and report so", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.sync(shardRecord(7, owned, 5))
		request, _ := http.NewRequest("POST", "/a", strings.NewReader("body"))
		_, err := r.attached().Send(request, func() error { return apierr.New(apierr.Moving, "gone") })
		var send *target.SendError
		Expect(errors.As(err, &send)).To(BeTrue())
		Expect(send.RejectedByGuard).To(BeTrue())
		Expect(send.WriteStarted).To(BeFalse())
		Expect(r.server.Counts().Requests).To(BeZero())
	})

	// A request on a connection that was opened early and then closed by the target would have an unknown outcome.
	It("I7: are not used once the target has closed them", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.sync(shardRecord(7, owned, 5))
		Eventually(r.attached().OpenConnections).Should(Equal(2))
		r.server.Kill()
		err := request(r)
		var send *target.SendError
		Expect(errors.As(err, &send)).To(BeTrue())
		Expect(send.WriteStarted).To(BeFalse())
	})

	It("do not exceed the announced limit", func() {
		r := newRig(&schemav1.TargetCapabilities{})
		r.record.Announcement.MaxConnections = 3
		r.sync(shardRecord(7, owned, 5))
		var done sync.WaitGroup
		for range 20 {
			done.Go(func() {
				request, _ := http.NewRequest("GET", "/a", nil)
				if exchange, err := r.attached().Send(request, nil); err == nil {
					_ = exchange.Response.Body.Close()
				}
			})
		}
		Consistently(r.attached().OpenConnections, "20ms").Should(BeNumerically("<=", 3))
		done.Wait()
	})
})
