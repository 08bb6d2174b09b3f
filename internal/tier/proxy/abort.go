package proxy

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the context key of the client connection on which a request arrived.
type connectionKey struct{}

// withConnection adds the client connection to the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// abort ends a partially written response so that the client cannot mistake it for a complete one. With a
// Content-Length or chunked encoding the client detects the truncation. A response to an HTTP/1.0 client is delimited
// by the end of its connection, so that connection is reset.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) {
		if connection, ok := x.r.Context().Value(connectionKey{}).(*clientConnection); ok {
			connection.setResetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}

// setResetOnClose makes the connection end with a TCP reset.
func (c *clientConnection) setResetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
