package rpc

import (
	"bytes"
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// stallingConnection accepts three bytes of the first write, which then exceeds its deadline. Later writes succeed.
type stallingConnection struct {
	net.Conn
	writes  int
	written bytes.Buffer
}

func (c *stallingConnection) SetWriteDeadline(time.Time) error { return nil }

func (c *stallingConnection) Write(data []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return c.written.Write(data)
	}
	n, _ := c.written.Write(data[:3])
	return n, os.ErrDeadlineExceeded
}

// truncatingConnection accepts three bytes of the first write, which then fails. Later writes would succeed.
type truncatingConnection struct {
	net.Conn
	failure error
	writes  int
	written bytes.Buffer
	closed  bool
}

func (c *truncatingConnection) SetWriteDeadline(time.Time) error { return nil }

func (c *truncatingConnection) Close() error {
	c.closed = true
	return nil
}

func (c *truncatingConnection) Write(data []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return c.written.Write(data)
	}
	n, _ := c.written.Write(data[:3])
	return n, c.failure
}

func TestPeerThatDoesNotReadDoesNotBlockCaller(t *testing.T) {
	client, remotes := pipeClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	// The context ends during the dial or the write, depending on timing; the call fails with ErrTimeout in both cases.
	err := client.Call(ctx, "a", MethodPing, &tierpb.Node{}, &tierpb.Node{})
	assert.ErrorIs(t, err, ErrTimeout)
	peer := <-remotes
	// No part of the frame was written, so the connection remains usable.
	server := NewServer()
	handleEcho(server)
	server.startConnection(peer)
	defer server.Close()
	assert.NilError(t, client.Call(testContext(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}))
}

func TestPartialFrameIsFinishedInBackground(t *testing.T) {
	connection := &stallingConnection{}
	writer := newFrameWriter(connection)
	first, err := encode(byte(MethodPing), 7, &tierpb.Node{Name: "cut"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout/2)
	defer cancel()
	assert.ErrorIs(t, writer.write(ctx, first), ErrTimeout)
	second, err := encode(byte(MethodLease), 8, &tierpb.Node{})
	assert.NilError(t, err)
	assert.NilError(t, writer.write(testContext(t), second))
	var header [headerBytes]byte
	for _, want := range []uint32{7, 8} {
		got, err := readFrame(&connection.written, &header)
		assert.NilError(t, err)
		assert.Equal(t, got.callID, want)
	}
}

// TestNothingFollowsTruncatedFrame: after a truncated frame the connection is closed and nothing more is written, since
// the peer would read the next frame as the rest of the truncated one.
func TestNothingFollowsTruncatedFrame(t *testing.T) {
	for name, failure := range map[string]error{"peer does not read": os.ErrDeadlineExceeded, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			connection := &truncatingConnection{failure: failure}
			writer := newFrameWriter(connection)
			for call := range uint32(2) {
				encoded, err := encode(byte(MethodPing)|replyFlag, call, &tierpb.Node{Name: "cut"})
				assert.NilError(t, err)
				assert.ErrorIs(t, writer.write(context.Background(), encoded), ErrUnreachable)
				assert.Assert(t, connection.closed)
			}
			assert.Equal(t, connection.written.Len(), 3)
		})
	}
}
