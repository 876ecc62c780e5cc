package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// peerProxy stands between the port of a registry host for the other hosts and its callers, as a link that can be cut.
type peerProxy struct {
	run  *run
	host *host
	to   string
}

// cutHost is the registry host that is cut off from the other registry hosts, or nil. heldConnections counts the connections that the cut held.
var (
	cutHost         atomic.Pointer[host]
	heldConnections atomic.Int64
)

func (r *run) newPeerProxy(h *host, address, to string) (*peerProxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &peerProxy{run: r, host: h, to: to}
	go func() {
		<-r.closed
		listener.Close()
	}()
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(caller.(*net.TCPConn))
		}
	}()
	return p, nil
}

// serve forwards a connection. During a cut it holds what was sent over a link that is cut, as a network does: it arrives after the cut,
// also if its sender has closed the connection in the meantime, unless the sender has reset it. A connection that is opened during the cut
// does not come about.
func (p *peerProxy) serve(caller *net.TCPConn) {
	from := p.run.registryOf(caller)
	if isCut(from, p.host) {
		_ = caller.SetLinger(0)
		for isCut(from, p.host) {
			time.Sleep(5 * time.Millisecond)
		}
		caller.Close()
		return
	}
	connection, err := net.Dial("tcp", p.to)
	if err != nil {
		caller.Close()
		return
	}
	host := connection.(*net.TCPConn)
	var once sync.Once
	held := func() {
		if isCut(from, p.host) {
			once.Do(func() { heldConnections.Add(1) })
		}
		for isCut(from, p.host) {
			time.Sleep(2 * time.Millisecond)
		}
	}
	go forward(caller, host, held)
	forward(host, caller, held)
}

// isCut reports whether the link between two registry hosts is cut.
func isCut(a, b *host) bool {
	cut := cutHost.Load()
	return cut != nil && a != nil && b != nil && (a == cut || b == cut)
}

// forward copies data in one direction. hold returns when the link carries data. The end of the input becomes the end of the output, and a
// reset one of the output.
func forward(in, out *net.TCPConn, hold func()) {
	buffer := make([]byte, 32<<10)
	for {
		// What arrives during a cut stays unread, so that a reset of its sender still discards it.
		if err := awaitReadable(in); err == nil {
			hold()
		}
		n, err := in.Read(buffer)
		if n > 0 {
			if _, werr := out.Write(buffer[:n]); werr != nil {
				_ = in.SetLinger(0)
				in.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = out.CloseWrite()
			return
		case err != nil:
			_ = out.SetLinger(0)
			out.Close()
			return
		}
	}
}

// awaitReadable returns when there is data, the end or an error to be read.
func awaitReadable(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(peekable)
}

// registryOf finds the registry host whose process has opened a connection, or returns nil for other processes. All hosts have the same
// address as callers on loopback, so the table of sockets has to tell.
func (r *run) registryOf(connection net.Conn) *host {
	local, remote := connection.RemoteAddr().(*net.TCPAddr), connection.LocalAddr().(*net.TCPAddr)
	format := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	wanted, socket := []byte(format(local)+" "+format(remote)), ""
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		if bytes.Contains(lines.Bytes(), wanted) {
			socket = "socket:[" + strings.Fields(lines.Text())[9] + "]"
		}
	}
	for _, h := range r.registries {
		if h.process == nil || socket == "" {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", h.command.Process.Pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == socket {
				return h
			}
		}
	}
	return nil
}

// delayer is a path to a control node on which what is sent arrives late. Answers are not delayed.
type delayer struct {
	address string
	// delay is the delay in nanoseconds of what is sent from now on.
	delay atomic.Int64
}

func (r *run) newDelayer(to string) (*delayer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &delayer{address: listener.Addr().String()}
	go func() {
		<-r.closed
		listener.Close()
	}()
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(caller.(*net.TCPConn), to)
		}
	}()
	return d, nil
}

// serve forwards a connection. What the caller has sent is delivered after the delay, also if it has closed the connection since.
func (d *delayer) serve(caller *net.TCPConn, to string) {
	delay := time.Duration(d.delay.Load())
	connection, err := net.Dial("tcp", to)
	if err != nil {
		caller.Close()
		return
	}
	node := connection.(*net.TCPConn)
	go func() {
		_, _ = io.Copy(caller, node)
		caller.Close()
	}()
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 64)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := caller.Read(buffer)
			pieces <- piece{buffer[:n], time.Now().Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := node.Write(p.data); err != nil {
			break
		}
	}
	_ = node.CloseWrite()
	time.Sleep(2 * time.Second)
	node.Close()
}
