package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/suspects"
)

// addSuspect lets the host know of a number of crashes with requests like GET /safe/deadly.
func addSuspect(h *Host, crashes int) {
	fingerprint := suspects.FingerprintOf([]byte(http.MethodGet), []byte("a"), []byte("/safe/deadly"), nil)
	for crash := range crashes {
		h.suspects.table.AddCrash(h.now(), fingerprint, uint64(crash))
	}
}

var _ = Describe("Request that has crashed targets", func() {
	var h *Host
	var a, b *testTarget
	BeforeEach(func() {
		h = startHost()
		a, b = startTarget("a", "desk"), startTarget("b", "desk")
		applyView(h, 1, nil, a, b)
	})
	runs := func() int64 { return a.runs.Load() + b.runs.Load() }
	breakConnections := func() {
		for _, t := range []*testTarget{a, b} {
			t.setHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		}
	}

	It("is refused without reaching a target after two crashes, with the time until it may be sent", func() {
		addSuspect(h, 2)
		status, body, header := sendRequest(h, "/safe/deadly")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(string(reasonSuspect)))
		after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically("~", 60, 2))
		Expect(runs()).To(BeZero())
		status, _, _ = sendRequest(h, "/safe/other")
		Expect(status).To(Equal(http.StatusOK))
	})

	DescribeTable("is sent to fewer targets, and is not reported as not run unless it was not sent", func(crashes, status, targets int) {
		breakConnections()
		addSuspect(h, crashes)
		got, _, _ := sendRequest(h, "/safe/deadly")
		Expect(got).To(Equal(status))
		Expect(runs()).To(BeEquivalentTo(targets))
	},
		Entry("before a crash", 0, http.StatusBadGateway, 2),
		Entry("after one crash", 1, http.StatusBadGateway, 1),
		Entry("after two crashes", 2, http.StatusServiceUnavailable, 0),
	)

	It("is not hedged after one crash", func() {
		addSuspect(h, 1)
		for _, t := range []*testTarget{a, b} {
			t.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Second)
				fmt.Fprint(w, "late")
			})
		}
		_, body, _ := sendRequest(h, "/safe/deadly")
		Expect(body).To(Equal("late"))
		Expect(runs()).To(BeEquivalentTo(1))
	})

	It("is no suspect after an answer, and the registry is told", func() {
		addSuspect(h, 1)
		status, _, _ := sendRequest(h, "/safe/deadly")
		Expect(status).To(Equal(http.StatusOK))
		Expect(h.suspects.table.IsEmpty()).To(BeTrue())
	})

	// Guards against a block that the failure of a connection or of a response is enough for.
	It("is suspected only if the target has gone", func() {
		breakConnections()
		for range 3 {
			sendRequest(h, "/safe/deadly")
		}
		Consistently(h.suspects.table.IsEmpty, "600ms").Should(BeTrue(), "the targets still accept connections")
		status, _, _ := sendRequest(h, "/safe/deadly")
		Expect(status).To(Equal(http.StatusBadGateway))
	})

	DescribeTable("is suspected when the target", func(end func()) {
		applyView(h, 2, nil, a)
		a.setHandler(func(http.ResponseWriter, *http.Request) {
			end()
			panic(http.ErrAbortHandler)
		})
		sendRequest(h, "/unsafe/deadly")
		Eventually(h.suspects.table.IsEmpty, "3s").Should(BeFalse())
	},
		Entry("refuses connections", func() { _ = a.server.Listener.Close() }),
		Entry("is registered with a new start", func() {
			time.AfterFunc(400*time.Millisecond, func() {
				target := &schemav1.Registration{Id: "a", StartedUnixMs: 2, Service: "desk", Address: h.current().targets["a"].GetAddress(), Life: schemav1.Life_LIFE_READY}
				h.applyUpdate(&schemav1.ViewUpdate{Version: 3, Targets: []*schemav1.Registration{target}}, h.now())
			})
		}),
		Entry("is no longer registered", func() { time.AfterFunc(400*time.Millisecond, func() { applyView(h, 3, nil, b) }) }),
	)

	// Guards against the loss of several targets at once that blocks the requests that were hedged there.
	It("has crashed one target only when two end while it is hedged", func() {
		var both sync.WaitGroup
		both.Add(2)
		for _, t := range []*testTarget{a, b} {
			t.setHandler(func(http.ResponseWriter, *http.Request) {
				both.Done()
				both.Wait()
				_ = t.server.Listener.Close()
				panic(http.ErrAbortHandler)
			})
		}
		status, _, _ := sendRequest(h, "/safe/deadly")
		Expect(status).To(Equal(http.StatusBadGateway))
		Expect(runs()).To(BeEquivalentTo(2))
		Eventually(h.suspects.table.IsEmpty, "3s").Should(BeFalse())
		fingerprint := suspects.FingerprintOf([]byte(http.MethodGet), []byte("a"), []byte("/safe/deadly"), nil)
		verdict := func() suspects.Verdict {
			v, _ := h.suspects.table.Verdict(h.now(), fingerprint)
			return v
		}
		Consistently(verdict, "500ms").Should(Equal(suspects.Suspected))
	})

	It("is not suspected when the target has announced its end", func() {
		a.setHandler(func(http.ResponseWriter, *http.Request) {
			draining := &schemav1.Registration{Id: "a", StartedUnixMs: 1, Service: "desk", Address: h.current().targets["a"].GetAddress(), Life: schemav1.Life_LIFE_DRAINING}
			h.applyUpdate(&schemav1.ViewUpdate{Version: 3, Targets: []*schemav1.Registration{draining}}, h.now())
			_ = a.server.Listener.Close()
			panic(http.ErrAbortHandler)
		})
		applyView(h, 2, nil, a)
		sendRequest(h, "/unsafe/deadly")
		Consistently(h.suspects.table.IsEmpty, "600ms").Should(BeTrue())
	})
})

var _ = Describe("Requests that break at one target", func() {
	// Guards against a request that takes those beside it along to the next target, so that the ends of both count against each of them.
	It("are sent again to different targets", func() {
		for round := range 5 {
			h := startHost()
			a, b, c := startTarget("a", "desk"), startTarget("b", "desk"), startTarget("c", "desk")
			applyView(h, 1, nil, a)
			end := make(chan struct{})
			a.setHandler(func(http.ResponseWriter, *http.Request) {
				<-end
				panic(http.ErrAbortHandler)
			})
			for _, t := range []*testTarget{b, c} {
				t.setHandler(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(100 * time.Millisecond)
					fmt.Fprint(w, "by ", t.id)
				})
			}
			var callers sync.WaitGroup
			for i := range 2 {
				callers.Go(func() {
					defer GinkgoRecover()
					status, _, _ := sendRequest(h, fmt.Sprint("/safe/", i), "Id", strconv.Itoa(i+1))
					Expect(status).To(Equal(http.StatusOK))
				})
				Eventually(a.runs.Load).Should(BeEquivalentTo(i + 1))
			}
			applyView(h, 2, nil, a, b, c)
			close(end)
			callers.Wait()
			Expect([]int64{b.runs.Load(), c.runs.Load()}).To(Equal([]int64{1, 1}), "round %d", round)
		}
	})
})
