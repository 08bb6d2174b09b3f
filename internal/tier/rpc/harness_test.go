package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const testTimeout = 30 * time.Second // only reached by a test that hangs

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// expiredContext returns a context whose deadline has passed.
func expiredContext() context.Context {
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	cancel()
	return ctx
}

// startServer runs a server on a loopback address until the test ends.
func startServer(t *testing.T, setHandlers func(*Server)) (*Server, string) {
	t.Helper()
	server := NewServer()
	setHandlers(server)
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func startClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient()
	t.Cleanup(client.Close)
	return client
}

// pipeClient returns a client that dials pipes, and a channel with the remote end of each.
func pipeClient(t *testing.T) (*Client, chan net.Conn) {
	t.Helper()
	remotes := make(chan net.Conn, 8)
	client := newClient(func(context.Context, string) (net.Conn, error) {
		local, remote := net.Pipe()
		remotes <- remote
		return local, nil
	})
	t.Cleanup(client.Close)
	return client, remotes
}

func echo(_ context.Context, request *tierpb.Node) (*tierpb.Node, error) { return request, nil }

// handleEcho makes a server reply to MethodPing with the request.
func handleEcho(server *Server) { Handle(server, MethodPing, echo) }

// encodeRawFrame encodes a frame without the encoder under test.
func encodeRawFrame(kind byte, callID uint32, payload []byte) []byte {
	length := uint32(headerBytes - lengthBytes + len(payload))
	header := []byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length), kind,
		byte(callID >> 24), byte(callID >> 16), byte(callID >> 8), byte(callID)}
	return append(header, payload...)
}
