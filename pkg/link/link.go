package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Class is the priority on the link, highest first.
type Class int

// Classes. Control is the traffic between hosts that keeps groups and leases alive.
const (
	Control Class = iota
	Interactive
	Booking
	File
	classCount = int(File) + 1
)

// ClassOf maps the class of a request; requests without a class are interactive.
func ClassOf(class schemav1.RequestClass) Class {
	switch class {
	case schemav1.RequestClass_REQUEST_CLASS_BOOKING:
		return Booking
	case schemav1.RequestClass_REQUEST_CLASS_FILE:
		return File
	default:
		return Interactive
	}
}

// String is the name used in metrics.
func (c Class) String() string {
	return [...]string{"control", "interactive", "booking", "file"}[c]
}

// Direction is the way of the bytes, seen from this region.
type Direction int

// Directions.
const (
	Out Direction = iota
	In
	directionCount = int(In) + 1
)

// String is the name used in metrics.
func (d Direction) String() string {
	return [...]string{"out", "in"}[d]
}

// Options configure a Link.
type Options struct {
	// MbitPerSecond is the rate of the whole link, each way, in Mbit/s.
	MbitPerSecond uint32
	// Hosts is the number of hosts of the region that share the link; 1 when 0.
	Hosts int
	// Clock is the process clock when nil.
	Clock monotonic.Clock
	// OnBytes is told about bytes that were sent or received; it may be nil.
	OnBytes func(direction Direction, class Class, bytes int)
}

// Link is this host's share of the link between regions. It is safe for concurrent use.
type Link struct {
	options Options
	volume  [directionCount][classCount]atomic.Uint64
	ways    [directionCount]*way
}

// way is one direction of the link.
type way struct {
	clock monotonic.Clock

	mu     sync.Mutex
	bucket bucket
	// backlog is what open streams have still to send, in bytes.
	backlog [classCount]int64
	alarm   *monotonic.Timer
}

// New returns the share of one host.
func New(options Options) *Link {
	if options.Clock == nil {
		options.Clock = monotonic.ProcessClock{}
	}
	l := &Link{options: options}
	for i := range l.ways {
		w := &way{clock: options.Clock}
		w.alarm = monotonic.NewTimer(options.Clock, w.wake)
		l.ways[i] = w
	}
	l.SetHosts(options.Hosts)
	return l
}

// SetHosts sets the number of hosts that share the link. Each gets an equal part of the rate at once.
func (l *Link) SetHosts(hosts int) {
	rate := float64(l.options.MbitPerSecond) * 1e6 / 8 / float64(max(hosts, 1))
	for _, w := range l.ways {
		w.mu.Lock()
		w.bucket.setRate(w.clock.Now(), rate)
		w.changed()
		w.mu.Unlock()
	}
}

// TotalBytes is the number of bytes so far in one direction and class.
func (l *Link) TotalBytes(direction Direction, class Class) uint64 {
	return l.volume[direction][class].Load()
}

// Backlog is the number of bytes that open streams of known size have still to send. A host without any needs no share.
func (l *Link) Backlog(direction Direction) int64 {
	w := l.ways[direction]
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := int64(0)
	for _, bytes := range w.backlog {
		sum += bytes
	}
	return sum
}

// CountUnpaced counts bytes that can't be paced, such as messages of a protocol with its own deadlines. They are taken from the
// share, so that other traffic makes up for them.
func (l *Link) CountUnpaced(direction Direction, class Class, bytes int) {
	l.record(direction, class, bytes)
	w := l.ways[direction]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket.spend(w.clock.Now(), float64(bytes))
}

func (l *Link) record(direction Direction, class Class, bytes int) {
	l.volume[direction][class].Add(uint64(bytes))
	if l.options.OnBytes != nil {
		l.options.OnBytes(direction, class, bytes)
	}
}

// wait blocks until n bytes may pass. It returns a refusal when the deadline (a time of the clock) passes or ctx is done.
func (w *way) wait(ctx context.Context, class Class, n int, deadline time.Duration) error {
	w.mu.Lock()
	now := w.clock.Now()
	if w.bucket.takeNow(now, class, n) {
		w.mu.Unlock()
		return nil
	}
	if w.bucket.waiting(class) >= maxWaiting {
		w.mu.Unlock()
		return apierr.New(apierr.Overloaded, "too many streams wait for the link between regions")
	}
	waiter := &waiter{class: class, bytes: n, done: make(chan struct{})}
	w.bucket.push(waiter)
	w.changed()
	w.mu.Unlock()
	expired := make(chan struct{})
	stop := w.clock.AfterFunc(max(deadline-now, 0), func() { close(expired) })
	defer stop()
	select {
	case <-waiter.done:
		return nil
	case <-expired:
		return w.leave(waiter, nil)
	case <-ctx.Done():
		return w.leave(waiter, context.Cause(ctx))
	}
}

// leave gives up waiting, unless the waiter was served in the meantime.
func (w *way) leave(waiter *waiter, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.bucket.remove(waiter) {
		return nil
	}
	w.changed()
	err := apierr.New(apierr.DeadlineExceeded, "the link between regions had no room before the deadline")
	if cause != nil {
		return merry.Wrap(err, merry.WithCause(cause))
	}
	return err
}

// changed serves what can be served and sets the timer for the next waiter. The way is locked.
func (w *way) changed() {
	now := w.clock.Now()
	w.bucket.serve(now)
	at, ok := w.bucket.nextServe(now)
	w.alarm.Set(now, at, ok)
}

func (w *way) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alarm.MarkFired()
	w.changed()
}
