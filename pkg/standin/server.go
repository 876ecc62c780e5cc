package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"almondrock.example/almondrock/pkg/target"
)

// ErrListen is returned when the stand-in target cannot listen on its address.
var ErrListen = merry.Sentinel("stand-in target cannot listen")

// Close waits up to shutdownTimeout for requests in flight and checks for them every shutdownPoll.
const (
	shutdownTimeout = 2 * time.Second
	shutdownPoll    = 2 * time.Millisecond
)

// Server is a running stand-in target. It is safe for concurrent use.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	inFlight atomic.Int64

	mu              sync.Mutex
	faults          Faults
	thawed          chan struct{}
	bootID          string
	sequence        uint64
	draining        bool
	warmupCount     int
	truncatedCount  int
	executions      []Execution
	executionsByKey map[string]int
	counts          Counts
	grants          grantTable
}

// Start listens on loopback and starts to announce the target to the hosts in options. It fails with ErrListen.
func Start(options Options) (*Server, error) {
	options.applyDefaults()
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessagef("address %s", options.Address))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: options, listener: listener, stop: cancel, faults: options.Faults,
		bootID: uuid.NewString(), executionsByKey: map[string]int{}, grants: newGrantTable(), thawed: closedChannel(),
	}
	if options.Faults.Freeze {
		s.thawed = make(chan struct{})
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	s.tasks.Go(func() { _ = s.http.Serve(listener) })
	if len(options.Hosts) > 0 {
		s.tasks.Go(func() { s.announceLoop(ctx) })
	}
	return s, nil
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.GrantPath, s.handleGrant)
	mux.HandleFunc("POST "+target.RevokePath, s.handleRevoke)
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

// Address returns the address (host:port) of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Name returns the target's name.
func (s *Server) Name() string { return s.options.Name }

// BootID returns the current boot id.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID
}

// SetFaults calls change to modify the current faults.
func (s *Server) SetFaults(change func(faults *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults
	change(&s.faults)
	if s.faults.Freeze && !before.Freeze {
		s.thawed = make(chan struct{})
	}
	if !s.faults.Freeze && before.Freeze {
		close(s.thawed)
	}
	if s.faults.TruncateAfter != before.TruncateAfter || s.faults.TruncateCount != before.TruncateCount {
		s.truncatedCount = 0
	}
	if s.faults.WarmupRequests != before.WarmupRequests {
		s.warmupCount = 0
	}
}

// SetDraining sets whether the announcements ask for no new requests.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Restart simulates a restart: the target gets a new boot id, loses its grants and is cold again.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootID = uuid.NewString()
	s.sequence = 0
	s.warmupCount = 0
	s.grants = newGrantTable()
}

// Executions returns the requests that the target has run, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// Counts returns the counters since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// HeldGrants returns the grants that have not expired.
func (s *Server) HeldGrants() []target.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants.held(s.options.Clock())
}

// Close stops the announcements and the listener, waits up to 2 s for requests in flight and closes all connections.
func (s *Server) Close() error {
	s.stop()
	s.SetFaults(func(faults *Faults) { faults.Freeze = false })
	_ = s.listener.Close()
	// http.Server.Shutdown would wait for connections that have not carried a request yet.
	for waited := time.Duration(0); s.inFlight.Load() > 0 && waited < shutdownTimeout; waited += shutdownPoll {
		time.Sleep(shutdownPoll)
	}
	err := s.http.Close()
	s.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return merry.Wrap(err)
}

// Kill closes the listener and all connections at once, as if the process had been killed.
func (s *Server) Kill() {
	s.stop()
	s.SetFaults(func(faults *Faults) { faults.Freeze = false })
	_ = s.http.Close()
	s.tasks.Wait()
}

// String returns the target's name and address, for test reports.
func (s *Server) String() string { return fmt.Sprintf("%s at %s", s.options.Name, s.Address()) }
