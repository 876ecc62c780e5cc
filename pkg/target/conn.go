package target

import (
	"errors"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrTransportRetry stops net/http from writing a request a second time by itself: whether a request may be sent again is
// decided by the sender alone.
var ErrTransportRetry = merry.Sentinel("request was already written once")

// attempt follows one request through the connection that carries it.
type attempt struct {
	guard func() error

	mu     sync.Mutex
	conn   *guardedConn
	wrote  bool
	denied error
}

// beforeWrite runs the guard before the first byte and records that bytes are written from here on.
func (a *attempt) beforeWrite(conn *guardedConn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wrote {
		if a.conn != conn {
			return merry.Wrap(ErrTransportRetry)
		}
		return nil
	}
	if a.guard != nil {
		if err := a.guard(); err != nil {
			a.denied = err
			return err
		}
	}
	a.conn = conn
	a.wrote = true
	return nil
}

// take binds the attempt to the connection that the pool chose.
func (a *attempt) take(conn net.Conn) {
	guarded, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	if !a.wrote {
		a.conn = guarded
	}
	a.mu.Unlock()
	guarded.bind(a)
}

func (a *attempt) state() (conn *guardedConn, wrote bool, denied error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.wrote, a.denied
}

// guardedConn asks the current attempt before it writes, so that a check can run immediately before the write and the
// sender knows for certain whether any byte was written.
type guardedConn struct {
	net.Conn
	closed func()
	once   sync.Once

	mu      sync.Mutex
	current *attempt
}

func (c *guardedConn) bind(a *attempt) {
	c.mu.Lock()
	c.current = a
	c.mu.Unlock()
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
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
	return c.Conn.Close()
}

// SendError is a request that got no answer.
type SendError struct {
	// WriteStarted tells whether any byte of the request was written. The request certainly did not run when it is false.
	WriteStarted bool
	// RejectedByGuard is set when the guard stopped the request; the cause is the guard's error.
	RejectedByGuard bool
	Cause           error
}

// Error implements error.
func (e *SendError) Error() string {
	switch {
	case e.RejectedByGuard:
		return "request stopped before the write: " + e.Cause.Error()
	case e.WriteStarted:
		return "no answer to a request that was written: " + e.Cause.Error()
	default:
		return "request was not written: " + e.Cause.Error()
	}
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Timeout reports whether the request ran out of time.
func (e *SendError) Timeout() bool {
	var timeout net.Error
	return errors.As(e.Cause, &timeout) && timeout.Timeout()
}
