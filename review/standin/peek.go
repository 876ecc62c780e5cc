package main

import (
	"errors"
	"syscall"
)

// peekable reports whether a socket has something to be read, without reading it.
func peekable(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return !errors.Is(err, syscall.EAGAIN)
}
