package rpc

import (
	"context"
	"crypto/tls"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// peer is the bounded pool of connections to one address. A connection is checked out only while a request is written
// to it; net/rpc then waits for the answers of all its requests.
type peer struct {
	client  *client
	address string
	free    chan *clientConn

	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	dialling  *dialAttempt
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time
	lastError error
	closed    bool
}

type clientConn struct {
	rpc   *netrpc.Client
	codec *clientCodec
	used  bool
}

// dialAttempt is shared by all calls that wait for it; err is set before done is closed.
type dialAttempt struct {
	done chan struct{}
	err  error
}

func newPeer(client *client, address string) *peer {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = client.options.BackoffMin
	policy.MaxInterval = client.options.BackoffMax
	policy.Multiplier = 2
	return &peer{
		client:  client,
		address: address,
		free:    make(chan *clientConn, client.options.MaxConnections),
		conns:   map[*clientConn]struct{}{},
		backoff: policy,
	}
}

// acquire returns a connection that nobody writes to. It dials when all are being written to and the bound allows.
func (p *peer) acquire(ctx context.Context, method string) (*clientConn, error) {
	for {
		select {
		case conn := <-p.free:
			if p.usable(conn) {
				return conn, nil
			}
			continue
		default:
		}
		attempt, err := p.dial()
		if err != nil {
			return nil, err
		}
		var done chan struct{}
		if attempt != nil {
			done = attempt.done
		}
		select {
		case conn := <-p.free:
			if p.usable(conn) {
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

// usable takes a broken connection out of the pool.
func (p *peer) usable(conn *clientConn) bool {
	if !conn.codec.isClosed() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	conn.rpc.Close()
	return false
}

// release returns also a broken connection, so that a waiting call takes it out of the pool and dials.
func (p *peer) release(conn *clientConn) {
	p.free <- conn
}

func (p *peer) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// dial returns the attempt under way or a new one, nil when the pool is full or waits, and an error when there is no
// connection and none may be dialled.
func (p *peer) dial() (*dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, &ClosedError{Resource: "rpc client"}
	case p.dialling != nil:
		return p.dialling, nil
	case len(p.conns) >= p.client.options.MaxConnections:
		return nil, nil
	}
	if wait := p.notBefore.Sub(p.client.options.Now()); wait > 0 {
		if len(p.conns) > 0 {
			return nil, nil
		}
		return nil, &UnavailableError{Address: p.address, RetryAfter: wait, Cause: p.lastError}
	}
	attempt := &dialAttempt{done: make(chan struct{})}
	p.dialling = attempt
	p.client.running.Add(1)
	go p.runDial(attempt)
	return attempt, nil
}

func (p *peer) runDial(attempt *dialAttempt) {
	defer p.client.running.Done()
	defer close(attempt.done)
	conn, err := p.connect()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = nil
	if err == nil && p.closed {
		conn.Close()
		err = &ClosedError{Resource: "rpc client"}
	}
	// A dial counts as failed until an answer arrives: with TLS 1.3 a server refuses a client's certificate after the
	// client's side of the handshake has succeeded.
	wait := p.backoff.NextBackOff()
	p.notBefore = p.client.options.Now().Add(wait)
	if err != nil {
		p.lastError = err
		attempt.err = &UnavailableError{Address: p.address, RetryAfter: wait, Cause: err}
		return
	}
	p.lastError = &ClosedError{Resource: "connection without an answer"}
	codec := newClientCodec(conn, p.client.options, p.answered)
	established := &clientConn{codec: codec, rpc: netrpc.NewClientWithCodec(codec)}
	p.conns[established] = struct{}{}
	p.free <- established
}

// answered ends the back-off after the first answer of a connection.
func (p *peer) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff.Reset()
	p.notBefore = time.Time{}
}

func (p *peer) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.options.DialTimeout)
	defer cancel()
	conn, err := p.client.options.Dial(ctx, "tcp", p.address)
	if err != nil || p.client.options.TLS == nil {
		return conn, err
	}
	return p.handshake(ctx, conn)
}

// handshake takes the server's name from the address unless the options give one, as crypto/tls does for a dial.
func (p *peer) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
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

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.conns {
		conn.rpc.Close()
	}
}
