// Package pauses detects that a process stood still. What it reads after a pause may have waited since before it.
package pauses

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
)

const (
	// interval is the time between two observations.
	interval = 50 * time.Millisecond
	// minGap is the time between two observations from which on the process counts as having stood still in between. A process that shares a
	// processor is often late by a few tens of milliseconds.
	minGap = 3 * interval
	// window is how long a pause is remembered after its end: the time for which callers wait for an answer. What waited in the process is
	// read in that time.
	window = time.Second
	// minLoggedPause is the shortest pause that is logged.
	minLoggedPause = 500 * time.Millisecond
)

// Detector detects pauses of the process: it was stopped, its machine was suspended, or it got no processor. It is safe for concurrent use.
type Detector struct {
	clock func() time.Duration

	mu sync.Mutex
	// observedAt is the time of the last observation.
	observedAt time.Duration
	// recent has the pauses that ended within window, oldest first.
	recent  []pause
	running bool
}

// pause is a time in which the process stood still.
type pause struct{ endedAt, maxDuration time.Duration }

// New returns a detector that finds no pauses before Run is called. clock returns the time since a fixed point; it must go on during pauses.
func New(clock func() time.Duration) *Detector { return &Detector{clock: clock} }

// Run observes the clock until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	d.mu.Lock()
	d.observedAt, d.running = d.clock(), true
	d.mu.Unlock()
	for monotonic.Sleep(ctx, interval) {
		d.Now()
	}
}

// Now returns the time by the clock.
func (d *Detector) Now() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.observe()
}

// EarliestSent returns the time by the clock at which something may have been sent that the process reads now, if the network did not hold it
// up. It notices a pause that has just ended also if Run has not been scheduled since. What was sent before one of several pauses in a row may
// have waited through all of them.
func (d *Detector) EarliestSent() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.observe()
	earliest := now
	for _, p := range d.recent {
		earliest -= p.maxDuration
	}
	return earliest
}

// observe reads the clock and records a pause that has ended. d.mu must be held.
func (d *Detector) observe() time.Duration {
	now := d.clock()
	if gap := now - d.observedAt; d.running && gap >= minGap {
		d.recent = append(d.recent, pause{endedAt: now, maxDuration: gap})
		if gap >= minLoggedPause {
			klog.InfoS("process stood still", "duration", gap)
		}
	}
	d.observedAt = now
	d.recent = slices.DeleteFunc(d.recent, func(p pause) bool { return now-p.endedAt >= window })
	return now
}

// BootClock returns the time since the machine was started. Unlike the monotonic clock of the runtime it counts suspensions.
func BootClock() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return monotonic.ProcessClock{}.Now()
	}
	return time.Duration(now.Nano())
}
