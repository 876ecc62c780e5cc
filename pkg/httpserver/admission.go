package httpserver

import (
	"net"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/memory"
)

const (
	// connectionCost estimates the memory of a connection without a request: its goroutine, its read buffer and its state.
	connectionCost = 12 << 10
	// evictedShare is the part of the connections, as a divisor, that are replaced at once. It bounds the cost of the search for a flood of
	// new connections.
	evictedShare = 64
	// retryAfter is the value of Retry-After, in seconds, in refusals for lack of memory. Requests and heads end within seconds.
	retryAfter = "1"
)

// Reasons for which the server refuses requests and connections, or closes them. OnRefuse receives them.
const (
	ReasonConnectionsFull = "connections-full"
	ReasonEvicted         = "connection-evicted"
	ReasonHeadTooLarge    = "head-too-large"
	ReasonHeadMalformed   = "head-malformed"
	ReasonHeadTimeout     = "head-timeout"
	ReasonNoMemory        = "no-memory"
	ReasonBodyTimeout     = "body-timeout"
)

// Phases of a connection that has no request being served, in the order in which connections are given up. Other connections are in
// phaseServing.
type phase int

const (
	// phaseLingering: the last response was written.
	phaseLingering phase = iota
	// phaseIdle: no byte of a next request has arrived.
	phaseIdle
	// phaseReading: a request has begun to arrive.
	phaseReading
	phaseServing
)

// setPhase records a phase. c.mu must be held.
func (c *conn) setPhase(p phase) { c.phase, c.phaseSince = p, time.Now() }

// phaseNow returns the phase and since when the connection is in it.
func (c *conn) phaseNow() (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isServing() {
		return phaseServing, c.phaseSince
	}
	return c.phase, c.phaseSince
}

// isServing reports whether a request is being served. One whose body the handler still waits for is not, unless the handler has begun to
// serve it. c.mu must be held.
func (c *conn) isServing() bool {
	return c.outstanding > 1 || (c.outstanding == 1 && !c.last.awaitsBody())
}

// evict closes the connection unless a request is being served.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isServing() {
		return false
	}
	// A request whose head completes now is not handled, because add sees that the context has ended.
	c.cancel()
	c.raw.Close()
	return true
}

// addressOf returns the address of the other end without its port.
func addressOf(raw net.Conn) string {
	address := raw.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// admit adds a connection, if necessary in place of others. It returns false if there is no room. s.mu must be held.
func (s *Server) admit(c *conn) bool {
	if !s.hasRoom() && (!s.makeRoom(c.address) || !s.hasRoom()) {
		return false
	}
	if !s.options.Budget.TryAcquire(memory.Connections, connectionCost) &&
		(!s.makeRoom(c.address) || !s.options.Budget.TryAcquire(memory.Connections, connectionCost)) {
		return false
	}
	s.conns[c] = struct{}{}
	s.perAddress[c.address]++
	return true
}

func (s *Server) hasRoom() bool {
	return s.options.MaxConnections <= 0 || len(s.conns) < s.options.MaxConnections
}

// forget removes a connection that is served no longer, or was given up. s.mu must be held.
func (s *Server) forget(c *conn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if s.perAddress[c.address]--; s.perAddress[c.address] <= 0 {
		delete(s.perAddress, c.address)
	}
	s.options.Budget.Release(memory.Connections, connectionCost)
}

// makeRoom gives up some connections for a new one from address: those of an address that has more than half of all, then by their phase, the
// oldest first. An address that has half of all connections replaces only its own. It reports whether it gave up any. s.mu must be held.
func (s *Server) makeRoom(address string) bool {
	type candidate struct {
		conn      *conn
		preferred bool
		phase     phase
		since     time.Time
	}
	ownOnly := 2*s.perAddress[address] >= len(s.conns)
	var candidates []candidate
	for c := range s.conns {
		if ownOnly && c.address != address {
			continue
		}
		if p, since := c.phaseNow(); p != phaseServing {
			candidates = append(candidates, candidate{c, 2*s.perAddress[c.address] > len(s.conns), p, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.preferred != b.preferred && a.preferred:
			return -1
		case a.preferred != b.preferred:
			return 1
		case a.phase != b.phase:
			return int(a.phase) - int(b.phase)
		}
		return a.since.Compare(b.since)
	})
	evicted := 0
	for _, candidate := range candidates[:min(len(candidates), 1+len(s.conns)/evictedShare)] {
		if candidate.conn.evict() {
			s.forget(candidate.conn)
			s.refused(ReasonEvicted, candidate.conn.remote, nil)
			evicted++
		}
	}
	return evicted > 0
}
