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

// ErrListen is returned when the stand-in cannot listen on its address.
var ErrListen = merry.Sentinel("stand-in target cannot listen")

// Close waits for requests up to shutdownTimeout and looks for them every shutdownPoll.
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
	done     sync.WaitGroup
	running  atomic.Int64

	mu       sync.Mutex
	faults   Faults
	thawed   chan struct{}
	bootID   string
	sequence uint64
	draining bool
	warmed   int
	cut      int
	runs     []Execution
	byKey    map[string]int
	counts   Counts
	grants   grantTable
}

// Start listens on loopback and announces the target to the given hosts. It fails with ErrListen.
func Start(options Options) (*Server, error) {
	options.applyDefaults()
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessagef("address %s", options.Address))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: options, listener: listener, stop: cancel, faults: options.Faults,
		bootID: uuid.NewString(), byKey: map[string]int{}, grants: newGrantTable(), thawed: closedChannel(),
	}
	if options.Faults.Freeze {
		s.thawed = make(chan struct{})
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	s.done.Go(func() { _ = s.http.Serve(listener) })
	if len(options.Hosts) > 0 {
		s.done.Go(func() { s.announceLoop(ctx) })
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
	mux.HandleFunc("/", s.handleWork)
	return mux
}

// Address is the host:port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Name is the target's name.
func (s *Server) Name() string { return s.options.Name }

// BootID is the boot id in force.
func (s *Server) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootID
}

// SetFaults lets change edit the faults in force.
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
		s.cut = 0
	}
	if s.faults.WarmupRequests != before.WarmupRequests {
		s.warmed = 0
	}
}

// SetDraining announces that the target asks for no new work, or stops asking.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Restart gives the target a new boot id. Its grants are gone and it is cold again.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootID = uuid.NewString()
	s.sequence = 0
	s.warmed = 0
	s.grants = newGrantTable()
}

// Executions returns what the target has run, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Counts returns the figures since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// HeldGrants returns the grants in force.
func (s *Server) HeldGrants() []target.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants.held(s.options.Clock())
}

// Close stops the announcements and the listener, waits for requests, at most for 2 s, and closes all connections.
func (s *Server) Close() error {
	s.stop()
	s.SetFaults(func(faults *Faults) { faults.Freeze = false })
	_ = s.listener.Close()
	// http.Server.Shutdown would wait for connections that have not carried a request yet.
	for waited := time.Duration(0); s.running.Load() > 0 && waited < shutdownTimeout; waited += shutdownPoll {
		time.Sleep(shutdownPoll)
	}
	err := s.http.Close()
	s.done.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return merry.Wrap(err)
}

// Kill closes the listener and all connections at once, as the loss of the process does.
func (s *Server) Kill() {
	s.stop()
	s.SetFaults(func(faults *Faults) { faults.Freeze = false })
	_ = s.http.Close()
	s.done.Wait()
}

// String names the target for test reports.
func (s *Server) String() string { return fmt.Sprintf("%s at %s", s.options.Name, s.Address()) }
