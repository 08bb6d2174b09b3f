package proxy

import (
	"net"
	"sync"
	"time"
)

// clientConnection is a client's connection that knows whether any byte of a request has been read since the last
// response, so that only idle connections are closed during a graceful shutdown.
type clientConnection struct {
	net.Conn
	mu        sync.Mutex
	idle      bool
	idleSince time.Time // only valid while idle
}

// Read reads from the client and marks the connection as active.
func (c *clientConnection) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side only, so that the client can still read what was written.
func (c *clientConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// markIdle records that the last response is complete.
func (c *clientConnection) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, now
}

// closeIfIdle makes the server close the connection if it has been idle for minIdleBeforeClose. It does so by a read
// deadline in the past: if a read has just received bytes, net/http sets the deadline anew and the request is served.
func (c *clientConnection) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && now.Sub(c.idleSince) >= minIdleBeforeClose {
		_ = c.SetReadDeadline(pastDeadline)
	}
}
