package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/memory"
)

const (
	// DefaultMaxPipelined is the number of requests of one connection that are handled at the same time. It covers the depth at which
	// clients usually pipeline, and keeps one connection from occupying a large part of the targets.
	DefaultMaxPipelined = 8
	// shutdownPollInterval is how often Shutdown checks whether all connections have ended.
	shutdownPollInterval = 10 * time.Millisecond
	// acceptDrainTime is how long queued connections are still accepted at a shutdown.
	acceptDrainTime = 50 * time.Millisecond
	// firstRequestTime is how long a connection without any request stays open at a shutdown. Its caller has usually sent a request
	// that is on its way.
	firstRequestTime = 300 * time.Millisecond
	// DefaultBodyTimeout exceeds the time that a lost packet or a short outage costs, and frees what a body that has stalled holds.
	DefaultBodyTimeout = 10 * time.Second
	// minBodyRate is the least number of bytes per second of a body, beyond BodyTimeout. It is far below the slowest link.
	minBodyRate = 4 << 10
)

// Options configure a Server.
type Options struct {
	Handler http.Handler
	// MaxHeaderBytes bounds the request line and the header fields of one request.
	MaxHeaderBytes int
	// ReadHeaderTimeout bounds the time from the first byte of a request to the end of its header.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests stays open.
	IdleTimeout time.Duration
	// WriteTimeout is how long a caller may take to receive writeChunk bytes before its connection is closed.
	WriteTimeout time.Duration
	// MaxPipelined is the number of requests of one connection that are handled at the same time; DefaultMaxPipelined when 0.
	MaxPipelined int
	// BodyTimeout is how long a caller may make no progress within a body; no limit when 0.
	BodyTimeout time.Duration
	// StreamsBodies is set when the handler serves requests before their bodies have arrived. Connections are then not closed for room while
	// a body arrives.
	StreamsBodies bool
	// MaxConnections bounds the number of open connections; no bound when 0. Above it, new connections replace others.
	MaxConnections int
	// Budget bounds the memory of connections and heads; it may be nil.
	Budget *memory.Budget
	// OnRefuse is called with the reason of each request or connection that is refused or given up; it may be nil. It must not block.
	OnRefuse func(reason string)
}

// Server is an HTTP/1.1 server. Its methods are safe for concurrent use.
type Server struct {
	options Options
	// draining is set once connections are closed after their outstanding responses. Connections read it while they hold their own lock, which
	// mu must not be taken under.
	draining atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// perAddress has the number of connections by remote address.
	perAddress map[string]int
	// shuttingDown is set once the listeners are being closed, and closed once no connection is served any more.
	shuttingDown, closed bool
	// accepting counts the accept loops, serving the connections.
	accepting, serving sync.WaitGroup
	refusals           refusalLog
}

// New returns a server without listeners.
func New(options Options) *Server {
	if options.MaxPipelined == 0 {
		options.MaxPipelined = DefaultMaxPipelined
	}
	return &Server{options: options, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}, perAddress: map[string]int{}}
}

// Serve accepts connections until the server is closed or shut down; it then returns http.ErrServerClosed. It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	s.mu.Lock()
	if s.shuttingDown {
		s.mu.Unlock()
		return http.ErrServerClosed
	}
	s.listeners[listener] = struct{}{}
	s.accepting.Add(1)
	s.mu.Unlock()
	defer s.accepting.Done()
	for backOff := time.Duration(0); ; {
		raw, err := listener.Accept()
		if err == nil {
			backOff = 0
			s.start(raw)
			continue
		}
		if s.isShuttingDown() {
			return http.ErrServerClosed
		}
		var failure net.Error
		if !errors.As(err, &failure) || errors.Is(err, net.ErrClosed) {
			return merry.Wrap(err)
		}
		// The process has no free file descriptors, or the connection was reset before it was accepted.
		backOff = min(max(2*backOff, minAcceptBackOff), maxAcceptBackOff)
		klog.InfoS("connection not accepted", "address", listener.Addr().String(), "err", err)
		time.Sleep(backOff)
	}
}

// Pauses after a failed accept.
const (
	minAcceptBackOff = 5 * time.Millisecond
	maxAcceptBackOff = 200 * time.Millisecond
)

// start serves a connection in the background.
func (s *Server) start(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		raw.Close()
		return
	}
	if !s.admit(c) {
		s.refused(ReasonConnectionsFull, c.remote, nil)
		raw.Close()
		return
	}
	s.serving.Go(func() {
		defer s.remove(c)
		if guard.Run("connection", func() error { c.serve(); return nil }) != nil {
			c.abort()
		}
	})
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// isDraining reports whether connections are closed after their outstanding responses.
func (s *Server) isDraining() bool { return s.draining.Load() }

// Drain closes each connection after the responses to the requests that have been read. Idle connections stay open for one more
// request, which may be on its way, until Shutdown. New connections are still accepted, for one request each.
func (s *Server) Drain() { s.draining.Store(true) }

// snapshot returns the open connections. s.mu must be held.
func (s *Server) snapshot() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// stopAccepting accepts the connections that are queued at the listeners, and closes the listeners. A listener that is closed with
// connections in its queue resets them.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.shuttingDown = true
	for listener := range s.listeners {
		limited, ok := listener.(interface{ SetDeadline(time.Time) error })
		if !ok || limited.SetDeadline(time.Now().Add(acceptDrainTime)) != nil {
			listener.Close()
		}
	}
	s.mu.Unlock()
	s.accepting.Wait()
}

// Shutdown drains the server, stops accepting connections and waits until all responses have been delivered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.stopAccepting()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for began := time.Now(); ; {
		s.mu.Lock()
		conns := s.snapshot()
		s.mu.Unlock()
		if len(conns) == 0 {
			return nil
		}
		for _, c := range conns {
			c.closeIfIdle(time.Since(began) < firstRequestTime)
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
}

// Close closes all listeners and connections at once and waits until no handler is running any more.
func (s *Server) Close() error {
	s.mu.Lock()
	s.shuttingDown, s.closed = true, true
	for listener := range s.listeners {
		listener.Close()
	}
	conns := s.snapshot()
	s.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
	s.accepting.Wait()
	s.serving.Wait()
	return nil
}
