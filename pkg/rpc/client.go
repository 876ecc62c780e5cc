package rpc

import (
	"context"
	"errors"
	"maps"
	netrpc "net/rpc"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Client calls methods of other hosts. It is safe for concurrent use.
type Client interface {
	// Call sends request to the method at address ("host:port") and decodes the response into response. If ctx has no
	// deadline, ClientOptions.CallTimeout applies. Errors: *UnavailableError (certainly not run), *TimeoutError,
	// *ConnectionLostError (may have run), *RemoteError, *SizeError (request too large, not sent), *EncodingError,
	// *ClosedError.
	Call(ctx context.Context, address, method string, request, response proto.Message) error
	// CloseIdle closes the connections on which no response is awaited, so that the next calls dial. A connection may have gone silent
	// without a notice.
	CloseIdle()
	// Close closes all connections and makes running calls fail.
	Close() error
}

type client struct {
	options        ClientOptions
	ctx            context.Context
	cancel         context.CancelFunc
	dialGoroutines sync.WaitGroup

	mu     sync.Mutex
	closed bool
	pools  map[string]*pool
}

// NewClient returns a client. Connections are dialled when calls need them.
func NewClient(options ClientOptions) Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &client{options: options.withDefaults(), ctx: ctx, cancel: cancel, pools: map[string]*pool{}}
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
		responseBody, reused, err := c.attempt(ctx, address, method, body)
		if err == nil {
			if err := proto.Unmarshal(responseBody, response); err != nil {
				return wrap(&EncodingError{Method: method, Cause: err})
			}
			return nil
		}
		// A pooled connection may have been closed without notice. The request was not sent, so it may be tried on another
		// connection. Each such attempt removes a connection from the pool, which ends the loop.
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || (!reused && !unavailable.closedByIdleTimeout()) || ctx.Err() != nil {
			return wrap(err)
		}
	}
}

// attempt sends body on one connection and returns the response body. The boolean is whether the connection had been used
// before.
func (c *client) attempt(ctx context.Context, address, method string, body []byte) ([]byte, bool, error) {
	pool, err := c.pool(address)
	if err != nil {
		return nil, false, err
	}
	conn, err := pool.acquire(ctx, method)
	if err != nil {
		return nil, false, err
	}
	reused := conn.used
	conn.used = true
	request := newClientRequest(ctx, method, body)
	response := &clientResponse{method: method}
	done := make(chan *netrpc.Call, 1)
	// A write may block beyond the end of ctx, but interrupting it would end the connection for all its calls.
	go func() {
		conn.rpc.Go(method, request, response, done)
		pool.release(conn)
	}()
	select {
	case call := <-done:
		if call.Error == nil {
			return response.body, reused, nil
		}
		return nil, reused, conn.callError(address, request, call.Error)
	case <-ctx.Done():
		conn.codec.closeIfUnresponsive(c.options.SilenceTimeout)
		return nil, reused, &TimeoutError{
			Address: address, Method: method, MaybeSent: request.writeState.Load() != writeNotStarted, Cause: ctx.Err(),
		}
	}
}

func (c *client) pool(address string) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &ClosedError{Resource: "rpc client"}
	}
	if c.pools[address] == nil {
		c.pools[address] = newPool(c, address)
	}
	return c.pools[address], nil
}

// CloseIdle implements Client.
func (c *client) CloseIdle() {
	c.mu.Lock()
	pools := slices.Collect(maps.Values(c.pools))
	c.mu.Unlock()
	for _, pool := range pools {
		pool.closeIdle()
	}
}

// Close implements Client.
func (c *client) Close() error {
	c.mu.Lock()
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	c.cancel()
	for _, pool := range pools {
		pool.close()
	}
	c.dialGoroutines.Wait()
	return nil
}
