package rpc

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	netrpc "net/rpc"
	"sync"
	"sync/atomic"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// States of the write of a request.
const (
	writeNotStarted int32 = iota
	// writeStarted lasts from the start of the write to the end of the call, unless the write fails.
	writeStarted
	// writeFailed means that the write failed, so that the peer can't have received the whole request.
	writeFailed
)

// clientRequest is a request with an encoded body.
type clientRequest struct {
	ctx        context.Context
	method     string
	body       []byte
	writeState atomic.Int32
}

func newClientRequest(ctx context.Context, method string, body []byte) *clientRequest {
	return &clientRequest{ctx: ctx, method: method, body: body}
}

// deadlineMs returns the time left until the deadline in whole milliseconds, at least 1.
func (r *clientRequest) deadlineMs() uint32 {
	deadline, _ := r.ctx.Deadline()
	return uint32(min(max(time.Until(deadline).Milliseconds(), 1), math.MaxUint32))
}

// clientResponse is a response with an encoded body. The caller decodes it, because the codec may store the body after the
// caller has stopped waiting.
type clientResponse struct {
	method string
	body   []byte
}

// clientCodec implements rpc.ClientCodec for one connection. net/rpc reads from one goroutine and serialises writes.
type clientCodec struct {
	options ClientOptions
	conn    net.Conn
	writer  *timeoutConn
	reader  *frameReader
	header  *schemav1.RpcHeader
	// endBackoff is called at the first response, and before the connection is closed because it is idle.
	endBackoff func()

	mu           sync.Mutex
	closed       bool
	failure      error
	outstanding  map[uint64]string // method by sequence number
	lastReceived time.Time         // time of the last data received, or of the first outstanding request if that is later
	idleTimer    *time.Timer
}

func newClientCodec(conn net.Conn, options ClientOptions, endBackoff func()) *clientCodec {
	codec := &clientCodec{
		options:     options,
		conn:        conn,
		writer:      &timeoutConn{Conn: conn, timeout: options.StallTimeout},
		outstanding: map[uint64]string{},
		endBackoff:  endBackoff,
	}
	codec.reader = newFrameReader(conn, codec.extendReadDeadline)
	codec.mu.Lock()
	defer codec.mu.Unlock()
	codec.idleTimer = time.AfterFunc(options.IdleTimeout, codec.closeIfIdle)
	return codec
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *netrpc.Request, body any) error {
	out := body.(*clientRequest)
	header := &schemav1.RpcHeader{ServiceMethod: out.method, Sequence: request.Seq, DeadlineMs: out.deadlineMs()}
	message, err := appendMessage(nil, header, out.body)
	if err != nil {
		return wrap(err)
	}
	if err := out.ctx.Err(); err != nil {
		return wrap(&TimeoutError{Method: out.method, Cause: err})
	}
	if !c.beginRequest(request.Seq, out.method) {
		return wrap(&ClosedError{Resource: "connection"})
	}
	out.writeState.Store(writeStarted)
	if _, err := c.writer.Write(message); err != nil {
		out.writeState.Store(writeFailed)
		return c.fail(err)
	}
	return nil
}

func (c *clientCodec) beginRequest(sequence uint64, method string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if len(c.outstanding) == 0 {
		c.lastReceived = time.Now()
		c.idleTimer.Stop()
	}
	c.outstanding[sequence] = method
	return true
}

// ReadResponseHeader implements rpc.ClientCodec. A response that matches no outstanding request of the same method ends the
// connection, because other responses on it may be misdirected, too.
func (c *clientCodec) ReadResponseHeader(response *netrpc.Response) error {
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return c.fail(err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return c.fail(err)
	}
	if err := c.extendReadDeadline(); err != nil {
		return c.fail(err)
	}
	header, err := c.reader.header()
	if err != nil {
		return c.fail(err)
	}
	if err := c.checkResponse(header); err != nil {
		return c.fail(err)
	}
	if c.header == nil {
		c.endBackoff()
	}
	c.header = header
	response.ServiceMethod = header.ServiceMethod
	response.Seq = header.Sequence
	response.Error = header.Error
	return nil
}

func (c *clientCodec) checkResponse(header *schemav1.RpcHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	method, ok := c.outstanding[header.Sequence]
	switch {
	case !ok:
		return &FrameError{Reason: "response without an outstanding request"}
	case method != header.ServiceMethod:
		return &FrameError{Reason: "response has another method than its request"}
	}
	return nil
}

// ReadResponseBody implements rpc.ClientCodec. The request is outstanding until the whole response has been read, so that the connection
// does not count as idle before.
func (c *clientCodec) ReadResponseBody(target any) error {
	body, err := c.reader.body(uint64(c.options.MaxMessageSize))
	if err != nil {
		return c.fail(err)
	}
	c.endRequest(c.header.Sequence)
	if response, ok := target.(*clientResponse); ok {
		response.body = body
	}
	return nil
}

func (c *clientCodec) endRequest(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	delete(c.outstanding, sequence)
	if len(c.outstanding) == 0 && !c.closed {
		c.idleTimer.Reset(c.options.IdleTimeout)
	}
}

// extendReadDeadline sets the read deadline to StallTimeout from now and records that the peer made progress.
func (c *clientCodec) extendReadDeadline() error {
	c.mu.Lock()
	c.lastReceived = time.Now()
	c.mu.Unlock()
	return c.conn.SetReadDeadline(time.Now().Add(c.options.StallTimeout))
}

// fail closes the connection before it returns the error to net/rpc, so that no request is sent after the failure.
func (c *clientCodec) fail(err error) error {
	c.mu.Lock()
	if c.failure == nil {
		c.failure = err
	}
	c.mu.Unlock()
	c.Close()
	return wrap(err)
}

// closeIfUnresponsive closes the connection if responses are outstanding and no data was received for at least timeout.
func (c *clientCodec) closeIfUnresponsive(timeout time.Duration) {
	c.mu.Lock()
	unresponsive := len(c.outstanding) > 0 && time.Since(c.lastReceived) >= timeout
	c.mu.Unlock()
	if unresponsive {
		_ = c.fail(&ClosedError{Resource: "unresponsive connection"})
	}
}

func (c *clientCodec) closeIfIdle() {
	if !c.isIdle() {
		return
	}
	// A connection that this side closes as idle before its first request must not count as a failed dial, so the back-off
	// ends. It must end before the connection is marked as closed, because the next call dials as soon as it is.
	c.endBackoff()
	c.mu.Lock()
	idle := len(c.outstanding) == 0 && !c.closed
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		c.conn.Close()
	}
}

func (c *clientCodec) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outstanding) == 0 && !c.closed
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.mu.Lock()
	c.closed = true
	c.idleTimer.Stop()
	c.mu.Unlock()
	return c.conn.Close()
}

func (c *clientCodec) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// callError converts the error of a finished call to a typed error.
func (c *clientConn) callError(address string, request *clientRequest, err error) error {
	var serverError netrpc.ServerError
	if errors.As(err, &serverError) {
		return decodeError(string(serverError))
	}
	var timeout *TimeoutError
	if errors.As(err, &timeout) {
		return &TimeoutError{Address: address, Method: request.method, Cause: timeout.Cause}
	}
	c.codec.mu.Lock()
	cause := c.codec.failure
	c.codec.mu.Unlock()
	if cause == nil {
		cause = err
	}
	if errors.Is(cause, net.ErrClosed) || errors.Is(cause, io.EOF) {
		cause = &ClosedError{Resource: "connection"}
	}
	if request.writeState.Load() == writeStarted {
		return &ConnectionLostError{Address: address, Method: request.method, Cause: cause}
	}
	return &UnavailableError{Address: address, Cause: cause}
}
