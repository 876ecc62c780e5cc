package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// storeFullRetryAfter is the Retry-After sent when the store is full. Records expire in the order in which they were made.
const storeFullRetryAfter = time.Minute

// recordStore implements proxy.RecordStore with the replicated log of the data centre group.
type recordStore struct {
	host *Host
	// attempts maps the ids of records that this host began and has not finished to their attempt numbers.
	attempts *sync.Map
}

// Begin implements proxy.RecordStore.
func (r recordStore) Begin(ctx context.Context, record *schemav1.IdempotencyRecord) (*schemav1.IdempotencyRecord, bool, error) {
	record.Attempt = rand.Uint64() //nolint:gosec // it only has to differ between attempts
	command := &schemav1.GroupCommand{Command: &schemav1.GroupCommand_BeginRecord{BeginRecord: &schemav1.BeginRecord{Record: record}}}
	result, err := r.host.proposeToLeader(ctx, command)
	if errors.Is(err, ErrNoLeader) || errors.Is(err, ErrNoGroup) {
		return nil, false, retryLater("the data centre group has no leader")
	}
	if err != nil {
		return nil, false, err
	}
	if result.GetStoreFull() {
		return nil, false, apierr.Wrap(&apierr.Refusal{
			Code: apierr.RecordStoreFull, Ran: apierr.NotRun, RetryAfter: storeFullRetryAfter,
			Message: "the store of idempotency records is full",
		})
	}
	if result.GetRecord() == nil {
		// The group does not know this process as a host, either not yet or no longer. It has stored no record.
		return nil, false, retryLater("this host is not a member of its data centre")
	}
	if result.GetBegun() {
		r.attempts.Store(string(record.GetId()), record.GetAttempt())
	}
	return result.GetRecord(), result.GetBegun(), nil
}

// Finish implements proxy.RecordStore.
func (r recordStore) Finish(ctx context.Context, id []byte, state schemav1.RecordState, response *schemav1.StoredAnswer) error {
	attempt, ok := r.attempts.Load(string(id))
	if !ok {
		return merry.Wrap(ErrRecordNotBegun)
	}
	_, err := r.host.proposeToLeader(ctx, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishRecord{
		FinishRecord: &schemav1.FinishRecord{Id: id, State: state, Answer: response, Attempt: attempt.(uint64)},
	}})
	if err == nil {
		// The attempt number is kept until then, because the caller repeats a failed call.
		r.attempts.Delete(string(id))
	}
	return err
}

// asError is errors.As with the type of target inferred.
func asError[T error](err error, target *T) bool { return errors.As(err, target) }
