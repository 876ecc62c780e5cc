// Package lease has the arithmetic of time-bounded leases on monotonic clocks, after Gray and Cheriton. The holder
// counts from before it asked and the grantor from after it answered, so that the holder's lease always ends first.
package lease

import (
	"sync/atomic"
	"time"
)

// Durations of host leases. A renewal has three tries before the lease ends.
const (
	HostLeaseDuration = 450 * time.Millisecond
	RenewInterval     = 100 * time.Millisecond
)

// MaxClockRateError is the largest relative error between two hosts' monotonic clock rates.
const MaxClockRateError = 0.01

// Clock returns monotonic time since an arbitrary fixed point of the process.
type Clock func() time.Duration

// Holder tracks a lease on the side that relies on it. It is safe for concurrent use.
type Holder struct {
	clock   Clock
	expires atomic.Int64
}

// NewHolder returns a holder without a lease.
func NewHolder(clock Clock) *Holder {
	return &Holder{clock: clock}
}

// Extend records a grant of duration that was asked for at asked. A grant never shortens the lease.
func (h *Holder) Extend(asked, duration time.Duration) {
	expires := int64(asked + duration)
	for {
		current := h.expires.Load()
		if expires <= current || h.expires.CompareAndSwap(current, expires) {
			return
		}
	}
}

// Drop ends the lease at once.
func (h *Holder) Drop() {
	h.expires.Store(0)
}

// Remaining returns how long the lease is still valid; zero or less means that it is over.
func (h *Holder) Remaining() time.Duration {
	return time.Duration(h.expires.Load()) - h.clock()
}

// Valid reports whether the lease is valid now.
func (h *Holder) Valid() bool {
	return h.Remaining() > 0
}

// Expired reports, on the grantor's side, whether a lease of duration answered at answered is certainly over at now.
func Expired(answered, duration, now time.Duration) bool {
	bound := duration + time.Duration(float64(duration)*MaxClockRateError)
	return now-answered > bound
}
