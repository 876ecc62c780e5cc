package ownership_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func begin(id, host string, identity, attempt uint64) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_BeginRecord{BeginRecord: &schemav1.BeginRecord{
		Record: &schemav1.IdempotencyRecord{
			Id: []byte(id), Host: host, HostIdentity: identity, Attempt: attempt, BegunUnixMs: 1000,
		},
	}}}
}

func finish(id string, attempt uint64, state schemav1.RecordState, body int) *schemav1.GroupCommand {
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

var restarted = func() *schemav1.ControlView {
	v := view(2, 2, 4)
	v.Hosts[0].Identity = 77
	return v
}()

// Whoever is told begun runs the request. Over each history at most one attempt that is not known as not run may be
// told so (I8).
var _ = DescribeTable("I8: a request is begun once",
	func(history []*schemav1.GroupCommand, wantBegun bool, want schemav1.RecordState) {
		l := newLog()
		l.apply(setView(view(1, 3, 4)))
		for _, command := range history {
			l.apply(command)
		}
		result := l.apply(begin("id", "h2", 2, 22))
		Expect(result.Begun).To(Equal(wantBegun))
		Expect(result.Record.State).To(Equal(want))
	},
	Entry("in progress", []*schemav1.GroupCommand{begin("id", "h1", 1, 11)}, false, begun),
	Entry("done", []*schemav1.GroupCommand{begin("id", "h1", 1, 11), finish("id", 11, done, 5)}, false, done),
	Entry("not run", []*schemav1.GroupCommand{begin("id", "h1", 1, 11), finish("id", 11, notRun, 0)}, true, begun),
	Entry("own retry after a lost answer", []*schemav1.GroupCommand{begin("id", "h2", 2, 22)}, true, begun),
	Entry("own retry after not run", []*schemav1.GroupCommand{begin("id", "h2", 2, 22), finish("id", 22, notRun, 0)},
		false, notRun),
	Entry("late not-run of an earlier attempt", []*schemav1.GroupCommand{
		begin("id", "h1", 1, 11), finish("id", 11, notRun, 0), begin("id", "h1", 1, 12), finish("id", 11, notRun, 0),
	}, false, begun),
	Entry("not-run after done", []*schemav1.GroupCommand{
		begin("id", "h1", 1, 11), finish("id", 11, done, 5), finish("id", 11, notRun, 0),
	}, false, done),
	Entry("host gone", []*schemav1.GroupCommand{begin("id", "h3", 3, 11), setView(view(2, 2, 4))}, false, unknown),
	Entry("host restarted", []*schemav1.GroupCommand{begin("id", "h1", 1, 11), setView(restarted)}, false, unknown),
	Entry("begun late by a host that is gone", []*schemav1.GroupCommand{begin("id", "h9", 9, 11)}, true, begun),
	Entry("outcome known after all", []*schemav1.GroupCommand{
		begin("id", "h3", 3, 11), setView(view(2, 2, 4)), finish("id", 11, done, 5),
	}, false, done),
	Entry("expired while in progress", []*schemav1.GroupCommand{begin("id", "h1", 1, 11), expire(5000)}, false, begun),
	Entry("expired when done", []*schemav1.GroupCommand{
		begin("id", "h1", 1, 11), finish("id", 11, done, 5), expire(5000),
	}, true, begun),
)

func expire(before int64) *schemav1.GroupCommand {
	return &schemav1.GroupCommand{Command: &schemav1.GroupCommand_ExpireRecords{
		ExpireRecords: &schemav1.ExpireRecords{BeforeUnixMs: before},
	}}
}

var _ = Describe("Idempotency records", func() {
	// Making room would forget a request that may be repeated, and run it twice (I8).
	It("I8: refuses when the store is full and forgets nothing", func() {
		l := newLog()
		count := 0
		for ; ; count++ {
			id := strconv.Itoa(count)
			if l.apply(begin(id, "h1", 1, 1)).StoreFull {
				break
			}
			l.apply(finish(id, 1, done, ownership.MaxAnswerBytes-100))
			Expect(count).To(BeNumerically("<", ownership.MaxRecordStoreBytes/1000))
		}
		Expect(count).To(BeNumerically(">", 1000))
		first := l.apply(begin("0", "h2", 2, 2))
		Expect(first.Record.State).To(Equal(done))
		snapshot, err := l.table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(snapshot)).To(BeNumerically("<", ownership.MaxRecordStoreBytes))
	})

	It("keeps the status of an answer that is too large", func() {
		l := newLog()
		l.apply(begin("id", "h1", 1, 1))
		result := l.apply(finish("id", 1, done, ownership.MaxAnswerBytes+1))
		Expect(result.Record.Answer.BodyDropped).To(BeTrue())
		Expect(result.Record.Answer.Status).To(BeNumerically("==", 201))
	})
})
