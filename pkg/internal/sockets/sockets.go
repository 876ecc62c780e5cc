// Package sockets has checks on open connections that package net does not offer.
package sockets

import (
	"errors"
	"net"
	"syscall"
)

// IsOpenAndIdle reports whether the peer has neither closed the connection nor sent anything. A request that is written to a
// connection that the peer has closed has an unknown outcome.
func IsOpenAndIdle(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
