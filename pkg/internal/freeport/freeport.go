// Package freeport selects ports for servers that tests stop and start again at the same address.
package freeport

import (
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// first and last bound the ports. They are below the ports that systems use for outgoing connections (from 32768 on Linux), one of which may
	// take the port of a server while it is stopped.
	first, last = 20000, 32000
	// maxAttempts bounds the ports that are tried.
	maxAttempts = 100
)

// Listen listens on a free port of the loopback address. It returns the last error if it finds none.
func Listen() (net.Listener, error) {
	var err error
	for range maxAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+rand.IntN(last-first))))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}
