package http1

import (
	"context"
	"net"
	"net/textproto"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/shared/peek"
)

// Client is a client with one connection, for one request at a time. It is not safe for concurrent use.
type Client struct {
	Addr string
	// MaxBody, where above the constant of that name, is the longest body of a response that is accepted, in bytes.
	MaxBody int

	nc net.Conn
	r  *Reader
}

// Dial opens the connection if it is not open.
func (c *Client) Dial(ctx context.Context, timeout time.Duration) error {
	if c.nc != nil {
		return nil
	}
	nc, err := (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	c.nc, c.r = nc, NewReader(nc)
	c.r.MaxBody = c.MaxBody
	return nil
}

// Write writes a request completely, or returns an error.
func (c *Client) Write(deadline time.Time, method, target string, h textproto.MIMEHeader, body []byte) error {
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	c.nc.SetWriteDeadline(deadline)
	_, err := c.nc.Write(AppendRequest(buf[:0], method, target, c.Addr, h, body))
	return err
}

// Read reads the response. Release it after use.
func (c *Client) Read(deadline time.Time) (*Response, error) {
	c.nc.SetReadDeadline(deadline)
	if err := c.r.Await(); err != nil {
		c.Close()
		return nil, err
	}
	if soon := time.Now().Add(requestTimeout); soon.Before(deadline) {
		c.nc.SetReadDeadline(soon) // a response that has begun must end within the time-out
	}
	p, err := c.r.Response()
	if err != nil || p.Close {
		c.Close()
	}
	return p, err
}

// Close closes the connection; the next Dial opens another.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Open reports whether the connection is open, as far as this side knows.
func (c *Client) Open() bool { return c.nc != nil }

// Alive reports whether the peer has neither closed the connection nor sent anything unasked. Without this check, a request
// on a connection that the peer closed while it was idle would fail after it was written, and would count as one that may
// have run.
func (c *Client) Alive() bool {
	waiting, ended := peek.Status(c.nc)
	return c.Open() && !waiting && !ended
}

// Aborter returns a function that ends a Read or Write from another goroutine by closing the current connection. The owner
// must still call Close.
func (c *Client) Aborter() func() {
	nc := c.nc
	return func() { nc.Close() }
}
