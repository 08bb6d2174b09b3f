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
	mu      sync.Mutex
	resting bool
	ending  bool // it is to be closed as soon as it rests
}

// Read reads from the client.
func (c *clientConnection) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.mu.Lock()
		c.resting = false
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

func (c *clientConnection) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = true
}

// SetReadDeadline sets when reads end. One that is to be closed stays expired while it rests, whatever net/http sets.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending && c.resting {
		deadline = expired
	}
	return c.Conn.SetReadDeadline(deadline)
}

// expire has the server close the connection where it rests, now or later. A read that has just taken bytes lifts the
// deadline again: net/http sets it anew after them.
func (c *clientConnection) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.resting {
		_ = c.Conn.SetReadDeadline(expired)
	}
}
