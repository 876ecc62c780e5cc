package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// RawServer is a stand-in for a target in trouble. Its responses are the bytes that its function writes, which need not be HTTP, and the function
// decides how the connection ends.
type RawServer struct{ listener net.Listener }

// StartRaw listens on a free port of loopback and calls respond for each request, whose body has not been read then. A connection that respond
// leaves open takes further requests. It fails with ErrListen.
func StartRaw(respond func(c *net.TCPConn, r *http.Request)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err))
	}
	s := &RawServer{listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(c.(*net.TCPConn), respond)
		}
	}()
	return s, nil
}

func serveRaw(c *net.TCPConn, respond func(c *net.TCPConn, r *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(c, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Address returns the address (host:port) of the listener.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close ends the listener. Open connections go on.
func (s *RawServer) Close() error { return s.listener.Close() }

// Reset ends a connection with a reset. What was written and has not left the host is discarded.
func Reset(c *net.TCPConn) {
	// If this fails, the connection is closed in the ordinary way.
	_ = c.SetLinger(0)
	c.Close()
}
