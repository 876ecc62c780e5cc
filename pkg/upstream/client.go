package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"

	"almondrock.example/almondrock/pkg/internal/fieldname"
	"almondrock.example/almondrock/pkg/internal/framing"
	"almondrock.example/almondrock/pkg/internal/headlimit"
	"almondrock.example/almondrock/pkg/internal/sockets"
	"almondrock.example/almondrock/pkg/internal/statuscode"
)

// Limits of connections and buffers.
const (
	// DefaultDialTimeout exceeds one round trip between regions including processing, and is below the second after which a
	// lost packet of the TCP handshake is retransmitted, so that another target is tried before that.
	DefaultDialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused when the target does not state a timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxStatedIdle bounds the timeout that a target states.
	maxStatedIdle = time.Hour
	// idleMargin is subtracted from a timeout that the target states, to cover the transit time of the next request.
	idleMargin = 1500 * time.Millisecond
	// readBufferSize fits a response header. Reads of bodies bypass the buffer.
	readBufferSize = 4 << 10
	// maxInlineBody is the size in bytes up to which a body is written together with the header in one call. It fits into
	// the send buffer of the socket, so that the write cannot block on a target that responds before it reads.
	maxInlineBody = 8 << 10
	// maxResponseHeader bounds the bytes of all headers that are read for one request: status lines, fields, and interim and stale
	// responses before the response. A target in trouble may send bytes without end.
	maxResponseHeader = 64 << 10
	// maxStaleBody bounds the body of a response to an earlier request that is skipped.
	maxStaleBody = 1 << 20
	// maxStaleResponses is how many responses to earlier requests are skipped before the connection is given up.
	maxStaleResponses = 2
	// maxCarriedIDs is the number of requests after which a connection is closed, because it remembers all their IDs in 8 bytes each. One
	// new connection for so many requests costs next to nothing.
	maxCarriedIDs = 512
	// sweepInterval is how often expired idle connections are closed, which is about as often as targets close them.
	sweepInterval = 2 * time.Second
	// tcpUserTimeout is how long sent data may stay unacknowledged before the connection is closed.
	tcpUserTimeout = 3 * time.Second
)

// Options configure a Client.
type Options struct {
	// IDHeader is the request header that targets echo, so that a response can be matched with its request; empty turns
	// the check off.
	IDHeader string
	// IDOptional accepts responses without an ID, for targets that may not echo it. A response with another ID is never accepted, nor is
	// one without an ID after one that had it on the same connection.
	IDOptional bool
	// DialTimeout bounds the opening of a connection; DefaultDialTimeout when 0.
	DialTimeout time.Duration
	// ReceiveBuffer is the size in bytes of the receive buffer of connections, which bounds what a target sends ahead of the reader. 0
	// leaves it to the operating system.
	ReceiveBuffer int
	// Dial opens connections; it defaults to a net.Dialer and is replaced in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	options Options
	dials   atomic.Int64

	mu sync.Mutex
	// idle has the idle connections by pool key, the most recently used last.
	idle      map[string][]*conn
	lastSweep time.Time
}

// New returns a client without open connections.
func New(options Options) *Client {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Control: options.setSocketOptions}).DialContext
	}
	return &Client{options: options, idle: map[string][]*conn{}}
}

// setSocketOptions sets the receive buffer, and TCP_USER_TIMEOUT, which detects peers that have gone away without closing their
// connections.
func (o Options) setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		if optionErr == nil && o.ReceiveBuffer > 0 {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBuffer)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Dials is the number of connections opened so far.
func (c *Client) Dials() int64 { return c.dials.Load() }

// conn is one connection to a target.
type conn struct {
	net.Conn
	head    *headlimit.Reader
	reader  *bufio.Reader
	poolKey string
	// reusableUntil is when the target may close the connection; it must not be reused after that.
	reusableUntil time.Time
	reused        bool
	// idleTimeout is how long the connection may be reused after a response; 0 prevents any reuse.
	idleTimeout time.Duration
	// echoesIDs is set once a response on the connection had the ID of its request.
	echoesIDs bool
	// carriedIDs has the hashes of the IDs of all requests on the connection.
	carriedIDs []uint64
}

// carry records that a request with an ID is sent on the connection.
func (c *conn) carry(id string) {
	if id != "" {
		c.carriedIDs = append(c.carriedIDs, xxhash.Sum64String(id))
	}
}

// hasCarried reports whether a request with an ID was sent on the connection before. A late second copy of the response to it could not be
// told from the response to the next attempt.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carriedIDs, xxhash.Sum64String(id))
}

// reset closes the connection and discards data that was written but not delivered. An ordinary close would keep sending it,
// so that an abandoned request could still arrive once a network partition has healed.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If this fails, the connection is closed in the ordinary way.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// unlimitHead ends the limit on the header after one that was read completely.
func (c *conn) unlimitHead() { _, _ = c.head.End() }

// Request is one request to one target.
type Request struct {
	// PoolKey names the pool of idle connections; only requests with the same key share connections.
	PoolKey string
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning when BodyRest is set.
	Body []byte
	// BodyRest is the part of the body that follows Body; nil when Body is complete. ContentLength is then ignored; otherwise
	// it is the length of Body and BodyRest together, or -1 when it is not known.
	BodyRest      io.Reader
	ContentLength int64
	// ID is the request ID, which the client expects in the IDHeader of the response.
	ID string
	// Deadline bounds the whole exchange, the reading of the response body included.
	Deadline time.Time
	// RequireNew asks for a new connection even if there is an idle one.
	RequireNew bool
	// RequireReused asks for an idle connection; Send fails with ErrNoReusableConnection if there is none.
	RequireReused bool
	// BeforeWrite, if not nil, is called once the connection is open, right before the request is written. After an error nothing is written.
	BeforeWrite func() error
}

// Response is a response whose header has arrived. The caller must call Finish or Abort.
type Response struct {
	*http.Response
	client *Client
	conn   *conn
	// stop detaches the connection from the context of Send; it returns false when the context has already reset it.
	stop func() bool
	// request is the writer of the request, which may still be at work.
	request *requestWriter
	once    sync.Once
}

// Send sends a request once. Errors are of type *Error. The end of ctx resets the connection, also while the response body is
// being read.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	if err := checkHeader(r.Header); err != nil {
		return nil, &Error{Stage: NotSent, Address: r.Address, Cause: err}
	}
	cn, err := c.acquireConn(ctx, r)
	if err != nil {
		return nil, &Error{Stage: NotSent, Address: r.Address, Cause: err}
	}
	cn.carry(r.ID)
	stop := context.AfterFunc(ctx, cn.reset)
	fail := func(stage Stage, err error) (*Response, error) {
		stop()
		cn.reset()
		return nil, &Error{Stage: stage, Address: r.Address, Reused: cn.reused, Cause: err}
	}
	if err := cn.SetDeadline(r.Deadline); err != nil {
		return fail(NotSent, err)
	}
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(); err != nil {
			return fail(NotSent, err)
		}
	}
	request, n, err := writeRequest(cn, r)
	if err != nil {
		if n == 0 {
			return fail(NotSent, err)
		}
		return fail(Sent, err)
	}
	response, stage, err := c.readResponse(cn, r) //nolint:bodyclose // the caller calls Finish or Abort
	if err != nil {
		return fail(stage, err)
	}
	if framing.EndsWithConnection(response) {
		response.Body = &unsizedBody{ReadCloser: response.Body, request: request}
	}
	return &Response{Response: response, client: c, conn: cn, stop: stop, request: request}, nil
}

// acquireConn returns an idle connection of the pool, or dials a new one, within the limits that the request sets.
func (c *Client) acquireConn(ctx context.Context, r *Request) (*conn, error) {
	if !r.RequireNew {
		if cn := c.takeIdle(r.PoolKey, r.ID); cn != nil {
			return cn, nil
		}
	}
	if r.RequireReused {
		return nil, merry.Wrap(ErrNoReusableConnection)
	}
	dialDeadline := time.Now().Add(c.options.DialTimeout)
	if r.Deadline.Before(dialDeadline) {
		dialDeadline = r.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	raw, err := c.options.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	head := headlimit.New(raw)
	return &conn{
		Conn: raw, head: head, reader: bufio.NewReaderSize(head, readBufferSize), poolKey: r.PoolKey, idleTimeout: defaultIdleTimeout,
	}, nil
}

// takeIdle removes and returns the most recently used idle connection that can be reused for the request with an ID, or nil. Connections
// that have expired or been closed, on which data arrived without a request, or which carried a request with the same ID, are closed.
func (c *Client) takeIdle(poolKey, id string) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[poolKey]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		c.idle[poolKey] = list[:len(list)-1]
		c.mu.Unlock()
		if !cn.hasCarried(id) && now.Before(cn.reusableUntil) && cn.reader.Buffered() == 0 && sockets.IsOpenAndIdle(cn.Conn) {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
}

// CloseIdle closes idle connections that have expired, and all idle connections of pools for which gone reports true.
func (c *Client) CloseIdle(gone func(poolKey string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for poolKey, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.After(cn.reusableUntil) || (gone != nil && gone(poolKey)) {
				cn.Close()
				continue
			}
			kept = append(kept, cn)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, poolKey)
		} else {
			c.idle[poolKey] = kept
		}
	}
}

// checkHeader returns an *InvalidHeaderError if a header field could not be sent as it is, or nil.
func checkHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return &InvalidHeaderError{Name: name}
			}
		}
	}
	return nil
}

// readResponse reads the header of the response. Interim (1xx) responses and complete responses to earlier requests are skipped.
func (c *Client) readResponse(cn *conn, r *Request) (*http.Response, Stage, error) {
	cn.head.Begin(maxResponseHeader)
	sentRequest := &http.Request{Method: r.Method}
	for skipped := 0; ; {
		if _, err := cn.reader.Peek(1); err != nil {
			if exceeded, _ := cn.head.End(); exceeded {
				return nil, InvalidResponse, &HeaderTooLongError{Limit: maxResponseHeader}
			}
			return nil, Sent, err
		}
		response, err := http.ReadResponse(cn.reader, sentRequest)
		if err != nil {
			if exceeded, _ := cn.head.End(); exceeded {
				err = &HeaderTooLongError{Limit: maxResponseHeader}
			}
			return nil, InvalidResponse, err
		}
		if err := fieldname.CheckResponse(response); err != nil {
			return nil, InvalidResponse, err
		}
		if statuscode.IsInterim(response.StatusCode) {
			if err := statuscode.CheckInterim(response.StatusCode, response.Header, response.TransferEncoding); err != nil {
				return nil, InvalidResponse, err
			}
			continue
		}
		if err := statuscode.CheckFinal(response.StatusCode); err != nil {
			return nil, InvalidResponse, err
		}
		got := response.Header.Get(c.options.IDHeader)
		if c.options.IDHeader == "" || r.ID == "" || got == r.ID || (got == "" && c.options.IDOptional && !cn.echoesIDs) {
			cn.echoesIDs = cn.echoesIDs || got != ""
			cn.unlimitHead()
			return response, 0, nil
		}
		skipped++
		if skipped > maxStaleResponses || response.ContentLength < 0 || response.ContentLength > maxStaleBody {
			return nil, InvalidResponse, &RequestIDMismatchError{Want: r.ID, Got: got}
		}
		cn.unlimitHead()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, InvalidResponse, err
		}
		cn.head.Begin(maxResponseHeader)
		// The target may send further unexpected data on this connection, so it must not be reused.
		cn.idleTimeout = 0
	}
}

// ReadAll reads a body of at most limit bytes. It returns false when the body is longer; the returned bytes are then those that
// were read so far. Errors are of type *BodyError.
func (r *Response) ReadAll(limit int64) ([]byte, bool, error) {
	if r.ContentLength > limit {
		return nil, false, nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, false, &BodyError{err}
	}
	return buffer.Bytes(), n <= limit, nil
}

// Finish ends an exchange whose response body was read completely. The connection returns to its pool if it can be reused.
func (r *Response) Finish() {
	r.once.Do(func() {
		if !r.stop() || !r.reusable() {
			r.conn.Close()
			return
		}
		if err := r.conn.SetDeadline(time.Time{}); err != nil {
			r.conn.Close()
			return
		}
		if stated := keepAliveTimeout(r.Header.Get("Keep-Alive")); stated > 0 {
			r.conn.idleTimeout = max(0, stated-idleMargin)
		}
		r.conn.reusableUntil = time.Now().Add(r.conn.idleTimeout)
		r.client.putIdle(r.conn)
	})
}

// putIdle returns a connection to its pool. Every sweepInterval it also closes expired connections of all pools.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	c.idle[cn.poolKey] = append(c.idle[cn.poolKey], cn)
	due := time.Since(c.lastSweep) > sweepInterval
	if due {
		c.lastSweep = time.Now()
	}
	c.mu.Unlock()
	if due {
		c.CloseIdle(nil)
	}
}

// reusable reports whether the connection is at a clean message boundary and may carry another request.
func (r *Response) reusable() bool {
	if r.Close || r.conn.idleTimeout == 0 || len(r.conn.carriedIDs) >= maxCarriedIDs || r.conn.reader.Buffered() > 0 || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		return false
	}
	return r.request.complete.Load()
}

// Abort resets the connection, so that the target can stop working on the request.
func (r *Response) Abort() {
	r.once.Do(func() {
		r.stop()
		r.conn.reset()
	})
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header field, or 0.
func keepAliveTimeout(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
				return time.Duration(min(seconds, maxStatedIdle.Seconds()) * float64(time.Second))
			}
		}
	}
	return 0
}
