package rpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const patience = 30 * time.Second // ends a test that hangs; no test waits for it

func patient(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// over is a context whose time is up.
func over() context.Context {
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	cancel()
	return ctx
}

func startServer(t *testing.T, set func(*Server)) (*Server, string) {
	server := NewServer()
	set(server)
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func startClient(t *testing.T) *Client {
	client := NewClient()
	t.Cleanup(client.Close)
	return client
}

// pipeClient is a client whose dials end in pipes that are handed over, without a server.
func pipeClient(t *testing.T) (*Client, chan net.Conn) {
	far := make(chan net.Conn, 8)
	client := newClient(func(context.Context, string) (net.Conn, error) {
		near, other := net.Pipe()
		far <- other
		return near, nil
	})
	t.Cleanup(client.Close)
	return client, far
}

func echo(_ context.Context, request *tierpb.Node) (*tierpb.Node, error) { return request, nil }

func setEcho(server *Server) { Handle(server, MethodPing, echo) }

func TestCallsInBothSizes(t *testing.T) {
	server, address := startServer(t, setEcho)
	client := startClient(t)
	for _, size := range []int{0, 1, 5000, pooledBytes, 3 * trustedBytes} {
		reply := &tierpb.Node{}
		name := strings.Repeat("x", size)
		assert.NilError(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{Name: name}, reply))
		assert.Assert(t, reply.Name == name)
	}
	assert.Equal(t, client.Counters().Dials, uint64(1))
	assert.Equal(t, server.Counters().Calls, uint64(5))
	assert.Assert(t, client.Counters().BytesReceived > 3*trustedBytes)
}

func TestAnswersComeInAnyOrder(t *testing.T) {
	first := make(chan struct{})
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodPing, func(_ context.Context, request *tierpb.Node) (*tierpb.Node, error) {
			if request.Name == "first" {
				<-first
			}
			return request, nil
		})
	})
	client := startClient(t)
	ended := make(chan error)
	go func() {
		ended <- client.Call(patient(t), address, MethodPing, &tierpb.Node{Name: "first"}, &tierpb.Node{})
	}()
	assert.NilError(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{Name: "second"}, &tierpb.Node{}))
	close(first)
	assert.NilError(t, <-ended)
}

func TestRefusals(t *testing.T) {
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodPing, func(context.Context, *tierpb.Node) (*tierpb.Node, error) { return nil, io.EOF })
	})
	client := startClient(t)
	assert.ErrorIs(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrRejected)
	assert.ErrorIs(t, client.Call(patient(t), address, MethodLease, &tierpb.Node{}, &tierpb.Node{}), ErrRejected)
	assert.Equal(t, client.Counters().Failures, uint64(2))
}

func TestHandlerEndsWithItsConnection(t *testing.T) {
	entered, left := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodWatch, func(ctx context.Context, _ *tierpb.Node) (*tierpb.Node, error) {
			close(entered)
			<-ctx.Done()
			close(left)
			return nil, ctx.Err()
		})
	})
	client := startClient(t)
	ended := make(chan error)
	go func() { ended <- client.Call(patient(t), address, MethodWatch, &tierpb.Node{}, &tierpb.Node{}) }()
	<-entered
	client.Close()
	assert.ErrorIs(t, <-ended, ErrUnreachable)
	<-left
}

func TestCallerIsNotHeldByTheDialOfAnother(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server, other := net.Pipe()
	client := newClient(func(context.Context, string) (net.Conn, error) {
		close(begun)
		<-release
		return other, nil
	})
	defer client.Close()
	ended := make(chan error)
	go func() { ended <- client.Call(patient(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}) }()
	<-begun
	assert.ErrorIs(t, client.Call(over(), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrTimeout)
	close(release)
	serving := NewServer()
	setEcho(serving)
	serving.accepted(server)
	assert.NilError(t, <-ended)
}

func TestDialIsNotTriedAgainAtOnceAfterAFailure(t *testing.T) {
	var dials atomic.Int32
	client := newClient(func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("refused")
	})
	clock := time.Unix(1000, 0)
	client.now = func() time.Time { return clock }
	for range 3 {
		assert.ErrorIs(t, client.Call(patient(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
	}
	assert.Equal(t, dials.Load(), int32(1))
	clock = clock.Add(dialBackoff)
	assert.ErrorIs(t, client.Call(patient(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
	assert.Equal(t, dials.Load(), int32(2))
}

func TestPeerThatReadsNothingHoldsNoCaller(t *testing.T) {
	client, far := pipeClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	// Either the dial or the write takes longer than the context; both end with it.
	err := client.Call(ctx, "a", MethodPing, &tierpb.Node{}, &tierpb.Node{})
	assert.ErrorIs(t, err, ErrTimeout)
	peer := <-far
	// Nothing was written, so the connection still serves.
	serving := NewServer()
	setEcho(serving)
	serving.accepted(peer)
	defer serving.Close()
	assert.NilError(t, client.Call(patient(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}))
}

// stallingConnection takes a few bytes of the first write, whose time is then up, and all of the others.
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

func TestFrameBegunIsFinishedBehindItsCaller(t *testing.T) {
	connection := &stallingConnection{}
	writer := newFrameWriter(connection)
	first, err := encode(byte(MethodPing), 7, &tierpb.Node{Name: "cut"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout/2)
	defer cancel()
	assert.ErrorIs(t, writer.write(ctx, first), ErrTimeout)
	second, err := encode(byte(MethodLease), 8, &tierpb.Node{})
	assert.NilError(t, err)
	assert.NilError(t, writer.write(patient(t), second))
	var header [headerBytes]byte
	for _, want := range []uint32{7, 8} {
		got, err := readFrame(&connection.written, &header)
		assert.NilError(t, err)
		assert.Equal(t, got.call, want)
	}
}

func TestSilentConnectionIsGivenUpAfterShortCallsToo(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	clock := time.Unix(1000, 0)
	client := newClient(nil)
	client.now = func() time.Time { return clock }
	connection := newClientConnection(near, client)
	connection.heardAt = clock
	for range 3 {
		clock = clock.Add(150 * time.Millisecond)
		began := clock.Add(-100 * time.Millisecond)
		connection.noteUnanswered(began)
		assert.Assert(t, !connection.isBroken())
	}
	clock = clock.Add(150 * time.Millisecond)
	connection.noteUnanswered(clock.Add(-100 * time.Millisecond))
	assert.Assert(t, connection.isBroken())
}

func TestConnectionThatIsHeardFromStays(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	clock := time.Unix(1000, 0)
	client := newClient(nil)
	client.now = func() time.Time { return clock }
	connection := newClientConnection(near, client)
	for range 20 {
		began := clock
		clock = clock.Add(300 * time.Millisecond)
		connection.noteUnanswered(began)
		clock = clock.Add(time.Millisecond)
		connection.claim(99)
	}
	assert.Assert(t, !connection.isBroken())
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	client, far := pipeClient(t)
	clock := time.Unix(1000, 0)
	client.now = func() time.Time { return clock }
	serving := NewServer()
	setEcho(serving)
	defer serving.Close()
	call := func(address string) {
		assert.NilError(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}))
	}
	var served sync.WaitGroup
	served.Go(func() {
		for range 3 {
			serving.accepted(<-far)
		}
	})
	call("a")
	call("b")
	clock = clock.Add(idleTime + time.Second)
	call("b")
	served.Wait()
	client.mu.Lock()
	defer client.mu.Unlock()
	// The call above marked b as used only after the sweep, so both were unused; b was dialed again.
	assert.Assert(t, client.peers[lane{address: "a"}] == nil)
}

func TestBulkTransfersHaveAConnectionOfTheirOwn(t *testing.T) {
	_, address := startServer(t, func(server *Server) {
		setEcho(server)
		Handle(server, MethodMoveRecords, echo)
	})
	client := startClient(t)
	assert.NilError(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}))
	assert.NilError(t, client.Call(patient(t), address, MethodMoveRecords, &tierpb.Node{}, &tierpb.Node{}))
	assert.Equal(t, client.Counters().Dials, uint64(2))
}

func TestCallsInHandAreBounded(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodPing, func(_ context.Context, request *tierpb.Node) (*tierpb.Node, error) {
			entered <- struct{}{}
			<-leave
			return request, nil
		})
	})
	client := startClient(t)
	ended := make(chan error)
	for range callsAtOnce + 1 {
		go func() { ended <- client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}) }()
	}
	for range callsAtOnce {
		<-entered
	}
	select {
	case <-entered:
		t.Fatal("one call too many is in hand")
	default:
	}
	leave <- struct{}{}
	<-entered
	close(leave)
	for range callsAtOnce + 1 {
		assert.NilError(t, <-ended)
	}
}

func TestClosedServerAndClientTakeNoMore(t *testing.T) {
	server, address := startServer(t, setEcho)
	client := startClient(t)
	assert.NilError(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}))
	server.Close()
	assert.ErrorIs(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
	client.Close()
	assert.ErrorIs(t, client.Call(patient(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
}

func TestGarbageClaimsNoMemoryItDoesNotFill(t *testing.T) {
	payload, err := readPayload(strings.NewReader("short"), maxFrameBytes/2)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, len(payload) <= trustedBytes)
	var header [headerBytes]byte
	_, err = readFrame(strings.NewReader("\xff\xff\xff\xff garbage"), &header)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = readFrame(strings.NewReader("\x00\x00\x00\x01 garbage"), &header)
	assert.ErrorIs(t, err, ErrTooLarge)
}
