package rpc

import (
	"context"
	"errors"
	netrpc "net/rpc"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Client calls methods of other hosts. It is safe for concurrent use.
type Client interface {
	// Call sends request to address ("host:port") and fills response. Without a deadline in ctx, the default applies.
	// Errors: *UnavailableError (certainly not run), *TimeoutError, *ConnectionLostError (may have run), *RemoteError,
	// *SizeError (request too large, not sent), *EncodeError, *ClosedError.
	Call(ctx context.Context, address, method string, request, response proto.Message) error
	// Close fails running calls and closes all connections.
	Close() error
}

type client struct {
	options ClientOptions
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &client{options: options.withDefaults(), ctx: ctx, cancel: cancel, peers: map[string]*peer{}}
}

// Call implements Client.
func (c *client) Call(ctx context.Context, address, method string, request, response proto.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.CallTimeout)
		defer cancel()
	}
	body, err := proto.Marshal(request)
	if err != nil {
		return wrap(&EncodingError{Method: method, Cause: err})
	}
	if len(body) > c.options.MaxMessageSize {
		return wrap(&SizeError{Size: uint64(len(body)), Limit: uint64(c.options.MaxMessageSize)})
	}
	for {
		answer, reused, err := c.attempt(ctx, address, method, body)
		if err == nil {
			if err := proto.Unmarshal(answer, response); err != nil {
				return wrap(&EncodingError{Method: method, Cause: err})
			}
			return nil
		}
		// A pooled connection may have ended unnoticed. The request was not sent, so another connection may try it;
		// each such attempt takes a connection out of the pool, which ends the loop.
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || (!reused && !unavailable.closedIdle()) || ctx.Err() != nil {
			return wrap(err)
		}
	}
}

// attempt sends body on one connection and reports whether the connection had been used before.
func (c *client) attempt(ctx context.Context, address, method string, body []byte) ([]byte, bool, error) {
	peer, err := c.peer(address)
	if err != nil {
		return nil, false, err
	}
	conn, err := peer.acquire(ctx, method)
	if err != nil {
		return nil, false, err
	}
	reused := conn.used
	conn.used = true
	request := newOutgoing(ctx, method, body)
	reply := &incoming{method: method}
	done := make(chan *netrpc.Call, 1)
	// Writing may block beyond ctx, and an abandoned write would end the connection for all its calls.
	go func() {
		conn.rpc.Go(method, request, reply, done)
		peer.release(conn)
	}()
	select {
	case call := <-done:
		if call.Error == nil {
			return reply.body, reused, nil
		}
		return nil, reused, conn.callError(address, request, call.Error)
	case <-ctx.Done():
		conn.codec.closeIfSilent(c.options.SilenceTimeout)
		return nil, reused, &TimeoutError{
			Address: address, Method: method, MaybeSent: request.state.Load() != stateQueued, Cause: ctx.Err(),
		}
	}
}

func (c *client) peer(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &ClosedError{Resource: "rpc client"}
	}
	if c.peers[address] == nil {
		c.peers[address] = newPeer(c, address)
	}
	return c.peers[address], nil
}

// Close implements Client.
func (c *client) Close() error {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = nil
	c.mu.Unlock()
	c.cancel()
	for _, peer := range peers {
		peer.close()
	}
	c.running.Wait()
	return nil
}
