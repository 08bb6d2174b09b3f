package rpc

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections between the tier's processes.
const (
	dialTimeout = time.Second
	dialBackoff = 100 * time.Millisecond // after a failed dial, during which calls fail at once

	userTimeout         = 1500 * time.Millisecond // for which sent bytes may stay unacknowledged
	writeTimeout        = 1500 * time.Millisecond // for which a peer may take to read a frame
	unresponsiveTimeout = 500 * time.Millisecond  // for which calls may go without any reply

	keepAliveInterval = time.Second      // between probes of an idle connection
	keepAliveProbes   = 3                // without an answer, after which the connection is closed
	idleTimeout       = 30 * time.Second // after which an unused connection is closed
)

// Listen opens a listener for a Server at an address (ip:port).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", address) // setSocketOptions sets the probes
}

// setSocketOptions has the kernel close the connection when its peer has gone without closing it.
func setSocketOptions(connection net.Conn) {
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
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveInterval/time.Second))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval/time.Second))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
		_ = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	})
}
