package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Planned stop", func() {
	It("takes requests that end in time, and in the first half of the grace period any", func() {
		const now = time.Minute
		p := newStopPlan(now, 6*time.Second)
		Expect(p.takes(now+2900*time.Millisecond, now+time.Hour)).To(BeTrue())
		Expect(p.takes(now+3*time.Second, now+5500*time.Millisecond)).To(BeTrue())
		Expect(p.takes(now+3*time.Second, now+5700*time.Millisecond)).To(BeFalse(), "the answer at the deadline would come too late")
		Expect(p.takes(now+5*time.Second, now+7*time.Second)).To(BeFalse())
		Expect((*stopPlan)(nil).takes(now, now+time.Hour)).To(BeTrue())
	})

	// Guards against requests that are passed on late in the grace period and cut off without an answer at its end (report of an operator).
	It("refuses a request that is complete only late in the grace period instead of cutting it off", func() {
		h := startHost()
		t := startTarget("t", "desk")
		applyView(h, 1, nil, t)
		t.setHandler(t.waitUntilCancelled)
		connection, err := net.Dial("tcp", h.options.CallerAddress)
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, err = fmt.Fprint(connection, "POST /unsafe/ HTTP/1.1\r\nHost: a\r\nId: 1\r\nContent-Length: 2\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		stopped := make(chan struct{})
		began := time.Now()
		go func() { h.Stop(); close(stopped) }()
		time.Sleep(h.options.GracePeriod/2 + 100*time.Millisecond)
		_, err = io.WriteString(connection, "x")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", h.options.GracePeriod-stopMargin), "the caller has time to ask another host")
		Expect(t.runs.Load()).To(BeZero(), "a request that is refused must not run")
		Eventually(stopped, "3s").Should(BeClosed())
	})
})
