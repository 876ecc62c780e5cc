package ownership

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// MaxRecordStoreBytes limits the total size of the idempotency records of one group. A full store refuses new records,
	// because a request could run twice if its record were removed early.
	MaxRecordStoreBytes = 64 << 20
	// MaxAnswerBytes limits the stored response of one record. Of a larger response only the status is kept.
	MaxAnswerBytes = 64 << 10
	// recordOverhead is the memory of a record in addition to its encoded size: the map entry, the headers of slices and
	// messages, and a reserve for the status of the response.
	recordOverhead = 256
)

// recordStore holds the idempotency records by ID.
type recordStore struct {
	byID  map[string]*schemav1.IdempotencyRecord
	bytes int
	// minute counts the minutes of leaders. Records expire by it and not by the time of day, whose steps would remove records early, so
	// that a repeated request runs again.
	minute uint64
}

func newRecordStore() *recordStore {
	return &recordStore{byID: map[string]*schemav1.IdempotencyRecord{}}
}

func recordSize(record *schemav1.IdempotencyRecord) int {
	return proto.Size(record) + recordOverhead
}

// begin creates a record unless the ID has one already. If the recorded request did not run, another attempt may begin the
// record again. If an attempt repeats its own begin while the record is in progress, it gets the same result again.
func (s *recordStore) begin(record *schemav1.IdempotencyRecord) *schemav1.GroupResult {
	if len(record.GetId()) == 0 {
		return &schemav1.GroupResult{}
	}
	if existing, ok := s.byID[string(record.Id)]; ok {
		repeated := record.Attempt != 0 && existing.Attempt == record.Attempt
		if existing.State != schemav1.RecordState_RECORD_STATE_NOT_RUN || repeated {
			begun := repeated && existing.State == schemav1.RecordState_RECORD_STATE_BEGUN
			return &schemav1.GroupResult{Applied: begun, Record: existing, Begun: begun}
		}
	}
	created := proto.CloneOf(record)
	created.State, created.Answer, created.BegunMinute = schemav1.RecordState_RECORD_STATE_BEGUN, nil, s.minute
	if !s.putIfFits(created) {
		return &schemav1.GroupResult{StoreFull: true}
	}
	return &schemav1.GroupResult{Applied: true, Record: created, Begun: true}
}

// finish sets the outcome of an attempt. Only the attempt that began the record can finish it, because a late report of an
// earlier attempt must not change a record that is in use. An unknown outcome can still be replaced by a known one.
func (s *recordStore) finish(command *schemav1.FinishRecord) *schemav1.GroupResult {
	existing, ok := s.byID[string(command.GetId())]
	if !ok {
		return &schemav1.GroupResult{}
	}
	open := existing.State == schemav1.RecordState_RECORD_STATE_BEGUN ||
		existing.State == schemav1.RecordState_RECORD_STATE_UNKNOWN
	if !open || existing.Attempt != command.Attempt || !isOutcome(command.State) {
		return &schemav1.GroupResult{Record: existing}
	}
	finished := proto.CloneOf(existing)
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

// expire lets minutes pass and removes the records that began more than RecordRetention ago. Records in progress stay, since their
// requests may still run.
func (s *recordStore) expire(minutes uint64) bool {
	s.minute += minutes
	removed := false
	for id, record := range s.byID {
		if record.BegunMinute+retentionMinutes < s.minute && record.State != schemav1.RecordState_RECORD_STATE_BEGUN {
			s.bytes -= recordSize(record)
			delete(s.byID, id)
			removed = true
		}
	}
	return removed
}

// markUnknown sets the outcome of records in progress to unknown if the host process that began them is gone.
func (s *recordStore) markUnknown(gone func(host string, identity uint64) bool) {
	for _, record := range s.byID {
		if record.State == schemav1.RecordState_RECORD_STATE_BEGUN && gone(record.Host, record.HostIdentity) {
			unknown := proto.CloneOf(record)
			unknown.State = schemav1.RecordState_RECORD_STATE_UNKNOWN
			s.replace(unknown)
		}
	}
}

// fits reports whether the store has room for record in place of the one with the same ID.
func (s *recordStore) fits(record *schemav1.IdempotencyRecord) bool {
	size := s.bytes + recordSize(record)
	if old, ok := s.byID[string(record.Id)]; ok {
		size -= recordSize(old)
	}
	return size <= MaxRecordStoreBytes
}

// putIfFits stores record if the store has room for it, and reports whether it did.
func (s *recordStore) putIfFits(record *schemav1.IdempotencyRecord) bool {
	if !s.fits(record) {
		return false
	}
	s.replace(record)
	return true
}

// replace stores record without checking the size limit; recordOverhead includes a reserve for state changes.
func (s *recordStore) replace(record *schemav1.IdempotencyRecord) {
	if old, ok := s.byID[string(record.Id)]; ok {
		s.bytes -= recordSize(old)
	}
	s.byID[string(record.Id)] = record
	s.bytes += recordSize(record)
}

// sorted returns all records, ordered by ID.
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
