package proxy

import (
	"net"
	"sync"
	"time"
)

// clientConnection knows whether any byte of a request was read since the last answer, so that a connection is ended
// only where none was.
type clientConnection struct {
	net.Conn
	mu        sync.Mutex
	idle      bool
	idleSince time.Time // it rests
}

// Read reads from the client.
func (c *clientConnection) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite ends the proxy's side only, so that the client still reads what was written.
func (c *clientConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

func (c *clientConnection) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince = true, now
}

// closeIfIdle has the server close the connection where it has rested for a while. A read that has just taken bytes lifts the
// deadline again: net/http sets it anew after them.
func (c *clientConnection) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && now.Sub(c.idleSince) >= minIdleBeforeClose {
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}
