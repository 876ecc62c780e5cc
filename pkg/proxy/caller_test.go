package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/proxy"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

// A refusal that claims not-run must be true (I7), and nothing that is refused here may reach the target.
var _ = DescribeTable("I7: refusals of callers never reach the target",
	func(method, path, body string, headers []string, change func(w *world), code apierr.Code, status int) {
		w, h, server := oneHost()
		if change != nil {
			change(w)
		}
		reply := ask(method, h.address, path, body, headers...)
		Expect(reply.err).NotTo(HaveOccurred())
		refusal := reply.refusal()
		Expect(refusal.Code).To(Equal(code), refusal.Message)
		Expect(refusal.Ran).To(Equal(apierr.NotRun))
		Expect(refusal.RequestID).To(Equal(reply.header.Get("Almondrock-Request-Id")))
		Expect(reply.status).To(Equal(status))
		Expect(string(reply.body)).NotTo(ContainSubstring(key))
		Expect(server.Executions()).To(BeEmpty())
	},
	Entry("no key", "GET", "/desk/a", "", []string{"Almondrock-Key", ""}, nil, apierr.MissingKey, 400),
	Entry("key too long", "GET", "/desk/a", "", []string{"Almondrock-Key", strings.Repeat("k", 1025)}, nil, apierr.BadRequest, 400),
	Entry("no service in the path", "GET", "/", "", nil, nil, apierr.UnknownService, 404),
	Entry("unknown service", "GET", "/other/a", "", nil, nil, apierr.UnknownService, 404),
	Entry("dot segments", "GET", "/desk/x/%2e%2e/orders", "", nil, nil, apierr.BadRequest, 400),
	Entry("header block too large", "GET", "/desk/a", "", []string{"X-Large", strings.Repeat("x", 33<<10)}, nil, apierr.HeaderTooLarge, 431),
	Entry("body too large", "POST", "/desk/a", strings.Repeat("x", 2<<20), []string{"Expect", "100-continue"}, nil, apierr.BodyTooLarge, 413),
	Entry("malformed deadline", "GET", "/desk/a", "", []string{"Almondrock-Deadline-Ms", "-1"}, nil, apierr.BadRequest, 400),
	Entry("no time left", "GET", "/desk/a", "", []string{"Almondrock-Deadline-Ms", "0"}, nil, apierr.DeadlineExceeded, 504),
	Entry("upgrade", "GET", "/desk/a", "", []string{"Connection", "Upgrade", "Upgrade", "websocket"}, nil, apierr.BadRequest, 400),
	Entry("trace", "TRACE", "/desk/a", "", nil, nil, apierr.BadRequest, 400),
	Entry("outside the home regions", "GET", "/desk/a", "", nil,
		func(w *world) { w.resolution.HomeRegions = []string{"busan"} }, apierr.WrongRegion, 421),
	Entry("no delegation", "GET", "/desk/a", "", []string{"Almondrock-Deadline-Ms", "30"},
		func(w *world) { w.dataCentre = "" }, apierr.NoOwner, 503),
	Entry("no owner", "POST", "/desk/a", "b", []string{"Almondrock-Deadline-Ms", "30"},
		func(w *world) { w.assignment.Target = "" }, apierr.NoOwner, 503),
	Entry("moving until the deadline", "POST", "/desk/a", "b", []string{"Almondrock-Deadline-Ms", "30"},
		func(w *world) { w.setMoving() }, apierr.Moving, 503),
	Entry("target attached to a lost host", "POST", "/desk/a", "b", []string{"Almondrock-Deadline-Ms", "30"},
		func(w *world) { w.assignment.Host = "gone" }, apierr.OwnerUnreachable, 503),
	Entry("delegated outside the home regions", "GET", "/desk/a", "", []string{"Almondrock-Deadline-Ms", "30"},
		func(w *world) { w.dataCentre, w.resolution.HomeRegions = "busan-haeundae", []string{"seoul"} }, apierr.NoOwner, 503),
)

var _ = Describe("I5: home regions", func() {
	It("refuses before it reads the body, and names the home regions", func() {
		w, h, _ := oneHost()
		w.resolution.HomeRegions = []string{"busan", "jeju"}
		conn, err := net.Dial("tcp", h.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		// The body never comes, so an answer shows that nobody waits for it.
		_, err = fmt.Fprintf(conn, "POST /desk/a HTTP/1.1\r\nHost: h\r\nAlmondrock-Key: k\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(421))
		Expect(string(data)).To(ContainSubstring("busan, jeju"))
	})

	It("is checked by every host that a request comes to", func() {
		w, _, attached, server := twoHosts(standin.Options{})
		w.resolution.HomeRegions = []string{"busan"}
		reply := ask("GET", attached.data, "/desk/a", "", "Almondrock-Hops", "1")
		Expect(reply.refusal().Code).To(Equal(apierr.WrongRegion))
		Expect(server.Counts().Requests).To(BeZero())
	})
})

// rawTarget serves handler as a target without capabilities, for answers that the stand-in never gives.
func (w *world) rawTarget(handler http.HandlerFunc) {
	server, address := listen(handler)
	cleanup(func() { _ = server.Close() })
	w.targets["raw"] = &schemav1.TargetRecord{Attachment: 1, Announcement: &schemav1.Announcement{
		Target: "raw", Service: desk, Address: address, BootId: "b", Slots: 2, MaxConnections: 10,
		Capabilities: &schemav1.TargetCapabilities{},
	}}
}

func rawHost(handler http.HandlerFunc) *host {
	w := newWorld()
	w.rawTarget(func(writer http.ResponseWriter, r *http.Request) {
		writer.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		handler(writer, r)
	})
	ingress := w.addHost("h0", "seoul-gangnam")
	w.addHost("h1", "seoul-gangnam")
	w.own("raw", "h1", 1)
	return ingress
}

var _ = Describe("what passes both ways", func() {
	It("leaves out hop-by-hop fields and forged internal fields (RFC 9110 section 7.6.1)", func() {
		seen := make(chan http.Header, 1)
		h := rawHost(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header
			w.Header().Set("Connection", "X-Secret")
			w.Header().Set("X-Secret", "1")
			w.Header().Set("X-Kept", "1")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("Almondrock-Refusal", "moving")
		})
		reply := ask("GET", h.address, "/desk/a", "", "Connection", "X-Drop, Keep-Alive", "X-Drop", "1", "X-Pass", "1",
			"Keep-Alive", "timeout=5", "Proxy-Connection", "keep-alive", "Almondrock-Fence", "9.9.9", "Almondrock-Hops", "7",
			"Almondrock-Target", "t9")
		Expect(reply.status).To(Equal(200))
		header := <-seen
		for _, name := range []string{"X-Drop", "Keep-Alive", "Proxy-Connection", "Almondrock-Hops", "Almondrock-Target", "Almondrock-From"} {
			Expect(header).NotTo(HaveKey(name))
		}
		Expect(header.Get("X-Pass")).To(Equal("1"))
		Expect(header.Get("Almondrock-Fence")).To(Equal("1.1.1"))
		Expect(header.Get("Via")).To(Equal("1.1 almondrock"))
		for _, name := range []string{"X-Secret", "Keep-Alive", "Almondrock-Refusal"} {
			Expect(reply.header).NotTo(HaveKey(name))
		}
		Expect(reply.header.Get("X-Kept")).To(Equal("1"))
		Expect(reply.header.Get("Almondrock-Target")).To(Equal("raw"))
	})

	It("passes trailers of requests and answers", func() {
		h := rawHost(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.Copy(w, r.Body)
			w.Header().Set("X-Sum", r.Trailer.Get("X-Check"))
		})
		request, err := http.NewRequest("POST", "http://"+h.address+"/desk/a", io.NopCloser(strings.NewReader("body")))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Almondrock-Key", key)
		request.Trailer = http.Header{"X-Check": {"42"}}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("body"))
		Expect(response.Trailer.Get("X-Sum")).To(Equal("42"))
	})

	DescribeTable("keeps answers without a body as they are", func(method string, status int, length string) {
		h := rawHost(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", length)
			w.WriteHeader(status)
		})
		reply := ask(method, h.address, "/desk/a", "")
		Expect(reply.err).NotTo(HaveOccurred())
		Expect(reply.status).To(Equal(status))
		Expect(reply.header.Get("Content-Length")).To(Equal(length))
	},
		Entry("HEAD", "HEAD", 200, "1234"),
		Entry("not modified", "GET", 304, ""),
		Entry("no content", "DELETE", 204, ""),
	)

	It("keeps a valid request id and replaces any other", func() {
		_, h, server := oneHost()
		const id = "0b0a7c4e-5a0e-4a7e-9d55-0e0d8f1c2b3a"
		Expect(ask("GET", h.address, "/desk/a", "", "Almondrock-Request-Id", id).header.Get("Almondrock-Request-Id")).To(Equal(id))
		Expect(ask("GET", h.address, "/desk/a", "", "Almondrock-Request-Id", "x y").header.Get("Almondrock-Request-Id")).NotTo(Equal("x y"))
		Expect(server.Executions()[0].RequestID).To(Equal(id))
	})

	It("gives each hop less time than is left", func() {
		seen := make(chan string, 1)
		h := rawHost(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Almondrock-Deadline-Ms") })
		ask("GET", h.address, "/desk/a", "", "Almondrock-Deadline-Ms", "4000")
		var left int
		_, err := fmt.Sscan(<-seen, &left)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 3998)))
	})

	It("frames a request anew when both Content-Length and Transfer-Encoding are given", func() {
		bodies := make(chan string, 2)
		h := rawHost(func(_ http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			bodies <- string(data) + "|" + r.Header.Get("Content-Length")
		})
		conn, err := net.Dial("tcp", h.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = fmt.Fprintf(conn, "POST /desk/a HTTP/1.1\r\nHost: h\r\nAlmondrock-Key: k\r\nContent-Length: 3\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(<-bodies).To(Equal("hello|"))
	})

	It("tells the target when the caller leaves", func() {
		arrived, left := make(chan struct{}), make(chan struct{})
		h := rawHost(func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			close(left)
		})
		conn, err := net.Dial("tcp", h.address)
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "GET /desk/a HTTP/1.1\r\nHost: h\r\nAlmondrock-Key: k\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		<-arrived
		Expect(conn.Close()).To(Succeed())
		Eventually(left, 4*time.Second).Should(BeClosed())
	})

	It("streams both ways without keeping the whole body", func() {
		const size = 8 << 20
		h := rawHost(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		h.world.resolution.MaxBodyBytes = 2 * size
		body := strings.Repeat("0123456789abcdef", size/16)
		reply := ask("POST", h.address, "/desk/a", body)
		Expect(reply.err).NotTo(HaveOccurred())
		Expect(string(reply.body) == body).To(BeTrue())
	})

	It("refuses to forward a request for ever", func() {
		w, h0, h1, _ := twoHosts(standin.Options{})
		// Each host believes that another one has the target.
		w.hosts["h0"], w.hosts["h1"] = h0, h1
		w.assignment.Host = "h2"
		w.hosts["h2"] = &host{data: h0.data}
		refusal := ask("GET", h1.address, "/desk/a", "").refusal()
		Expect(refusal.Code).To(Equal(apierr.LoopDetected))
		// The first host and three that it was forwarded to.
		Expect(w.looks).To(Equal(4))
	})
})

// failingBody gives some bytes and then fails, as a connection does whose caller is slow or gone.
type failingBody struct {
	data io.Reader
	err  error
}

func (f *failingBody) Read(data []byte) (int, error) {
	if n, err := f.data.Read(data); err == nil {
		return n, nil
	}
	return 0, f.err
}

// A target must not run a request whose body is incomplete, and the caller must learn what was wrong with it.
var _ = DescribeTable("I7: bodies that break off",
	func(size int, failure error, code apierr.Code, status int) {
		w, h, server := oneHost()
		w.resolution.MaxBodyBytes = 1000
		request := httptest.NewRequest("POST", "/desk/book", &failingBody{strings.NewReader(strings.Repeat("b", size)), failure})
		request.Header.Set("Almondrock-Key", key)
		recorder := httptest.NewRecorder()
		proxy.NewIngressHandler(h.options).ServeHTTP(recorder, request)
		Expect(recorder.Code).To(Equal(status))
		Expect((&reply{body: recorder.Body.Bytes()}).refusal().Code).To(Equal(code))
		Expect(server.Executions()).To(BeEmpty())
	},
	Entry("no byte for 30 s", 10, os.ErrDeadlineExceeded, apierr.DeadlineExceeded, 504),
	Entry("connection lost", 10, io.ErrUnexpectedEOF, apierr.BadRequest, 400),
	Entry("over the limit without a stated length", 1001, io.EOF, apierr.BodyTooLarge, 413),
)
