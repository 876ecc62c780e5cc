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

// States of an outgoing request.
const (
	stateQueued int32 = iota
	// stateWriting covers the write and everything after it.
	stateWriting
	// stateFailed means that the write ended early, so that the peer cannot have the whole request.
	stateFailed
)

// outgoing is an encoded request.
type outgoing struct {
	ctx    context.Context
	method string
	body   []byte
	state  atomic.Int32
}

func newOutgoing(ctx context.Context, method string, body []byte) *outgoing {
	return &outgoing{ctx: ctx, method: method, body: body}
}

// deadlineMs is the time left in whole milliseconds, at least 1.
func (o *outgoing) deadlineMs() uint32 {
	deadline, _ := o.ctx.Deadline()
	return uint32(min(max(time.Until(deadline).Milliseconds(), 1), math.MaxUint32))
}

// incoming is an undecoded answer. It is decoded by the caller, because the codec may fill it after the caller has
// given up.
type incoming struct {
	method string
	body   []byte
}

// clientCodec implements rpc.ClientCodec for one connection. net/rpc reads from one goroutine and serialises writes.
type clientCodec struct {
	options ClientOptions
	conn    net.Conn
	writer  *pacedConn
	reader  *frameReader
	header  *schemav1.RpcHeader
	// answered is called at the first answer, and when the connection is closed because it is idle.
	answered func()

	mu          sync.Mutex
	closed      bool
	failure     error
	outstanding map[uint64]string // method by sequence number
	heard       time.Time         // last byte received, or when the connection began to owe an answer
	idle        *time.Timer
}

func newClientCodec(conn net.Conn, options ClientOptions, answered func()) *clientCodec {
	codec := &clientCodec{
		options:     options,
		conn:        conn,
		writer:      &pacedConn{Conn: conn, timeout: options.StallTimeout},
		outstanding: map[uint64]string{},
		answered:    answered,
	}
	codec.reader = newFrameReader(conn, codec.armRead)
	codec.mu.Lock()
	defer codec.mu.Unlock()
	codec.idle = time.AfterFunc(options.IdleTimeout, codec.closeIfIdle)
	return codec
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *netrpc.Request, body any) error {
	out := body.(*outgoing)
	header := &schemav1.RpcHeader{ServiceMethod: out.method, Sequence: request.Seq, DeadlineMs: out.deadlineMs()}
	message, err := appendMessage(nil, header, out.body)
	if err != nil {
		return wrap(err)
	}
	if err := out.ctx.Err(); err != nil {
		return wrap(&TimeoutError{Method: out.method, Cause: err})
	}
	if !c.begin(request.Seq, out.method) {
		return wrap(&ClosedError{Resource: "connection"})
	}
	out.state.Store(stateWriting)
	if _, err := c.writer.Write(message); err != nil {
		out.state.Store(stateFailed)
		return c.fail(err)
	}
	return nil
}

func (c *clientCodec) begin(sequence uint64, method string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if len(c.outstanding) == 0 {
		c.heard = time.Now()
		c.idle.Stop()
	}
	c.outstanding[sequence] = method
	return true
}

// ReadResponseHeader implements rpc.ClientCodec. An answer that no outstanding request of the same method has asked for
// ends the connection, since any other answer on it may be misdirected too.
func (c *clientCodec) ReadResponseHeader(response *netrpc.Response) error {
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return c.fail(err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return c.fail(err)
	}
	if err := c.armRead(); err != nil {
		return c.fail(err)
	}
	header, err := c.reader.header()
	if err != nil {
		return c.fail(err)
	}
	if err := c.end(header); err != nil {
		return c.fail(err)
	}
	if c.header == nil {
		c.answered()
	}
	c.header = header
	response.ServiceMethod = header.ServiceMethod
	response.Seq = header.Sequence
	response.Error = header.Error
	return nil
}

func (c *clientCodec) end(header *schemav1.RpcHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
	method, ok := c.outstanding[header.Sequence]
	switch {
	case !ok:
		return &FrameError{Reason: "answer without a request"}
	case method != header.ServiceMethod:
		return &FrameError{Reason: "answer of another method"}
	}
	delete(c.outstanding, header.Sequence)
	if len(c.outstanding) == 0 {
		c.idle.Reset(c.options.IdleTimeout)
	}
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(target any) error {
	body, err := c.reader.body(uint64(c.options.MaxMessageSize))
	if err != nil {
		return c.fail(err)
	}
	if reply, ok := target.(*incoming); ok {
		reply.body = body
	}
	return nil
}

// armRead gives the peer one more StallTimeout and notes that it made progress.
func (c *clientCodec) armRead() error {
	c.mu.Lock()
	c.heard = time.Now()
	c.mu.Unlock()
	return c.conn.SetReadDeadline(time.Now().Add(c.options.StallTimeout))
}

// fail closes the connection before net/rpc learns of the error, so that no request is sent after it.
func (c *clientCodec) fail(err error) error {
	c.mu.Lock()
	if c.failure == nil {
		c.failure = err
	}
	c.mu.Unlock()
	c.Close()
	return wrap(err)
}

// closeIfSilent closes a connection that has owed an answer for at least silence and received nothing.
func (c *clientCodec) closeIfSilent(silence time.Duration) {
	c.mu.Lock()
	silent := len(c.outstanding) > 0 && time.Since(c.heard) >= silence
	c.mu.Unlock()
	if silent {
		_ = c.fail(&ClosedError{Resource: "silent connection"})
	}
}

func (c *clientCodec) closeIfIdle() {
	if !c.isIdle() {
		return
	}
	// Nothing failed: a connection that this side closes before its first request must not count as a failed dial. The
	// back-off ends before the connection counts as closed, since the next call dials as soon as it does.
	c.answered()
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
	c.idle.Stop()
	c.mu.Unlock()
	return c.conn.Close()
}

func (c *clientCodec) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// callError gives the error of a finished call its type.
func (c *clientConn) callError(address string, request *outgoing, err error) error {
	var answer netrpc.ServerError
	if errors.As(err, &answer) {
		return decodeError(string(answer))
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
	if request.state.Load() == stateWriting {
		return &ConnectionLostError{Address: address, Method: request.method, Cause: cause}
	}
	return &UnavailableError{Address: address, Cause: cause}
}
