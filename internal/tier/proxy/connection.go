package proxy

import (
	"net"
	"sync"
	"time"
)

// clientConnection is a client's connection that records whether any byte of a request has been read since the last
// response, so that a graceful shutdown closes only idle connections.
type clientConnection struct {
	net.Conn
	mu        sync.Mutex
	idle      bool
	idleSince time.Time // valid only while idle is true
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

// CloseWrite closes only the sending side, so that the client can still read what was written.
func (c *clientConnection) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return c.Close()
}

// markIdle records that the last response is complete and no request is in progress.
func (c *clientConnection) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, now
}

// closeIfIdle makes the server close the connection if it has been idle for at least minIdleBeforeClose. It sets a read
// deadline in the past instead of closing the connection: if a read has just received bytes, net/http sets a new
// deadline and serves the request.
func (c *clientConnection) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && now.Sub(c.idleSince) >= minIdleBeforeClose {
		_ = c.SetReadDeadline(pastDeadline)
	}
}
