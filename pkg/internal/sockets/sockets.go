// Package sockets provides checks of open connections that package net lacks.
package sockets

import (
	"errors"
	"net"
	"syscall"
)

// IsOpenAndIdle reports whether the peer has neither closed the connection nor sent data that is still unread. It is
// checked before a connection is reused, because the outcome of a request that is written to a connection that the peer
// has closed is unknown. It peeks at the socket without blocking; for a connection without a socket it returns false.
func IsOpenAndIdle(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
