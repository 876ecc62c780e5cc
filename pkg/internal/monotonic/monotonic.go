// Package monotonic has the clock that admission and pacing decide by, and a timer on it that is set anew after each
// change of state.
package monotonic

import "time"

// Clock gives monotonic time and one-shot timers.
type Clock interface {
	// Now is the time since an arbitrary fixed point of the process.
	Now() time.Duration
	// AfterFunc calls f once after d, unless stop is called before.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// ProcessClock is the clock of the process.
type ProcessClock struct{}

var processStart = time.Now()

// Now implements Clock.
func (ProcessClock) Now() time.Duration { return time.Since(processStart) }

// AfterFunc implements Clock.
func (ProcessClock) AfterFunc(d time.Duration, f func()) func() {
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}

// Timer calls a function at one time that may change. Its user must lock it; the function is called without the lock
// and must call Fired first.
type Timer struct {
	clock Clock
	wake  func()
	stop  func()
	at    time.Duration
}

// NewTimer returns an alarm that is not set.
func NewTimer(clock Clock, wake func()) *Timer {
	return &Timer{clock: clock, wake: wake}
}

// Set sets the alarm to at, or unsets it when set is false. now is the present time.
func (a *Timer) Set(now, at time.Duration, set bool) {
	if set && a.stop != nil && a.at == at {
		return
	}
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
	if set {
		a.at = at
		a.stop = a.clock.AfterFunc(max(at-now, 0), a.wake)
	}
}

// MarkFired notes that the alarm went off.
func (a *Timer) MarkFired() { a.stop = nil }
