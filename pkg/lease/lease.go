// Package lease implements time-bounded leases on monotonic clocks, after Gray and Cheriton, and the comparison of fencing
// tokens. The holder counts the duration from before it sent its request, the grantor from after it sent its response, so
// that the lease always ends for the holder first.
package lease

import (
	"sync/atomic"
	"time"
)

// Timing of host leases. A host can try three times to renew its lease before it ends.
const (
	HostLeaseDuration = 450 * time.Millisecond
	RenewInterval     = 100 * time.Millisecond
)

// MaxClockRateError is the largest relative difference that is allowed between the rates of two hosts' monotonic clocks.
const MaxClockRateError = 0.01

// Clock returns the monotonic time since an arbitrary fixed point in the life of the process. It must count the time for which the machine is
// suspended: the grantor takes the lease as ended then.
type Clock func() time.Duration

// Holder is a lease as seen by the side that relies on it. It is safe for concurrent use.
type Holder struct {
	clock Clock
	// expiresAt is in nanoseconds by clock; 0 without a lease.
	expiresAt atomic.Int64
}

// NewHolder returns a holder without a lease.
func NewHolder(clock Clock) *Holder {
	return &Holder{clock: clock}
}

// Extend records that the lease was granted for duration, in response to a request sent at requestedAt. A grant never
// shortens the lease.
func (h *Holder) Extend(requestedAt, duration time.Duration) {
	expiresAt := int64(requestedAt + duration)
	for {
		current := h.expiresAt.Load()
		if expiresAt <= current || h.expiresAt.CompareAndSwap(current, expiresAt) {
			return
		}
	}
}

// Drop ends the lease immediately.
func (h *Holder) Drop() {
	h.expiresAt.Store(0)
}

// Remaining returns how long the lease is still valid. It is zero or negative if the lease has ended.
func (h *Holder) Remaining() time.Duration {
	return time.Duration(h.expiresAt.Load()) - h.clock()
}

// Valid reports whether the lease is valid now.
func (h *Holder) Valid() bool {
	return h.Remaining() > 0
}

// Expired reports, for the grantor, whether a lease of the given duration, granted at grantedAt, has certainly ended for its
// holder at now. Both times are by the grantor's clock.
func Expired(grantedAt, duration, now time.Duration) bool {
	bound := duration + time.Duration(float64(duration)*MaxClockRateError)
	return now-grantedAt > bound
}
