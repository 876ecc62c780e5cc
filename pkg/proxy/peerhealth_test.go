package proxy_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
)

// Guards against sending requests to a paused host for as long as the pause goes on: it accepts connections, so nothing
// but its silence tells.
var _ = Describe("I6: a silent host of another data centre", func() {
	It("is avoided until it answers again", func() {
		w := newWorld()
		h := w.addHost("h0", "seoul-gangnam")
		release := make(chan struct{})
		var silentCalls, paused atomic.Int64
		paused.Store(1)
		silent, silentAddress := listen(http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/" {
				silentCalls.Add(1)
			}
			if paused.Load() == 1 {
				<-release
			}
			writer.Header().Set("Almondrock-Request-Id", r.Header.Get("Almondrock-Request-Id"))
			refuse(writer, apierr.DeadlineExceeded, apierr.NotRun)
		}))
		live, liveAddress := listen(http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
			writer.Header().Set("Almondrock-Request-Id", r.Header.Get("Almondrock-Request-Id"))
			refuse(writer, apierr.DeadlineExceeded, apierr.NotRun)
		}))
		cleanup(func() { _ = silent.Close(); _ = live.Close() })
		w.hosts["h1"] = &host{name: "h1", dataCentre: "busan", data: silentAddress}
		w.hosts["h2"] = &host{name: "h2", dataCentre: "busan", data: liveAddress}
		w.dataCentre = "busan"
		send := func() { ask("GET", h.address, "/desk/a", "", "Almondrock-Deadline-Ms", "700") }
		Eventually(func() bool {
			before := silentCalls.Load()
			for range 12 {
				send()
			}
			return silentCalls.Load() == before
		}, 60*time.Second, time.Millisecond).Should(BeTrue())
		paused.Store(0)
		close(release)
		before := silentCalls.Load()
		Eventually(func() int64 { send(); return silentCalls.Load() }, 30*time.Second, 10*time.Millisecond).Should(BeNumerically(">", before))
	})
})
