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

// Two hosts that both believe to have the owner would give a key two owners. So the check must hold at the last moment
// before the write, not only when the request came in.
var _ = DescribeTable("I1 I9: nothing is written once the right to send is gone",
	func(inQueue, atWrite func(w *world, h *host), code apierr.Code) {
		w, h, server := oneHost()
		if inQueue != nil {
			w.onAcquire = func() { inQueue(w, h) }
		}
		w.onLook = func(looks int) {
			// The first look finds the owner, the second is the one before the write.
			if looks == 2 && atWrite != nil {
				atWrite(w, h)
			}
		}
		refusal := ask("POST", h.address, "/desk/book", "", "Almondrock-Deadline-Ms", "40").refusal()
		Expect(refusal.Code).To(Equal(code), refusal.Message)
		Expect(refusal.Ran).To(Equal(apierr.NotRun))
		Expect(server.Counts().Requests).To(BeZero())
	},
	Entry("lease over in the queue", endLease, nil, apierr.OwnerUnreachable),
	Entry("new owner in the queue", newFence, nil, apierr.Moving),
	Entry("move starts in the queue", startMove, nil, apierr.Moving),
	Entry("new owner right before the write", nil, newFence, apierr.Moving),
	Entry("move starts right before the write", nil, startMove, apierr.Moving),
	Entry("attachment ends in the queue", detach, nil, apierr.OwnerUnreachable),
	Entry("attachment ends right before the write", nil, detach, apierr.OwnerUnreachable),
)

func endLease(_ *world, h *host) { h.lease.Store(0) }

func newFence(w *world, _ *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assignment.Fence = &schemav1.Fence{Epoch: 1, Generation: 1, Counter: 6}
}

func startMove(w *world, _ *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assignment.Moving = true
}

// detach takes the target away from the host, whose table shows it before the assignment changes.
func detach(w *world, _ *host) {
	w.mu.Lock()
	w.targets["t1"].AttachedHost = ""
	w.mu.Unlock()
	w.sync()
}

var _ = Describe("I1: a target that checks no fence", func() {
	// serve answers with the deadline that it was given, and hangs until its sender gives up.
	serve := func(lease time.Duration) (*host, chan string) {
		given := make(chan string, 10)
		h := rawHost(func(_ http.ResponseWriter, r *http.Request) {
			given <- r.Header.Get("Almondrock-Deadline-Ms")
			<-r.Context().Done()
		})
		h.world.hosts["h1"].lease.Store(int64(lease))
		h.world.resolution.Deadline = 400 * time.Millisecond
		return h, given
	}

	DescribeTable("works on a request that changes something no longer than the lease",
		func(method string, longest int, code apierr.Code) {
			h, given := serve(60 * time.Millisecond)
			refusal := ask(method, h.address, "/desk/book", "").refusal()
			Expect(refusal.Code).To(Equal(code))
			Expect(refusal.Ran).To(Equal(apierr.RunUnknown))
			var milliseconds int
			_, err := fmt.Sscan(<-given, &milliseconds)
			Expect(err).NotTo(HaveOccurred())
			Expect(milliseconds).To(BeNumerically("<=", longest))
			Expect(milliseconds).To(BeNumerically(">", longest/2))
		},
		Entry("POST", "POST", 60, apierr.OutcomeUnknown),
		// A safe request changes nothing and may finish.
		Entry("GET", "GET", 400, apierr.DeadlineExceeded),
	)
})

var _ = It("I1 I8: work that a paused target finds late is not run", func() {
	w, h, server := oneHost()
	Eventually(func() int { return ask("GET", h.address, "/desk/a", "").status }).Should(Equal(200))
	server.SetFaults(func(f *standin.Faults) { f.Freeze = true })
	w.resolution.Deadline = 100 * time.Millisecond
	Expect(ask("POST", h.address, "/desk/book", "").refusal().Code).To(Equal(apierr.OutcomeUnknown))
	server.SetFaults(func(f *standin.Faults) { f.Freeze = false })
	Eventually(func() int { return server.Counts().Refused }).Should(Equal(1))
	Expect(server.Executions()).To(HaveLen(1))
})

var _ = Describe("I9: a planned move", func() {
	It("lets work in flight finish, sends nothing new, and serves waiting requests at the new owner", func() {
		w, h0, h1, old := twoHosts(standin.Options{})
		next := w.addTarget("t2", standin.Options{})
		// The first request is in flight until its body ends.
		body, end := io.Pipe()
		first, second := make(chan string, 1), make(chan *reply, 1)
		go func() {
			request, _ := http.NewRequest("POST", "http://"+h0.address+"/desk/book", body)
			request.Header.Set("Almondrock-Key", key)
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
				first <- response.Header.Get("Almondrock-Target")
			}
		}()
		Eventually(func() int { return old.Counts().Requests }).Should(Equal(1))
		w.setMoving()
		go func() { second <- ask("POST", h0.address, "/desk/book", "2") }()
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
		w.own("t2", "h0", 6)
		Expect((<-second).answer().Target).To(Equal("t2"))
		Expect(old.Executions()).To(HaveLen(1))
		Expect(next.Executions()).To(HaveLen(1))
		Expect(next.Executions()[0].Fence).To(Equal("1.1.6"))
	})
})

var _ = Describe("I8: certainly not run", func() {
	It("lets a non-idempotent request go to the next owner when the first could not be reached", func() {
		w, h0, _, old := twoHosts(standin.Options{})
		next := w.addTarget("t2", standin.Options{})
		old.Kill()
		var moved atomic.Bool
		w.onAcquire = func() {
			if moved.CompareAndSwap(false, true) {
				go w.own("t2", "h0", 6)
			}
		}
		Expect(ask("POST", h0.address, "/desk/book", "body").answer().Target).To(Equal("t2"))
		Expect(next.Executions()).To(HaveLen(1))
	})

	// net/http resends requests by itself on a connection that was closed early, among them every request with an
	// idempotency key: the target would run it twice.
	DescribeTable("is not claimed after a connection broke",
		func(method, header string, status, runs int) {
			var calls atomic.Int64
			h := rawHost(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					return
				}
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					conn.Close()
				}
			})
			h.world.retryBudget = 0
			Expect(ask("GET", h.address, "/desk/a", "").status).To(Equal(200))
			Expect(ask(method, h.address, "/desk/a", "", header, "1").status).To(Equal(status))
			Expect(calls.Load()).To(BeEquivalentTo(1 + runs))
		},
		Entry("non-idempotent", "POST", "X-Plain", 504, 1),
		Entry("non-idempotent with a key that net/http knows", "POST", "X-Idempotency-Key", 504, 1),
		Entry("idempotent without budget", "GET", "X-Plain", 503, 1),
	)
})

// While a shard changes data centre, views differ for a moment. A request that is sent back to its sender goes round until
// it is refused as a loop; the sender must get it back at once, not-run, and look again.
var _ = It("hands a request back to a data centre with another view", func() {
	w, h, server := oneHost()
	w.mu.Lock()
	w.dataCentre = "seoul-mapo"
	w.mu.Unlock()
	headers := []string{"Almondrock-Hops", "1", "Almondrock-Request-Id", "r1", "Almondrock-From", "seoul-mapo"}
	for _, method := range []string{"GET", "POST"} {
		refusal := ask(method, h.data, "/desk/a", "", headers...).refusal()
		Expect(refusal).To(SatisfyAll(HaveField("Code", apierr.Moving), HaveField("Ran", apierr.NotRun)))
	}
	Expect(server.Counts().Requests).To(BeZero())
	w.mu.Lock()
	w.dataCentre = "seoul-gangnam"
	w.mu.Unlock()
	Expect(ask("POST", h.data, "/desk/a", "", headers...).answer().Target).To(Equal("t1"))
})
