package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testHandler responds to each request with its path. Requests for /slow/ wait until they are released or cancelled.
type testHandler struct {
	started   atomic.Int64
	cancelled atomic.Int64
	release   chan struct{}
}

func (h *testHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.started.Add(1)
	if strings.HasPrefix(r.URL.Path, "/slow/") {
		select {
		case <-h.release:
		case <-r.Context().Done():
			h.cancelled.Add(1)
			return
		}
	}
	if strings.HasPrefix(r.URL.Path, "/panic/") {
		panic("unexpected state")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply := r.URL.Path + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	_, _ = io.WriteString(w, reply)
}

// startServer starts a server with short timeouts and returns its address.
func startServer(handler http.Handler, change func(*Options)) (*Server, string) {
	options := Options{
		Handler: handler, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second, WriteTimeout: 2 * time.Second,
	}
	if change != nil {
		change(&options)
	}
	s := New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(listener) }()
	DeferCleanup(s.Close)
	return s, listener.Addr().String()
}

// caller is a raw connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) *caller {
	raw, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { raw.Close() })
	Expect(raw.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return &caller{raw, bufio.NewReader(raw)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// receive reads one response and returns its status, body and whether the connection closes after it.
func (c *caller) receive() (int, string, bool) {
	response, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body), response.Close
}

// expectEnd checks that the connection ends without another byte and without a reset.
func (c *caller) expectEnd() {
	rest, err := io.ReadAll(c.reader)
	Expect(err).NotTo(HaveOccurred())
	Expect(rest).To(BeEmpty())
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

var _ = Describe("Server", func() {
	var h *testHandler
	BeforeEach(func() { h = &testHandler{release: make(chan struct{})} })

	It("handles pipelined requests of safe methods at the same time and responds in their order", func() {
		_, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/slow/1") + get("/2") + get("/3"))
		Eventually(h.started.Load).Should(BeEquivalentTo(3))
		close(h.release)
		for _, path := range []string{"/slow/1", "/2", "/3"} {
			status, body, closes := c.receive()
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal(path))
			Expect(closes).To(BeFalse())
		}
	})

	It("starts a request of another method only after the responses to earlier ones, and later ones after it", func() {
		_, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/slow/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/3"))
		Eventually(h.started.Load).Should(BeEquivalentTo(1))
		Consistently(h.started.Load, "100ms").Should(BeEquivalentTo(1))
		close(h.release)
		for _, reply := range []string{"/slow/1", "/2abc", "/3"} {
			_, body, _ := c.receive()
			Expect(body).To(Equal(reply))
		}
	})

	It("does not handle requests behind a response that closes the connection, and delivers that response", func() {
		_, address := startServer(h, nil)
		c := connect(address)
		c.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + strings.Repeat(get("/later"), 2000))
		_, body, closes := c.receive()
		Expect(body).To(Equal("/1"))
		Expect(closes).To(BeTrue())
		c.expectEnd()
		Expect(h.started.Load()).To(BeEquivalentTo(1))
	})

	It("responds to all requests that it has begun to handle when it drains, and announces the end with the last one", func() {
		s, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/slow/1") + get("/2") + get("/slow/3"))
		Eventually(h.started.Load).Should(BeEquivalentTo(3))
		s.Drain()
		close(h.release)
		for i, path := range []string{"/slow/1", "/2", "/slow/3"} {
			_, body, closes := c.receive()
			Expect(body).To(Equal(path))
			Expect(closes).To(Equal(i == 2))
		}
		c.expectEnd()
	})

	It("serves one more request of an idle connection while it drains (LOST on sbfa-fitting-grown scale-2)", func() {
		s, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/1"))
		_, _, _ = c.receive()
		s.Drain()
		time.Sleep(50 * time.Millisecond)
		c.send(get("/2"))
		_, body, closes := c.receive()
		Expect(body).To(Equal("/2"))
		Expect(closes).To(BeTrue())
		c.expectEnd()
	})

	It("does not read a request that crosses the close of an idle connection, so that the caller is told by a reset", func() {
		s, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/1"))
		_, _, _ = c.receive()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(s.Shutdown(ctx)).To(Succeed())
		// The write succeeds, because the caller has not seen the close yet.
		_, _ = io.WriteString(c, get("/2"))
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(c, get("/3"))
		Expect(err).To(HaveOccurred())
		Expect(h.started.Load()).To(BeEquivalentTo(1))
	})

	It("cancels all requests of a caller that leaves while further requests are waiting (give_up)", func() {
		_, address := startServer(h, func(o *Options) { o.MaxPipelined = 2 })
		c := connect(address)
		c.send(strings.Repeat(get("/slow/1"), 2) + strings.Repeat(get("/later"), 20))
		Eventually(h.started.Load).Should(BeEquivalentTo(2))
		c.Close()
		Eventually(h.cancelled.Load).Should(BeEquivalentTo(2))
		Consistently(h.started.Load, "100ms").Should(BeEquivalentTo(2))
	})

	It("limits the number of requests that one connection has in work", func() {
		_, address := startServer(h, func(o *Options) { o.MaxPipelined = 3 })
		c := connect(address)
		c.send(strings.Repeat(get("/slow/1"), 10))
		Eventually(h.started.Load).Should(BeEquivalentTo(3))
		Consistently(h.started.Load, "100ms").Should(BeEquivalentTo(3))
		close(h.release)
		for range 10 {
			_, body, _ := c.receive()
			Expect(body).To(Equal("/slow/1"))
		}
	})

	It("delivers earlier responses before it rejects a malformed or oversized request behind them", func() {
		_, address := startServer(h, nil)
		for _, rejected := range []struct {
			status int
			text   string
		}{
			{http.StatusBadRequest, "nonsense\r\n\r\n"},
			{http.StatusBadRequest, "GET /2 HTTP/1.1\r\n\r\n"},
			{http.StatusBadRequest, "GET /2 HTTP/1.1\r\nHost: a\r\nA: b\x01\r\n\r\n"},
			{http.StatusBadRequest, "GET /2 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
			{http.StatusHTTPVersionNotSupported, "PRI * HTTP/2.0\r\nHost: a\r\n\r\n"},
			{http.StatusRequestHeaderFieldsTooLarge, get("/" + strings.Repeat("x", 64<<10))},
			{http.StatusBadRequest, "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n"},
		} {
			c := connect(address)
			c.send(get("/1") + rejected.text)
			_, body, _ := c.receive()
			Expect(body).To(Equal("/1"))
			status, _, closes := c.receive()
			Expect(status).To(Equal(rejected.status), rejected.text[:min(len(rejected.text), 40)])
			Expect(closes).To(BeTrue())
			c.expectEnd()
		}
	})

	It("responds to a whole request while a part of the next one has arrived", func() {
		_, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/1") + "GET /2 HT")
		_, body, _ := c.receive()
		Expect(body).To(Equal("/1"))
		c.send("TP/1.1\r\nHost: a\r\n\r\n")
		_, body, _ = c.receive()
		Expect(body).To(Equal("/2"))
	})

	It("responds to earlier requests after a later one has not arrived in time", func() {
		_, address := startServer(h, func(o *Options) { o.ReadHeaderTimeout = 50 * time.Millisecond })
		c := connect(address)
		c.send(get("/slow/1") + "GET /2 HT")
		time.Sleep(150 * time.Millisecond)
		close(h.release)
		_, body, _ := c.receive()
		Expect(body).To(Equal("/slow/1"))
		c.expectEnd()
	})

	It("closes the connection of a caller that does not read", func() {
		large := bytes.Repeat([]byte("x"), 64<<20)
		failed := make(chan error, 1)
		_, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(large)
			failed <- err
		}), func(o *Options) { o.WriteTimeout = 100 * time.Millisecond })
		connect(address).send(get("/"))
		Eventually(failed, "5s").Should(Receive(HaveOccurred()))
	})

	It("keeps serving after a panic of a handler, responds with 500 and closes that connection", func() {
		_, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/1") + get("/panic/"))
		_, _, _ = c.receive()
		status, _, closes := c.receive()
		Expect(status).To(Equal(http.StatusInternalServerError))
		Expect(closes).To(BeTrue())
		other := connect(address)
		other.send(get("/2"))
		_, body, _ := other.receive()
		Expect(body).To(Equal("/2"))
	})

	It("lets an aborted response not look complete, also to a caller of HTTP/1.0", func() {
		for _, length := range []string{"10", ""} {
			_, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, "begin")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}), nil)
			c := connect(address)
			c.send(get("/"))
			response, err := http.ReadResponse(c.reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(response.Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			old := connect(address)
			old.send("GET / HTTP/1.0\r\n\r\n")
			response, err = http.ReadResponse(old.reader, nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			Expect(err).To(HaveOccurred())
		}
	})

	It("resets a response to a caller of HTTP/1.0 that is written while the server closes", func() {
		begun := make(chan struct{})
		server, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "begin")
			w.(http.Flusher).Flush()
			close(begun)
			<-r.Context().Done()
		}), nil)
		c := connect(address)
		c.send("GET / HTTP/1.0\r\n\r\n")
		<-begun
		response, err := http.ReadResponse(c.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Close()).To(Succeed())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against an interim response within or behind the final one, when a body is read while the handler responds, as by a client that sends
	// it on and gets an early response.
	It("sends no interim response once the final one has begun, while another goroutine reads the body", func() {
		_, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var reading sync.WaitGroup
			defer reading.Wait()
			reading.Go(func() { _, _ = r.Body.Read(make([]byte, 10)) })
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
			w.(http.Flusher).Flush()
		}), nil)
		for range 500 {
			c := connect(address)
			c.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
			status, body, closes := c.receive()
			asked := status == http.StatusContinue
			if asked {
				status, body, closes = c.receive()
			}
			c.send("body")
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("ok"))
			Expect(closes).To(Equal(!asked), "a caller that was not asked for the body may send another request in its place")
			if asked {
				c.send(get("/"))
				status, body, _ = c.receive()
				Expect(status).To(Equal(http.StatusOK))
				Expect(body).To(Equal("ok"))
			} else {
				c.expectEnd()
			}
			c.Close()
		}
	})

	It("frames bodies of HEAD requests, empty and chunked responses, and of HTTP/1.0", func() {
		_, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/empty":
			case "/none":
				w.WriteHeader(http.StatusNoContent)
			case "/chunked":
				_, _ = io.WriteString(w, "part one, ")
				_, _ = io.WriteString(w, "part two")
			case "/length":
				w.Header().Set("Content-Length", "4")
				_, _ = io.WriteString(w, "four")
			}
		}), nil)
		c := connect(address)
		c.send(get("/empty") + get("/none") + get("/chunked") + get("/length"))
		for _, reply := range []string{"", "", "part one, part two", "four"} {
			_, body, _ := c.receive()
			Expect(body).To(Equal(reply))
		}
		c.send("HEAD /length HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(c.reader, &http.Request{Method: "HEAD"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.ContentLength).To(BeEquivalentTo(4))
		c.send("GET /chunked HTTP/1.0\r\n\r\n")
		_, body, _ := c.receive()
		Expect(body).To(Equal("part one, part two"))
		c.expectEnd()
	})

	It("asks for the body only when the handler reads it, and discards a short rest that it does not read", func() {
		_, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/read" {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			w.Header().Set("Content-Length", "0")
		}), nil)
		c := connect(address)
		c.send("POST /read HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		status, _, _ := c.receive()
		Expect(status).To(Equal(http.StatusContinue))
		c.send("body")
		status, _, closes := c.receive()
		Expect(status).To(Equal(http.StatusOK))
		Expect(closes).To(BeFalse())
		c.send("POST /skip HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody" + get("/"))
		for range 2 {
			_, _, closes = c.receive()
			Expect(closes).To(BeFalse())
		}
		c.send("POST /skip HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		_, _, closes = c.receive()
		Expect(closes).To(BeTrue())
	})

	It("serves the requests of a client of net/http, also with long bodies on many connections", func() {
		_, address := startServer(h, nil)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
		defer client.CloseIdleConnections()
		body := strings.Repeat("0123456789", 40<<10)
		var wg sync.WaitGroup
		for worker := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range 20 {
					path := fmt.Sprintf("/%d/%d", worker, i)
					response, err := client.Post("http://"+address+path, "text/plain", strings.NewReader(body))
					Expect(err).NotTo(HaveOccurred())
					reply, err := io.ReadAll(response.Body)
					response.Body.Close()
					Expect(err).NotTo(HaveOccurred())
					Expect(string(reply) == path+body).To(BeTrue())
				}
			})
		}
		wg.Wait()
	})

	It("closes idle connections after the idle timeout, and incomplete headers after theirs", func() {
		_, address := startServer(h, func(o *Options) { o.IdleTimeout, o.ReadHeaderTimeout = 100*time.Millisecond, 100*time.Millisecond })
		connect(address).expectEnd()
		c := connect(address)
		c.send(get("/1") + "GET /2")
		_, _, _ = c.receive()
		c.expectEnd()
	})

	It("leaves no request that it has read without a response in hundreds of planned stops under load (roll_term)", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			var handled, answered atomic.Int64
			s, address := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				handled.Add(1)
				time.Sleep(time.Duration(len(r.URL.Path)) * 100 * time.Microsecond)
				w.Header().Set("Content-Length", "2")
				_, _ = io.WriteString(w, "ok")
			}), nil)
			var wg sync.WaitGroup
			for range 6 {
				depth := 1 + random.IntN(3)
				wg.Go(func() {
					raw, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					defer raw.Close()
					reader := bufio.NewReader(raw)
					for {
						// The second half of the last request arrives later than the others.
						text := strings.Repeat(get("/abc"), depth)
						if _, err := io.WriteString(raw, text[:len(text)-8]); err != nil {
							return
						}
						if _, err := io.WriteString(raw, text[len(text)-8:]); err != nil {
							return
						}
						for range depth {
							response, err := http.ReadResponse(reader, nil)
							if err != nil {
								return
							}
							if _, err = io.Copy(io.Discard, response.Body); err != nil {
								return
							}
							answered.Add(1)
							if response.Close {
								return
							}
						}
					}
				})
			}
			time.Sleep(time.Duration(random.IntN(8000)) * time.Microsecond)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			Expect(s.Shutdown(ctx)).To(Succeed())
			cancel()
			wg.Wait()
			Expect(answered.Load()).To(Equal(handled.Load()))
		}
	})

	It("serves a request that arrives at the moment at which its idle connection is closed", func() {
		s, address := startServer(h, nil)
		c := connect(address)
		c.send(get("/1"))
		_, _, _ = c.receive()
		var only *conn
		s.mu.Lock()
		for only = range s.conns {
		}
		s.mu.Unlock()
		// Only a connection that waits for a request is closed as idle.
		Eventually(func() bool {
			only.mu.Lock()
			defer only.mu.Unlock()
			return only.awaitingRequest
		}).Should(BeTrue())
		// The request has been read into the buffer when the decision to close is made.
		only.mu.Lock()
		c.send(get("/2"))
		time.Sleep(50 * time.Millisecond)
		only.closingIdle = true
		only.applyReadDeadline(past)
		s.draining.Store(true)
		only.mu.Unlock()
		_, body, closes := c.receive()
		Expect(body).To(Equal("/2"))
		Expect(closes).To(BeTrue())
		c.expectEnd()
	})

	It("serves connections that wait in the queue of the listener when it shuts down", func() {
		s, address := startServer(h, nil)
		callers := make([]*caller, 50)
		for i := range callers {
			callers[i] = connect(address)
			callers[i].send(get("/1"))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(s.Shutdown(ctx)).To(Succeed())
		for _, c := range callers {
			_, body, _ := c.receive()
			Expect(body).To(Equal("/1"))
		}
	})
})

var _ = Describe("conn", func() {
	// Guards against a read of the same link twice, which ended the process when the response ended in between.
	It("finds the exchange to wait for while the responses before it end", func() {
		c := &conn{server: New(Options{MaxPipelined: 3})}
		first := &exchange{concurrent: true, done: make(chan struct{})}
		close(first.done)
		second := &exchange{concurrent: true, done: make(chan struct{})}
		next := &exchange{concurrent: true}
		second.previous.Store(first)
		third := &exchange{concurrent: true}
		third.previous.Store(second)
		stop := make(chan struct{})
		var responses sync.WaitGroup
		responses.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					third.previous.Store(nil)
					third.previous.Store(second)
				}
			}
		})
		defer responses.Wait()
		defer close(stop)
		for range 500_000 {
			if !c.awaitStart(next, third) {
				Fail("the connection has not ended")
			}
		}
	})

	// Guards against a fault in the handling of one connection that ends the process.
	It("keeps serving after a panic in the handling of a connection", func() {
		h := &testHandler{release: make(chan struct{})}
		s, address := startServer(h, nil)
		broken, other := net.Pipe()
		s.start(panickingConn{broken})
		_, err := other.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		c := connect(address)
		c.send(get("/1"))
		_, body, _ := c.receive()
		Expect(body).To(Equal("/1"))
	})
})

// panickingConn panics when its deadline is set.
type panickingConn struct{ net.Conn }

func (panickingConn) SetReadDeadline(time.Time) error { panic("unexpected state") }
