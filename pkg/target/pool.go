package target

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/internal/fieldname"
	"almondrock.example/almondrock/pkg/internal/sockets"
	"almondrock.example/almondrock/pkg/internal/statuscode"
)

var errInterimTooLong = merry.Sentinel("interim responses are longer than a header may be")

// Limits of connections. A new connection costs about 1 ms, so idle ones are kept. Targets are on the local network, so a
// connection attempt that takes longer than dialTimeout has failed.
const (
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 90 * time.Second
	// maxPreconnectionAge is how long a connection opened by Preconnect may wait for its first request.
	maxPreconnectionAge = 5 * time.Second
	// maxResponseHeaderBytes limits the header of a response.
	maxResponseHeaderBytes = 64 << 10
	bufferSize             = 16 << 10
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	// MaxConnections limits connections per address; no limit when 0.
	MaxConnections int
	// MaxIdle limits idle connections per address.
	MaxIdle int
	// TLS enables TLS on the connections when not nil.
	TLS *tls.Config
	// Dial opens connections. The default is a net.Dialer.
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

// Pool is a pool of HTTP/1.1 connections that knows for each request whether any byte of it was written. It is safe for
// concurrent use.
type Pool struct {
	transport *http.Transport
	connect   Dial
	tls       *tls.Config
	openCount atomic.Int64

	mu             sync.Mutex
	preconnections []preconnection
}

type preconnection struct {
	address  string
	conn     *guardedConn
	openedAt time.Time
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        bufferSize,
		ReadBufferSize:         bufferSize,
	}
	return p
}

func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := p.takePreconnection(address); conn != nil {
		return conn, nil
	}
	conn, err := p.connect(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if conn, err = p.startTLS(ctx, conn); err != nil {
		return nil, err
	}
	p.openCount.Add(1)
	return &guardedConn{Conn: conn, closed: func() { p.openCount.Add(-1) }}, nil
}

// startTLS does the TLS handshake before conn is wrapped in a guardedConn, so that the guard sees the writes of requests
// but not those of handshakes.
func (p *Pool) startTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
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

// Preconnect opens count connections to address before the first requests need them.
func (p *Pool) Preconnect(ctx context.Context, address string, count int) {
	for range count {
		conn, err := p.connect(ctx, "tcp", address)
		if err != nil {
			return
		}
		p.openCount.Add(1)
		guarded := &guardedConn{Conn: conn, closed: func() { p.openCount.Add(-1) }}
		p.mu.Lock()
		p.preconnections = append(p.preconnections, preconnection{address: address, conn: guarded, openedAt: time.Now()})
		p.mu.Unlock()
	}
}

func (p *Pool) takePreconnection(address string) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.preconnections) > 0 {
		last := p.preconnections[len(p.preconnections)-1]
		p.preconnections = p.preconnections[:len(p.preconnections)-1]
		if last.address == address && time.Since(last.openedAt) < maxPreconnectionAge && sockets.IsOpenAndIdle(last.conn.Conn) {
			return last.conn
		}
		last.conn.Close()
	}
	return nil
}

// OpenCount returns the number of open connections.
func (p *Pool) OpenCount() int { return int(p.openCount.Load()) }

// Close closes idle connections. Those in use are closed after their response.
func (p *Pool) Close() {
	p.transport.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, preconnection := range p.preconnections {
		preconnection.conn.Close()
	}
	p.preconnections = nil
}

// Exchange is a response together with the connection that carries it.
type Exchange struct {
	Response *http.Response
	conn     *guardedConn
}

// Discard closes the connection without reading the rest of the response.
func (e *Exchange) Discard() {
	if e.conn != nil {
		e.conn.Close()
	}
	e.Response.Body.Close()
}

// Send sends request once. guard, if not nil, runs immediately before the first byte is written, and its error stops the
// request. Errors wrap a *SendError.
func (p *Pool) Send(request *http.Request, guard func() error) (*Exchange, error) {
	current := &attempt{guard: guard}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { current.bindConn(info.Conn) }, Got1xxResponse: limitInterim(),
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := p.transport.RoundTrip(request) //nolint:bodyclose // the caller closes it with the Exchange
	conn, writeStarted, guardErr := current.result()
	if err != nil {
		if guardErr != nil {
			return nil, merry.Wrap(&SendError{RejectedByGuard: true, Cause: guardErr})
		}
		if writeStarted && conn != nil {
			conn.Close()
		}
		return nil, merry.Wrap(&SendError{WriteStarted: writeStarted, Cause: err})
	}
	exchange := &Exchange{Response: response, conn: conn}
	if err := checkResponse(response); err != nil {
		exchange.Discard()
		return nil, merry.Wrap(&SendError{WriteStarted: true, Cause: err})
	}
	return exchange, nil
}

// checkResponse returns an error for a message that net/http takes for a final response, but that is none.
func checkResponse(response *http.Response) error {
	if err := statuscode.CheckFinal(response.StatusCode); err != nil {
		return err
	}
	return fieldname.CheckResponse(response)
}

// limitInterim returns a function that takes the interim responses to one request. It returns an error, which ends the request, for one with
// content or a malformed field, and when together they are longer than a header may be.
func limitInterim() func(code int, header textproto.MIMEHeader) error {
	remaining := maxResponseHeaderBytes
	return func(code int, header textproto.MIMEHeader) error {
		if err := statuscode.CheckInterim(code, http.Header(header), nil); err != nil {
			return err
		}
		if err := fieldname.Check(http.Header(header)); err != nil {
			return err
		}
		remaining -= len("HTTP/1.1 100 \r\n\r\n")
		for name, values := range header {
			for _, value := range values {
				remaining -= len(name) + len(value) + len(": \r\n")
			}
		}
		if remaining < 0 {
			return errInterimTooLong
		}
		return nil
	}
}
