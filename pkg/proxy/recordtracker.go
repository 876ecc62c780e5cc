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

// Times and limits of a RecordTracker.
const (
	// finishTimeout bounds one commit of an outcome; it does not depend on the caller or the request's deadline.
	finishTimeout = 2 * time.Second
	// finishPause is the pause between two attempts to commit an outcome in the background.
	finishPause = time.Second
	// maxUncertain bounds the number of records in RecordTracker.uncertain. Leaving one out is safe: repeats of its request
	// are refused with in-progress until the record expires.
	maxUncertain = 4096
)

// errRecordBusy is returned by begin while another request of this host uses the record.
var errRecordBusy = merry.Sentinel("idempotency record in use by another request of this host")

// RecordTracker commits idempotency records to the store and tracks those that this host has begun. Both handlers of a
// host must share one. It is safe for concurrent use.
type RecordTracker struct {
	store RecordStore

	mu sync.Mutex
	// running holds the IDs of records from before begin until the outcome is committed.
	running map[string]bool
	// uncertain holds the IDs of records that may or may not have been created, because begin failed. Their requests were
	// not sent. The values are the records' BegunUnixMs.
	uncertain map[string]int64
}

// NewRecordTracker returns a tracker of the records in store.
func NewRecordTracker(store RecordStore) *RecordTracker {
	return &RecordTracker{store: store, running: map[string]bool{}, uncertain: map[string]int64{}}
}

// begin commits that the request begins. It returns the record in force and whether the request may run; if so, the caller
// must call finish. It fails with errRecordBusy while another request of this host uses the record, and else with an
// apierr refusal.
func (t *RecordTracker) begin(ctx context.Context, record *schemav1.IdempotencyRecord) (*schemav1.IdempotencyRecord, bool, error) {
	id := string(record.GetId())
	t.mu.Lock()
	if t.running[id] {
		t.mu.Unlock()
		return nil, false, merry.Wrap(errRecordBusy)
	}
	t.running[id] = true
	if begunAt, ok := t.uncertain[id]; ok {
		// The record has the same time whichever of the attempts creates it, so that createdUncertain recognises it.
		record.BegunUnixMs = begunAt
	}
	t.mu.Unlock()
	inForce, begun, err := t.store.Begin(ctx, record)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		delete(t.running, id)
		return nil, false, t.beginFailed(id, record, err)
	}
	begun = begun || t.createdUncertain(id, record, inForce)
	delete(t.uncertain, id)
	if !begun {
		delete(t.running, id)
	}
	return inForce, begun, nil
}

// beginFailed notes that the record may have been created and returns the refusal. The caller must hold mu.
func (t *RecordTracker) beginFailed(id string, record *schemav1.IdempotencyRecord, err error) error {
	var refusal *apierr.Refusal
	if errors.As(err, &refusal) && refusal.Code == apierr.RecordStoreFull {
		return err
	}
	if len(t.uncertain) < maxUncertain {
		t.uncertain[id] = record.GetBegunUnixMs()
	}
	return ownerRefusal(apierr.OwnerUnreachable, "the idempotency record cannot be committed")
}

// createdUncertain reports whether the record in force was created by an earlier begin of this process that failed. Its
// request was never sent, so it may run now. The record must have the time of that begin: a host with a disk keeps its
// identity over restarts, and a request that an earlier process began may have run. The caller must hold mu.
func (t *RecordTracker) createdUncertain(id string, requested, inForce *schemav1.IdempotencyRecord) bool {
	begunAt, ok := t.uncertain[id]
	return ok && inForce.GetState() == schemav1.RecordState_RECORD_STATE_BEGUN && inForce.GetHost() == requested.GetHost() &&
		inForce.GetHostIdentity() == requested.GetHostIdentity() && inForce.GetBegunUnixMs() == begunAt &&
		string(inForce.GetRequestDigest()) == string(requested.GetRequestDigest())
}

// finish commits the outcome, even when the caller has disconnected. After a failure it is retried in the background, so
// that the loss of the group's leader does not leave the record in the state begun for a day.
func (t *RecordTracker) finish(ctx context.Context, id []byte, state schemav1.RecordState, stored *schemav1.StoredAnswer) error {
	err := t.commit(context.WithoutCancel(ctx), id, state, stored)
	if err != nil {
		go t.retryFinish(id, state, stored)
	}
	return err
}

func (t *RecordTracker) commit(ctx context.Context, id []byte, state schemav1.RecordState, stored *schemav1.StoredAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if err := t.store.Finish(ctx, id, state, stored); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, string(id))
	return nil
}

// retryFinish repeats the commit until it succeeds, or until the record has expired and there is nothing left to commit.
func (t *RecordTracker) retryFinish(id []byte, state schemav1.RecordState, stored *schemav1.StoredAnswer) {
	const recordRetention = 24 * time.Hour
	for start := time.Now(); time.Since(start) < recordRetention; {
		time.Sleep(finishPause)
		if t.commit(context.Background(), id, state, stored) == nil {
			return
		}
	}
}
