// Package peek tells whether a connection is readable or closed by the peer without reading from it (MSG_PEEK).
package peek

import (
	"errors"
	"net"
	"syscall"
)

// Look reports whether bytes wait to be read on a connection, and whether it has ended: the peer has closed it, or it is
// broken. It does not block, and takes nothing from a concurrent reader. Of a connection that is no socket both are false.
func Look(nc net.Conn) (waiting, ended bool) {
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
	err = raw.Control(func(fd uintptr) { // and not Read, which would wait for whoever reads
		n, _, got = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return false, true // closed on this side
	}
	return got == nil && n > 0, got == nil && n == 0 || got != nil && !errors.Is(got, syscall.EAGAIN)
}
