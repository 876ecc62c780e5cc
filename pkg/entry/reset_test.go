package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/standin"
)

// resetRounds is how often each case of a race is repeated.
const resetRounds = 40

// uploadBody sends a request with a body over a connection of its own, in chunks or with a length, and reads the response. The error is that of
// the caller's reads; writeErr is that of its writes, which go on meanwhile.
func uploadBody(h *Host, path, proto string, size int, chunked bool) (status int, body string, err, writeErr error) {
	c, err := net.Dial("tcp", h.options.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	text := fmt.Sprintf("POST %s %s\r\nHost: a\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", path, proto, size, strings.Repeat("u", size))
	if chunked {
		text = fmt.Sprintf("POST %s %s\r\nHost: a\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, proto, size, strings.Repeat("u", size))
	}
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c, text)
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		defer response.Body.Close()
		status = response.StatusCode
		var content []byte
		content, err = io.ReadAll(response.Body)
		body = string(content)
	}
	c.Close()
	return status, body, err, <-written
}

// Guards against a part of a response without a length that reaches a caller as the whole, and against an upload that is sent again.
var _ = DescribeTable("Caller whose upload is still being sent when its target resets a response without a length gets no part of it as the whole",
	func(path, proto string, size int, chunked bool, buffered int64) {
		h := startPatientHost()
		h.pacer.maxBuffered = buffered
		var runs atomic.Int64
		server, err := standin.StartRaw(func(c *net.TCPConn, _ *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\n"+strings.Repeat("p", 10<<10))
			time.Sleep(2 * time.Millisecond)
			standin.Reset(c)
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		taken := 0
		for round := range int64(resetRounds) {
			applyRestarted(h, 1+round, []string{server.Address()})
			status, _, err, writeErr := uploadBody(h, fmt.Sprint(path, round), proto, size, chunked)
			if err == nil && status == http.StatusOK && (writeErr == nil || proto == "HTTP/1.1") {
				taken++
			}
		}
		Expect(taken).To(BeZero(), "parts of %d that were taken for complete responses", resetRounds)
		if strings.HasPrefix(path, "/unsafe/") {
			Expect(runs.Load()).To(BeNumerically("<=", resetRounds), "an upload that may have run was sent again")
		}
	},
	Entry("streamed body", "/unsafe/", "HTTP/1.1", 8<<20, false, int64(1<<20)),
	Entry("streamed body in chunks", "/unsafe/", "HTTP/1.1", 8<<20, true, int64(1<<20)),
	Entry("held body", "/unsafe/", "HTTP/1.1", 200<<10, false, int64(1<<20)),
	Entry("held body, idempotent", "/safe/", "HTTP/1.1", 200<<10, false, int64(1<<20)),
	Entry("streamed body, idempotent", "/safe/", "HTTP/1.1", 8<<20, false, int64(1<<20)),
	Entry("streamed response", "/unsafe/", "HTTP/1.1", 8<<20, false, int64(1<<10)),
	Entry("streamed response to a caller of HTTP/1.0", "/unsafe/", "HTTP/1.0", 8<<20, false, int64(1<<10)),
	Entry("caller of HTTP/1.0", "/unsafe/", "HTTP/1.0", 8<<20, false, int64(1<<20)),
)

var _ = It("An upload that is held goes to another target after a response that broke off, and its response is whole", func() {
	h := startPatientHost()
	broken, err := standin.StartRaw(func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\npart")
		standin.Reset(c)
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(broken.Close)
	whole := strings.Repeat("w", 100<<10)
	sound, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\n"+whole)
		c.Close()
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(sound.Close)
	for round := range int64(resetRounds) {
		applyRestarted(h, 1+round, []string{broken.Address(), sound.Address()})
		status, body, err, _ := uploadBody(h, fmt.Sprint("/safe/", round), "HTTP/1.1", 200<<10, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body == whole).To(BeTrue(), "%d bytes", len(body))
	}
})

var _ = It("A part of a response from the second target of a hedged request is not delivered", func() {
	var arrivals atomic.Int64
	broke := make(chan struct{})
	whole := strings.Repeat("w", 100<<10)
	server, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
		if arrivals.Add(1)%2 == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\npart")
			standin.Reset(c)
			broke <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		<-broke
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n\r\n"+whole)
		c.Close()
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	h := startPatientHost()
	applyRestarted(h, 1, []string{server.Address(), server.Address()})
	status, body, err, _ := uploadBody(h, "/safe/", "HTTP/1.1", 200<<10, false)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	Expect(body == whole).To(BeTrue(), "%d bytes", len(body))
	Expect(arrivals.Load()).To(Equal(int64(2)), "the request was hedged")
})
