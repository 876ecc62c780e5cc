package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

// Guards against sending to a target that no longer owns the key, which would give the key two owners: ownership and lease
// must be checked immediately before the write, not only when the request arrives.
var _ = DescribeTable("I1 I9: nothing is written after the host lost the lease or the target lost the key",
	func(inQueue, atWrite func(d *deployment, h *host), code apierr.Code) {
		d, h, server := oneHost()
		if inQueue != nil {
			d.onAcquire = func() { inQueue(d, h) }
		}
		d.onLookup = func(lookups int) {
			// The first lookup finds the owner, the second is the check before the write.
			if lookups == 2 && atWrite != nil {
				atWrite(d, h)
			}
		}
		// The request waits for a new owner until its deadline, which leaves a busy machine the time to get to the check before the write.
		refusal := sendRequest("POST", h.ingressAddress, "/desk/book", "", "Almondrock-Deadline-Ms", "400").refusal()
		Expect(refusal.Code).To(Equal(code), refusal.Message)
		Expect(refusal.Ran).To(Equal(apierr.NotRun))
		Expect(server.Counts().Requests).To(BeZero())
	},
	Entry("lease expires in the queue", endLease, nil, apierr.OwnerUnreachable),
	Entry("new owner in the queue", changeFence, nil, apierr.Moving),
	Entry("move starts in the queue", startMove, nil, apierr.Moving),
	Entry("new owner right before the write", nil, changeFence, apierr.Moving),
	Entry("move starts right before the write", nil, startMove, apierr.Moving),
	Entry("attachment ends in the queue", detach, nil, apierr.OwnerUnreachable),
	Entry("attachment ends right before the write", nil, detach, apierr.OwnerUnreachable),
)

func endLease(_ *deployment, h *host) { h.lease.Store(0) }

func changeFence(d *deployment, _ *host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assignment.Fence = &schemav1.Fence{Epoch: 1, Generation: 1, Counter: 6}
}

func startMove(d *deployment, _ *host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assignment.Moving = true
}

// detach ends the attachment of the target, before the assignment changes.
func detach(d *deployment, _ *host) {
	d.mu.Lock()
	d.targets["t1"].AttachedHost = ""
	d.mu.Unlock()
	d.sync()
}

var _ = Describe("I1: a target that checks no fence", func() {
	// serve starts a target that records the deadline that it gets and hangs until the request is cancelled.
	serve := func(lease time.Duration) (*host, chan string) {
		given := make(chan string, 10)
		h := hostsWithRawTarget(func(_ http.ResponseWriter, r *http.Request) {
			given <- r.Header.Get("Almondrock-Deadline-Ms")
			<-r.Context().Done()
		})
		h.deployment.hosts["h1"].lease.Store(int64(lease))
		h.deployment.resolution.Deadline = 400 * time.Millisecond
		return h, given
	}

	DescribeTable("gets no more time for an unsafe request than the lease has left",
		func(method string, longest int, code apierr.Code) {
			h, given := serve(60 * time.Millisecond)
			refusal := sendRequest(method, h.ingressAddress, "/desk/book", "").refusal()
			Expect(refusal.Code).To(Equal(code))
			Expect(refusal.Ran).To(Equal(apierr.RunUnknown))
			var milliseconds int
			_, err := fmt.Sscan(<-given, &milliseconds)
			Expect(err).NotTo(HaveOccurred())
			Expect(milliseconds).To(BeNumerically("<=", longest))
			Expect(milliseconds).To(BeNumerically(">", longest/2))
		},
		Entry("POST", "POST", 60, apierr.OutcomeUnknown),
		// A safe request changes nothing and may outlast the lease.
		Entry("GET", "GET", 400, apierr.DeadlineExceeded),
	)
})

var _ = It("I1 I8: a target that was paused does not run requests whose deadline has passed", func() {
	d, h, server := oneHost()
	Eventually(func() int { return sendRequest("GET", h.ingressAddress, "/desk/a", "").status }).Should(Equal(200))
	server.SetFaults(func(f *standin.Faults) { f.Freeze = true })
	d.resolution.Deadline = 100 * time.Millisecond
	Expect(sendRequest("POST", h.ingressAddress, "/desk/book", "").refusal().Code).To(Equal(apierr.OutcomeUnknown))
	server.SetFaults(func(f *standin.Faults) { f.Freeze = false })
	Eventually(func() int { return server.Counts().Refused }).Should(Equal(1))
	Expect(server.Executions()).To(HaveLen(1))
})

var _ = Describe("I9: a planned move", func() {
	It("lets requests in flight finish, sends no new ones, and serves waiting requests at the new owner", func() {
		d, h0, h1, old := twoHosts(standin.Options{})
		next := d.addTarget("t2", standin.Options{})
		// The first request is in flight until its body ends.
		body, end := io.Pipe()
		first, second := make(chan string, 1), make(chan *reply, 1)
		go func() {
			request, _ := http.NewRequest("POST", "http://"+h0.ingressAddress+"/desk/book", body)
			request.Header.Set("Almondrock-Key", key)
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
				first <- response.Header.Get("Almondrock-Target")
			}
		}()
		Eventually(func() int { return old.Counts().Requests }).Should(Equal(1))
		d.setMoving()
		go func() { second <- sendRequest("POST", h0.ingressAddress, "/desk/book", "2") }()
		for range 15 {
			var idle *schemav1.ShardRecord
			Eventually(h1.released).Should(Receive(&idle))
			Expect(idle.GetShard()).NotTo(Equal(shardOfKey()))
		}
		Consistently(h1.released, "20ms").ShouldNot(Receive())
		Expect(end.Close()).To(Succeed())
		Eventually(first).Should(Receive(Equal("t1")))
		Eventually(h1.released).Should(Receive(HaveField("Shard", shardOfKey())))
		Expect(old.HeldGrants()).To(BeEmpty())
		d.setOwner("t2", "h0", 6)
		Expect((<-second).standInBody().Target).To(Equal("t2"))
		Expect(old.Executions()).To(HaveLen(1))
		Expect(next.Executions()).To(HaveLen(1))
		Expect(next.Executions()[0].Fence).To(Equal("1.1.6"))
	})
})

var _ = Describe("I8: ran = not-run", func() {
	It("lets a non-idempotent request be sent to the next owner when the first could not be reached", func() {
		w, h0, _, old := twoHosts(standin.Options{})
		next := w.addTarget("t2", standin.Options{})
		old.Kill()
		var moved atomic.Bool
		w.onAcquire = func() {
			if moved.CompareAndSwap(false, true) {
				go w.setOwner("t2", "h0", 6)
			}
		}
		Expect(sendRequest("POST", h0.ingressAddress, "/desk/book", "body").standInBody().Target).To(Equal("t2"))
		Expect(next.Executions()).To(HaveLen(1))
	})

	// Guards against the retries of net/http: it resends requests when a reused connection is closed before the response,
	// among them every request with an idempotency key, and the target would run them twice.
	DescribeTable("is not reported after a connection broke",
		func(method, header string, status, runs int) {
			var calls atomic.Int64
			h := hostsWithRawTarget(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					return
				}
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					conn.Close()
				}
			})
			h.deployment.retryBudget = 0
			Expect(sendRequest("GET", h.ingressAddress, "/desk/a", "").status).To(Equal(200))
			Expect(sendRequest(method, h.ingressAddress, "/desk/a", "", header, "1").status).To(Equal(status))
			Expect(calls.Load()).To(BeEquivalentTo(1 + runs))
		},
		Entry("non-idempotent", "POST", "X-Plain", 504, 1),
		Entry("non-idempotent with a key that net/http knows", "POST", "X-Idempotency-Key", 504, 1),
		Entry("idempotent without budget", "GET", "X-Plain", 503, 1),
	)
})

// Guards against forwarding loops: while a shard moves to another data centre, the two data centres have different views
// for a moment. A request that is forwarded back to its sender goes back and forth until it is refused as a loop. The
// sender must get a refusal with ran = not-run at once, and look up the owner again.
var _ = It("refuses a forwarded request instead of sending it back to the data centre it came from", func() {
	d, h, server := oneHost()
	d.mu.Lock()
	d.dataCentre = "seoul-mapo"
	d.mu.Unlock()
	headers := []string{"Almondrock-Hops", "1", "Almondrock-Request-Id", "r1", "Almondrock-From", "seoul-mapo"}
	for _, method := range []string{"GET", "POST"} {
		refusal := sendRequest(method, h.data, "/desk/a", "", headers...).refusal()
		Expect(refusal).To(SatisfyAll(HaveField("Code", apierr.Moving), HaveField("Ran", apierr.NotRun)))
	}
	Expect(server.Counts().Requests).To(BeZero())
	d.mu.Lock()
	d.dataCentre = "seoul-gangnam"
	d.mu.Unlock()
	Expect(sendRequest("POST", h.data, "/desk/a", "", headers...).standInBody().Target).To(Equal("t1"))
})
