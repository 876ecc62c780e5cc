package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/standin"
)

// peer is a host of the same data centre that answers as a test says.
func peer(behave func(call int64, w http.ResponseWriter, r *http.Request)) (*host, *atomic.Int64) {
	calls := &atomic.Int64{}
	w := newWorld()
	h := w.addHost("h0", "seoul-gangnam")
	server, address := listen(http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Almondrock-Request-Id") == "" {
			// A probe of a silent host carries nothing of a caller; every forwarded request has an id.
			<-r.Context().Done()
			return
		}
		writer.Header().Set("Almondrock-Request-Id", r.Header.Get("Almondrock-Request-Id"))
		behave(calls.Add(1), writer, r)
	}))
	cleanup(func() { _ = server.Close() })
	w.hosts["h1"] = &host{name: "h1", data: address}
	w.assignment.Target, w.assignment.Host = "t1", "h1"
	return h, calls
}

func refuse(w http.ResponseWriter, code apierr.Code, ran apierr.RunStatus) {
	w.Header().Set("Almondrock-Refusal", string(code))
	apierr.Write(w, "", apierr.Wrap(&apierr.Refusal{Code: code, Ran: ran, Message: "m"}))
}

func abort(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}

// An answer that is lost between hosts leaves the outcome open. Only what certainly did not run, or may run again, is
// sent again (I7, I8).
var _ = DescribeTable("I7 I8: faults between hosts",
	func(behave func(call int64, w http.ResponseWriter, r *http.Request), method string, status int, code apierr.Code, ran apierr.RunStatus, calls int) {
		h, counted := peer(behave)
		reply := ask(method, h.address, "/desk/a", strings.Repeat("b", 1000))
		Expect(reply.err).NotTo(HaveOccurred())
		Expect(reply.status).To(Equal(status), string(reply.body))
		if code != "" {
			Expect(reply.refusal().Code).To(Equal(code))
			Expect(reply.refusal().Ran).To(Equal(ran))
		}
		Expect(counted.Load()).To(BeEquivalentTo(calls))
	},
	Entry("no answer, non-idempotent", func(_ int64, w http.ResponseWriter, _ *http.Request) { abort(w) },
		"POST", 504, apierr.OutcomeUnknown, apierr.RunUnknown, 1),
	Entry("no answer, idempotent", func(_ int64, w http.ResponseWriter, _ *http.Request) { abort(w) },
		"PUT", 503, apierr.OwnerUnreachable, apierr.RunUnknown, 3),
	Entry("answer of another request", func(_ int64, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Almondrock-Request-Id", "other")
	}, "POST", 504, apierr.OutcomeUnknown, apierr.RunUnknown, 1),
	Entry("not run: sent again with its body", func(call int64, w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		switch {
		case call < 3:
			refuse(w, apierr.Moving, apierr.NotRun)
		case len(data) != 1000:
			w.WriteHeader(http.StatusTeapot)
		}
	}, "POST", 200, apierr.Code(""), apierr.RunStatus(""), 3),
	Entry("may have run: not sent again", func(_ int64, w http.ResponseWriter, _ *http.Request) {
		refuse(w, apierr.OutcomeUnknown, apierr.RunUnknown)
	}, "POST", 504, apierr.OutcomeUnknown, apierr.RunUnknown, 1),
	Entry("overloaded: not sent again", func(_ int64, w http.ResponseWriter, _ *http.Request) {
		refuse(w, apierr.Overloaded, apierr.NotRun)
	}, "GET", 503, apierr.Overloaded, apierr.NotRun, 1),
	Entry("lost first, then refused: may have run", func(call int64, w http.ResponseWriter, _ *http.Request) {
		if call == 1 {
			abort(w)
			return
		}
		refuse(w, apierr.Overloaded, apierr.NotRun)
	}, "PUT", 503, apierr.Overloaded, apierr.RunUnknown, 2),
	Entry("refusal cut off", func(_ int64, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Almondrock-Refusal", "moving")
		w.Header().Set("Content-Length", "500")
		_, _ = w.Write([]byte(`{"code":`))
	}, "POST", 504, apierr.OutcomeUnknown, apierr.RunUnknown, 1),
	Entry("a target's own JSON is no refusal", func(_ int64, w http.ResponseWriter, _ *http.Request) {
		apierr.Write(w, "", apierr.New(apierr.Moving, "m"))
	}, "POST", 503, apierr.Moving, apierr.NotRun, 1),
)

var _ = Describe("a host that is lost without a sign", func() {
	DescribeTable("holds a request only as long as it is not certain that another host has the target",
		func(method string, served bool) {
			arrived := make(chan struct{}, 10)
			h, calls := peer(func(_ int64, _ http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				<-r.Context().Done()
			})
			h.world.resolution.Deadline = 20 * time.Second
			if !served {
				h.world.resolution.Deadline = 400 * time.Millisecond
			}
			server := h.world.addTarget("t1", standin.Options{})
			answered := make(chan *reply, 1)
			go func() { answered <- ask(method, h.address, "/desk/a", "") }()
			<-arrived
			h.world.own("t1", "h0", 6)
			var reply *reply
			Eventually(answered, "10s").Should(Receive(&reply))
			Expect(calls.Load()).To(BeEquivalentTo(1))
			if served {
				Expect(reply.answer().Target).To(Equal("t1"))
				return
			}
			Expect(reply.refusal().Code).To(Equal(apierr.OutcomeUnknown))
			Expect(server.Counts().Requests).To(BeZero())
		},
		Entry("idempotent: sent to the new host", "GET", true),
		Entry("I8: non-idempotent: never sent again", "POST", false),
	)
})

var _ = Describe("between hosts", func() {
	It("I6: a cut answer resets the caller's stream", func() {
		h, _ := peer(func(_ int64, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 50000))
		})
		reply := ask("GET", h.address, "/desk/a", "")
		Expect(reply.err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("offers a large body before it sends it, so that a refusal does not use it up", func() {
		h, calls := peer(func(call int64, w http.ResponseWriter, r *http.Request) {
			if call == 1 {
				refuse(w, apierr.Moving, apierr.NotRun)
				return
			}
			n, _ := io.Copy(io.Discard, r.Body)
			if n != 500_000 {
				w.WriteHeader(http.StatusTeapot)
			}
		})
		Expect(ask("POST", h.address, "/desk/a", strings.Repeat("b", 500_000)).status).To(Equal(200))
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})

	It("refuses what comes without a count of hops", func() {
		_, h, _ := oneHost()
		Expect(ask("GET", h.data, "/desk/a", "").refusal().Code).To(Equal(apierr.BadRequest))
	})
})
