package rpc

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestRejectedCalls(t *testing.T) {
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodPing, func(context.Context, *tierpb.Node) (*tierpb.Node, error) { return nil, io.EOF })
	})
	client := startClient(t)
	assert.ErrorIs(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrRejected)
	assert.ErrorIs(t, client.Call(testContext(t), address, MethodLease, &tierpb.Node{}, &tierpb.Node{}), ErrRejected)
	assert.Equal(t, client.Counters().Failures, uint64(2))
}

func TestHandlerContextEndsWithConnection(t *testing.T) {
	entered, returned := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodWatch, func(ctx context.Context, _ *tierpb.Node) (*tierpb.Node, error) {
			close(entered)
			<-ctx.Done()
			close(returned)
			return nil, ctx.Err()
		})
	})
	client := startClient(t)
	result := make(chan error)
	go func() { result <- client.Call(testContext(t), address, MethodWatch, &tierpb.Node{}, &tierpb.Node{}) }()
	<-entered
	client.Close()
	assert.ErrorIs(t, <-result, ErrUnreachable)
	<-returned
}

func TestConcurrentCallsAreBounded(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, func(server *Server) {
		Handle(server, MethodPing, func(_ context.Context, request *tierpb.Node) (*tierpb.Node, error) {
			entered <- struct{}{}
			<-proceed
			return request, nil
		})
	})
	client := startClient(t)
	result := make(chan error)
	for range maxConcurrentCalls + 1 {
		go func() { result <- client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}) }()
	}
	for range maxConcurrentCalls {
		<-entered
	}
	select {
	case <-entered:
		t.Fatal("more than maxConcurrentCalls calls run concurrently")
	default:
	}
	proceed <- struct{}{}
	<-entered
	close(proceed)
	for range maxConcurrentCalls + 1 {
		assert.NilError(t, <-result)
	}
}

func TestCallsFailAfterServerOrClientIsClosed(t *testing.T) {
	server, address := startServer(t, handleEcho)
	client := startClient(t)
	assert.NilError(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}))
	server.Close()
	assert.ErrorIs(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
	client.Close()
	assert.ErrorIs(t, client.Call(testContext(t), address, MethodPing, &tierpb.Node{}, &tierpb.Node{}), ErrUnreachable)
}
