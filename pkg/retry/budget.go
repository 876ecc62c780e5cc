package retry

import (
	"sync"
	"time"
)

// The budget of retries and hedges is a tenth of the requests in a sliding window, but at least a minimum, so that a service
// with little traffic can retry at all.
const (
	budgetWindow  = 10 * time.Second
	budgetDivisor = 10
	budgetMinimum = 10
	// budgetBuckets is the number of buckets of the window, which slides in steps of one bucket.
	budgetBuckets = 20
	bucketLength  = budgetWindow / budgetBuckets
)

// Budget bounds retries and hedges together to a tenth of the requests, so that they can't multiply the load of a
// service that is already failing. It is safe for concurrent use.
type Budget struct {
	clock func() time.Duration

	mu       sync.Mutex
	buckets  [budgetBuckets]bucket
	requests int
	spent    int
}

// bucket holds the counts of one part of the window. sequence is the number of the part since the zero time of the clock.
type bucket struct {
	sequence int64
	requests int
	spent    int
}

// NewBudget returns a budget. clock must be monotonic.
func NewBudget(clock func() time.Duration) *Budget {
	return &Budget{clock: clock}
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket().requests++
	b.requests++
}

// Left returns the number of retries and hedges that the budget still allows in the present window; 0 when it is used up.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket()
	return b.left()
}

// Spend takes one retry or hedge from the budget. It reports false when the budget is used up.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.currentBucket()
	if b.left() == 0 {
		return false
	}
	bucket.spent++
	b.spent++
	return true
}

func (b *Budget) left() int {
	return max(max(b.requests/budgetDivisor, budgetMinimum)-b.spent, 0)
}

// currentBucket returns the bucket of the present time. It first empties the buckets that have left the window.
func (b *Budget) currentBucket() *bucket {
	sequence := int64(b.clock() / bucketLength)
	for i := range b.buckets {
		old := &b.buckets[i]
		if sequence-old.sequence >= budgetBuckets && (old.requests > 0 || old.spent > 0) {
			b.requests -= old.requests
			b.spent -= old.spent
			*old = bucket{sequence: old.sequence}
		}
	}
	bucket := &b.buckets[sequence%budgetBuckets]
	bucket.sequence = sequence
	return bucket
}
