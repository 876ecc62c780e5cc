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

	"almondrock.example/almondrock/pkg/upstream"
)

// startPatientHost starts a host that waits for connections as long as a busy machine may need.
func startPatientHost() *Host {
	h := newHost([]string{freeAddress()}, 10*time.Second)
	h.upstream = upstream.New(upstream.Options{IDHeader: testProtocol.RequestIDHeader, DialTimeout: 10 * time.Second})
	Expect(h.Start()).To(Succeed())
	DeferCleanup(h.Kill)
	return h
}

// ask sends a request over a connection of its own and returns the response, and the error of reading it to its end, if any.
func ask(h *Host, method, path, proto string) (*http.Response, string, error) {
	c, err := net.Dial("tcp", h.options.CallerAddress)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = fmt.Fprintf(c, "%s %s %s\r\nHost: a\r\nId: 1\r\n\r\n", method, path, proto)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

var _ = Describe("Host with a target that stops in the middle of its response and closes", func() {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nProof: p\r\n"
	const long = "a body that is streamed"
	// Guards against a 200 with an empty or short body that looks complete to the caller. Each request has its own path, because one that
	// seems to crash targets is not sent any more.
	DescribeTable("tells the caller of a failure wherever it stops",
		func(method, path, proto string, buffered int64, response, body string) {
			h := startPatientHost()
			h.pacer.maxBuffered = buffered
			var cut atomic.Int64
			address := serveRaw(func(c net.Conn, _ string) {
				_, _ = io.WriteString(c, response[:cut.Load()])
				c.Close()
			})
			for ; cut.Load() < int64(len(response)); cut.Add(1) {
				applyRestarted(h, 1+cut.Load(), []string{address, address})
				got, content, err := ask(h, method, fmt.Sprint(path, cut.Load()), proto)
				if err != nil {
					continue
				}
				Expect(got.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "cut after %d bytes, body %q", cut.Load(), content)
				Expect(got.Header).NotTo(HaveKey("Proof"))
			}
			applyRestarted(h, 1+cut.Load(), []string{address, address})
			got, content, err := ask(h, method, path, proto)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.StatusCode).To(Equal(http.StatusOK))
			Expect(content).To(Equal(body))
		},
		Entry("not idempotent, length", "POST", "/unsafe/", "HTTP/1.1", int64(100), head+"Content-Length: 2\r\n\r\nok", "ok"),
		Entry("idempotent, length", "GET", "/safe/", "HTTP/1.1", int64(100), head+"Content-Length: 2\r\n\r\nok", "ok"),
		Entry("idempotent, chunks", "GET", "/safe/", "HTTP/1.1", int64(100), head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"),
		Entry("streamed, length", "GET", "/safe/", "HTTP/1.1", int64(4), head+"Content-Length: 23\r\n\r\n"+long, long),
		Entry("streamed, chunks", "GET", "/safe/", "HTTP/1.1", int64(4), head+"Transfer-Encoding: chunked\r\n\r\n17\r\n"+long+"\r\n0\r\n\r\n", long),
		Entry("streamed, chunks and trailers", "POST", "/unsafe/", "HTTP/1.1", int64(4), head+"Transfer-Encoding: chunked\r\n\r\n17\r\n"+long+"\r\n0\r\nT: v\r\n\r\n", long),
		Entry("streamed, length, to a caller of HTTP/1.0", "GET", "/safe/", "HTTP/1.0", int64(4), head+"Content-Length: 23\r\n\r\n"+long, long),
		Entry("streamed, chunks, to a caller of HTTP/1.0", "GET", "/safe/", "HTTP/1.0", int64(4), head+"Transfer-Encoding: chunked\r\n\r\n17\r\n"+long+"\r\n0\r\n\r\n", long),
		Entry("no body for HEAD", "HEAD", "/safe/", "HTTP/1.1", int64(100), head+"Content-Length: 2\r\n\r\n", ""),
		Entry("interim response", "POST", "/unsafe/", "HTTP/1.1", int64(100), "HTTP/1.1 103 Early Hints\r\nId: 1\r\nProof: p\r\n\r\n"+head+"Content-Length: 2\r\n\r\nok", "ok"),
		Entry("head of a response that ends with the connection", "POST", "/unsafe/", "HTTP/1.1", int64(100), head+"\r\n", ""),
	)

	// Guards against a body without a length that a caller of HTTP/1.0 takes for complete at the end of the connection.
	DescribeTable("lets a long body that was cut off not look complete",
		func(proto, framing, end string) {
			body := strings.Repeat("0123456789abcdef", 1<<14)
			response := head + framing + body + end
			h := startPatientHost()
			h.pacer.maxBuffered = 4
			var cut atomic.Int64
			address := serveRaw(func(c net.Conn, _ string) {
				_, _ = io.WriteString(c, response[:cut.Load()])
				c.Close()
			})
			for _, cutAt := range []int{len(head + framing), len(head+framing) + 5, 5_000, 70_000, 200_000, len(response) - len(end) - 1, len(response) - 1} {
				cut.Store(int64(cutAt))
				applyRestarted(h, cut.Load(), []string{address})
				got, content, err := ask(h, "GET", fmt.Sprint("/safe/", cutAt), proto)
				if err == nil {
					Expect(got.StatusCode).To(Equal(http.StatusBadGateway), "cut after %d bytes, %d bytes of %d arrived", cutAt, len(content), len(body))
				}
			}
			cut.Store(int64(len(response)))
			applyRestarted(h, cut.Load(), []string{address})
			_, content, err := ask(h, "GET", "/safe/", proto)
			Expect(err).NotTo(HaveOccurred())
			Expect(content == body).To(BeTrue())
		},
		Entry("length", "HTTP/1.1", "Content-Length: 262144\r\n\r\n", ""),
		Entry("chunks", "HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n40000\r\n", "\r\n0\r\n\r\n"),
		Entry("length, to a caller of HTTP/1.0", "HTTP/1.0", "Content-Length: 262144\r\n\r\n", ""),
		Entry("chunks, to a caller of HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked\r\n\r\n40000\r\n", "\r\n0\r\n\r\n"),
	)

	It("responds by another target", func() {
		h := startPatientHost()
		const response = head + "Content-Length: 2\r\n\r\nok"
		var cut atomic.Int64
		broken := serveRaw(func(c net.Conn, _ string) {
			_, _ = io.WriteString(c, response[:cut.Load()])
			c.Close()
		})
		sound := serveRaw(respondOK)
		for ; cut.Load() < int64(len(response)); cut.Add(1) {
			applyRestarted(h, 1+cut.Load(), []string{broken, sound})
			got, content, err := ask(h, "GET", fmt.Sprint("/safe/", cut.Load()), "HTTP/1.1")
			Expect(err).NotTo(HaveOccurred())
			Expect(got.StatusCode).To(Equal(http.StatusOK), strings.TrimSpace(content))
			Expect(content).To(Equal("ok"))
		}
	})
})
