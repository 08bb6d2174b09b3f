// Package peek looks at what waits on a connection without reading it.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// Look says whether bytes wait to be read on a connection, or its end does: the peer has closed it, or it is broken. It
// does not wait, and takes nothing from one who reads meanwhile. Of a connection that is no socket nothing is known.
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
