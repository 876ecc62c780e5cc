package link

import (
	"slices"
	"time"
)

const (
	// chunkBytes is how much a stream sends at a time. At a twelfth of 30 Mbit/s a chunk takes 26 ms, which is the longest
	// time that a higher class waits for a lower one.
	chunkBytes = 8 << 10
	// burstDuration determines the burst: unused tokens accumulate for at most this time. minBurst is the smallest burst in
	// bytes.
	burstDuration = 100 * time.Millisecond
	minBurst      = 8 * chunkBytes
	// maxWaitingPerClass is the maximum number of streams of one class that wait for tokens in one direction.
	maxWaitingPerClass = 256
)

// reservedFraction is the fraction of the burst that a class leaves to higher classes, so that these needn't wait for
// tokens. Control may use up to one burst of tokens in advance, because a late heartbeat causes an election.
var reservedFraction = [classCount]float64{Control: -1, Interactive: 0, Booking: 0.125, File: 0.25}

// waiter is a stream that waits for tokens.
type waiter struct {
	class Class
	bytes int
	done  chan struct{} // closed when the tokens are taken
}

// bucket is a token bucket with strict priority between classes and first come, first served within a class. A token is a
// byte. The bucket has no clock: the caller passes the time, which must not decrease.
type bucket struct {
	rate       float64 // tokens per second
	burst      float64 // maximum number of accumulated tokens
	tokens     float64
	lastRefill time.Duration
	queues     [classCount][]*waiter // first waiter first
}

func (b *bucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	initial := b.rate == 0
	b.rate = rate
	b.burst = max(rate*burstDuration.Seconds(), minBurst)
	b.tokens = min(b.tokens, b.burst)
	if initial {
		b.tokens = b.burst
	}
}

func (b *bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.lastRefill).Seconds(), b.burst)
	b.lastRefill = now
}

// debit takes tokens without waiting. The number of tokens may become negative, but not less than one burst below zero.
func (b *bucket) debit(now time.Duration, bytes float64) {
	b.refill(now)
	b.tokens = max(b.tokens-bytes, -b.burst)
}

// takeIfNoneWaits takes tokens for n bytes if there are enough and no stream of the same or a higher class waits. It
// reports whether it took them.
func (b *bucket) takeIfNoneWaits(now time.Duration, class Class, n int) bool {
	b.refill(now)
	for i := range int(class) + 1 {
		if len(b.queues[i]) > 0 {
			return false
		}
	}
	return b.tryTake(class, n)
}

func (b *bucket) tryTake(class Class, n int) bool {
	if b.deficit(class, n) > 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// deficit returns how many tokens are missing before n bytes of class may be sent. It is not positive if there are enough.
func (b *bucket) deficit(class Class, n int) float64 {
	return reservedFraction[class]*b.burst + float64(n) - b.tokens
}

func (b *bucket) waitingCount(class Class) int {
	return len(b.queues[class])
}

func (b *bucket) enqueue(w *waiter) {
	b.queues[w.class] = append(b.queues[w.class], w)
}

// remove removes w from its queue. It returns false if w has been served already.
func (b *bucket) remove(w *waiter) bool {
	i := slices.Index(b.queues[w.class], w)
	if i < 0 {
		return false
	}
	b.queues[w.class] = slices.Delete(b.queues[w.class], i, i+1)
	return true
}

// next returns the waiter that is to be served next, or nil if none waits.
func (b *bucket) next() *waiter {
	for i := range b.queues {
		if len(b.queues[i]) > 0 {
			return b.queues[i][0]
		}
	}
	return nil
}

// serveWaiters serves waiters in order as long as there are enough tokens.
func (b *bucket) serveWaiters(now time.Duration) {
	b.refill(now)
	for w := b.next(); w != nil && b.tryTake(w.class, w.bytes); w = b.next() {
		b.remove(w)
		close(w.done)
	}
}

// nextServeTime returns when there will be enough tokens for the next waiter. It returns false if none waits or the rate is
// zero.
func (b *bucket) nextServeTime(now time.Duration) (time.Duration, bool) {
	w := b.next()
	if w == nil || b.rate <= 0 {
		return 0, false
	}
	seconds := max(b.deficit(w.class, w.bytes), 0) / b.rate
	// The additional microsecond compensates for rounding in the division.
	return now + time.Duration(seconds*float64(time.Second)) + time.Microsecond, true
}
