// Package standin is a stand-in for a target, for development, tests and measurements. It serves real HTTP on loopback,
// keeps the target contract (announcements, fenced grants, deadlines) and has faults that can be switched on and off.
package standin

import (
	"time"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Options configure a stand-in target.
type Options struct {
	Name       string
	Service    string
	DataCentre string
	Token      string
	// Address is the loopback address to listen on; a free port when empty.
	Address string
	// Hosts are the addresses that take announcements, host:port. None are sent when empty.
	Hosts []string
	// AnnounceInterval is 1 s when 0.
	AnnounceInterval time.Duration
	// Slots is 2 when 0.
	Slots uint32
	// MaxConnections is 130 when 0.
	MaxConnections uint32
	// Capabilities are all on when nil.
	Capabilities *schemav1.TargetCapabilities
	// Clock is the target's monotonic clock; the process clock when nil.
	Clock  lease.Clock
	Faults Faults
}

// Defaults after the targets of docs/design.md section 1.2.
const (
	defaultAnnounceInterval = time.Second
	defaultSlots            = 2
	defaultMaxConnections   = 130
)

func (o *Options) applyDefaults() {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = defaultAnnounceInterval
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Capabilities == nil {
		o.Capabilities = &schemav1.TargetCapabilities{Fence: true, Drain: true, Deadline: true, Cancel: true, Load: true}
	}
	if o.Clock == nil {
		// A clock that reads 0 would count as none.
		start := time.Now().Add(-time.Second)
		o.Clock = func() time.Duration { return time.Since(start) }
	}
}

// RequestIDFault changes the request id of answers.
type RequestIDFault int

// Faults of the request id.
const (
	RequestIDEcho RequestIDFault = iota
	RequestIDWrong
	RequestIDMissing
)

// Slow and cold requests take this many times the service time.
const slowFactor = 10

// Faults are the settable faults of a stand-in. The zero value has none.
type Faults struct {
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
	// Slow makes requests take ten times the service time.
	Slow bool
	// Freeze stops everything, announcements included, until it is switched off. Work that arrived meanwhile goes on
	// then, as it does in a process that was paused.
	Freeze bool
	// Refuse sheds all work with 503 and Almondrock-Not-Run.
	Refuse bool
	// RequestID is the fault of the echoed request id.
	RequestID RequestIDFault
	// TruncateAfter cuts the connection after so many bytes of an answer's body; 0 is off.
	TruncateAfter int
	// TruncateCount is how many answers are cut; all when 0.
	TruncateCount int
	// ResponseDelay delays the answer after the work is done.
	ResponseDelay time.Duration
	// DropResponse runs the request and cuts the connection without an answer.
	DropResponse bool
	// WarmupRequests is how many requests warm the target up. Until then requests are slow, and one that arrives while
	// another runs fails.
	WarmupRequests int
	// ReportedLoad replaces the reported load when it is not 0.
	ReportedLoad float64
}

// Execution is one request that the target has run.
type Execution struct {
	Key       string
	Keyspace  string
	Shard     uint32
	RequestID string
	Method    string
	Fence     string
	// StartedAt is the target's own clock.
	StartedAt time.Duration
	// RunTime is how long it ran; 0 while it runs.
	RunTime time.Duration
}

// Counts are figures since the start of the process.
type Counts struct {
	// Requests counts all work that arrived, Overloads those over the slots, Refused those refused by fault, fence or
	// deadline, ColdFailures those that failed for want of warmth, Grants the grant requests.
	Requests, Overloads, Refused, ColdFailures, Grants int
}
