package entry

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// leave makes a target say in its answers that it leaves.
func (t *testTarget) leave() {
	t.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		fmt.Fprint(w, "by ", t.id)
	})
}

var _ = Describe("Target that says in its answers that it leaves", func() {
	It("is replaced by another target at once, and by a refusal as not run when its drain time is over", func() {
		h := startHost()
		a, b := startTarget("a", "desk"), startTarget("b", "desk")
		setRegistration(h, 1, a, 1, schemav1.Life_LIFE_READY)
		a.leave()
		sentAt := time.Now()
		sendRequest(h, "/safe/")
		applyView(h, 2, nil, a, b)
		for range 10 {
			_, body, _ := sendRequest(h, "/safe/")
			Expect(body).To(Equal("by b"))
		}
		Expect(a.runs.Load()).To(BeEquivalentTo(1))
		setRegistration(h, 3, a, 1, schemav1.Life_LIFE_READY)
		_, body, _ := sendRequest(h, "/safe/")
		Expect(body).To(Equal("by a"), "it still serves what no other target can")
		time.Sleep(time.Until(sentAt.Add(2100 * time.Millisecond)))
		runs := a.runs.Load()
		for version := uint64(4); version < 10; version++ {
			sentAt := time.Now()
			status, body, _ := sendRequest(h, []string{"/safe/", "/unsafe/"}[version%2])
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(body).To(Equal("leaving\n"))
			Expect(time.Since(sentAt)).To(BeNumerically("<", 500*time.Millisecond))
			setRegistration(h, version, a, 1, schemav1.Life_LIFE_READY)
		}
		Expect(a.runs.Load()).To(Equal(runs), "whatever views say about the same start")
		setRegistration(h, 10, a, 2, schemav1.Life_LIFE_READY)
		_, body, _ = sendRequest(h, "/safe/")
		Expect(body).To(Equal("by a"), "a new start")
	})

	It("is reported to the registry until the view shows it as draining", func() {
		h := startHost()
		t, other := startTarget("t", "desk"), startTarget("other", "desk")
		received := startRegistry(h, func(*schemav1.TargetAnnouncement) error { return nil })
		applyView(h, 1, nil, t)
		t.leave()
		_, body, _ := sendRequest(h, "/safe/")
		Expect(body).To(Equal("by t"))
		applyView(h, 2, nil, t, other)
		for range 2 {
			var report *schemav1.TargetAnnouncement
			Eventually(received, "2s").Should(Receive(&report))
			Expect(report.GetLeaving()).To(BeTrue())
			Expect(report.GetRegistration().GetId()).To(Equal("t"))
			Expect(report.GetRegistration().GetStartedUnixMs()).To(BeEquivalentTo(1))
			Expect(report.GetRemoved()).To(BeFalse())
		}
		setRegistration(h, 3, t, 1, schemav1.Life_LIFE_DRAINING)
		time.Sleep(2 * leavingReportInterval)
		for len(received) > 0 {
			<-received
		}
		Consistently(received, 4*leavingReportInterval).ShouldNot(Receive())
	})

	It("is reported when the registry can be reached again", func() {
		h := startHost()
		t := startTarget("t", "desk")
		applyView(h, 1, nil, t)
		t.leave()
		sendRequest(h, "/safe/")
		time.Sleep(2 * leavingReportInterval)
		received := startRegistry(h, func(*schemav1.TargetAnnouncement) error { return nil })
		Eventually(received, "2s").Should(Receive(HaveField("Leaving", BeTrue())))
	})

	It("is not believed of a target that another process answers for", func() {
		h := startHost()
		t := startTarget("t", "files")
		applyView(h, 1, keysOf(t), t)
		t.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		sendRequest(h, "/files/", "Key", "7")
		Expect(h.dispatcher.LeavingTargets()).To(BeEmpty())
		t.setHandler(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "back") })
		_, body, _ := sendRequest(h, "/files/", "Key", "7")
		Expect(body).To(Equal("back"))
	})
})
