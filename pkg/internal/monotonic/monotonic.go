// Package monotonic provides the monotonic clock of the admission and pacing code, a timer on that clock that can be set
// again and again, and a pause that a context ends.
package monotonic

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends before it returns.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		// If both are ready, select takes either.
		return ctx.Err() == nil
	}
}

// Clock provides monotonic time and one-shot timers. Tests replace it by a simulated clock.
type Clock interface {
	// Now is the time since an arbitrary fixed point of the process.
	Now() time.Duration
	// AfterFunc calls f once after d, unless stop is called before.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// ProcessClock is the real Clock, which counts from the start of the process.
type ProcessClock struct{}

var processStart = time.Now()

// Now implements Clock.
func (ProcessClock) Now() time.Duration { return time.Since(processStart) }

// AfterFunc implements Clock.
func (ProcessClock) AfterFunc(d time.Duration, f func()) func() {
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}

// Timer calls a function once at a time that can be changed until then. It has no lock of its own: the caller must hold
// a lock around all method calls. The function is called without that lock; it must take the lock and call MarkFired
// before anything else.
type Timer struct {
	clock    Clock
	callback func()
	stop     func()
	deadline time.Duration
}

// NewTimer returns a timer that is not set. callback is called each time the timer fires.
func NewTimer(clock Clock, callback func()) *Timer {
	return &Timer{clock: clock, callback: callback}
}

// Set makes the timer fire at the time at, or stops it when set is false. now is the current time of the clock. A time
// in the past fires at once.
func (t *Timer) Set(now, at time.Duration, set bool) {
	if set && t.stop != nil && t.deadline == at {
		return
	}
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
	if set {
		t.deadline = at
		t.stop = t.clock.AfterFunc(max(at-now, 0), t.callback)
	}
}

// MarkFired records that the timer has fired, so that a later Set with the same time starts it again.
func (t *Timer) MarkFired() { t.stop = nil }
