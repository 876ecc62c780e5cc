package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Defaults of the options.
const (
	// DefaultMaxMessageSize fits a snapshot of the largest group, whose idempotency records take up to 64 MiB.
	DefaultMaxMessageSize = 64 << 20
	// DefaultCallTimeout applies to calls whose context has no deadline.
	DefaultCallTimeout = 2 * time.Second
	// DefaultStallTimeout ends a connection whose peer makes no progress inside a message.
	DefaultStallTimeout = 5 * time.Second
	// DefaultClientIdleTimeout is less than DefaultServerIdle, so that the client closes idle connections first and no request
	// meets a connection that the server is closing.
	DefaultClientIdleTimeout = 60 * time.Second
	DefaultServerIdleTimeout = 90 * time.Second
	// DefaultSilenceTimeout is how long a connection may owe an answer without a byte received before a call that times out
	// closes it. A connection through a healed partition otherwise waits for TCP's retransmission timer.
	DefaultSilenceTimeout = time.Second
	// DefaultDialTimeout bounds a dial and its TLS handshake.
	DefaultDialTimeout = time.Second
	// DefaultBackoffMin and DefaultBackoffMax bound the time between dials, with a jitter of half of it. The maximum
	// keeps a returned peer from being unreachable for most of the second in which keys must be served again.
	DefaultBackoffMin = 20 * time.Millisecond
	DefaultBackoffMax = 500 * time.Millisecond
	// DefaultMaxClientConnections per address lets small messages pass a large one that is being written.
	DefaultMaxClientConnections = 2
	// DefaultMaxConcurrentRequests requests per server connection; further requests wait unread.
	DefaultMaxConcurrentRequests = 256
	// DefaultMaxServerConnections is above twice the 2,200 nodes of the design, at DefaultClientConnections each.
	DefaultMaxServerConnections = 5000
)

// ServerOptions configures a Server. Zero fields take the defaults.
type ServerOptions struct {
	// TLS, when set, makes the server accept only TLS.
	TLS *tls.Config
	// MaxMessageSize is in bytes and applies to received and sent bodies.
	MaxMessageSize int
	// MaxConcurrentRequests is per connection.
	MaxConcurrentRequests int
	MaxConnections        int
	CallTimeout           time.Duration
	StallTimeout          time.Duration
	IdleTimeout           time.Duration
}

// ClientOptions configures a Client. Zero fields take the defaults.
type ClientOptions struct {
	// TLS, when set, makes the client speak TLS. An empty ServerName is set to the host of the address by crypto/tls.
	TLS *tls.Config
	// MaxMessageSize is in bytes and applies to received and sent bodies.
	MaxMessageSize int
	// MaxConnections is per address.
	MaxConnections int
	CallTimeout    time.Duration
	DialTimeout    time.Duration
	StallTimeout   time.Duration
	IdleTimeout    time.Duration
	SilenceTimeout time.Duration
	BackoffMin     time.Duration
	BackoffMax     time.Duration
	// Dial opens connections; a net.Dialer by default. Tests replace it to inject network faults.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now is the clock of the back-off; time.Now by default.
	Now func() time.Time
}

func orDefault[T int | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
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
