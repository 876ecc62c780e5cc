package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// turnAway makes a target turn requests away with 503 and this Retry-After.
func (t *testTarget) turnAway(retryAfter string) {
	t.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// retryAfter returns the time in a Retry-After field.
func retryAfter(header http.Header) time.Duration {
	GinkgoHelper()
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	return time.Duration(seconds * float64(time.Second))
}

// keysOf returns the key table of the exclusive service with a target as the owner of all keys.
func keysOf(t *testTarget) []*schemav1.KeyTable {
	return []*schemav1.KeyTable{{Service: "files", Ranges: []*schemav1.KeyRange{
		{First: 0, Last: 65535, Owner: t.id, OwnerStartedUnixMs: 1, Fence: 1, State: schemav1.RangeState_RANGE_STATE_ACTIVE},
	}}}
}

// setRegistration puts a view in force that has one target with this start and life.
func setRegistration(h *Host, version uint64, t *testTarget, started int64, life schemav1.Life) {
	h.applyUpdate(&schemav1.ViewUpdate{Version: version, Full: true, Routes: &schemav1.RouteDocument{Revision: 1}, UpToDate: true, Targets: []*schemav1.Registration{{
		Id: t.id, StartedUnixMs: started, Service: t.service, Address: t.server.Listener.Addr().String(), DataCentre: "n", Slots: 2, Life: life,
	}}}, h.now())
}

var _ = Describe("Target that asks for a pause", func() {
	const asked = 1200 * time.Millisecond

	It("gets nothing until the end, while callers are refused at once with the time that is left", func() {
		h := startHost()
		t := startTarget("t", "desk")
		applyView(h, 1, nil, t)
		t.turnAway("1.2")
		began := time.Now()
		status, body, header := sendRequest(h, "/safe/")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(Equal("paused\n"))
		end := time.Now().Add(retryAfter(header))
		Expect(end).To(BeTemporally(">=", began.Add(asked)))
		t.setHandler(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "back") })
		for version := uint64(2); time.Until(end) > 50*time.Millisecond; version++ {
			applyView(h, version, nil, t)
			sentAt := time.Now()
			status, body, header = sendRequest(h, []string{"/safe/", "/unsafe/"}[version%2])
			if time.Now().After(end) {
				// The machine was too slow for a further request in the pause.
				break
			}
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(body).To(Equal("paused\n"))
			Expect(time.Since(sentAt)).To(BeNumerically("<", 500*time.Millisecond), "a refusal does not wait for the end")
			Expect(time.Now().Add(retryAfter(header))).To(BeTemporally(">=", end.Add(-5*time.Millisecond)))
			Expect(t.runs.Load()).To(BeEquivalentTo(1))
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Until(end))
		_, body, _ = sendRequest(h, "/safe/")
		Expect(body).To(Equal("back"), "a caller that returns at the time that it was told is served")
	})

	It("is replaced by another one, which serves the request that was turned away and all others", func() {
		h := startHost()
		a, b := startTarget("a", "desk"), startTarget("b", "desk")
		applyView(h, 1, nil, a, b)
		a.turnAway("60")
		for range 20 {
			status, body, _ := sendRequest(h, "/unsafe/")
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("by b"))
		}
		Expect(a.runs.Load()).To(BeNumerically("<=", 1))
	})

	It("gets no hedge and no retry", func() {
		h := startHost()
		a, b := startTarget("a", "desk"), startTarget("b", "desk")
		applyView(h, 1, nil, a)
		a.turnAway("60")
		sendRequest(h, "/safe/")
		applyView(h, 2, nil, a, b)
		b.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			if b.runs.Load() == 1 {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			time.Sleep(700 * time.Millisecond)
			fmt.Fprint(w, "slow")
		})
		status, _, _ := sendRequest(h, "/safe/")
		Expect(status).To(Equal(http.StatusInternalServerError))
		_, body, _ := sendRequest(h, "/safe/")
		Expect(body).To(Equal("slow"))
		Expect(a.runs.Load()).To(BeEquivalentTo(1))
	})

	It("lets callers return to its keys when the pause is over", func() {
		h := startHost()
		t := startTarget("t", "files")
		applyView(h, 1, keysOf(t), t, startTarget("other", "files"))
		t.turnAway("0.8")
		_, body, header := sendRequest(h, "/files/", "Key", "7")
		Expect(body).To(Equal("paused\n"))
		t.setHandler(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "back") })
		_, body, _ = sendRequest(h, "/files/", "Key", "8")
		Expect(body).To(Equal("paused\n"))
		Expect(t.runs.Load()).To(BeEquivalentTo(1))
		time.Sleep(retryAfter(header))
		_, body, _ = sendRequest(h, "/files/", "Key", "7")
		Expect(body).To(Equal("back"))
	})

	It("is used again at once after a new start", func() {
		h := startHost()
		t := startTarget("t", "desk")
		applyView(h, 1, nil, t)
		t.turnAway("60")
		sendRequest(h, "/safe/")
		t.setHandler(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "new") })
		setRegistration(h, 2, t, 2, schemav1.Life_LIFE_READY)
		_, body, _ := sendRequest(h, "/safe/")
		Expect(body).To(Equal("new"))
	})
})
