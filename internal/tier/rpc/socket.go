package rpc

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts and keep-alive settings of connections between the tier's processes.
const (
	dialTimeout = time.Second
	dialBackoff = 100 * time.Millisecond // time after a failed dial during which calls fail without dialing

	tcpUserTimeout      = 1500 * time.Millisecond // TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
	writeTimeout        = 1500 * time.Millisecond // how long writing one frame may take
	unresponsiveTimeout = 500 * time.Millisecond  // how long calls may receive no reply before the client closes the connection

	keepAliveInterval = time.Second      // time between probes of an idle connection
	keepAliveProbes   = 3                // unanswered probes after which the kernel closes the connection
	idleTimeout       = 30 * time.Second // how long a connection stays unused before the client closes it
)

// Listen opens a listener for a Server at an address (ip:port).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	// KeepAlive is disabled here because setSocketOptions configures the keep-alive probes.
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp4", address)
}

// setSocketOptions makes the kernel close the connection when the peer has become unreachable without closing it.
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
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveInterval/time.Second))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval/time.Second))
		_ = unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
		_ = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	})
}
