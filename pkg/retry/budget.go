package retry

import (
	"sync"
	"time"
)

// The budget of extra attempts: a tenth of the requests over a sliding window, and a minimum that lets a service with
// little traffic retry at all.
const (
	budgetWindow  = 10 * time.Second
	budgetDivisor = 10
	budgetMinimum = 10
	// budgetBuckets divide the window; the budget slides in steps of a bucket.
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

// bucket counts one part of the window. number counts parts since the start of the clock.
type bucket struct {
	number   int64
	requests int
	spent    int
}

// NewBudget returns a budget on a monotonic clock.
func NewBudget(clock func() time.Duration) *Budget {
	return &Budget{clock: clock}
}

// CountRequest counts a first attempt.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
	b.requests++
}

// Left is the number of extra attempts that the budget still allows in the present window; 0 when it is used up.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	return b.left()
}

// Spend takes one extra attempt out of the budget. It reports false when nothing is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.current()
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

// current returns the bucket of this moment, after the buckets that left the window have been emptied.
func (b *Budget) current() *bucket {
	number := int64(b.clock() / bucketLength)
	for i := range b.buckets {
		old := &b.buckets[i]
		if number-old.number >= budgetBuckets && (old.requests > 0 || old.spent > 0) {
			b.requests -= old.requests
			b.spent -= old.spent
			*old = bucket{number: old.number}
		}
	}
	bucket := &b.buckets[number%budgetBuckets]
	bucket.number = number
	return bucket
}
