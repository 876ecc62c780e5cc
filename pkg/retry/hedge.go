package retry

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// PendingAttempt is what is known while the first attempt of a request is still open.
type PendingAttempt struct {
	// Shared is set for services that any ready target may serve. An exclusive key has one owner, so there is no second
	// target to ask.
	Shared     bool
	Idempotent bool
	// ResponseStarted is set when bytes of the answer were sent to the caller.
	ResponseStarted bool
	// Elapsed is the time since the first attempt was sent.
	Elapsed time.Duration
	// P95 is the 95th percentile of the service's latencies; 0 when it isn't known.
	P95 time.Duration
	// Left is the time until the request's deadline.
	Left time.Duration
	// Hedges counts the hedges of this request so far.
	Hedges int
	// BudgetLeft is the number of extra attempts that the budget still allows.
	BudgetLeft int
	// OtherTargets is the number of ready targets besides the one that was asked.
	OtherTargets int
}

// DecideHedge reports whether a second attempt is sent now, and if not, after which time to decide again; 0 means never.
// A request is hedged once, after the 95th percentile, so that hedges are at most about 5 % of the requests even before
// the budget bounds them.
func DecideHedge(h PendingAttempt) (send bool, again time.Duration) {
	allowed := h.Shared && h.Idempotent && !h.ResponseStarted && h.Hedges == 0 && h.OtherTargets > 0 && h.P95 > 0
	if !allowed || h.BudgetLeft <= 0 || h.Left <= 0 {
		return false, 0
	}
	if h.Elapsed >= h.P95 {
		return true, 0
	}
	if wait := h.P95 - h.Elapsed; wait < h.Left {
		return false, wait
	}
	return false, 0
}

// LatencyHistogram estimates a percentile of a service's latencies. It is safe for concurrent use and has a fixed size.
type LatencyHistogram struct {
	// counts has a bucket for each eighth of a power of two of microseconds, an error of at most 12.5 %.
	counts [latencyBuckets]atomic.Uint32
	total  atomic.Uint32
}

const (
	// subBuckets divide each power of two.
	subBuckets     = 8
	subBucketBits  = 3
	latencyBuckets = 30 * subBuckets
	// latencyWindow is the number of samples after which all counts are halved, so that old samples fade.
	latencyWindow = 4096
	// minLatencySamples is the least number of samples that a 95th percentile is taken from.
	minLatencySamples = 100
)

// Observe counts one latency.
func (l *LatencyHistogram) Observe(latency time.Duration) {
	l.counts[bucketOf(latency)].Add(1)
	if l.total.Add(1) != latencyWindow {
		return
	}
	kept := uint32(0)
	for i := range l.counts {
		half := l.counts[i].Load() / 2
		l.counts[i].Store(half)
		kept += half
	}
	l.total.Store(kept)
}

// Percentile returns an upper bound of the given percentile (0 to 100), or 0 below 100 samples.
func (l *LatencyHistogram) Percentile(percent float64) time.Duration {
	total := l.total.Load()
	if total < minLatencySamples {
		return 0
	}
	rank := uint32(math.Ceil(float64(total) * percent / 100))
	seen := uint32(0)
	for i := range l.counts {
		seen += l.counts[i].Load()
		if seen >= rank {
			return upperBound(i)
		}
	}
	return upperBound(latencyBuckets - 1)
}

// bucketOf maps a latency to its bucket. Values below subBuckets have a bucket each.
func bucketOf(latency time.Duration) int {
	value := uint64(max(latency.Microseconds(), 0))
	if value < subBuckets {
		return int(value)
	}
	shift := bits.Len64(value) - subBucketBits - 1
	index := (shift+1)*subBuckets + int(value>>shift) - subBuckets
	return min(index, latencyBuckets-1)
}

func upperBound(index int) time.Duration {
	if index < subBuckets {
		return time.Duration(index+1) * time.Microsecond
	}
	shift := index/subBuckets - 1
	return time.Duration((index%subBuckets+subBuckets+1)<<shift) * time.Microsecond
}
