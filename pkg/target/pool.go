package target

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/internal/sockets"
)

// Bounds of connections. A new connection costs about 1 ms, so idle ones are kept; targets are on the local network,
// so a connect that takes longer than dialTimeout has failed.
const (
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 90 * time.Second
	// spareAge bounds how long a connection that was opened ahead may wait.
	spareAge = 5 * time.Second
	// maxResponseHeader bounds the header block of an answer.
	maxResponseHeader = 64 << 10
	bufferSize        = 16 << 10
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	// MaxConnections limits connections per address; no limit when 0.
	MaxConnections int
	// MaxIdle limits idle connections per address.
	MaxIdle int
	// TLS, when set, makes the connections speak TLS.
	TLS *tls.Config
	// Dial opens connections; a net.Dialer when nil.
	Dial Dial
}

// Dial opens a connection. Tests replace it to inject network faults.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// orDefault returns a dialer for the local network when d is nil.
func (d Dial) orDefault() Dial {
	if d != nil {
		return d
	}
	return (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext
}

// Pool is a pool of HTTP/1.1 connections that knows of every request whether a byte of it was written. It is safe for
// concurrent use.
type Pool struct {
	transport *http.Transport
	connect   Dial
	tls       *tls.Config
	open      atomic.Int64

	mu     sync.Mutex
	spares []spare
}

type spare struct {
	address string
	conn    *guardedConn
	opened  time.Time
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	p := &Pool{tls: options.TLS, connect: options.Dial.orDefault()}
	p.transport = &http.Transport{
		DialContext:            p.dial,
		MaxConnsPerHost:        options.MaxConnections,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    options.MaxIdle,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
	return p
}

func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := p.takeSpare(address); conn != nil {
		return conn, nil
	}
	conn, err := p.connect(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if conn, err = p.secure(ctx, conn); err != nil {
		return nil, err
	}
	p.open.Add(1)
	return &guardedConn{Conn: conn, closed: func() { p.open.Add(-1) }}, nil
}

// secure starts TLS below the guarded connection, so that the guard sees the bytes of requests and not of handshakes.
func (p *Pool) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.tls == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	secured := tls.Client(conn, p.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// Preconnect opens count connections to address ahead of the first requests.
func (p *Pool) Preconnect(ctx context.Context, address string, count int) {
	for range count {
		conn, err := p.connect(ctx, "tcp", address)
		if err != nil {
			return
		}
		p.open.Add(1)
		guarded := &guardedConn{Conn: conn, closed: func() { p.open.Add(-1) }}
		p.mu.Lock()
		p.spares = append(p.spares, spare{address: address, conn: guarded, opened: time.Now()})
		p.mu.Unlock()
	}
}

func (p *Pool) takeSpare(address string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.spares) > 0 {
		last := p.spares[len(p.spares)-1]
		p.spares = p.spares[:len(p.spares)-1]
		if last.address == address && time.Since(last.opened) < spareAge && sockets.IsOpenAndIdle(last.conn.Conn) {
			return last.conn
		}
		last.conn.Close()
	}
	return nil
}

// OpenCount is the number of open connections.
func (p *Pool) OpenCount() int { return int(p.open.Load()) }

// Close closes idle connections; those in use close after their answer.
func (p *Pool) Close() {
	p.transport.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, spare := range p.spares {
		spare.conn.Close()
	}
	p.spares = nil
}

// Exchange is an answer together with the connection that carries it.
type Exchange struct {
	Response *http.Response
	conn     *guardedConn
}

// Discard closes the connection, so that nothing of the answer or after it is read.
func (e *Exchange) Discard() {
	if e.conn != nil {
		e.conn.Close()
	}
	e.Response.Body.Close()
}

// Send sends request once. The guard runs immediately before the first byte is written; its error stops the request.
// Send fails with *SendError.
func (p *Pool) Send(request *http.Request, guard func() error) (*Exchange, error) {
	current := &attempt{guard: guard}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { current.take(info.Conn) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := p.transport.RoundTrip(request) //nolint:bodyclose // the caller closes it with the Exchange
	conn, wrote, denied := current.state()
	if err != nil {
		if denied != nil {
			return nil, merry.Wrap(&SendError{RejectedByGuard: true, Cause: denied})
		}
		if wrote && conn != nil {
			conn.Close()
		}
		return nil, merry.Wrap(&SendError{WriteStarted: wrote, Cause: err})
	}
	return &Exchange{Response: response, conn: conn}, nil
}
