package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Bounds of the ledger.
const (
	// finishTimeout bounds one commit of an outcome; it does not depend on the caller or the deadline.
	finishTimeout = 2 * time.Second
	finishPause   = time.Second
	// maxUncertain bounds the remembered records whose creation is uncertain. Forgetting one is safe: its repeats get
	// in-progress until the record expires.
	maxUncertain = 4096
)

// errRecordBusy is a record that this host is working on.
var errRecordBusy = merry.Sentinel("this host works on the record")

// RecordTracker commits idempotency records and remembers what this host has begun. Both handlers of a host share one. It is
// safe for concurrent use.
type RecordTracker struct {
	records RecordStore

	mu sync.Mutex
	// running holds the ids from before begin until the outcome is committed.
	running map[string]bool
	// uncertain maps ids whose begin failed without a clear answer, and whose request was therefore not sent, to the
	// time in the record.
	uncertain map[string]int64
}

// NewRecordTracker returns a ledger over records.
func NewRecordTracker(records RecordStore) *RecordTracker {
	return &RecordTracker{records: records, running: map[string]bool{}, uncertain: map[string]int64{}}
}

// begin commits that the request begins. It reports false and the record in force when it may not run. Each begin that
// reports true needs a finish. It fails with errRecordBusy while this host works on the record, and with an apierr
// refusal.
func (l *RecordTracker) begin(ctx context.Context, record *schemav1.IdempotencyRecord) (*schemav1.IdempotencyRecord, bool, error) {
	id := string(record.GetId())
	l.mu.Lock()
	if l.running[id] {
		l.mu.Unlock()
		return nil, false, merry.Wrap(errRecordBusy)
	}
	l.running[id] = true
	if begunAt, ok := l.uncertain[id]; ok {
		// Whichever of the tries creates the record, it is known by the same time.
		record.BegunUnixMs = begunAt
	}
	l.mu.Unlock()
	inForce, begun, err := l.records.Begin(ctx, record)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		delete(l.running, id)
		return nil, false, l.beginFailed(id, record, err)
	}
	begun = begun || l.isOwnUncertain(id, record, inForce)
	delete(l.uncertain, id)
	if !begun {
		delete(l.running, id)
	}
	return inForce, begun, nil
}

// beginFailed needs the lock.
func (l *RecordTracker) beginFailed(id string, record *schemav1.IdempotencyRecord, err error) error {
	var refusal *apierr.Refusal
	if errors.As(err, &refusal) && refusal.Code == apierr.RecordStoreFull {
		return err
	}
	if len(l.uncertain) < maxUncertain {
		l.uncertain[id] = record.GetBegunUnixMs()
	}
	return noOwner(apierr.OwnerUnreachable, "the idempotency record cannot be committed")
}

// isOwnUncertain reports whether the record in force is one that this host created without hearing of it. Its request
// was never sent, so it may run now. The record must carry the time of that try: a host with a disk keeps its identity
// over restarts, and what an earlier process began may have run. It needs the lock.
func (l *RecordTracker) isOwnUncertain(id string, asked, inForce *schemav1.IdempotencyRecord) bool {
	begunAt, ok := l.uncertain[id]
	return ok && inForce.GetState() == schemav1.RecordState_RECORD_STATE_BEGUN && inForce.GetHost() == asked.GetHost() &&
		inForce.GetHostIdentity() == asked.GetHostIdentity() && inForce.GetBegunUnixMs() == begunAt &&
		string(inForce.GetRequestDigest()) == string(asked.GetRequestDigest())
}

// finish commits the outcome; it goes on when the caller has left. After a failure it goes on in the background, so that
// a lost leader does not leave the record begun for a day.
func (l *RecordTracker) finish(ctx context.Context, id []byte, state schemav1.RecordState, stored *schemav1.StoredAnswer) error {
	err := l.commit(context.WithoutCancel(ctx), id, state, stored)
	if err != nil {
		go l.finishLater(id, state, stored)
	}
	return err
}

func (l *RecordTracker) commit(ctx context.Context, id []byte, state schemav1.RecordState, stored *schemav1.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if err := l.records.Finish(ctx, id, state, stored); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, string(id))
	return nil
}

// finishLater ends after the time that records are kept, when there is nothing left to finish.
func (l *RecordTracker) finishLater(id []byte, state schemav1.RecordState, stored *schemav1.StoredAnswer) {
	const kept = 24 * time.Hour
	for start := time.Now(); time.Since(start) < kept; {
		time.Sleep(finishPause)
		if l.commit(context.Background(), id, state, stored) == nil {
			return
		}
	}
}
