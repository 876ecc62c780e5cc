package link

import (
	"slices"
	"time"
)

// Sizes.
const (
	// chunkBytes is what one stream sends at a time. At a twelfth of 30 Mbit/s it takes 26 ms, which bounds how long a
	// higher class waits for a lower one.
	chunkBytes = 8 << 10
	// burstTime is the time whose bytes may be saved up, and minBurst the least such amount.
	burstTime = 100 * time.Millisecond
	minBurst  = 8 * chunkBytes
	// maxWaiting bounds the streams of one class that wait.
	maxWaiting = 256
)

// reserved is the part of the burst that a class leaves to higher classes, so that these needn't wait for tokens. Control
// may take tokens in advance: a late heartbeat costs an election.
var reserved = [classCount]float64{Control: -1, Interactive: 0, Booking: 0.125, File: 0.25}

// waiter waits for its bytes to be allowed.
type waiter struct {
	class Class
	bytes int
	done  chan struct{}
}

// bucket is a token bucket with strict priority between classes and first come, first served within one. It has no
// clock: time is passed in and never goes back. A token is a byte.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Duration
	queues [classCount][]*waiter
}

func (b *bucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	first := b.rate == 0
	b.rate = rate
	b.burst = max(rate*burstTime.Seconds(), minBurst)
	b.tokens = min(b.tokens, b.burst)
	if first {
		b.tokens = b.burst
	}
}

func (b *bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.at).Seconds(), b.burst)
	b.at = now
}

// spend takes tokens without waiting; the bucket may go below zero, but not further than one burst.
func (b *bucket) spend(now time.Duration, bytes float64) {
	b.refill(now)
	b.tokens = max(b.tokens-bytes, -b.burst)
}

// takeNow takes tokens for n bytes when there are enough and no stream of the same or a higher class waits.
func (b *bucket) takeNow(now time.Duration, class Class, n int) bool {
	b.refill(now)
	for i := range int(class) + 1 {
		if len(b.queues[i]) > 0 {
			return false
		}
	}
	return b.take(class, n)
}

func (b *bucket) take(class Class, n int) bool {
	if b.missing(class, n) > 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// missing is the number of tokens that n bytes of class have to wait for.
func (b *bucket) missing(class Class, n int) float64 {
	return reserved[class]*b.burst + float64(n) - b.tokens
}

func (b *bucket) waiting(class Class) int {
	return len(b.queues[class])
}

func (b *bucket) push(w *waiter) {
	b.queues[w.class] = append(b.queues[w.class], w)
}

// remove reports false when w was served before.
func (b *bucket) remove(w *waiter) bool {
	i := slices.Index(b.queues[w.class], w)
	if i < 0 {
		return false
	}
	b.queues[w.class] = slices.Delete(b.queues[w.class], i, i+1)
	return true
}

// first returns the waiter that is served next, or nil.
func (b *bucket) first() *waiter {
	for i := range b.queues {
		if len(b.queues[i]) > 0 {
			return b.queues[i][0]
		}
	}
	return nil
}

// serve lets waiters pass as far as the tokens go.
func (b *bucket) serve(now time.Duration) {
	b.refill(now)
	for w := b.first(); w != nil && b.take(w.class, w.bytes); w = b.first() {
		b.remove(w)
		close(w.done)
	}
}

// nextServe is when the tokens for the next waiter are there.
func (b *bucket) nextServe(now time.Duration) (time.Duration, bool) {
	w := b.first()
	if w == nil || b.rate <= 0 {
		return 0, false
	}
	seconds := max(b.missing(w.class, w.bytes), 0) / b.rate
	// One microsecond more covers the rounding of the division.
	return now + time.Duration(seconds*float64(time.Second)) + time.Microsecond, true
}
