package proxy_test

import (
	"bufio"
	"bytes"
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

// outcome is the response that a caller gets after a fault, and the number of times that the target ran the request.
type outcome struct {
	status int
	code   apierr.Code
	ran    apierr.RunStatus
	runs   int
}

// Guards against delivering an incomplete response or that of another request (I6), against refusals with a wrong ran
// (I7), and against running a non-idempotent request twice (I8) after a fault of the target.
var _ = DescribeTable("I6 I7 I8: faults of a target",
	func(faults standin.Faults, method string, want outcome) {
		d, h, _, server := twoHosts(standin.Options{Faults: faults})
		d.resolution.Deadline = 300 * time.Millisecond
		reply := sendRequest(method, h.ingressAddress, "/desk/book", "")
		Expect(reply.err).NotTo(HaveOccurred())
		Expect(reply.status).To(Equal(want.status), string(reply.body))
		if want.code != "" {
			refusal := reply.refusal()
			Expect(refusal.Code).To(Equal(want.code), refusal.Message)
			Expect(refusal.Ran).To(Equal(want.ran), refusal.Message)
		}
		if want.ran == apierr.NotRun {
			Expect(server.Executions()).To(BeEmpty())
		}
		Expect(server.Executions()).To(HaveLen(want.runs))
	},
	Entry("no fault", standin.Faults{}, "POST", outcome{200, "", "", 1}),
	Entry("wrong request ID, non-idempotent", standin.Faults{RequestID: standin.RequestIDWrong}, "POST",
		outcome{502, apierr.BadResponse, apierr.RunUnknown, 1}),
	Entry("missing request ID, non-idempotent", standin.Faults{RequestID: standin.RequestIDMissing}, "POST",
		outcome{502, apierr.BadResponse, apierr.RunUnknown, 1}),
	Entry("wrong request ID, idempotent: retried twice", standin.Faults{RequestID: standin.RequestIDWrong}, "GET",
		outcome{502, apierr.BadResponse, apierr.RunUnknown, 3}),
	Entry("no response, non-idempotent", standin.Faults{DropResponse: true}, "POST",
		outcome{504, apierr.OutcomeUnknown, apierr.RunUnknown, 1}),
	Entry("no response, idempotent", standin.Faults{DropResponse: true}, "PUT",
		outcome{503, apierr.OwnerUnreachable, apierr.RunUnknown, 3}),
	Entry("shed, non-idempotent", standin.Faults{Refuse: true}, "POST",
		outcome{503, apierr.Overloaded, apierr.NotRun, 0}),
	Entry("shed, idempotent", standin.Faults{Refuse: true}, "GET",
		outcome{503, apierr.Overloaded, apierr.NotRun, 0}),
	Entry("response cut off, non-idempotent", standin.Faults{TruncateAfter: 10}, "POST",
		outcome{504, apierr.OutcomeUnknown, apierr.RunUnknown, 1}),
	Entry("response cut off, no entity tag", standin.Faults{TruncateAfter: 10}, "GET",
		outcome{503, apierr.OwnerUnreachable, apierr.RunUnknown, 3}),
	Entry("response after the deadline, non-idempotent", standin.Faults{ResponseDelay: 600 * time.Millisecond}, "POST",
		outcome{504, apierr.OutcomeUnknown, apierr.RunUnknown, 1}),
	Entry("response after the deadline, idempotent", standin.Faults{ResponseDelay: 600 * time.Millisecond}, "GET",
		outcome{504, apierr.DeadlineExceeded, apierr.RunUnknown, 1}),
)

var _ = Describe("I6: late responses", func() {
	It("are never delivered to the next request to the same target", func() {
		d, h, _, server := twoHosts(standin.Options{})
		server.SetFaults(func(f *standin.Faults) { f.ResponseDelay = 250 * time.Millisecond })
		d.resolution.Deadline = 100 * time.Millisecond
		Expect(sendRequest("POST", h.ingressAddress, "/desk/first", "").status).To(Equal(504))
		server.SetFaults(func(f *standin.Faults) { *f = standin.Faults{} })
		d.resolution.Deadline = 5 * time.Second
		for range 5 {
			Expect(sendRequest("GET", h.ingressAddress, "/desk/second", "").standInBody().Path).To(Equal("/second"))
		}
	})
})

var _ = Describe("I7: a second copy of a refusal", func() {
	// Guards against a request that is sent again after a refusal and is then taken for refused again, while it runs.
	It("is not taken for the response to the next attempt of the same request", func() {
		var attempts, runs atomic.Int64
		h := hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
			if attempts.Add(1) > 1 {
				runs.Add(1)
				return
			}
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + target.HeaderRequestID + ": " + r.Header.Get(target.HeaderRequestID) + "\r\n" +
				target.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
			connection, buffered, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			go func() {
				defer connection.Close()
				_, _ = io.WriteString(connection, refusal)
				for {
					if _, err := http.ReadRequest(buffered.Reader); err != nil {
						return
					}
					runs.Add(1)
					_, _ = io.WriteString(connection, refusal)
				}
			}()
		})
		Expect(sendRequest("POST", h.ingressAddress, "/desk/book", "").status).To(Equal(200))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("I6: file responses that are cut off", func() {
	const path = "/files/pattern?size=300000"
	content := standin.FileContent("/files/pattern", 300000)

	DescribeTable("are completed with range requests",
		func(times, budget int, headers []string, first, last int, complete bool) {
			w, h, _, server := twoHosts(standin.Options{Faults: standin.Faults{TruncateAfter: 70000, TruncateCount: times}})
			w.retryBudget = budget
			reply := sendRequest("GET", h.ingressAddress, "/desk"+path, "", headers...)
			if !complete {
				Expect(reply.err).To(HaveOccurred())
				return
			}
			Expect(reply.err).NotTo(HaveOccurred())
			Expect(bytes.Equal(reply.body, content[first:last])).To(BeTrue())
			Expect(server.Executions()).To(HaveLen(times + 1))
		},
		Entry("cut once", 1, 10, nil, 0, 300000, true),
		Entry("cut twice", 2, 10, nil, 0, 300000, true),
		Entry("cut more often than retries are allowed", 3, 10, nil, 0, 0, false),
		Entry("no retry budget", 1, 0, nil, 0, 0, false),
		Entry("the caller asked for a range", 1, 10, []string{"Range", "bytes=1000-200999"}, 1000, 201000, true),
	)

	DescribeTable("are never completed from another representation or position",
		func(status int, tag, contentRange, rest string) {
			var calls atomic.Int64
			h := hostsWithRawTarget(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					w.Header().Set("Etag", `"a"`)
					w.Header().Set("Content-Length", "10")
					_, _ = w.Write([]byte("abc"))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Etag", tag)
				w.Header().Set("Content-Range", contentRange)
				w.WriteHeader(status)
				_, _ = w.Write([]byte(rest))
			})
			Expect(sendRequest("GET", h.deployment.hosts["h1"].ingressAddress, "/desk/a", "").err).To(HaveOccurred())
			Expect(calls.Load()).To(BeEquivalentTo(2))
		},
		Entry("the whole of another representation", 200, `"b"`, "", "0123456789"),
		Entry("the rest of another representation", 206, `"b"`, "bytes 3-9/10", "3456789"),
		Entry("the same length from another position", 206, `"a"`, "bytes 2-8/10", "2345678"),
		Entry("a representation without a tag", 206, "", "bytes 3-9/10", "3456789"),
		Entry("an error of the same length", 500, `"a"`, "", "failure"),
	)

	It("are not resumed with a weak entity tag", func() {
		var calls atomic.Int64
		h := hostsWithRawTarget(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.Header().Set("Etag", `W/"a"`)
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("abc"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		Expect(sendRequest("GET", h.deployment.hosts["h1"].ingressAddress, "/desk/a", "").err).To(HaveOccurred())
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})
})

var _ = It("I6: a response that ends with the close of the connection is refused", func() {
	h := hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString("HTTP/1.0 200 OK\r\nAlmondrock-Request-Id: " + r.Header.Get("Almondrock-Request-Id") + "\r\n\r\npart")
		_ = buffer.Flush()
		conn.Close()
	})
	refusal := sendRequest("POST", h.ingressAddress, "/desk/a", "").refusal()
	Expect(refusal.Code).To(Equal(apierr.BadResponse))
	Expect(refusal.Ran).To(Equal(apierr.RunUnknown))
})

// Guards against a refusal that claims not-run because the last attempt was refused, although the first may have run.
var _ = It("I7: a refused retry does not hide that an earlier attempt may have run", func() {
	var calls atomic.Int64
	h := hostsWithRawTarget(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			closeConnection(w)
			return
		}
		w.Header().Set("Almondrock-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	refusal := sendRequest("PUT", h.ingressAddress, "/desk/a", "").refusal()
	Expect(refusal.Code).To(Equal(apierr.Overloaded))
	Expect(refusal.Ran).To(Equal(apierr.RunUnknown))
	Expect(calls.Load()).To(BeEquivalentTo(3))
})

// Guards against a 200 with an empty or short body that looks complete, after a target has stopped in the middle of its response.
var _ = DescribeTable("I6: a target that stops in the middle of its response and closes is never taken for one that has answered",
	func(method, framing, body, proto string) {
		var cut atomic.Int64
		response := func(id string) string { return "HTTP/1.1 200 OK\r\nAlmondrock-Request-Id: " + id + "\r\n" + framing }
		h := hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
			connection, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			text := response(r.Header.Get(target.HeaderRequestID))
			_, _ = io.WriteString(connection, text[:min(cut.Load(), int64(len(text)))])
			connection.Close()
		})
		ask := func() (status int, content string, err error) {
			c, err := net.Dial("tcp", h.ingressAddress)
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, err = fmt.Fprintf(c, "%s /desk/book %s\r\nHost: a\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", method, proto, target.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			got, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
			if err != nil {
				return 0, "", err
			}
			read, err := io.ReadAll(got.Body)
			return got.StatusCode, string(read), err
		}
		end := int64(len(response("00000000-0000-0000-0000-000000000000")))
		for step := max(1, end/200); cut.Load() < end; cut.Store(min(end, cut.Load()+step)) {
			status, content, err := ask()
			if err == nil {
				Expect(status).To(BeNumerically(">=", 500), "cut after %d of %d bytes, %d bytes arrived", cut.Load(), end, len(content))
			}
		}
		status, content, err := ask()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK), content)
		Expect(content == body).To(BeTrue())
	},
	Entry("length", "POST", "Content-Length: 2\r\n\r\nok", "ok", "HTTP/1.1"),
	Entry("length, idempotent", "GET", "Content-Length: 2\r\n\r\nok", "ok", "HTTP/1.1"),
	Entry("length, idempotent, with an entity tag", "GET", "Etag: \"a\"\r\nContent-Length: 2\r\n\r\nok", "ok", "HTTP/1.1"),
	Entry("chunks and trailers", "POST", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n\r\n", "ok", "HTTP/1.1"),
	Entry("many chunks", "POST", "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("10\r\n0123456789abcdef\r\n", 5000)+"0\r\n\r\n", strings.Repeat("0123456789abcdef", 5000), "HTTP/1.1"),
	Entry("many chunks, to a caller of HTTP/1.0", "POST", "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("10\r\n0123456789abcdef\r\n", 5000)+"0\r\n\r\n", strings.Repeat("0123456789abcdef", 5000), "HTTP/1.0"),
)
