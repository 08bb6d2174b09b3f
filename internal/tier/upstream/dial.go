package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: sent bytes that stay unacknowledged for so long end the connection. A busy store
	// still acknowledges, as its kernel does.
	userTimeout = 800 * time.Millisecond
	// A connection without traffic for keepAliveIdle is probed, so that a store behind a network partition is found.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 1
)

func dialStore(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// setUserTimeout sets for how long sent bytes may be unacknowledged, or wait for room in the other end's buffer.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(descriptor uintptr) {
		// Without the option a dead store is found later, by the keep-alive probes or the deadline.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
}
