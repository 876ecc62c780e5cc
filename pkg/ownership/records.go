package ownership

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// MaxRecordStoreBytes bounds the idempotency records of one group. A full store refuses: forgetting a record early could
	// run a request twice.
	MaxRecordStoreBytes = 64 << 20
	// MaxAnswerBytes bounds the stored answer of one record; a larger one is dropped, its status is kept.
	MaxAnswerBytes = 64 << 10
	// recordOverhead is what a record costs besides its encoded size: map entry, headers of slices and messages, and a
	// reserve for the status of the answer.
	recordOverhead = 256
)

// recordStore holds the idempotency records by id.
type recordStore struct {
	byID  map[string]*schemav1.IdempotencyRecord
	bytes int
}

func newRecordStore() *recordStore {
	return &recordStore{byID: map[string]*schemav1.IdempotencyRecord{}}
}

func recordSize(record *schemav1.IdempotencyRecord) int {
	return proto.Size(record) + recordOverhead
}

// begin creates a record unless one is in force for the id. A record of a request that did not run may be begun again
// by another attempt.
func (s *recordStore) begin(record *schemav1.IdempotencyRecord) *schemav1.GroupResult {
	if len(record.GetId()) == 0 {
		return &schemav1.GroupResult{}
	}
	if inForce, ok := s.byID[string(record.Id)]; ok {
		repeated := record.Attempt != 0 && inForce.Attempt == record.Attempt
		if inForce.State != schemav1.RecordState_RECORD_STATE_NOT_RUN || repeated {
			begun := repeated && inForce.State == schemav1.RecordState_RECORD_STATE_BEGUN
			return &schemav1.GroupResult{Applied: begun, Record: inForce, Begun: begun}
		}
	}
	created := proto.CloneOf(record)
	created.State, created.Answer = schemav1.RecordState_RECORD_STATE_BEGUN, nil
	if !s.put(created) {
		return &schemav1.GroupResult{StoreFull: true}
	}
	return &schemav1.GroupResult{Applied: true, Record: created, Begun: true}
}

// finish sets the outcome of an attempt. Only the attempt that began the record can finish it: a late report of an
// earlier attempt must not free a record that is in use. An unknown outcome may still become known.
func (s *recordStore) finish(command *schemav1.FinishRecord) *schemav1.GroupResult {
	inForce, ok := s.byID[string(command.GetId())]
	if !ok {
		return &schemav1.GroupResult{}
	}
	open := inForce.State == schemav1.RecordState_RECORD_STATE_BEGUN ||
		inForce.State == schemav1.RecordState_RECORD_STATE_UNKNOWN
	if !open || inForce.Attempt != command.Attempt || !isOutcome(command.State) {
		return &schemav1.GroupResult{Record: inForce}
	}
	finished := proto.CloneOf(inForce)
	finished.State = command.State
	if command.State == schemav1.RecordState_RECORD_STATE_DONE {
		finished.Answer = command.Answer
		if finished.Answer == nil || proto.Size(finished.Answer) > MaxAnswerBytes || !s.fits(finished) {
			finished.Answer = &schemav1.StoredAnswer{Status: command.Answer.GetStatus(), BodyDropped: true}
		}
	}
	s.replace(finished)
	return &schemav1.GroupResult{Applied: true, Record: finished}
}

func isOutcome(state schemav1.RecordState) bool {
	return state == schemav1.RecordState_RECORD_STATE_DONE || state == schemav1.RecordState_RECORD_STATE_NOT_RUN ||
		state == schemav1.RecordState_RECORD_STATE_UNKNOWN
}

// expire removes finished records that began before the given time. A record in progress stays: its request may still
// run.
func (s *recordStore) expire(beforeUnixMs int64) bool {
	removed := false
	for id, record := range s.byID {
		if record.BegunUnixMs < beforeUnixMs && record.State != schemav1.RecordState_RECORD_STATE_BEGUN {
			s.bytes -= recordSize(record)
			delete(s.byID, id)
			removed = true
		}
	}
	return removed
}

// abandon makes records in progress unknown when the host that began them is gone.
func (s *recordStore) abandon(gone func(host string, identity uint64) bool) {
	for _, record := range s.byID {
		if record.State == schemav1.RecordState_RECORD_STATE_BEGUN && gone(record.Host, record.HostIdentity) {
			unknown := proto.CloneOf(record)
			unknown.State = schemav1.RecordState_RECORD_STATE_UNKNOWN
			s.replace(unknown)
		}
	}
}

// fits tells whether the store has room for record in place of the one with the same id.
func (s *recordStore) fits(record *schemav1.IdempotencyRecord) bool {
	size := s.bytes + recordSize(record)
	if old, ok := s.byID[string(record.Id)]; ok {
		size -= recordSize(old)
	}
	return size <= MaxRecordStoreBytes
}

func (s *recordStore) put(record *schemav1.IdempotencyRecord) bool {
	if !s.fits(record) {
		return false
	}
	s.replace(record)
	return true
}

// replace stores record without a check of the bound; the reserve in recordOverhead covers changes of the state.
func (s *recordStore) replace(record *schemav1.IdempotencyRecord) {
	if old, ok := s.byID[string(record.Id)]; ok {
		s.bytes -= recordSize(old)
	}
	s.byID[string(record.Id)] = record
	s.bytes += recordSize(record)
}

// sorted returns all records in order of their ids.
func (s *recordStore) sorted() []*schemav1.IdempotencyRecord {
	records := make([]*schemav1.IdempotencyRecord, 0, len(s.byID))
	for _, record := range s.byID {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *schemav1.IdempotencyRecord) int {
		return strings.Compare(string(a.Id), string(b.Id))
	})
	return records
}
