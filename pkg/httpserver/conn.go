package httpserver

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/memory"
)

const (
	// bufferSize is the size of the write buffer of a connection in bytes, and of its read buffer unless a head needs a larger one. It holds
	// a typical request and response.
	bufferSize = 4 << 10
	// maxDiscardedBody is how much of a body that the handler did not read is discarded to keep the connection.
	maxDiscardedBody = 256 << 10
	// lingerTime is how long a connection is still read after its last response. A connection that is closed with unread data is
	// reset, which can destroy a response that the caller has not read yet.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read in that time.
	maxLingerBytes = 1 << 20
)

// conn is one connection of a caller. Its reader goroutine reads requests, each of which is handled by a goroutine of its own. The
// responses are written in the order of the requests.
type conn struct {
	server *Server
	raw    net.Conn
	remote string
	// address is the remote address without its port.
	address string
	// tls is nil without TLS.
	tls    *tls.ConnectionState
	reader *bufio.Reader
	// extraBuffer is the part of the read buffer that counts in the budget.
	extraBuffer int64
	// writer is set while a response is written.
	writer *bufio.Writer
	timed  timedWriter
	ctx    context.Context
	cancel context.CancelFunc
	// unfinished is set while a response is written whose body ends with the connection.
	unfinished atomic.Bool

	mu sync.Mutex
	// last is the latest exchange, whose response ends after those of all earlier ones; nil before the first.
	last *exchange
	// outstanding is the number of exchanges whose responses have not been written completely.
	outstanding int
	// awaitingRequest is set while the reader waits for the first byte of a request.
	awaitingRequest bool
	// finalResponse is set once a response has announced that the connection closes after it; later requests are not handled.
	finalResponse bool
	// closingIdle is set while the connection is to be closed, because it is idle, unless a request arrives at the same time.
	closingIdle bool
	// stopReading is set once the final response has been written or the connection is broken.
	stopReading bool
	// hadRequest is set once the first byte of a request has arrived.
	hadRequest bool
	// phase is valid while no request is being served.
	phase      phase
	phaseSince time.Time
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{
		server: s, raw: raw, remote: raw.RemoteAddr().String(), address: addressOf(raw), reader: bufio.NewReaderSize(raw, initialBufferSize),
		timed: timedWriter{raw, s.options.WriteTimeout}, phase: phaseIdle, phaseSince: time.Now(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// writers are the write buffers that no response uses.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// openWriter returns the writer, with a buffer.
func (c *conn) openWriter() *bufio.Writer {
	if c.writer == nil {
		c.writer = writers.Get().(*bufio.Writer)
		c.writer.Reset(&c.timed)
	}
	return c.writer
}

// closeWriter gives the write buffer back. What it still holds belongs to a response that failed.
func (c *conn) closeWriter() {
	if c.writer != nil {
		c.writer.Reset(nil)
		writers.Put(c.writer)
		c.writer = nil
	}
}

// past is a deadline that makes a blocked read return at once.
var past = time.Unix(1, 0)

// serve reads and handles requests until the connection ends.
func (c *conn) serve() {
	defer c.cancel()
	defer c.releaseExtraBuffer()
	if !c.handshake() {
		c.raw.Close()
		return
	}
	for c.serveNext() {
	}
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil {
		<-last.done
	}
	c.mu.Lock()
	idle := c.closingIdle
	c.mu.Unlock()
	if idle {
		// A request that crosses the close must not be read, because it cannot be answered any more; the reset tells the caller so.
		c.raw.Close()
		return
	}
	c.closeGracefully()
}

// handshake does the TLS handshake of a connection with TLS within the time limit of a header, and reports whether it succeeded.
func (c *conn) handshake() bool {
	secured, ok := c.raw.(*tls.Conn)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.server.options.ReadHeaderTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		klog.V(1).InfoS("TLS handshake failed", "caller", c.remote, "err", err)
		return false
	}
	state := secured.ConnectionState()
	c.tls = &state
	return true
}

// serveNext reads one request and starts its handler. It returns false when no further request is to be read.
func (c *conn) serveNext() bool {
	if !c.awaitRequest() {
		return false
	}
	request, cost, err := c.readRequest()
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	previous := c.lastExchange()
	next := newExchange(c, request, previous)
	next.cost = cost
	if !c.awaitStart(next, previous) || !c.add(next) {
		c.server.options.Budget.Release(memory.Heads, cost)
		return false
	}
	go next.run()
	if next.body != nil {
		// The handler reads the body from the connection, so the next request can be read only after that.
		select {
		case <-next.body.finished:
		case <-next.done:
		}
		if !next.body.isComplete() {
			<-next.done
			return false
		}
	}
	return true
}

// awaitRequest waits for the first byte of the next request. It returns false when the connection has ended, which cancels all
// outstanding requests, or is to be closed because it is idle.
func (c *conn) awaitRequest() bool {
	c.shrinkReader()
	c.mu.Lock()
	c.awaitingRequest = true
	c.setPhase(phaseIdle)
	c.setIdleDeadline()
	c.mu.Unlock()
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		if err == nil {
			// A connection that was just to be closed because it was idle serves this request first.
			c.awaitingRequest, c.closingIdle, c.hadRequest = false, false, true
			c.setPhase(phaseReading)
			c.mu.Unlock()
			return true
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.outstanding > 0 && !c.stopReading {
			// A response ended just when the deadline passed, or a request began.
			c.setIdleDeadline()
			c.mu.Unlock()
			continue
		}
		c.awaitingRequest = false
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		c.closingIdle = timedOut && c.outstanding == 0 && !c.stopReading
		c.mu.Unlock()
		if !timedOut {
			c.cancel()
		}
		return false
	}
}

// setIdleDeadline limits the wait for the next request to the idle timeout if there are no outstanding requests. c.mu must be held.
func (c *conn) setIdleDeadline() {
	deadline := time.Time{}
	if c.outstanding == 0 {
		deadline = time.Now().Add(c.server.options.IdleTimeout)
	}
	c.applyReadDeadline(deadline)
}

// applyReadDeadline sets the read deadline, unless reads must not wait any more. c.mu must be held.
func (c *conn) applyReadDeadline(deadline time.Time) {
	if c.closingIdle || c.stopReading {
		deadline = past
	}
	// An error means that the connection is closed, which the next read reports.
	_ = c.raw.SetReadDeadline(deadline)
}

func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyReadDeadline(deadline)
}

// closeIfIdle closes the connection if it has no outstanding request and none has begun to arrive. With keepNew, it keeps a connection
// on which there has been no request yet.
func (c *conn) closeIfIdle(keepNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && c.outstanding == 0 && (c.hadRequest || !keepNew) {
		c.closingIdle = true
		c.applyReadDeadline(past)
	}
}

// readRequest reads and checks the header of a request. It returns the cost of the header, which the budget counts unless there is an error.
func (c *conn) readRequest() (request *http.Request, cost int64, err error) {
	c.setReadDeadline(time.Now().Add(c.server.options.ReadHeaderTimeout))
	cost, err = c.awaitHead()
	if err != nil {
		return nil, 0, err
	}
	defer c.setReadDeadline(time.Time{})
	if previous := c.lastExchange(); previous != nil && !previous.isDone() {
		// The request may have to wait for earlier ones. With less room to read ahead, fewer callers that leave meanwhile are noticed. The buffer
		// must not be replaced later, because the body is read from it. This size does not count in the budget, so it always succeeds.
		c.growReader(bufferSize)
	}
	if request, err = c.parseRequest(); err != nil {
		c.server.options.Budget.Release(memory.Heads, cost)
		return nil, 0, err
	}
	return request, cost, nil
}

// parseRequest parses and checks a header that is complete in the buffer.
func (c *conn) parseRequest() (*http.Request, error) {
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, &RequestError{Status: http.StatusBadRequest, Reason: "malformed request", Cause: err}
	}
	if request.ProtoMajor != 1 {
		return nil, &RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "protocol version not supported"}
	}
	if request.ProtoAtLeast(1, 1) && request.Host == "" {
		return nil, &RequestError{Status: http.StatusBadRequest, Reason: "host missing"}
	}
	if !httpguts.ValidHostHeader(request.Host) {
		return nil, &RequestError{Status: http.StatusBadRequest, Reason: "malformed host"}
	}
	for name, values := range request.Header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return nil, &RequestError{Status: http.StatusBadRequest, Reason: "malformed header field"}
			}
		}
	}
	return request, nil
}

// rejectRequest responds, after the outstanding responses, to a request that could not be read, and closes the connection.
func (c *conn) rejectRequest(err error) {
	var rejected *RequestError
	if !errors.As(err, &rejected) || rejected.Status == 0 {
		klog.V(1).InfoS("request not read", "caller", c.remote, "err", err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.server.refused(ReasonHeadTimeout, c.remote, nil)
		} else {
			// The caller has left. One that is only slow still gets the responses to its earlier requests.
			c.cancel()
		}
		return
	}
	c.server.refused(rejected.refusalReason(), c.remote, err)
	request := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Connection": {"close"}}, Close: true}
	x := newExchange(c, request, c.lastExchange())
	x.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if rejected.Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter)
		}
		http.Error(w, rejected.Reason, rejected.Status)
	})
	if c.add(x) {
		x.run()
	}
}

func (c *conn) lastExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// awaitStart waits until the request may be handled: a pipelined request of a safe method at once while less than MaxPipelined of
// the connection are being handled, any other one after the responses to all earlier requests. It returns false when the
// connection has ended.
func (c *conn) awaitStart(next, previous *exchange) bool {
	if previous == nil {
		return true
	}
	if !next.concurrent || !previous.concurrent {
		return c.watchUntil(previous.done)
	}
	blocking := previous.ancestor(c.server.options.MaxPipelined - 1)
	return blocking == nil || c.watchUntil(blocking.done)
}

// watchUntil waits until done is closed. Meanwhile it reads ahead into the buffer in order to notice when the caller closes the
// connection; it then cancels all outstanding requests and returns false.
func (c *conn) watchUntil(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
	}
	interrupted := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(interrupted)
		select {
		case <-done:
			c.setReadDeadline(past)
		case <-stop:
		}
	}()
	defer func() {
		close(stop)
		<-interrupted
		c.setReadDeadline(time.Time{})
	}()
	for {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		select {
		case <-done:
			return true
		default:
		}
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			<-done
			return true
		default:
			// The caller has closed the connection, or the final response has been written.
			c.cancel()
			return false
		}
	}
}

// add appends an exchange. It returns false when the connection closes after an earlier response; the request then counts as not read.
func (c *conn) add(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalResponse || c.ctx.Err() != nil {
		return false
	}
	c.last = x
	c.outstanding++
	return true
}

// decideClose reports whether the response of x is the last one of the connection: if the caller or the handler asks for it, or if the
// server drains and no later request has been read. Later requests are then not handled any more. It fails when an earlier response was
// the last one.
func (c *conn) decideClose(x *exchange, requested bool) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalResponse {
		return false, merry.Wrap(ErrConnectionClosing)
	}
	c.finalResponse = requested || (c.last == x && c.server.isDraining())
	return c.finalResponse, nil
}

// finish ends an exchange whose response has been written, or could not be. unusable is set when no further response can follow.
func (c *conn) finish(x *exchange, unusable bool) {
	if x.usesWriter {
		// An exchange that is cancelled before its turn must not give away the buffer that an earlier one still writes to.
		c.closeWriter()
	}
	c.server.options.Budget.Release(memory.Heads, x.cost)
	// The connection keeps its last exchange, which must not keep the request.
	x.request, x.header, x.handler = nil, nil, nil
	c.mu.Lock()
	c.outstanding--
	if c.awaitingRequest {
		c.setPhase(phaseIdle)
	}
	c.finalResponse = c.finalResponse || unusable
	c.stopReading = c.stopReading || unusable || x.final
	if c.stopReading || c.awaitingRequest {
		c.setIdleDeadline()
	}
	abandoned := unusable || (x.final && c.outstanding > 0)
	c.mu.Unlock()
	if abandoned {
		c.cancel()
	}
	x.previous.Store(nil)
	close(x.done)
}

// closeGracefully closes the connection so that the caller gets all data that was written.
func (c *conn) closeGracefully() {
	if c.unfinished.Load() {
		c.abort()
		return
	}
	defer c.raw.Close()
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.setPhase(phaseLingering)
	c.mu.Unlock()
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	// The caller closes the connection, or the time has passed; both end the wait.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.raw, maxLingerBytes))
}

// abort closes the connection and cancels its requests. A response that the end of the connection would complete ends with a reset.
// The connection is closed first, because a handler that returns when it is cancelled would complete its response.
func (c *conn) abort() {
	defer c.cancel()
	raw := c.raw
	if secured, ok := raw.(*tls.Conn); ok && c.unfinished.Load() {
		// TLS then ends without its closing message.
		raw = secured.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok && c.unfinished.Load() {
		if err := tcp.SetLinger(0); err != nil {
			klog.InfoS("incomplete response not reset", "caller", c.remote, "err", err)
		}
	}
	raw.Close()
}

// writeChunk is the number of bytes that must be accepted by the caller within the write timeout.
const writeChunk = 64 << 10

// timedWriter writes to a connection with a time limit for each writeChunk bytes.
type timedWriter struct {
	raw     net.Conn
	timeout time.Duration
}

// Write implements io.Writer.
func (w *timedWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeChunk)]
		if w.timeout > 0 {
			if err := w.raw.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
				return written, err
			}
		}
		n, err := w.raw.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
