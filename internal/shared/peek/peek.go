// Package peek checks whether a connection is readable or closed by the peer, without reading from it (MSG_PEEK).
package peek

import (
	"errors"
	"net"
	"syscall"
)

// Status reports whether a connection has unread bytes, and whether it has ended: closed by either side, or broken. It does
// not block, and takes no bytes from a concurrent reader. For a connection that is no socket both results are false.
func Status(nc net.Conn) (waiting, ended bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	var n int
	var got error
	err = raw.Control(func(fd uintptr) { // not Read, which would wait for a concurrent reader
		n, _, got = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return false, true // closed by this side
	}
	return got == nil && n > 0, got == nil && n == 0 || got != nil && !errors.Is(got, syscall.EAGAIN)
}
