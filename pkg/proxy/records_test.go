package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/proxy"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

// store is the idempotency store of a group, with faults.
type store struct {
	mu                  sync.Mutex
	records             map[string]*schemav1.IdempotencyRecord
	beginErr, finishErr error
	loseBegin           bool
	onFinish            func()
	begins              int
	asked               *schemav1.IdempotencyRecord
	lastState           schemav1.RecordState
}

func (s *store) Begin(_ context.Context, record *schemav1.IdempotencyRecord) (*schemav1.IdempotencyRecord, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begins++
	s.asked = record
	if s.beginErr != nil {
		return nil, false, s.beginErr
	}
	inForce, ok := s.records[string(record.GetId())]
	begun := !ok || inForce.GetState() == schemav1.RecordState_RECORD_STATE_NOT_RUN
	if begun {
		s.records[string(record.GetId())] = record
		inForce = record
	}
	if s.loseBegin {
		return nil, false, errors.New("answer lost")
	}
	return inForce, begun, nil
}

func (s *store) Finish(_ context.Context, id []byte, state schemav1.RecordState, answer *schemav1.StoredAnswer) error {
	if s.onFinish != nil {
		s.onFinish()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishErr != nil {
		return s.finishErr
	}
	s.records[string(id)].State, s.records[string(id)].Answer = state, answer
	s.lastState = state
	return nil
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) state() schemav1.RecordState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastState
}

func recorded() (*world, *host, *standin.Server, *store) {
	w := newWorld()
	server := w.addTarget("t1", standin.Options{})
	s := &store{records: map[string]*schemav1.IdempotencyRecord{}}
	h := w.addHost("h1", "seoul-gangnam", func(o *proxy.Options) { o.RecordStore, o.RecordTracker = s, proxy.NewRecordTracker(s) })
	w.own("t1", "h1", 5)
	return w, h, server, s
}

func book(h *host, body string) *reply {
	return ask("POST", h.address, "/desk/book", body, "Idempotency-Key", "order-1")
}

// A caller that lost the answer sends its request again. It must not run again, whatever happened to the first (I8).
var _ = DescribeTable("I8: a repeat with the same Idempotency-Key runs nothing twice",
	func(first func(w *world, server *standin.Server, s *store), firstStatus int,
		second func(w *world, server *standin.Server, s *store), body string, status int, code apierr.Code, runs int,
	) {
		w, h, server, s := recorded()
		first(w, server, s)
		Expect(book(h, "body").status).To(Equal(firstStatus))
		server.SetFaults(func(f *standin.Faults) { *f = standin.Faults{} })
		s.set(func() { s.beginErr, s.loseBegin = nil, false })
		second(w, server, s)
		again := book(h, body)
		Expect(again.status).To(Equal(status), string(again.body))
		if code != "" {
			Expect(again.refusal().Code).To(Equal(code))
		} else {
			Expect(again.answer().Executions).To(Equal(1))
		}
		Expect(server.Executions()).To(HaveLen(runs))
	},
	Entry("begin failed, and an earlier process of this host had begun it", func(_ *world, _ *standin.Server, s *store) {
		s.beginErr = errors.New("no leader")
	}, 503, func(_ *world, _ *standin.Server, s *store) {
		earlier := proto.Clone(s.asked).(*schemav1.IdempotencyRecord)
		earlier.BegunUnixMs--
		s.records[string(earlier.GetId())] = earlier
	}, "body", 409, apierr.InProgress, 0),
	Entry("answered: the stored answer", well, 200, well, "body", 200, apierr.Code(""), 1),
	Entry("another body", well, 200, well, "other", 422, apierr.IdempotencyMismatch, 1),
	Entry("shed by the target: runs now", func(_ *world, server *standin.Server, _ *store) {
		server.SetFaults(func(f *standin.Faults) { f.Refuse = true })
	}, 503, well, "body", 200, apierr.Code(""), 1),
	Entry("answer lost: the outcome stays unknown", func(_ *world, server *standin.Server, _ *store) {
		server.SetFaults(func(f *standin.Faults) { f.DropResponse = true })
	}, 504, well, "body", 504, apierr.OutcomeUnknown, 1),
	Entry("answer cut: the outcome stays unknown", func(_ *world, server *standin.Server, _ *store) {
		server.SetFaults(func(f *standin.Faults) { f.TruncateAfter = 10 })
	}, 502, well, "body", 504, apierr.OutcomeUnknown, 1),
	Entry("outcome not committed: still in progress", func(_ *world, _ *standin.Server, s *store) {
		s.finishErr = errors.New("no leader")
	}, 504, well, "body", 409, apierr.InProgress, 1),
	Entry("begun, but the answer of the commit was lost: runs now", func(_ *world, _ *standin.Server, s *store) {
		s.loseBegin = true
	}, 503, well, "body", 200, apierr.Code(""), 1),
	Entry("begin failed: runs now", func(_ *world, _ *standin.Server, s *store) {
		s.beginErr = errors.New("no leader")
	}, 503, well, "body", 200, apierr.Code(""), 1),
	Entry("store full", func(_ *world, _ *standin.Server, s *store) {
		s.beginErr = apierr.New(apierr.RecordStoreFull, "full")
	}, 503, well, "body", 200, apierr.Code(""), 1),
	Entry("begun by a host that is lost", well, 200, func(_ *world, _ *standin.Server, s *store) {
		s.each(func(r *schemav1.IdempotencyRecord) { r.State = schemav1.RecordState_RECORD_STATE_UNKNOWN })
	}, "body", 504, apierr.OutcomeUnknown, 1),
	Entry("begun by an earlier process of this host", well, 200, func(_ *world, _ *standin.Server, s *store) {
		s.each(func(r *schemav1.IdempotencyRecord) { r.State = schemav1.RecordState_RECORD_STATE_BEGUN })
	}, "body", 409, apierr.InProgress, 1),
)

func well(*world, *standin.Server, *store) {}

func (s *store) each(change func(r *schemav1.IdempotencyRecord)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range s.records {
		change(record)
	}
}

var _ = Describe("idempotency records", func() {
	It("I8: answer in-progress while the first request runs", func() {
		_, h, server, _ := recorded()
		server.SetFaults(func(f *standin.Faults) { f.ResponseDelay = 200 * time.Millisecond })
		first := make(chan *reply, 1)
		go func() { first <- book(h, "body") }()
		Eventually(func() int { return len(server.Executions()) }).Should(Equal(1))
		again := book(h, "body")
		Expect(again.refusal().Code).To(Equal(apierr.InProgress))
		Expect(again.header.Get("Retry-After")).To(Equal("1"))
		Expect((<-first).status).To(Equal(200))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("are done before the caller gets a byte of the answer", func() {
		_, h, _, s := recorded()
		reached, goOn := make(chan struct{}), make(chan struct{})
		s.onFinish = func() {
			close(reached)
			<-goOn
		}
		answered := make(chan *reply, 1)
		go func() { answered <- book(h, "body") }()
		<-reached
		Consistently(answered, "30ms").ShouldNot(Receive())
		close(goOn)
		Expect((<-answered).status).To(Equal(200))
	})

	It("keep the answer of a caller that left", func() {
		_, h, server, s := recorded()
		server.SetFaults(func(f *standin.Faults) { f.ResponseDelay = 100 * time.Millisecond })
		conn, err := net.Dial("tcp", h.address)
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST /desk/book HTTP/1.1\r\nHost: h\r\nAlmondrock-Key: %s\r\nIdempotency-Key: order-1\r\nContent-Length: 4\r\n\r\nbody", key)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(server.Executions()) }).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(s.state).Should(Equal(schemav1.RecordState_RECORD_STATE_DONE))
		Expect(book(h, "body").answer().Executions).To(Equal(1))
	})

	It("tell that an answer was too large to keep", func() {
		_, h, server, _ := recorded()
		large := strings.Repeat("x", 100<<10)
		Expect(book(h, large).answer().Body).To(Equal(large))
		again := book(h, large).refusal()
		Expect(again.Code).To(Equal(apierr.ResponseNotStored))
		Expect(again.Ran).To(Equal(apierr.DidRun))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("are not needed for idempotent requests", func() {
		_, h, _, s := recorded()
		Expect(ask("PUT", h.address, "/desk/a", "", "Idempotency-Key", "x").status).To(Equal(200))
		Expect(s.begins).To(BeZero())
	})

	It("refuse when the host keeps none", func() {
		_, h, _ := oneHost()
		Expect(book(h, "body").refusal().Code).To(Equal(apierr.RecordStoreFull))
	})
})
