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

// Class is a traffic class. Classes are ordered by priority, highest first.
type Class int

// Traffic classes. Control is the traffic between hosts that maintains groups and leases.
const (
	Control Class = iota
	Interactive
	Booking
	File
	classCount = int(File) + 1
)

// ClassOf returns the traffic class of a request class. Requests without a class are interactive.
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

// Direction is the direction of traffic, seen from this region.
type Direction int

// Directions of traffic.
const (
	Out Direction = iota
	In
	directionCount = int(In) + 1
)

// String is the name used in metrics.
func (d Direction) String() string {
	return [...]string{"out", "in"}[d]
}

// Options configures a Link.
type Options struct {
	// MbitPerSecond is the rate of the whole link in each direction, in Mbit/s.
	MbitPerSecond uint32
	// Hosts is the number of hosts of the region that share the link. 0 means 1.
	Hosts int
	// Clock defaults to the clock of the process.
	Clock monotonic.Clock
	// OnBytes, if set, is called after bytes were sent or received.
	OnBytes func(direction Direction, class Class, bytes int)
}

// Link is this host's share of the link between regions. It is safe for concurrent use.
type Link struct {
	options    Options
	totalBytes [directionCount][classCount]atomic.Uint64
	pacers     [directionCount]*pacer
}

// pacer limits the rate in one direction of the link.
type pacer struct {
	clock monotonic.Clock

	mu     sync.Mutex
	bucket bucket
	// backlog is how many bytes the open streams of known size have still to send, by class.
	backlog [classCount]int64
	timer   *monotonic.Timer
}

// New returns a Link that limits this host to its share.
func New(options Options) *Link {
	if options.Clock == nil {
		options.Clock = monotonic.ProcessClock{}
	}
	l := &Link{options: options}
	for i := range l.pacers {
		p := &pacer{clock: options.Clock}
		p.timer = monotonic.NewTimer(options.Clock, p.onTimer)
		l.pacers[i] = p
	}
	l.SetHosts(options.Hosts)
	return l
}

// SetHosts sets the number of hosts that share the link. From then on, each may use an equal part of the rate.
func (l *Link) SetHosts(hosts int) {
	rate := float64(l.options.MbitPerSecond) * 1e6 / 8 / float64(max(hosts, 1))
	for _, p := range l.pacers {
		p.mu.Lock()
		p.bucket.setRate(p.clock.Now(), rate)
		p.serveAndReschedule()
		p.mu.Unlock()
	}
}

// TotalBytes returns how many bytes of a class have passed in one direction.
func (l *Link) TotalBytes(direction Direction, class Class) uint64 {
	return l.totalBytes[direction][class].Load()
}

// Backlog returns how many bytes the open streams of known size have still to send. A host without a backlog needs no
// share.
func (l *Link) Backlog(direction Direction) int64 {
	p := l.pacers[direction]
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := int64(0)
	for _, bytes := range p.backlog {
		sum += bytes
	}
	return sum
}

// CountUnpaced counts bytes that can't be delayed, such as messages of a protocol with its own deadlines. Their
// tokens are taken from the share, so that other traffic is delayed instead.
func (l *Link) CountUnpaced(direction Direction, class Class, bytes int) {
	l.addBytes(direction, class, bytes)
	p := l.pacers[direction]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket.debit(p.clock.Now(), float64(bytes))
}

// addBytes counts bytes that were sent or received.
func (l *Link) addBytes(direction Direction, class Class, bytes int) {
	l.totalBytes[direction][class].Add(uint64(bytes))
	if l.options.OnBytes != nil {
		l.options.OnBytes(direction, class, bytes)
	}
}

// wait blocks until n bytes may pass. It returns an *apierr.Refusal if too many streams wait, at the deadline (a time of
// the clock), and when ctx is done.
func (p *pacer) wait(ctx context.Context, class Class, n int, deadline time.Duration) error {
	p.mu.Lock()
	now := p.clock.Now()
	if p.bucket.takeIfNoneWaits(now, class, n) {
		p.mu.Unlock()
		return nil
	}
	if p.bucket.waitingCount(class) >= maxWaitingPerClass {
		p.mu.Unlock()
		return apierr.New(apierr.Overloaded, "too many streams wait for the link between regions")
	}
	waiter := &waiter{class: class, bytes: n, done: make(chan struct{})}
	p.bucket.enqueue(waiter)
	p.serveAndReschedule()
	p.mu.Unlock()
	expired := make(chan struct{})
	stop := p.clock.AfterFunc(max(deadline-now, 0), func() { close(expired) })
	defer stop()
	select {
	case <-waiter.done:
		return nil
	case <-expired:
		return p.stopWaiting(waiter, nil)
	case <-ctx.Done():
		return p.stopWaiting(waiter, context.Cause(ctx))
	}
}

// stopWaiting removes a waiter whose time is over. It returns nil if the waiter was served in the meantime.
func (p *pacer) stopWaiting(waiter *waiter, cause error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.bucket.remove(waiter) {
		return nil
	}
	p.serveAndReschedule()
	err := apierr.New(apierr.DeadlineExceeded, "the link between regions had no room before the deadline")
	if cause != nil {
		return merry.Wrap(err, merry.WithCause(cause))
	}
	return err
}

// serveAndReschedule serves all waiters for which there are tokens, and sets the timer for the next one. The caller holds
// mu.
func (p *pacer) serveAndReschedule() {
	now := p.clock.Now()
	p.bucket.serveWaiters(now)
	at, ok := p.bucket.nextServeTime(now)
	p.timer.Set(now, at, ok)
}

func (p *pacer) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.MarkFired()
	p.serveAndReschedule()
}
