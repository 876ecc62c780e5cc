package pauses

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// clock is a clock whose time goes on while the machine is suspended. Its timers fire late by the suspensions.
type clock struct{ clockwork.Clock }

// NewClock returns a clock for leases and ages of what other hosts said. By the monotonic clock of the runtime, which stops while the machine
// is suspended, a lease would outlive its real time.
func NewClock() clockwork.Clock { return clock{clockwork.NewRealClock()} }

// Now implements clockwork.Clock. The times can only be compared with each other.
func (c clock) Now() time.Time { return time.Unix(0, 0).Add(BootClock()) }

// Since implements clockwork.Clock.
func (c clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
