package rpc

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	netrpc "net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// pool is a bounded pool of connections to one address. A connection is taken out of the pool only while a request is
// written to it. net/rpc then waits for the responses to all its requests, so requests share a connection.
type pool struct {
	client    *client
	address   string
	available chan *clientConn // connections to which no request is being written

	mu            sync.Mutex
	conns         map[*clientConn]struct{}
	currentDial   *dialAttempt // nil if no dial is running
	backoff       *backoff.ExponentialBackOff
	nextDialAt    time.Time // end of the back-off
	lastDialError error
	closed        bool
}

type clientConn struct {
	rpc   *netrpc.Client
	codec *clientCodec
	used  bool // set by the first call
}

// dialAttempt is shared by all calls that wait for it; err is set before done is closed.
type dialAttempt struct {
	done chan struct{}
	err  error
}

func newPool(client *client, address string) *pool {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = client.options.BackoffMin
	policy.MaxInterval = client.options.BackoffMax
	policy.Multiplier = 2
	return &pool{
		client:    client,
		address:   address,
		available: make(chan *clientConn, client.options.MaxConnections),
		conns:     map[*clientConn]struct{}{},
		backoff:   policy,
	}
}

// acquire returns a connection to which no request is being written. If there is none, it dials, unless the pool is full or
// in a back-off, and waits until a connection is available or ctx ends.
func (p *pool) acquire(ctx context.Context, method string) (*clientConn, error) {
	for {
		select {
		case conn := <-p.available:
			if p.checkOpen(conn) {
				return conn, nil
			}
			continue
		default:
		}
		attempt, err := p.startDial()
		if err != nil {
			return nil, err
		}
		var done chan struct{}
		if attempt != nil {
			done = attempt.done
		}
		select {
		case conn := <-p.available:
			if p.checkOpen(conn) {
				return conn, nil
			}
		case <-done:
			if attempt.err != nil && !p.connected() {
				return nil, attempt.err
			}
		case <-ctx.Done():
			return nil, &TimeoutError{Address: p.address, Method: method, Cause: ctx.Err()}
		}
	}
}

// checkOpen reports whether a connection is open, and removes it from the pool if it is not.
func (p *pool) checkOpen(conn *clientConn) bool {
	if !conn.codec.isClosed() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	conn.rpc.Close()
	return false
}

// release makes a connection available to other calls. It does so even if the connection is closed, so that a waiting call
// removes it from the pool and dials.
func (p *pool) release(conn *clientConn) {
	p.available <- conn
}

func (p *pool) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// startDial returns the running dial attempt or starts one. It returns nil if the pool is full, or if it has a connection
// and is in a back-off. It returns an error if it has no connection and may not dial.
func (p *pool) startDial() (*dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, &ClosedError{Resource: "rpc client"}
	case p.currentDial != nil:
		return p.currentDial, nil
	case len(p.conns) >= p.client.options.MaxConnections:
		return nil, nil
	}
	if wait := p.nextDialAt.Sub(p.client.options.Now()); wait > 0 {
		if len(p.conns) > 0 {
			return nil, nil
		}
		return nil, &UnavailableError{Address: p.address, RetryAfter: wait, Cause: p.lastDialError}
	}
	attempt := &dialAttempt{done: make(chan struct{})}
	p.currentDial = attempt
	p.client.dialGoroutines.Add(1)
	go p.runDial(attempt)
	return attempt, nil
}

func (p *pool) runDial(attempt *dialAttempt) {
	defer p.client.dialGoroutines.Done()
	defer close(attempt.done)
	conn, err := p.connect()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currentDial = nil
	if err == nil && p.closed {
		conn.Close()
		err = &ClosedError{Resource: "rpc client"}
	}
	// A dial counts as failed until the first response arrives, because with TLS 1.3 the server may reject the client's
	// certificate after the handshake has succeeded for the client.
	wait := p.backoff.NextBackOff()
	p.nextDialAt = p.client.options.Now().Add(wait)
	if err != nil {
		p.lastDialError = err
		attempt.err = &UnavailableError{Address: p.address, RetryAfter: wait, Cause: err}
		return
	}
	p.lastDialError = &ClosedError{Resource: "connection without a response"}
	codec := newClientCodec(conn, p.client.options, p.endBackoff)
	established := &clientConn{codec: codec, rpc: netrpc.NewClientWithCodec(codec)}
	p.conns[established] = struct{}{}
	p.available <- established
}

// endBackoff ends the back-off.
func (p *pool) endBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff.Reset()
	p.nextDialAt = time.Time{}
}

func (p *pool) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.options.DialTimeout)
	defer cancel()
	conn, err := p.client.options.Dial(ctx, "tcp", p.address)
	if err != nil || p.client.options.TLS == nil {
		return conn, err
	}
	return p.handshake(ctx, conn)
}

// handshake performs the TLS handshake. If the options have no server name, it uses the host of the address, as
// tls.Dialer does.
func (p *pool) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	config := p.client.options.TLS
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(p.address)
		if err != nil {
			conn.Close()
			return nil, err
		}
		config = config.Clone()
		config.ServerName = host
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// closeIdle closes the connections on which no response is awaited.
func (p *pool) closeIdle() {
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	for _, conn := range conns {
		conn.codec.closeIfIdle()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.conns {
		conn.rpc.Close()
	}
}
