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

// fakeStore is an idempotency store in memory, with faults that the tests set.
type fakeStore struct {
	mu                  sync.Mutex
	records             map[string]*schemav1.IdempotencyRecord
	beginErr, finishErr error
	loseBeginResponse   bool
	onFinish            func()
	begins              int
	lastRequested       *schemav1.IdempotencyRecord
	lastState           schemav1.RecordState
}

func (s *fakeStore) Begin(_ context.Context, record *schemav1.IdempotencyRecord) (*schemav1.IdempotencyRecord, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begins++
	s.lastRequested = record
	if s.beginErr != nil {
		return nil, false, s.beginErr
	}
	inForce, ok := s.records[string(record.GetId())]
	begun := !ok || inForce.GetState() == schemav1.RecordState_RECORD_STATE_NOT_RUN
	if begun {
		s.records[string(record.GetId())] = record
		inForce = record
	}
	if s.loseBeginResponse {
		return nil, false, errors.New("response lost")
	}
	return inForce, begun, nil
}

func (s *fakeStore) Finish(_ context.Context, id []byte, state schemav1.RecordState, response *schemav1.StoredAnswer) error {
	if s.onFinish != nil {
		s.onFinish()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishErr != nil {
		return s.finishErr
	}
	s.records[string(id)].State, s.records[string(id)].Answer = state, response
	s.lastState = state
	return nil
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) state() schemav1.RecordState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastState
}

func oneHostWithStore() (*deployment, *host, *standin.Server, *fakeStore) {
	d := newDeployment()
	server := d.addTarget("t1", standin.Options{})
	s := &fakeStore{records: map[string]*schemav1.IdempotencyRecord{}}
	h := d.addHost("h1", "seoul-gangnam", func(o *proxy.Options) { o.RecordStore, o.RecordTracker = s, proxy.NewRecordTracker(s) })
	d.setOwner("t1", "h1", 5)
	return d, h, server, s
}

func postBooking(h *host, body string) *reply {
	return sendRequest("POST", h.ingressAddress, "/desk/book", body, "Idempotency-Key", "order-1")
}

// Guards against running a request twice when a caller that lost the response repeats it, whatever happened to the first
// request (I8).
var _ = DescribeTable("I8: a repeated request with the same Idempotency-Key is not run twice",
	func(first func(d *deployment, server *standin.Server, s *fakeStore), firstStatus int,
		second func(d *deployment, server *standin.Server, s *fakeStore), body string, status int, code apierr.Code, runs int,
	) {
		d, h, server, s := oneHostWithStore()
		first(d, server, s)
		Expect(postBooking(h, "body").status).To(Equal(firstStatus))
		server.SetFaults(func(f *standin.Faults) { *f = standin.Faults{} })
		s.update(func() { s.beginErr, s.loseBeginResponse = nil, false })
		second(d, server, s)
		again := postBooking(h, body)
		Expect(again.status).To(Equal(status), string(again.body))
		if code != "" {
			Expect(again.refusal().Code).To(Equal(code))
		} else {
			Expect(again.standInBody().Executions).To(Equal(1))
		}
		Expect(server.Executions()).To(HaveLen(runs))
	},
	Entry("begin failed, and an earlier process of this host had begun it", func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.beginErr = errors.New("no leader")
	}, 503, func(_ *deployment, _ *standin.Server, s *fakeStore) {
		earlier := proto.Clone(s.lastRequested).(*schemav1.IdempotencyRecord)
		earlier.BegunUnixMs--
		s.records[string(earlier.GetId())] = earlier
	}, "body", 409, apierr.InProgress, 0),
	Entry("answered: gets the stored response", noFault, 200, noFault, "body", 200, apierr.Code(""), 1),
	Entry("another body", noFault, 200, noFault, "other", 422, apierr.IdempotencyMismatch, 1),
	Entry("shed by the target: runs now", func(_ *deployment, server *standin.Server, _ *fakeStore) {
		server.SetFaults(func(f *standin.Faults) { f.Refuse = true })
	}, 503, noFault, "body", 200, apierr.Code(""), 1),
	Entry("response lost: the outcome stays unknown", func(_ *deployment, server *standin.Server, _ *fakeStore) {
		server.SetFaults(func(f *standin.Faults) { f.DropResponse = true })
	}, 504, noFault, "body", 504, apierr.OutcomeUnknown, 1),
	Entry("response cut off: the outcome stays unknown", func(_ *deployment, server *standin.Server, _ *fakeStore) {
		server.SetFaults(func(f *standin.Faults) { f.TruncateAfter = 10 })
	}, 502, noFault, "body", 504, apierr.OutcomeUnknown, 1),
	Entry("outcome not committed: still in progress", func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.finishErr = errors.New("no leader")
	}, 504, noFault, "body", 409, apierr.InProgress, 1),
	Entry("begun, but the response to the commit was lost: runs now", func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.loseBeginResponse = true
	}, 503, noFault, "body", 200, apierr.Code(""), 1),
	Entry("begin failed: runs now", func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.beginErr = errors.New("no leader")
	}, 503, noFault, "body", 200, apierr.Code(""), 1),
	Entry("store full", func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.beginErr = apierr.New(apierr.RecordStoreFull, "full")
	}, 503, noFault, "body", 200, apierr.Code(""), 1),
	Entry("begun by a host that is lost", noFault, 200, func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.updateRecords(func(r *schemav1.IdempotencyRecord) { r.State = schemav1.RecordState_RECORD_STATE_UNKNOWN })
	}, "body", 504, apierr.OutcomeUnknown, 1),
	Entry("begun by an earlier process of this host", noFault, 200, func(_ *deployment, _ *standin.Server, s *fakeStore) {
		s.updateRecords(func(r *schemav1.IdempotencyRecord) { r.State = schemav1.RecordState_RECORD_STATE_BEGUN })
	}, "body", 409, apierr.InProgress, 1),
)

func noFault(*deployment, *standin.Server, *fakeStore) {}

func (s *fakeStore) updateRecords(change func(r *schemav1.IdempotencyRecord)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range s.records {
		change(record)
	}
}

var _ = Describe("idempotency records", func() {
	It("I8: refuse repeats with in-progress while the first request runs", func() {
		_, h, server, _ := oneHostWithStore()
		server.SetFaults(func(f *standin.Faults) { f.ResponseDelay = 200 * time.Millisecond })
		first := make(chan *reply, 1)
		go func() { first <- postBooking(h, "body") }()
		Eventually(func() int { return len(server.Executions()) }).Should(Equal(1))
		again := postBooking(h, "body")
		Expect(again.refusal().Code).To(Equal(apierr.InProgress))
		Expect(again.header.Get("Retry-After")).To(Equal("1"))
		Expect((<-first).status).To(Equal(200))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("are committed as done before the caller gets a byte of the response", func() {
		_, h, _, s := oneHostWithStore()
		reached, goOn := make(chan struct{}), make(chan struct{})
		s.onFinish = func() {
			close(reached)
			<-goOn
		}
		answered := make(chan *reply, 1)
		go func() { answered <- postBooking(h, "body") }()
		<-reached
		Consistently(answered, "30ms").ShouldNot(Receive())
		close(goOn)
		Expect((<-answered).status).To(Equal(200))
	})

	It("store the response of a request whose caller disconnected", func() {
		_, h, server, s := oneHostWithStore()
		server.SetFaults(func(f *standin.Faults) { f.ResponseDelay = 100 * time.Millisecond })
		conn, err := net.Dial("tcp", h.ingressAddress)
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST /desk/book HTTP/1.1\r\nHost: h\r\nAlmondrock-Key: %s\r\nIdempotency-Key: order-1\r\nContent-Length: 4\r\n\r\nbody", key)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(server.Executions()) }).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(s.state).Should(Equal(schemav1.RecordState_RECORD_STATE_DONE))
		Expect(postBooking(h, "body").standInBody().Executions).To(Equal(1))
	})

	It("show that a response was too large to store", func() {
		_, h, server, _ := oneHostWithStore()
		large := strings.Repeat("x", 100<<10)
		Expect(postBooking(h, large).standInBody().Body).To(Equal(large))
		again := postBooking(h, large).refusal()
		Expect(again.Code).To(Equal(apierr.ResponseNotStored))
		Expect(again.Ran).To(Equal(apierr.DidRun))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("are not needed for idempotent requests", func() {
		_, h, _, s := oneHostWithStore()
		Expect(sendRequest("PUT", h.ingressAddress, "/desk/a", "", "Idempotency-Key", "x").status).To(Equal(200))
		Expect(s.begins).To(BeZero())
	})

	It("are refused by a host without a record store", func() {
		_, h, _ := oneHost()
		Expect(postBooking(h, "body").refusal().Code).To(Equal(apierr.RecordStoreFull))
	})
})
