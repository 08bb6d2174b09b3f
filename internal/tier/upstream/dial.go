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
	// userTimeout is the TCP_USER_TIMEOUT: the connection fails if sent bytes stay unacknowledged for longer. A busy store is
	// not affected, as its kernel still acknowledges.
	userTimeout = 800 * time.Millisecond
	// A connection without traffic for keepAliveIdle is probed, to detect a store behind a network partition.
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

// setUserTimeout sets the TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged, or wait for the receiver's window.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(descriptor uintptr) {
		// If the option cannot be set, a dead store is detected later, by the keep-alive probes or the deadline.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
}
