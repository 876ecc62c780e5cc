package rpc

import (
	"context"
	"crypto/tls"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"
)

// Bounds of the pause after a failed accept. Accept fails, for example, when the process is out of file descriptors.
const (
	acceptPauseMin = 5 * time.Millisecond
	acceptPauseMax = time.Second
)

// receiverMethod is the only method that is registered with net/rpc.
const receiverMethod = "Dispatch.Call"

type handlerFunc func(ctx context.Context, body []byte) (proto.Message, error)

// Server handles calls from other hosts. It is safe for concurrent use.
type Server struct {
	options        ServerOptions
	rpc            *netrpc.Server
	ctx            context.Context
	cancel         context.CancelFunc
	draining       chan struct{}
	connGoroutines sync.WaitGroup

	mu        sync.Mutex
	methods   map[string]handlerFunc
	listeners map[net.Listener]struct{}
	codecs    map[*serverCodec]struct{}
	stopped   bool
}

// NewServer returns a server without methods.
func NewServer(options ServerOptions) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		options:   options.withDefaults(),
		rpc:       netrpc.NewServer(),
		ctx:       ctx,
		cancel:    cancel,
		draining:  make(chan struct{}),
		methods:   map[string]handlerFunc{},
		listeners: map[net.Listener]struct{}{},
		codecs:    map[*serverCodec]struct{}{},
	}
	if err := server.rpc.RegisterName("Dispatch", &dispatchReceiver{server: server}); err != nil {
		panic(err) // the receiver's signature is wrong, which no input can cause
	}
	return server
}

// Register registers a handler for method, which has the form "Service.Method". The handler's context ends at the caller's
// deadline, with the connection, and with Server.Close. The caller receives the handler's error as *RemoteError: a
// *RemoteError unchanged, an *apierr.Refusal with its code, an error of a context with CodeDeadline, and any other error
// with CodeInternal. Registering a method twice panics with *DuplicateMethodError.
func Register[Request, Response proto.Message](
	server *Server, method string, handler func(context.Context, Request) (Response, error),
) {
	var prototype Request
	messageType := prototype.ProtoReflect().Type()
	server.register(method, func(ctx context.Context, body []byte) (proto.Message, error) {
		request := messageType.New().Interface().(Request)
		if err := proto.Unmarshal(body, request); err != nil {
			return nil, NewError(CodeBadRequest, "request of %s: %v", method, err)
		}
		return handler(ctx, request)
	})
}

func (s *Server) register(method string, handler handlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.methods[method]; ok {
		panic(&DuplicateMethodError{Method: method})
	}
	s.methods[method] = handler
}

func (s *Server) handler(method string) (handlerFunc, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	handler, ok := s.methods[method]
	return handler, ok
}

// Serve accepts connections until Close or Shutdown is called, and then returns *ClosedError. The server closes the
// listener.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		listener.Close()
		return wrap(&ClosedError{Resource: "rpc server"})
	}
	pause := acceptPauseMin
	for {
		conn, err := listener.Accept()
		if err == nil {
			pause = acceptPauseMin
			s.accept(conn)
			continue
		}
		select {
		case <-s.draining:
			return wrap(&ClosedError{Resource: "rpc server"})
		case <-time.After(pause):
			klog.Warningf("rpc: failed to accept a connection on %s: %v", listener.Addr(), err)
			pause = min(2*pause, acceptPauseMax)
		}
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) accept(conn net.Conn) {
	if s.options.TLS != nil {
		conn = tls.Server(conn, s.options.TLS)
	}
	codec := newServerCodec(s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || (len(s.codecs) >= s.options.MaxConnections && !s.evictOne()) {
		codec.Close()
		return
	}
	s.codecs[codec] = struct{}{}
	s.connGoroutines.Add(1)
	go s.serveConn(codec)
}

// evictOne closes the oldest connection that has carried no request so far, and reports whether there was one. Other hosts send a request as
// soon as they have connected; one that has not is likely an untrusted caller. s.mu must be held.
func (s *Server) evictOne() bool {
	var oldest *serverCodec
	for codec := range s.codecs {
		if !codec.isUsed() && (oldest == nil || codec.accepted.Before(oldest.accepted)) {
			oldest = codec
		}
	}
	if oldest == nil {
		return false
	}
	klog.V(1).InfoS("rpc: connection closed for a new one", "peer", oldest.conn.RemoteAddr())
	oldest.conn.Close()
	delete(s.codecs, oldest)
	return true
}

func (s *Server) serveConn(codec *serverCodec) {
	defer s.connGoroutines.Done()
	defer func() {
		codec.Close()
		s.mu.Lock()
		delete(s.codecs, codec)
		s.mu.Unlock()
	}()
	if err := codec.handshake(); err != nil {
		klog.Warningf("rpc: TLS handshake with %s failed: %v", codec.conn.RemoteAddr(), err)
		return
	}
	s.rpc.ServeCodec(codec)
}

// Shutdown stops reading requests, waits until the responses of all running handlers have been sent or ctx ends, and closes
// the server. It returns *TimeoutError if ctx ended first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	finished := make(chan struct{})
	go func() {
		s.connGoroutines.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = wrap(&TimeoutError{Address: "rpc server", Method: "Shutdown", Cause: ctx.Err()})
	}
	return firstError(err, s.Close())
}

// Close ends the contexts of all handlers, closes all connections and waits until the handlers have returned.
func (s *Server) Close() error {
	s.stop()
	s.cancel()
	s.mu.Lock()
	for codec := range s.codecs {
		codec.conn.Close()
	}
	s.mu.Unlock()
	s.connGoroutines.Wait()
	return nil
}

// stop closes the listeners and stops reading requests on all connections.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.draining)
	for listener := range s.listeners {
		listener.Close()
	}
	for codec := range s.codecs {
		codec.drain()
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
