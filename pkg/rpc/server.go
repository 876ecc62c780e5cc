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

// Pauses after a failed accept, for example when the process is out of file descriptors.
const (
	acceptPauseMin = 5 * time.Millisecond
	acceptPauseMax = time.Second
)

// receiverMethod is the only method that net/rpc knows.
const receiverMethod = "Dispatch.Call"

type handlerFunc func(ctx context.Context, body []byte) (proto.Message, error)

// Server answers calls from other hosts. It is safe for concurrent use.
type Server struct {
	options  ServerOptions
	rpc      *netrpc.Server
	ctx      context.Context
	cancel   context.CancelFunc
	draining chan struct{}
	running  sync.WaitGroup

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
	if err := server.rpc.RegisterName("Dispatch", &dispatch{server: server}); err != nil {
		panic(err) // the receiver's signature is wrong, which no input can cause
	}
	return server
}

// Register adds a handler under method, which is "Service.Method". The handler's context ends with the caller's
// deadline, with the connection and with Close. Its error reaches the caller as *RemoteError: a *RemoteError as it is,
// an *apierr.Refusal with its code, any other as CodeInternal. Registering a method twice panics.
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

// Serve accepts connections until Close or Shutdown, and then returns *ClosedError. The server closes the listener.
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
			klog.Warningf("rpc: accept on %s: %v", listener.Addr(), err)
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
	if s.stopped || len(s.codecs) >= s.options.MaxConnections {
		codec.Close()
		return
	}
	s.codecs[codec] = struct{}{}
	s.running.Add(1)
	go s.serveConn(codec)
}

func (s *Server) serveConn(codec *serverCodec) {
	defer s.running.Done()
	defer func() {
		codec.Close()
		s.mu.Lock()
		delete(s.codecs, codec)
		s.mu.Unlock()
	}()
	if err := codec.handshake(); err != nil {
		klog.Warningf("rpc: handshake with %s: %v", codec.conn.RemoteAddr(), err)
		return
	}
	s.rpc.ServeCodec(codec)
}

// Shutdown stops reading requests, waits until the running handlers have answered or ctx ends, and closes the server.
// It returns the error of ctx if handlers were still running.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	finished := make(chan struct{})
	go func() {
		s.running.Wait()
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

// Close ends the handlers' contexts, closes all connections and waits until the handlers have returned.
func (s *Server) Close() error {
	s.stop()
	s.cancel()
	s.mu.Lock()
	for codec := range s.codecs {
		codec.conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
	return nil
}

// stop closes the listeners and makes every connection read no further request.
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
