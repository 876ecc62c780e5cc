package target

import (
	"errors"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrTransportRetry stops net/http from retrying a request on another connection. Only the caller of Send decides whether
// a request may be retried.
var ErrTransportRetry = merry.Sentinel("request was already written once")

// attempt tracks one request on the connection that carries it.
type attempt struct {
	guard func() error

	mu           sync.Mutex
	conn         *guardedConn
	writeStarted bool
	guardErr     error
}

// beforeWrite runs the guard before the first byte of the request and then records that writing has started. It refuses
// to write the request on a second connection.
func (a *attempt) beforeWrite(conn *guardedConn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writeStarted {
		if a.conn != conn {
			return merry.Wrap(ErrTransportRetry)
		}
		return nil
	}
	if a.guard != nil {
		if err := a.guard(); err != nil {
			a.guardErr = err
			return err
		}
	}
	a.conn = conn
	a.writeStarted = true
	return nil
}

// bindConn binds the attempt to the connection that net/http chose.
func (a *attempt) bindConn(conn net.Conn) {
	guarded, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	if !a.writeStarted {
		a.conn = guarded
	}
	a.mu.Unlock()
	guarded.bind(a)
}

func (a *attempt) result() (conn *guardedConn, writeStarted bool, guardErr error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.writeStarted, a.guardErr
}

// guardedConn calls the current attempt before each write, so that the guard runs immediately before the first byte and
// the sender knows for certain whether any byte was written.
type guardedConn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu      sync.Mutex
	current *attempt
	// ended is set once this host has closed the connection.
	ended bool
}

func (c *guardedConn) bind(a *attempt) {
	c.mu.Lock()
	c.current = a
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	current, ended := c.current, c.ended
	c.mu.Unlock()
	if ended {
		// net/http may offer a connection that was closed just before. No byte of the request is written there, so it may be sent elsewhere.
		return 0, merry.Wrap(net.ErrClosed)
	}
	if current != nil {
		if err := current.beforeWrite(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.once.Do(c.closed)
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// SendError reports a request that got no response.
type SendError struct {
	// WriteStarted is set when a byte of the request may have been written. When it is false, the request did not run.
	WriteStarted bool
	// RejectedByGuard is set when the guard stopped the request; Cause is then the guard's error.
	RejectedByGuard bool
	Cause           error
}

// Error implements error.
func (e *SendError) Error() string {
	switch {
	case e.RejectedByGuard:
		return "request rejected before it was written: " + e.Cause.Error()
	case e.WriteStarted:
		return "no response to a request that was at least partly written: " + e.Cause.Error()
	default:
		return "request was not written: " + e.Cause.Error()
	}
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Timeout reports whether the cause is a timeout.
func (e *SendError) Timeout() bool {
	var timeout net.Error
	return errors.As(e.Cause, &timeout) && timeout.Timeout()
}
