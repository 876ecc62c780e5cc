package dev

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"almondrock.example/almondrock/pkg/host"
)

// network simulates network partitions and paused processes. Data that can't pass is delayed, as TCP would do: it arrives
// after the partition has healed, unless the connection was closed in the meantime.
type network struct {
	mu          sync.Mutex
	changed     chan struct{}
	processes   map[string]string
	partitioned func(from, to string) bool
	paused      map[string]bool
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), processes: map[string]string{}, paused: map[string]bool{}}
}

// registerAddress records the name of the process that listens on an address.
func (n *network) registerAddress(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[address] = name
}

// setPartition sets which processes can't reach each other; nil heals the partition.
func (n *network) setPartition(partitioned func(from, to string) bool) {
	n.update(func() { n.partitioned = partitioned })
}

func (n *network) pause(name string, paused bool) {
	n.update(func() { n.paused[name] = paused })
}

func (n *network) update(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitReachable blocks while from is paused or partitioned from address. It returns false if done is closed first.
func (n *network) awaitReachable(from, address string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		to := n.processes[address]
		blocked := n.paused[from] || (to != "" && n.partitioned != nil && n.partitioned(from, to))
		changed := n.changed
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-done:
			return false
		case <-changed:
		}
	}
}

// connectTimeout is the same as in the connection pools of the hosts.
const connectTimeout = 250 * time.Millisecond

// intercept makes a host use this network for all its connections.
func (n *network) intercept(options *host.Options) {
	name := options.Settings.GetName()
	l := options.Listeners
	for _, listener := range []*net.Listener{&l.Callers, &l.Data, &l.RPC} {
		n.registerAddress((*listener).Addr().String(), name)
		*listener = &faultyListener{Listener: *listener, network: n, name: name}
	}
	options.Faults = &host.Faults{
		Wait: func(ctx context.Context) { n.awaitReachable(name, "", ctx.Done()) },
		Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			if !n.awaitReachable(name, address, ctx.Done()) {
				return nil, ctx.Err()
			}
			conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
			if err != nil {
				return nil, err
			}
			return n.wrap(conn, name, address), nil
		},
	}
}

func (n *network) wrap(conn net.Conn, from, address string) net.Conn {
	return &faultyConn{Conn: conn, network: n, from: from, address: address, done: make(chan struct{})}
}

type faultyListener struct {
	net.Listener
	network *network
	name    string
}

func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(conn, l.name, ""), nil
}

type faultyConn struct {
	net.Conn
	network       *network
	from, address string
	once          sync.Once
	done          chan struct{}
}

func (c *faultyConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if !c.network.awaitReachable(c.from, c.address, c.done) {
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *faultyConn) Write(data []byte) (int, error) {
	if !c.network.awaitReachable(c.from, c.address, c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// SyscallConn lets the connection pool check whether the peer has closed the connection.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
