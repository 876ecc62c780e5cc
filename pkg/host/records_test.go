package host

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("records without a group", func() {
	// A begin that was certainly not proposed must say not-run, or the caller could never retry the request (I7).
	It("I7: refuses to begin a record, as not-run", func() {
		store := recordStore{host: &Host{}, attempts: &sync.Map{}}
		_, begun, err := store.Begin(context.Background(), &schemav1.IdempotencyRecord{Id: []byte("id")})
		Expect(begun).To(BeFalse())
		Expect(apierr.From(err).Ran).To(Equal(apierr.NotRun))
		Expect(apierr.From(err).RetryAfter).NotTo(BeZero())
	})

	// If the attempt number were deleted before the finish is committed, a repeated finish would fail and the record would
	// stay in progress for good (I8).
	It("I8: keeps the attempt number of a record until its finish is committed", func() {
		store := recordStore{host: &Host{}, attempts: &sync.Map{}}
		store.attempts.Store("id", uint64(7))
		for range 2 {
			err := store.Finish(context.Background(), []byte("id"), schemav1.RecordState_RECORD_STATE_DONE, nil)
			Expect(err).To(MatchError(ErrNoGroup))
		}
	})
})
