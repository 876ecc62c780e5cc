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
	// A begin that was certainly not proposed must say so, or the caller could never send the request again (I7).
	It("I7: refuses to begin, not run", func() {
		store := records{host: &Host{}, attempts: &sync.Map{}}
		_, begun, err := store.Begin(context.Background(), &schemav1.IdempotencyRecord{Id: []byte("id")})
		Expect(begun).To(BeFalse())
		Expect(apierr.From(err).Ran).To(Equal(apierr.NotRun))
		Expect(apierr.From(err).RetryAfter).NotTo(BeZero())
	})

	// The attempt number was forgotten with the first try, so that a repeated finish failed and the record stayed in
	// progress for good (I8).
	It("I8: keeps the attempt of a record until its finish is committed", func() {
		store := records{host: &Host{}, attempts: &sync.Map{}}
		store.attempts.Store("id", uint64(7))
		for range 2 {
			err := store.Finish(context.Background(), []byte("id"), schemav1.RecordState_RECORD_STATE_DONE, nil)
			Expect(err).To(MatchError(ErrNoGroup))
		}
	})
})
