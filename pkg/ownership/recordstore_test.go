package ownership_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func beginRecord(id, host string, identity, attempt uint64) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_BeginRecord{BeginRecord: &schemav1.BeginRecord{
		Record: &schemav1.IdempotencyRecord{
			Id: []byte(id), Host: host, HostIdentity: identity, Attempt: attempt, BegunUnixMs: 1000,
		},
	}}}
}

func finishRecord(id string, attempt uint64, state schemav1.RecordState, body int) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishRecord{FinishRecord: &schemav1.FinishRecord{
		Id: []byte(id), Attempt: attempt, State: state,
		Answer: &schemav1.StoredAnswer{Status: 201, Body: make([]byte, body)},
	}}}
}

const (
	done    = schemav1.RecordState_RECORD_STATE_DONE
	notRun  = schemav1.RecordState_RECORD_STATE_NOT_RUN
	unknown = schemav1.RecordState_RECORD_STATE_UNKNOWN
	begun   = schemav1.RecordState_RECORD_STATE_BEGUN
)

var viewWithRestartedH1 = func() *schemav1.ControlView {
	v := controlView(2, 2, 4)
	v.Hosts[0].Identity = 77
	return v
}()

// An attempt whose begin succeeds runs the request. For each sequence of commands, a begin must not succeed while another
// attempt may have run the request (I8).
var _ = DescribeTable("I8: a request is begun once",
	func(history []*schemav1.GroupCommand, wantBegun bool, want schemav1.RecordState) {
		rep := newReplica()
		rep.apply(setView(controlView(1, 3, 4)))
		for _, command := range history {
			rep.apply(command)
		}
		result := rep.apply(beginRecord("id", "h2", 2, 22))
		Expect(result.Begun).To(Equal(wantBegun))
		Expect(result.Record.State).To(Equal(want))
	},
	Entry("in progress", []*schemav1.GroupCommand{beginRecord("id", "h1", 1, 11)}, false, begun),
	Entry("done", []*schemav1.GroupCommand{beginRecord("id", "h1", 1, 11), finishRecord("id", 11, done, 5)}, false, done),
	Entry("not run", []*schemav1.GroupCommand{beginRecord("id", "h1", 1, 11), finishRecord("id", 11, notRun, 0)}, true, begun),
	Entry("retry of the same attempt after a lost response", []*schemav1.GroupCommand{beginRecord("id", "h2", 2, 22)}, true, begun),
	Entry("retry of the same attempt after not run", []*schemav1.GroupCommand{
		beginRecord("id", "h2", 2, 22), finishRecord("id", 22, notRun, 0),
	}, false, notRun),
	Entry("late not-run of an earlier attempt", []*schemav1.GroupCommand{
		beginRecord("id", "h1", 1, 11), finishRecord("id", 11, notRun, 0), beginRecord("id", "h1", 1, 12), finishRecord("id", 11, notRun, 0),
	}, false, begun),
	Entry("not-run after done", []*schemav1.GroupCommand{
		beginRecord("id", "h1", 1, 11), finishRecord("id", 11, done, 5), finishRecord("id", 11, notRun, 0),
	}, false, done),
	Entry("host gone", []*schemav1.GroupCommand{beginRecord("id", "h3", 3, 11), setView(controlView(2, 2, 4))}, false, unknown),
	Entry("host restarted", []*schemav1.GroupCommand{beginRecord("id", "h1", 1, 11), setView(viewWithRestartedH1)}, false, unknown),
	Entry("begun late by a host that is gone", []*schemav1.GroupCommand{beginRecord("id", "h9", 9, 11)}, true, begun),
	Entry("outcome reported after it was set to unknown", []*schemav1.GroupCommand{
		beginRecord("id", "h3", 3, 11), setView(controlView(2, 2, 4)), finishRecord("id", 11, done, 5),
	}, false, done),
	Entry("expired while in progress", []*schemav1.GroupCommand{beginRecord("id", "h1", 1, 11), expireRecords(24*60 + 1)}, false, begun),
	Entry("expired when done", []*schemav1.GroupCommand{
		beginRecord("id", "h1", 1, 11), finishRecord("id", 11, done, 5), expireRecords(24*60 + 1),
	}, true, begun),
	Entry("kept for a day when done", []*schemav1.GroupCommand{
		expireRecords(5), beginRecord("id", "h1", 1, 11), finishRecord("id", 11, done, 5), expireRecords(24 * 60),
	}, false, done),
)

func expireRecords(minutes uint64) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_ExpireRecords{
		ExpireRecords: &schemav1.ExpireRecords{Minutes: minutes},
	}}
}

var _ = Describe("Idempotency records", func() {
	// If records were removed to make room, a repeated request could run twice (I8).
	It("I8: refuses new records when the store is full and keeps all others", func() {
		rep := newReplica()
		count := 0
		for ; ; count++ {
			id := strconv.Itoa(count)
			if rep.apply(beginRecord(id, "h1", 1, 1)).StoreFull {
				break
			}
			rep.apply(finishRecord(id, 1, done, ownership.MaxAnswerBytes-100))
			Expect(count).To(BeNumerically("<", ownership.MaxRecordStoreBytes/1000))
		}
		Expect(count).To(BeNumerically(">", 1000))
		first := rep.apply(beginRecord("0", "h2", 2, 2))
		Expect(first.Record.State).To(Equal(done))
		snapshot, err := rep.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(snapshot)).To(BeNumerically("<", ownership.MaxRecordStoreBytes))
	})

	It("keeps only the status of a response that is too large", func() {
		rep := newReplica()
		rep.apply(beginRecord("id", "h1", 1, 1))
		result := rep.apply(finishRecord("id", 1, done, ownership.MaxAnswerBytes+1))
		Expect(result.Record.Answer.BodyDropped).To(BeTrue())
		Expect(result.Record.Answer.Status).To(BeNumerically("==", 201))
	})
})

var _ = Describe("Expiry of idempotency records", func() {
	// Guards against steps of the time of day (clock_step) and changes of leader that remove records early, so that a repeated request runs
	// again after its answer was lost (I8).
	It("I8: counts only minutes of the monotonic clock of leaders, and goes on after a snapshot is restored", func() {
		s := newTestLeader(2, 4)
		s.apply(beginRecord("id", "h1", 1, 11))
		s.apply(finishRecord("id", 11, done, 5))
		state := func() schemav1.RecordState { return s.apply(beginRecord("id", "h2", 2, 22)).GetRecord().GetState() }
		for range 3 {
			s.advance(61*time.Second, nil)
			s.startDriver()
		}
		Expect(state()).To(Equal(done))
		snapshot, err := s.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.table.Restore(snapshot)).To(Succeed())
		s.apply(expireRecords(24*60 - 3))
		Expect(state()).To(Equal(done))
		s.advance(61*time.Second, nil)
		Expect(state()).To(Equal(begun))
	})
})
