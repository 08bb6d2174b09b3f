package proxy

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of a client's connection in the contexts of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// abort ends an answer that has begun so that it does not look complete. Length and chunks show that by themselves; an
// answer to HTTP/1.0 ends with its connection, which is therefore reset.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) {
		if connection, ok := x.r.Context().Value(connectionKey{}).(*clientConnection); ok {
			connection.setResetOnClose()
		}
	}
	panic(http.ErrAbortHandler)
}

// setResetOnClose has the connection end with a reset.
func (c *clientConnection) setResetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
