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

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// IncomingRequest is a request on its way from the codec to the handler. It is exported only because net/rpc requires it.
type IncomingRequest struct {
	ctx    context.Context
	cancel context.CancelFunc
	method string
	body   []byte
}

// OutgoingResponse is an encoded answer. It is exported only because net/rpc requires it.
type OutgoingResponse struct {
	body []byte
}

// dispatch is the receiver that net/rpc calls for every request.
type dispatch struct {
	server *Server
}

// Call runs the handler of the request. A panic in a handler is not recovered, since state that it left inconsistent
// must not be used further.
func (d *dispatch) Call(request *IncomingRequest, answer *OutgoingResponse) error {
	defer request.cancel()
	handler, ok := d.server.handler(request.method)
	if !ok {
		return NewError(CodeUnknownMethod, "%s", request.method)
	}
	response, err := handler(request.ctx, request.body)
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
	answer.body = body
	return nil
}

// Peer is the other end of the connection that a request came from.
type Peer struct {
	Address net.Addr
	// TLS is nil without TLS.
	TLS *tls.ConnectionState
}

type peerKey struct{}

// PeerFromContext returns the peer of the request whose handler got ctx.
func PeerFromContext(ctx context.Context) (Peer, bool) {
	peer, ok := ctx.Value(peerKey{}).(Peer)
	return peer, ok
}

// serverCodec implements rpc.ServerCodec for one connection. net/rpc reads from one goroutine and serialises writes.
type serverCodec struct {
	server *Server
	conn   net.Conn
	writer *pacedConn
	reader *frameReader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	header *schemav1.RpcHeader

	mu       sync.Mutex
	draining bool
	methods  map[uint64]string // of running requests, by sequence number
}

func newServerCodec(server *Server, conn net.Conn) *serverCodec {
	ctx, cancel := context.WithCancel(server.ctx)
	codec := &serverCodec{
		server:  server,
		conn:    conn,
		writer:  &pacedConn{Conn: conn, timeout: server.options.StallTimeout},
		ctx:     ctx,
		cancel:  cancel,
		slots:   make(chan struct{}, server.options.MaxConcurrentRequests),
		methods: map[uint64]string{},
	}
	codec.reader = newFrameReader(conn, func() error { return codec.readWithin(server.options.StallTimeout) })
	return codec
}

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
	c.ctx = context.WithValue(c.ctx, peerKey{}, peer)
	return nil
}

// ReadRequestHeader implements rpc.ServerCodec. It reads nothing while MaxConcurrent requests run.
func (c *serverCodec) ReadRequestHeader(request *netrpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return c.fail(&ClosedError{Resource: "rpc server"})
	case <-c.server.draining:
		return c.fail(&ClosedError{Resource: "rpc server"})
	}
	if err := c.awaitRequest(); err != nil {
		return c.fail(err)
	}
	header, err := c.reader.header()
	if err != nil {
		return c.fail(err)
	}
	c.mu.Lock()
	_, duplicate := c.methods[header.Sequence]
	c.methods[header.Sequence] = header.ServiceMethod
	c.mu.Unlock()
	if duplicate {
		return c.fail(&FrameError{Reason: "sequence number of a running request"})
	}
	c.header = header
	request.ServiceMethod = receiverMethod
	request.Seq = header.Sequence
	return nil
}

// awaitRequest waits for the first byte of a request. Only a connection without running requests is idle.
func (c *serverCodec) awaitRequest() error {
	for {
		if err := c.readWithin(c.server.options.IdleTimeout); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.isBusy() {
			continue
		}
		if err != nil {
			return err
		}
		return c.readWithin(c.server.options.StallTimeout)
	}
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(target any) error {
	body, err := c.reader.body(uint64(c.server.options.MaxMessageSize))
	if err != nil {
		return c.fail(err)
	}
	request, ok := target.(*IncomingRequest)
	if !ok {
		return nil
	}
	deadline := c.server.options.CallTimeout
	if c.header.DeadlineMs > 0 {
		deadline = time.Duration(c.header.DeadlineMs) * time.Millisecond
	}
	request.ctx, request.cancel = context.WithTimeout(c.ctx, deadline)
	request.method = c.header.ServiceMethod
	request.body = body
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *netrpc.Response, body any) error {
	defer func() { <-c.slots }()
	defer c.finish(response.Seq)
	header := &schemav1.RpcHeader{
		ServiceMethod: c.method(response.Seq),
		Sequence:      response.Seq,
		Error:         response.Error,
	}
	var encoded []byte
	if answer, ok := body.(*OutgoingResponse); ok && response.Error == "" {
		encoded = answer.body
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
	return c.methods[sequence]
}

func (c *serverCodec) finish(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.methods, sequence)
}

// fail ends reading. While draining, running handlers keep their contexts and the connection to answer.
func (c *serverCodec) fail(err error) error {
	if c.isDraining() {
		return wrap(&ClosedError{Resource: "rpc server"})
	}
	return c.abort(err)
}

// abort ends the connection and the contexts of its handlers.
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

// Close implements rpc.ServerCodec. net/rpc calls it after the last handler has answered.
func (c *serverCodec) Close() error {
	c.cancel()
	return c.conn.Close()
}

func (c *serverCodec) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	// A read that waits fails at once; a failure to set it means that the connection is closed already.
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
	return len(c.methods) > 0 && !c.draining
}

// readWithin sets the read time-out unless the server drains, whose past time-out must stay in force.
func (c *serverCodec) readWithin(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return &ClosedError{Resource: "rpc server"}
	}
	return c.conn.SetReadDeadline(time.Now().Add(timeout))
}
