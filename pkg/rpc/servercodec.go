package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	netrpc "net/rpc"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/memory"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// IncomingRequest is a request with an encoded body, which the codec passes to dispatchReceiver. It is exported only because
// net/rpc requires it.
type IncomingRequest struct {
	ctx    context.Context
	cancel context.CancelFunc
	method string
	body   []byte
	// counted is what the budget counts for the body.
	counted int64
}

// OutgoingResponse is a response with an encoded body. It is exported only because net/rpc requires it.
type OutgoingResponse struct {
	body []byte
}

// dispatchReceiver is the receiver that net/rpc calls for every request.
type dispatchReceiver struct {
	server *Server
}

// Call runs the handler of the request. The caller of a handler that panics gets an error; state that a handler shares with others is
// changed by the goroutine that owns it, which ends the host if it panics.
func (d *dispatchReceiver) Call(request *IncomingRequest, outgoing *OutgoingResponse) error {
	defer request.cancel()
	defer d.server.options.Budget.Release(memory.Bodies, request.counted)
	handler, ok := d.server.handler(request.method)
	if !ok {
		return NewError(CodeUnknownMethod, "%s", request.method)
	}
	var response proto.Message
	err := guard.Run(request.method, func() (err error) {
		response, err = handler(request.ctx, request.body)
		return err
	})
	if err != nil {
		return decodeError(encodeError(err))
	}
	body, err := proto.Marshal(response)
	if err != nil {
		return NewError(CodeInternal, "answer of %s: %v", request.method, err)
	}
	if len(body) > d.server.options.MaxMessageSize {
		return NewError(CodeTooLarge, "answer of %s: %d bytes", request.method, len(body))
	}
	outgoing.body = body
	return nil
}

// Peer is the other end of the connection that a request came from.
type Peer struct {
	Address net.Addr
	// TLS is nil if the connection does not use TLS.
	TLS *tls.ConnectionState
}

type peerContextKey struct{}

// PeerFromContext returns the peer that sent a request. ctx is the context that the handler of the request received.
func PeerFromContext(ctx context.Context) (Peer, bool) {
	peer, ok := ctx.Value(peerContextKey{}).(Peer)
	return peer, ok
}

// serverCodec implements rpc.ServerCodec for one connection. net/rpc reads from one goroutine and serialises writes.
type serverCodec struct {
	server       *Server
	conn         net.Conn
	writer       *timeoutConn
	reader       *frameReader
	ctx          context.Context
	cancel       context.CancelFunc
	requestSlots chan struct{} // holds an element for each running request and for the one being read
	header       *schemav1.RpcHeader
	// counted is what the budget counts for the message that is being read.
	counted  int64
	accepted time.Time

	mu             sync.Mutex
	draining       bool
	runningMethods map[uint64]string // methods of running requests, by sequence number
	// used is set once a request has been read.
	used bool
}

func newServerCodec(server *Server, conn net.Conn) *serverCodec {
	ctx, cancel := context.WithCancel(server.ctx)
	codec := &serverCodec{
		server:         server,
		conn:           conn,
		writer:         &timeoutConn{Conn: conn, timeout: server.options.StallTimeout},
		ctx:            ctx,
		cancel:         cancel,
		requestSlots:   make(chan struct{}, server.options.MaxConcurrentRequests),
		runningMethods: map[uint64]string{}, accepted: time.Now(),
	}
	codec.reader = newFrameReader(conn, func() error { return codec.setReadTimeout(server.options.StallTimeout) })
	codec.reader.acquire = func(bytes int64) bool {
		if !server.options.Budget.TryAcquire(memory.Bodies, bytes) {
			return false
		}
		codec.counted += bytes
		return true
	}
	return codec
}

// handshake performs the TLS handshake, if the server uses TLS, and adds the peer to the context.
func (c *serverCodec) handshake() error {
	peer := Peer{Address: c.conn.RemoteAddr()}
	if conn, ok := c.conn.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(c.ctx, c.server.options.StallTimeout)
		defer cancel()
		if err := conn.HandshakeContext(ctx); err != nil {
			return err
		}
		state := conn.ConnectionState()
		peer.TLS = &state
	}
	c.ctx = context.WithValue(c.ctx, peerContextKey{}, peer)
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec. It does not read while MaxConcurrentRequests requests are running.
func (c *serverCodec) ReadRequestHeader(request *netrpc.Request) error {
	select {
	case c.requestSlots <- struct{}{}:
	case <-c.ctx.Done():
		return c.fail(&ClosedError{Resource: "rpc server"})
	case <-c.server.draining:
		return c.fail(&ClosedError{Resource: "rpc server"})
	}
	if err := c.awaitRequest(); err != nil {
		return c.fail(err)
	}
	header, err := c.reader.header()
	c.releaseCounted()
	if err != nil {
		return c.fail(err)
	}
	c.mu.Lock()
	_, duplicate := c.runningMethods[header.Sequence]
	c.runningMethods[header.Sequence] = header.ServiceMethod
	c.used = true
	c.mu.Unlock()
	if duplicate {
		return c.fail(&FrameError{Reason: "sequence number is in use by a running request"})
	}
	c.header = header
	request.ServiceMethod = receiverMethod
	request.Seq = header.Sequence
	return nil
}

// awaitRequest waits for the first byte of a request. The idle timeout applies only if no request is running.
func (c *serverCodec) awaitRequest() error {
	for {
		if err := c.setReadTimeout(c.server.options.IdleTimeout); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.isBusy() {
			continue
		}
		if err != nil {
			return err
		}
		return c.setReadTimeout(c.server.options.StallTimeout)
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(target any) error {
	body, err := c.reader.body(uint64(c.server.options.MaxMessageSize))
	if err != nil {
		c.releaseCounted()
		return c.fail(err)
	}
	request, ok := target.(*IncomingRequest)
	if !ok {
		c.releaseCounted()
		return nil
	}
	request.counted, c.counted = c.counted, 0
	deadline := c.server.options.CallTimeout
	if c.header.DeadlineMs > 0 {
		deadline = time.Duration(c.header.DeadlineMs) * time.Millisecond
	}
	request.ctx, request.cancel = context.WithTimeout(c.ctx, deadline)
	request.method = c.header.ServiceMethod
	request.body = body
	return nil
}

// releaseCounted ends the counting of the message that was read.
func (c *serverCodec) releaseCounted() {
	c.server.options.Budget.Release(memory.Bodies, c.counted)
	c.counted = 0
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *netrpc.Response, body any) error {
	defer func() { <-c.requestSlots }()
	defer c.removeRunning(response.Seq)
	header := &schemav1.RpcHeader{
		ServiceMethod: c.method(response.Seq),
		Sequence:      response.Seq,
		Error:         response.Error,
	}
	var encoded []byte
	if outgoing, ok := body.(*OutgoingResponse); ok && response.Error == "" {
		encoded = outgoing.body
	}
	message, err := appendMessage(nil, header, encoded)
	if err != nil {
		return c.abort(err)
	}
	if _, err := c.writer.Write(message); err != nil {
		return c.abort(err)
	}
	return nil
}

func (c *serverCodec) method(sequence uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningMethods[sequence]
}

func (c *serverCodec) removeRunning(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.runningMethods, sequence)
}

// fail ends reading after err. While the server drains, the running handlers keep their contexts, and the connection stays
// open for their responses.
func (c *serverCodec) fail(err error) error {
	if c.isDraining() {
		return wrap(&ClosedError{Resource: "rpc server"})
	}
	return c.abort(err)
}

// abort closes the connection and ends the contexts of its handlers.
func (c *serverCodec) abort(err error) error {
	c.cancel()
	c.conn.Close()
	var size *SizeError
	var frame *FrameError
	if errors.As(err, &size) || errors.As(err, &frame) {
		klog.Warningf("rpc: connection from %s closed: %v", c.conn.RemoteAddr(), err)
	}
	return wrap(err)
}

// Close implements rpc.ServerCodec. net/rpc calls it after the last response has been written.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.conn.Close()
}

func (c *serverCodec) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	// A deadline in the past makes a waiting read fail at once. Setting it fails only if the connection is already closed.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *serverCodec) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

func (c *serverCodec) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runningMethods) > 0 && !c.draining
}

// isUsed reports whether a request has been read.
func (c *serverCodec) isUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// setReadTimeout sets the read deadline. While the server drains it returns *ClosedError instead, because the deadline in
// the past must stay in effect.
func (c *serverCodec) setReadTimeout(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return &ClosedError{Resource: "rpc server"}
	}
	return c.conn.SetReadDeadline(time.Now().Add(timeout))
}
