package rpc

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// TestCallersWaitNoLongerThanTheirOwnContext has two callers of a peer whose dial does not end: the second one is not
// held up behind the first one's dial.
func TestCallersWaitNoLongerThanTheirOwnContext(t *testing.T) {
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
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	err := client.Call(ended, "peer", MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{})
	assert.ErrorIs(t, err, ErrTimeout)
	close(release)
	assert.ErrorIs(t, <-first, ErrUnreachable)
	assert.Equal(t, len(dialed), 0)
}

// TestDialServesAllThatWait has one dial answer two callers.
func TestDialServesAllThatWait(t *testing.T) {
	here, there := net.Pipe()
	server := NewServer()
	Handle(server, MethodPing, func(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
		return &tierpb.PingReply{Node: &tierpb.Node{Name: "peer"}}, nil
	})
	go server.serve(there)
	dials := make(chan struct{}, 2)
	client := newClient(func(context.Context, string) (net.Conn, error) {
		dials <- struct{}{}
		return here, nil
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

// TestDialThatEndsAfterCloseIsDropped has the dial succeed when the client is closed already.
func TestDialThatEndsAfterCloseIsDropped(t *testing.T) {
	here, there := net.Pipe()
	dialed := make(chan struct{})
	release := make(chan struct{})
	client := newClient(func(context.Context, string) (net.Conn, error) {
		close(dialed)
		<-release
		return here, nil
	})
	result := make(chan error, 1)
	go func() {
		result <- client.Call(context.Background(), "peer", MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{})
	}()
	<-dialed
	client.Close()
	close(release)
	assert.ErrorIs(t, <-result, ErrUnreachable)
	_, err := there.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}
