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

// storeFullRetry is when a full record store may have room again: records expire in the order they were made.
const storeFullRetry = time.Minute

// records implements proxy.Records over the log of the data centre group.
type records struct {
	host *Host
	// attempts holds the attempt numbers of records that this host began and has not finished.
	attempts *sync.Map
}

// Begin implements proxy.Records.
func (r records) Begin(ctx context.Context, record *schemav1.IdempotencyRecord) (*schemav1.IdempotencyRecord, bool, error) {
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
			Code: apierr.RecordStoreFull, Ran: apierr.NotRun, RetryAfter: storeFullRetry,
			Message: "the store of idempotency records is full",
		})
	}
	if result.GetRecord() == nil {
		// The group knows this process no longer, or not yet, as a host; it took no record.
		return nil, false, retryLater("this host is not a member of its data centre")
	}
	if result.GetBegun() {
		r.attempts.Store(string(record.GetId()), record.GetAttempt())
	}
	return result.GetRecord(), result.GetBegun(), nil
}

// Finish implements proxy.Records.
func (r records) Finish(ctx context.Context, id []byte, state schemav1.RecordState, answer *schemav1.StoredAnswer) error {
	attempt, ok := r.attempts.Load(string(id))
	if !ok {
		return merry.Wrap(ErrRecordNotBegun)
	}
	_, err := r.host.proposeToLeader(ctx, &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishRecord{
		FinishRecord: &schemav1.FinishRecord{Id: id, State: state, Answer: answer, Attempt: attempt.(uint64)},
	}})
	if err == nil {
		// Kept until then, since a failed call is repeated.
		r.attempts.Delete(string(id))
	}
	return err
}

// asError is errors.As with the type inferred.
func asError[T error](err error, target *T) bool { return errors.As(err, target) }
