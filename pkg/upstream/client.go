package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"almondrock.example/almondrock/pkg/internal/sockets"
)

// Bounds of connections.
const (
	// DefaultDialTimeout is over one round trip between regions with its processing, and under the second after which a
	// lost packet of the handshake is sent again: another target is tried sooner.
	DefaultDialTimeout = 300 * time.Millisecond
	// defaultIdle is how long an idle connection is reused when the target does not state its timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off a stated timeout, for the time that the next request is on its way.
	idleMargin = 1500 * time.Millisecond
	// readBuffer fits the header of an answer; bodies are read past it.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a body is written with the header in one call. It fits into the socket's
	// buffer, so that writing cannot wait for a target that answers before it reads.
	inlineBody = 8 << 10
	// maxStale is the number of answers to earlier requests that are skipped on one connection.
	maxStale = 2
	// sweepEvery is how often idle connections past their time are closed: targets close them about as often.
	sweepEvery = 2 * time.Second
	// userTimeout ends a connection whose data is not acknowledged.
	userTimeout = 3 * time.Second
)

// Options configure a Client.
type Options struct {
	// IDHeader is echoed by targets and tells which request an answer belongs to; empty turns the check off.
	IDHeader string
	// DialTimeout is DefaultDialTimeout when 0.
	DialTimeout time.Duration
	// Dial opens connections; a net.Dialer by default. Tests replace it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	options Options
	dials   atomic.Int64

	mu      sync.Mutex
	idle    map[string][]*conn
	sweptAt time.Time
}

// New returns a client without connections.
func New(options Options) *Client {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Control: setUserTimeout}).DialContext
	}
	return &Client{options: options, idle: map[string][]*conn{}}
}

// setUserTimeout bounds the silence of a peer that is gone without closing its connections.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dials is the number of connections opened so far.
func (c *Client) Dials() int64 { return c.dials.Load() }

type conn struct {
	net.Conn
	reader *bufio.Reader
	pool   string
	// reusableUntil is when the target may close the connection.
	reusableUntil time.Time
	reused        bool
	// keepAlive is the idle timeout that the target has stated.
	keepAlive time.Duration
}

// reset closes the connection and drops what was written and not yet delivered. An ordinary close would go on sending it, so
// that a request could arrive after it was given up, when a partition has healed.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The connection is closed in any case; without the option it is closed as usual.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Request is one request to one target.
type Request struct {
	// PoolKey names the target; connections are shared by requests with the same pool only.
	PoolKey string
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning when More has the rest.
	Body []byte
	// BodyRest is nil when Body is complete. Length is then ignored; otherwise it is the length of Body and More together,
	// or -1 when it is not known.
	BodyRest      io.Reader
	ContentLength int64
	// ID is the value of the client's IDHeader.
	ID string
	// Deadline ends the exchange.
	Deadline time.Time
	// RequireNew asks for a connection that was not used before.
	RequireNew bool
	// RequireReused asks for a connection that was used before; Send fails with ErrNotKept if there is none.
	RequireReused bool
}

// Response is an answer whose header has arrived. Finish or Abort must be called.
type Response struct {
	*http.Response
	client *Client
	conn   *conn
	stop   func() bool
	// writing is closed when the request has been written; nil when it was written at once.
	writing chan struct{}
	once    sync.Once
}

// Send sends a request once. The error is an *Error. ctx ends the exchange, also while the body is read.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, &Error{Stage: NotSent, Address: r.Address, Cause: err}
	}
	stop := context.AfterFunc(ctx, cn.reset)
	fail := func(stage Stage, err error) (*Response, error) {
		stop()
		cn.reset()
		return nil, &Error{Stage: stage, Address: r.Address, Reused: cn.reused, Cause: err}
	}
	if err := cn.SetDeadline(r.Deadline); err != nil {
		return fail(NotSent, err)
	}
	writing, wrote, err := write(cn, r)
	if err != nil {
		if wrote == 0 {
			return fail(NotSent, err)
		}
		return fail(Sent, err)
	}
	response, stage, err := c.readResponse(cn, r) //nolint:bodyclose // the caller ends it with Finish or Abort
	if err != nil {
		return fail(stage, err)
	}
	return &Response{Response: response, client: c, conn: cn, stop: stop, writing: writing}, nil
}

func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	if !r.RequireNew {
		if cn := c.takeIdle(r.PoolKey); cn != nil {
			return cn, nil
		}
	}
	if r.RequireReused {
		return nil, merry.Wrap(ErrNoReusableConnection)
	}
	limit := time.Now().Add(c.options.DialTimeout)
	if r.Deadline.Before(limit) {
		limit = r.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	raw, err := c.options.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c.dials.Add(1)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), pool: r.PoolKey, keepAlive: defaultIdle}, nil
}

// takeIdle returns the most recently used connection that is still open. Answers that came without a request close it.
func (c *Client) takeIdle(pool string) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[pool]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := list[len(list)-1]
		c.idle[pool] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(cn.reusableUntil) && cn.reader.Buffered() == 0 && sockets.IsOpenAndIdle(cn.Conn) {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
}

// CloseIdle closes connections that are past their time, and all those of pools for which gone reports true.
func (c *Client) CloseIdle(gone func(pool string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.After(cn.reusableUntil) || (gone != nil && gone(pool)) {
				cn.Close()
				continue
			}
			kept = append(kept, cn)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, pool)
		} else {
			c.idle[pool] = kept
		}
	}
}

// write writes the request. A long body is written beside reading the answer, which may come before the body is read.
func write(cn *conn, r *Request) (writing chan struct{}, wrote int, err error) {
	var head bytes.Buffer
	head.Grow(512 + len(r.Body))
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	chunked := r.BodyRest != nil && r.ContentLength < 0
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case r.BodyRest != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if r.BodyRest == nil && len(r.Body) <= inlineBody {
		head.Write(r.Body)
		wrote, err = cn.Write(head.Bytes())
		return nil, wrote, err
	}
	if wrote, err = cn.Write(head.Bytes()); err != nil {
		return nil, wrote, err
	}
	writing = make(chan struct{})
	go func() {
		if writeBody(cn, r, chunked) == nil {
			close(writing)
		}
	}()
	return writing, wrote, nil
}

func writeBody(cn *conn, r *Request, chunked bool) error {
	source := io.Reader(bytes.NewReader(r.Body))
	if r.BodyRest != nil {
		source = io.MultiReader(source, r.BodyRest)
	}
	if !chunked {
		n, err := io.Copy(cn.Conn, source)
		if err == nil && r.BodyRest != nil && n != r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			// The target must not take a part for the whole.
			cn.reset()
		}
		return err
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buffer[:n]...), "\r\n"...)
			if _, werr := cn.Write(chunk); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, werr := io.WriteString(cn.Conn, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			cn.Close()
			return err
		}
	}
}

// readResponse reads the header of the answer. Complete answers to earlier requests are skipped.
func (c *Client) readResponse(cn *conn, r *Request) (*http.Response, Stage, error) {
	asked := &http.Request{Method: r.Method}
	for stale := 0; ; {
		if _, err := cn.reader.Peek(1); err != nil {
			return nil, Sent, err
		}
		response, err := http.ReadResponse(cn.reader, asked)
		if err != nil {
			return nil, InvalidResponse, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if c.options.IDHeader == "" || r.ID == "" {
			return response, 0, nil
		}
		got := response.Header.Get(c.options.IDHeader)
		if got == r.ID {
			return response, 0, nil
		}
		stale++
		if stale > maxStale || response.ContentLength < 0 {
			response.Body.Close()
			return nil, InvalidResponse, &RequestIDMismatchError{Want: r.ID, Got: got}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, InvalidResponse, err
		}
		// What else the target may send on this connection is not known.
		cn.keepAlive = 0
	}
}

// ReadAll reads a body of at most limit bytes. It returns false when the body is longer; what was read is then its
// beginning. The error is a *BodyError.
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

// Finish ends an exchange whose body was read to its end, and keeps the connection if the target does.
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
			r.conn.keepAlive = max(0, stated-idleMargin)
		}
		r.conn.reusableUntil = time.Now().Add(r.conn.keepAlive)
		r.client.keep(r.conn)
	})
}

// keep puts a connection back into its pool, and now and then closes those that were idle for too long.
func (c *Client) keep(cn *conn) {
	c.mu.Lock()
	c.idle[cn.pool] = append(c.idle[cn.pool], cn)
	due := time.Since(c.sweptAt) > sweepEvery
	if due {
		c.sweptAt = time.Now()
	}
	c.mu.Unlock()
	if due {
		c.CloseIdle(nil)
	}
}

func (r *Response) reusable() bool {
	if r.Close || r.conn.keepAlive == 0 || r.conn.reader.Buffered() > 0 || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		return false
	}
	if r.writing == nil {
		return true
	}
	select {
	case <-r.writing:
		return true
	default:
		return false
	}
}

// Abort closes the connection, which lets the target stop its work.
func (r *Response) Abort() {
	r.once.Do(func() {
		r.stop()
		r.conn.reset()
	})
}

// keepAliveTimeout returns the timeout of a Keep-Alive field, or 0.
func keepAliveTimeout(field string) time.Duration {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.ParseFloat(value, 64); err == nil {
				return time.Duration(seconds * float64(time.Second))
			}
		}
	}
	return 0
}
