package rpc

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections between the tier's processes.
const (
	dialTimeout   = time.Second
	dialBackoff   = 100 * time.Millisecond  // after a dial that failed, for which calls fail at once
	userTimeout   = 1500 * time.Millisecond // unacknowledged bytes end a connection after this
	writeTimeout  = 1500 * time.Millisecond // a peer that does not read for this long loses its connection
	keepAliveTime = time.Second             // between probes of an idle connection
	keepAliveMost = 3                       // probes without an answer
	silentTime    = 500 * time.Millisecond  // without a byte after a call that found no answer: the connection goes
	idleTime      = 30 * time.Second        // after which an unused connection is closed
)

// Listen opens an inner listener at an address (ip:port).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", address) // setOptions sets the probes
}

// setOptions makes a silent cut end the connection.
func setOptions(connection net.Conn) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		socket := int(descriptor)
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveTime/time.Second))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveTime/time.Second))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveMost)
		_ = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	})
}
