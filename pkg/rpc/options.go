package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"almondrock.example/almondrock/pkg/memory"
)

// Defaults of the options.
const (
	// DefaultMaxMessageSize, in bytes, is enough for a snapshot of the largest group, whose idempotency records take up to
	// 64 MiB.
	DefaultMaxMessageSize = 64 << 20
	// DefaultCallTimeout is the time limit of calls whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// DefaultStallTimeout is the time after which a connection is closed if the peer makes no progress within a message.
	DefaultStallTimeout = 5 * time.Second
	// DefaultClientIdleTimeout is less than DefaultServerIdleTimeout, so that the client closes idle connections first and
	// sends no request on a connection that the server is closing.
	DefaultClientIdleTimeout = 60 * time.Second
	DefaultServerIdleTimeout = 90 * time.Second
	// DefaultSilenceTimeout is the time without a byte received, while responses are outstanding, from which on a call that
	// times out closes its connection. After a network partition has ended, a connection would otherwise have to wait for
	// TCP's retransmission timer.
	DefaultSilenceTimeout = time.Second
	// DefaultDialTimeout limits a dial including its TLS handshake.
	DefaultDialTimeout = time.Second
	// DefaultBackoffMin and DefaultBackoffMax are the bounds of the back-off between dials, before a random jitter of up to
	// half of it in either direction. With a longer maximum, a peer that has returned could stay unreachable for most of
	// the second within which keys must be served again.
	DefaultBackoffMin = 20 * time.Millisecond
	DefaultBackoffMax = 500 * time.Millisecond
	// DefaultMaxClientConnections is per address. It is above 1 so that small messages need not wait for a large one that
	// is being written.
	DefaultMaxClientConnections = 2
	// DefaultMaxConcurrentRequests is per server connection. Further requests are not read until a running one ends.
	DefaultMaxConcurrentRequests = 256
	// DefaultMaxServerConnections is above 2 * 2,200: the design has 2,200 nodes with DefaultMaxClientConnections each.
	DefaultMaxServerConnections = 5000
)

// ServerOptions configures a Server. Zero fields take the defaults.
type ServerOptions struct {
	// TLS, if set, makes the server accept only TLS connections.
	TLS *tls.Config
	// MaxMessageSize is in bytes and applies to received and sent bodies.
	MaxMessageSize int
	// MaxConcurrentRequests is per connection.
	MaxConcurrentRequests int
	// MaxConnections bounds the open connections. Above it, a new connection replaces one that has carried no request.
	MaxConnections int
	// Budget bounds the memory of received messages above 4 KiB; it may be nil.
	Budget *memory.Budget
	// CallTimeout limits requests whose header has no deadline.
	CallTimeout  time.Duration
	StallTimeout time.Duration
	IdleTimeout  time.Duration
}

// ClientOptions configures a Client. Zero fields take the defaults.
type ClientOptions struct {
	// TLS, if set, makes the client use TLS. If its ServerName is empty, the host of the address is used, as in
	// crypto/tls.
	TLS *tls.Config
	// MaxMessageSize is in bytes and applies to received and sent bodies.
	MaxMessageSize int
	// MaxConnections is per address.
	MaxConnections int
	// CallTimeout limits calls whose context has no deadline.
	CallTimeout    time.Duration
	DialTimeout    time.Duration
	StallTimeout   time.Duration
	IdleTimeout    time.Duration
	SilenceTimeout time.Duration
	BackoffMin     time.Duration
	BackoffMax     time.Duration
	// Dial opens connections. It defaults to a net.Dialer; tests replace it to inject network faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now is the clock of the back-off. It defaults to time.Now.
	Now func() time.Time
}

func orDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

func (o ServerOptions) withDefaults() ServerOptions {
	orDefault(&o.MaxMessageSize, DefaultMaxMessageSize)
	orDefault(&o.MaxConcurrentRequests, DefaultMaxConcurrentRequests)
	orDefault(&o.MaxConnections, DefaultMaxServerConnections)
	orDefault(&o.CallTimeout, DefaultCallTimeout)
	orDefault(&o.StallTimeout, DefaultStallTimeout)
	orDefault(&o.IdleTimeout, DefaultServerIdleTimeout)
	return o
}

func (o ClientOptions) withDefaults() ClientOptions {
	orDefault(&o.MaxMessageSize, DefaultMaxMessageSize)
	orDefault(&o.MaxConnections, DefaultMaxClientConnections)
	orDefault(&o.CallTimeout, DefaultCallTimeout)
	orDefault(&o.DialTimeout, DefaultDialTimeout)
	orDefault(&o.StallTimeout, DefaultStallTimeout)
	orDefault(&o.IdleTimeout, DefaultClientIdleTimeout)
	orDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	orDefault(&o.BackoffMin, DefaultBackoffMin)
	orDefault(&o.BackoffMax, DefaultBackoffMax)
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
