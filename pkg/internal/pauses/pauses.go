// Package pauses detects that a process stood still. What it reads after a pause may have waited since before it.
package pauses

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
)

const (
	// interval is the time between two observations.
	interval = 100 * time.Millisecond
	// minPause is the time between two observations from which on it counts as a pause. What waited for less is read before its sender, which
	// waits for a second, has turned to another host.
	minPause = 700 * time.Millisecond
)

// Detector detects pauses of the process: it was stopped, its machine was suspended, or it got no processor. It is safe for concurrent use.
type Detector struct {
	clock func() time.Duration

	mu sync.Mutex
	// observedAt is the time of the last observation.
	observedAt time.Duration
	// endedAt is when the last pause was noticed, if there was one.
	endedAt time.Duration
	paused  bool
	running bool
}

// New returns a detector that finds no pauses before Run is called. clock returns the time since a fixed point; it must go on during pauses.
func New(clock func() time.Duration) *Detector { return &Detector{clock: clock} }

// Run observes the clock until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	d.mu.Lock()
	d.observedAt, d.running = d.clock(), true
	d.mu.Unlock()
	for monotonic.Sleep(ctx, interval) {
		d.SinceLast()
	}
}

// SinceLast returns the time since the end of the last pause, or the longest duration if there was none. It notices a pause that has just
// ended also if Run has not been scheduled since.
func (d *Detector) SinceLast() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if gap := now - d.observedAt; d.running && gap >= minPause {
		klog.InfoS("process stood still", "duration", gap)
		d.endedAt, d.paused = now, true
	}
	d.observedAt = now
	if !d.paused {
		return math.MaxInt64
	}
	return now - d.endedAt
}

// BootClock returns the time since the machine was started. Unlike the monotonic clock of the runtime it counts suspensions.
func BootClock() time.Duration {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return monotonic.ProcessClock{}.Now()
	}
	return time.Duration(now.Nano())
}
