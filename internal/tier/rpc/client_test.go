package rpc

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestCallsOfAllSizes(t *testing.T) {
	server, address := startServer(t, handleEcho)
	client := startClient(t)
	for _, size := range []int{0, 1, 5000, pooledBufferBytes, 3 * maxPreallocatedBytes} {
		reply := &tierpb.Node{}
		name := strings.Repeat("x", size)
		assert.NilError(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{Name: name}, reply))
		assert.Assert(t, reply.Name == name)
	}
	assert.Equal(t, client.Counters().Dials, uint64(1))
	assert.Equal(t, server.Counters().Calls, uint64(5))
	assert.Assert(t, client.Counters().BytesReceived > 3*maxPreallocatedBytes)
}

func TestRepliesArriveInAnyOrder(t *testing.T) {
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
	result := make(chan error)
	go func() {
		result <- client.Call(testContext(t), address, MethodPing, &tierpb.Node{Name: "first"}, &tierpb.Node{})
	}()
	assert.NilError(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{Name: "second"}, &tierpb.Node{}))
	close(first)
	assert.NilError(t, <-result)
}

// TestCallerStopsWaitingForDialWhenContextIsCancelled guards against a caller that waits beyond its own context for a
// dial that another caller started.
func TestCallerStopsWaitingForDialWhenContextIsCancelled(t *testing.T) {
	dialed := make(chan struct{}, 2)
	release := make(chan struct{})
	client := newClient(func(context.Context, string) (net.Conn, error) {
		dialed <- struct{}{}
		<-release
		return nil, ErrUnreachable
	})
	first := make(chan error, 1)
	go func() {
		first <- client.Call(context.Background(), "peer", MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{})
	}()
	<-dialed
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	err := client.Call(cancelled, "peer", MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{})
	assert.ErrorIs(t, err, ErrTimeout)
	close(release)
	assert.ErrorIs(t, <-first, ErrUnreachable)
	assert.Equal(t, len(dialed), 0)
}

func TestCallerWithExpiredContextDoesNotWaitForDial(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	remote, local := net.Pipe()
	client := newClient(func(context.Context, string) (net.Conn, error) {
		close(started)
		<-release
		return local, nil
	})
	defer client.Close()
	result := make(chan error)
	go func() { result <- client.Call(testContext(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}) }()
	<-started
	assert.ErrorIs(t, client.Call(expiredContext(), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrTimeout)
	close(release)
	server := NewServer()
	handleEcho(server)
	server.startConnection(remote)
	assert.NilError(t, <-result)
}

// TestDialServesAllWaitingCallers checks that concurrent callers share one dial and its connection.
func TestDialServesAllWaitingCallers(t *testing.T) {
	local, remote := net.Pipe()
	server := NewServer()
	Handle(server, MethodPing, func(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
		return &tierpb.PingReply{Node: &tierpb.Node{Name: "peer"}}, nil
	})
	go server.serveConnection(remote)
	dials := make(chan struct{}, 2)
	client := newClient(func(context.Context, string) (net.Conn, error) {
		dials <- struct{}{}
		return local, nil
	})
	defer client.Close()
	results := make(chan string, 2)
	for range 2 {
		go func() {
			reply := &tierpb.PingReply{}
			assert.Check(t, client.Call(context.Background(), "peer", MethodPing, &tierpb.PingRequest{}, reply))
			results <- reply.GetNode().GetName()
		}()
	}
	assert.Equal(t, <-results, "peer")
	assert.Equal(t, <-results, "peer")
	assert.Equal(t, len(dials), 1)
}

// TestConnectionDialedAfterCloseIsClosed guards against leaking the connection of a dial that succeeds after the client
// was closed.
func TestConnectionDialedAfterCloseIsClosed(t *testing.T) {
	local, remote := net.Pipe()
	dialed := make(chan struct{})
	release := make(chan struct{})
	client := newClient(func(context.Context, string) (net.Conn, error) {
		close(dialed)
		<-release
		return local, nil
	})
	result := make(chan error, 1)
	go func() {
		result <- client.Call(context.Background(), "peer", MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{})
	}()
	<-dialed
	client.Close()
	close(release)
	assert.ErrorIs(t, <-result, ErrUnreachable)
	_, err := remote.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

func TestFailedDialBacksOff(t *testing.T) {
	var dials atomic.Int32
	client := newClient(func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("refused")
	})
	clock := time.Unix(1000, 0)
	client.now = func() time.Time { return clock }
	for range 3 {
		assert.ErrorIs(t, client.Call(testContext(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
	}
	assert.Equal(t, dials.Load(), int32(1))
	clock = clock.Add(dialBackoff)
	assert.ErrorIs(t, client.Call(testContext(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
	assert.Equal(t, dials.Load(), int32(2))
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	client, remotes := pipeClient(t)
	clock := time.Unix(1000, 0)
	client.now = func() time.Time { return clock }
	server := NewServer()
	handleEcho(server)
	defer server.Close()
	call := func(address string) {
		assert.NilError(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}))
	}
	var served sync.WaitGroup
	served.Go(func() {
		for range 3 {
			server.startConnection(<-remotes)
		}
	})
	call("a")
	call("b")
	clock = clock.Add(idleTimeout + time.Second)
	call("b")
	served.Wait()
	client.mu.Lock()
	defer client.mu.Unlock()
	// The last call marked b as used only after it had closed the idle connections, so it closed both and dialed b again.
	assert.Assert(t, client.peers[peerKey{address: "a"}] == nil)
}

func TestBulkTransfersUseSeparateConnection(t *testing.T) {
	_, address := startServer(t, func(server *Server) {
		handleEcho(server)
		Handle(server, MethodTransferRecords, echo)
	})
	client := startClient(t)
	assert.NilError(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}))
	assert.NilError(t, client.Call(testContext(t), address, MethodTransferRecords, &tierpb.Node{}, &tierpb.Node{}))
	assert.Equal(t, client.Counters().Dials, uint64(2))
}

// TestReplyOfAnotherMethodClosesConnection: such a reply shows that the peer mixes up call ids, so that later replies
// could reach the wrong calls.
func TestReplyOfAnotherMethodClosesConnection(t *testing.T) {
	client, remotes := pipeClient(t)
	result := make(chan error)
	go func() { result <- client.Call(testContext(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}) }()
	peer := <-remotes
	var header [headerBytes]byte
	request, err := readFrame(peer, &header)
	assert.NilError(t, err)
	reply, err := encode(byte(MethodLease)|replyFlag, request.callID, &tierpb.Node{Name: "of another call"})
	assert.NilError(t, err)
	_, err = peer.Write(reply)
	assert.NilError(t, err)
	assert.ErrorIs(t, <-result, ErrUnreachable)
	_, err = peer.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

func TestUnresponsiveConnectionIsClosedAfterShortCalls(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	clock := time.Unix(1000, 0)
	client := newClient(nil)
	client.now = func() time.Time { return clock }
	connection := newClientConnection(local, client)
	connection.lastReplyAt = clock
	for range 3 {
		clock = clock.Add(150 * time.Millisecond)
		start := clock.Add(-100 * time.Millisecond)
		connection.recordTimeout(start)
		assert.Assert(t, !connection.isBroken())
	}
	clock = clock.Add(150 * time.Millisecond)
	connection.recordTimeout(clock.Add(-100 * time.Millisecond))
	assert.Assert(t, connection.isBroken())
}

func TestResponsiveConnectionStaysOpen(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	clock := time.Unix(1000, 0)
	client := newClient(nil)
	client.now = func() time.Time { return clock }
	connection := newClientConnection(local, client)
	for range 20 {
		start := clock
		clock = clock.Add(300 * time.Millisecond)
		connection.recordTimeout(start)
		clock = clock.Add(time.Millisecond)
		connection.takePending(99)
	}
	assert.Assert(t, !connection.isBroken())
}
