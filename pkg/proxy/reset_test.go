package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

// Guards against a part of a response that is taken for the whole, because the write of the request met the reset of the connection before the
// read of the response did.
var _ = DescribeTable("I6: a response without a length is refused, from a target and from another host, also while the request is written",
	func(fromHost bool, size int, delay time.Duration) {
		const rounds = 20
		respond := func(c *net.TCPConn, r *http.Request) {
			if r.Header.Get("Expect") != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID), strings.Repeat("p", 10<<10))
			time.Sleep(delay)
			standin.Reset(c)
		}
		var h *host
		if fromHost {
			h = newDeployment().addHost("h0", "seoul-gangnam")
			server, err := standin.StartRaw(respond)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			h.deployment.hosts["h1"] = &host{name: "h1", data: server.Address()}
			h.deployment.assignment.Target, h.deployment.assignment.Host = "t1", "h1"
		} else {
			h = hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				Expect(err).NotTo(HaveOccurred())
				respond(c.(*net.TCPConn), r)
			})
		}
		h.deployment.resolution.MaxBodyBytes = 16 << 20
		taken := 0
		for range rounds {
			reply := sendRequest("POST", h.ingressAddress, "/desk/a", strings.Repeat("u", size))
			if reply.err != nil {
				continue
			}
			if reply.status < http.StatusBadRequest {
				taken++
				continue
			}
			Expect(reply.refusal().Code).To(BeElementOf(apierr.BadResponse, apierr.OutcomeUnknown))
			Expect(reply.refusal().Ran).To(Equal(apierr.RunUnknown))
		}
		Expect(taken).To(BeZero(), "parts of %d that were taken for complete responses", rounds)
	},
	Entry("target, short request", false, 10, time.Millisecond),
	Entry("target, long request", false, 8<<20, time.Millisecond),
	Entry("host, short request", true, 10, time.Millisecond),
	Entry("host, request that is sent without a wait", true, 60<<10, time.Duration(0)),
	Entry("host, long request, reset at once", true, 8<<20, time.Duration(0)),
	Entry("host, long request", true, 8<<20, time.Millisecond),
	Entry("host, long request, later reset", true, 8<<20, 5*time.Millisecond),
)

var _ = DescribeTable("I6: a response that has no body needs no length",
	func(method, status string, code int) {
		h := hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n\r\n", status, target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		})
		reply := sendRequest(method, h.ingressAddress, "/desk/a", "")
		Expect(reply.err).NotTo(HaveOccurred())
		Expect(reply.status).To(Equal(code), string(reply.body))
	},
	Entry(nil, "HEAD", "200 OK", http.StatusOK),
	Entry(nil, "GET", "204 No Content", http.StatusNoContent),
	Entry(nil, "GET", "304 Not Modified", http.StatusNotModified),
)

var _ = It("I6: a response that is cut off is not completed by one without a length", func() {
	var calls atomic.Int64
	h := hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		id := target.HeaderRequestID + ": " + r.Header.Get(target.HeaderRequestID)
		if calls.Add(1) == 1 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nEtag: \"a\"\r\nContent-Length: 10\r\n\r\n012", id)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 206 Partial Content\r\n%s\r\nEtag: \"a\"\r\nContent-Range: bytes 3-9/10\r\n\r\n3456789", id)
	})
	Expect(sendRequest("GET", h.deployment.hosts["h1"].ingressAddress, "/desk/a", "").err).To(HaveOccurred())
	Expect(calls.Load()).To(BeEquivalentTo(2))
})
