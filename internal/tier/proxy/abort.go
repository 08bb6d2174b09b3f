package proxy

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the context key of the client connection that a request arrived on.
type connectionKey struct{}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// abort ends a response that has begun so that the client cannot take it for complete. A Content-Length or chunked
// framing shows the truncation by itself; a response to HTTP/1.0 is delimited by the end of its connection, which is
// therefore reset.
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
