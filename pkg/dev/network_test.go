package dev

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"almondrock.example/almondrock/pkg/host"
)

// network decides which hosts and targets reach each other. What cannot pass waits, as TCP makes it wait: it arrives
// late, after the cut is healed, unless the connection was closed meanwhile.
type network struct {
	mu      sync.Mutex
	changed chan struct{}
	owners  map[string]string
	cut     func(from, to string) bool
	paused  map[string]bool
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), owners: map[string]string{}, paused: map[string]bool{}}
}

// own names the process behind an address.
func (n *network) own(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[address] = name
}

// setCut replaces the cuts; nil heals all.
func (n *network) setCut(cut func(from, to string) bool) {
	n.change(func() { n.cut = cut })
}

func (n *network) pause(name string, paused bool) {
	n.change(func() { n.paused[name] = paused })
}

func (n *network) change(edit func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	edit()
	close(n.changed)
	n.changed = make(chan struct{})
}

// await blocks while from is paused or cut from address, and reports false when done closes first.
func (n *network) await(from, address string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		to := n.owners[address]
		blocked := n.paused[from] || (to != "" && n.cut != nil && n.cut(from, to))
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

// connectTimeout is that of the connection pools.
const connectTimeout = 250 * time.Millisecond

// edit puts a host behind this network.
func (n *network) edit(options *host.Options) {
	name := options.Settings.GetName()
	l := options.Listeners
	for _, listener := range []*net.Listener{&l.Callers, &l.Data, &l.RPC} {
		n.own((*listener).Addr().String(), name)
		*listener = &faultyListener{Listener: *listener, network: n, name: name}
	}
	options.Faults = &host.Faults{
		Wait: func(ctx context.Context) { n.await(name, "", ctx.Done()) },
		Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			if !n.await(name, address, ctx.Done()) {
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
	if !c.network.await(c.from, c.address, c.done) {
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *faultyConn) Write(data []byte) (int, error) {
	if !c.network.await(c.from, c.address, c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// SyscallConn lets the pool look whether the peer has closed the connection.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
