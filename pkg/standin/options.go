// Package standin implements a stand-in target for development, tests and measurements. It serves HTTP on loopback,
// implements the target contract (announcements, fenced grants, deadlines) and has faults that can be switched on and off.
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
	// Address is the loopback address to listen on. The default is a free port.
	Address string
	// Hosts are the addresses (host:port) to which announcements are sent. No announcements are sent when it is empty.
	Hosts []string
	// AnnounceInterval is the time between announcements. The default is 1 s.
	AnnounceInterval time.Duration
	// Slots is the number of requests that the target runs at once. The default is 2.
	Slots uint32
	// MaxConnections is the announced limit of connections. The default is 130.
	MaxConnections uint32
	// Capabilities are the announced capabilities. All are on when nil.
	Capabilities *schemav1.TargetCapabilities
	// Clock is the target's monotonic clock. The default is the clock of the process.
	Clock  lease.Clock
	Faults Faults
}

// Default options, which follow the targets in docs/design.md section 1.2.
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
		// The clock must not read 0, which means that the target has no clock.
		start := time.Now().Add(-time.Second)
		o.Clock = func() time.Duration { return time.Since(start) }
	}
}

// RequestIDFault is a fault of the request id in responses.
type RequestIDFault int

// Faults of the request id: none, a wrong id and no id.
const (
	RequestIDEcho RequestIDFault = iota
	RequestIDWrong
	RequestIDMissing
)

// slowFactor is the factor by which slow and cold requests take longer than the service time.
const slowFactor = 10

// Faults configures the faults of a stand-in target. The zero value has none.
type Faults struct {
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
	// Slow makes requests take ten times the service time.
	Slow bool
	// Freeze stops everything, including announcements, until it is switched off. Requests that arrived in the meantime
	// are handled then, as in a process that was paused.
	Freeze bool
	// Refuse makes the target refuse all requests with status 503 and the header Almondrock-Not-Run.
	Refuse bool
	// RetryAfter is the value of Retry-After in responses to requests that are refused by Refuse; empty for none.
	RetryAfter string
	// Leaving makes the target say in all responses that it leaves, while its announcements say that it is ready.
	Leaving bool
	// RequestID is the fault of the request id in responses.
	RequestID RequestIDFault
	// TruncateAfter closes the connection after this number of bytes of a response body; 0 is off.
	TruncateAfter int
	// TruncateCount is the number of responses to truncate; 0 means all.
	TruncateCount int
	// ResponseDelay delays the response after the request has run.
	ResponseDelay time.Duration
	// DropResponse runs the request and closes the connection without a response.
	DropResponse bool
	// WarmupRequests is the number of requests for which the target is cold. A cold target is slow, and a request that
	// arrives while another one runs fails.
	WarmupRequests int
	// ReportedLoad replaces the load in announcements when it is not 0.
	ReportedLoad float64
}

// Execution describes one request that the target has started to run.
type Execution struct {
	Key       string
	Keyspace  string
	Shard     uint32
	RequestID string
	Method    string
	Fence     string
	// StartedAt is the start time on the target's clock.
	StartedAt time.Duration
	// RunTime is how long the request ran; 0 while it runs.
	RunTime time.Duration
}

// Counts holds counters since the start of the server.
type Counts struct {
	// Requests counts all requests except those of the target contract, Overloads those refused because all slots were
	// in use, Refused those refused by a fault, a fence, a deadline or an incomplete body, ColdFailures those that failed
	// because the target was cold, and Grants the grant requests.
	Requests, Overloads, Refused, ColdFailures, Grants int
}
