package rpc

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptBackoff is the pause after Accept fails, for example because the process is out of file descriptors.
const acceptBackoff = 50 * time.Millisecond

// handler decodes and handles a request, and passes its buffer to releaseBuffer.
type handler func(ctx context.Context, payload []byte) (Message, error)

// Server handles calls. Each call runs in its own goroutine, so a handler may block.
type Server struct {
	handlers [256]handler // by method
	counters counters
	done     chan struct{} // closed by Close

	mu          sync.Mutex
	closed      bool
	connections map[net.Conn]struct{}
	listeners   []net.Listener
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{connections: make(map[net.Conn]struct{}), done: make(chan struct{})}
}

// Handle sets the handler of a method. If the handler returns an error, the call fails with ErrRejected at the caller; the
// text of the error is not sent. The handler's context ends with the connection. All handlers must be set before Serve.
func Handle[Request any, RequestPointer interface {
	*Request
	Message
}, Reply Message](server *Server, method Method, handle func(context.Context, RequestPointer) (Reply, error)) {
	server.handlers[method] = func(ctx context.Context, payload []byte) (Message, error) {
		request := RequestPointer(new(Request))
		err := request.UnmarshalVT(payload)
		releaseBuffer(payload)
		if err != nil {
			return nil, err
		}
		return handle(ctx, request)
	}
}

// Dispatch runs the handler of a method on an encoded request. It takes ownership of the payload. Both real connections
// and the simulated network call it.
func (s *Server) Dispatch(ctx context.Context, method Method, payload []byte) (Message, error) {
	handle := s.handlers[method]
	if handle == nil {
		releaseBuffer(payload)
		return nil, ErrRejected
	}
	return handle(ctx, payload)
}

// Serve accepts connections until the server or the listener is closed, and then returns an error that wraps
// net.ErrClosed. A server may serve several listeners.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return net.ErrClosed
	}
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			s.startConnection(connection)
		case errors.Is(err, net.ErrClosed):
			return err
		case !s.backOff(): // out of file descriptors, or the client has already closed its connection
			return net.ErrClosed
		}
	}
}

// Counters returns the server's totals so far.
func (s *Server) Counters() Counters { return s.counters.read() }

// Close closes the listeners and all connections. It does not wait for handlers to return.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for connection := range s.connections {
		_ = connection.Close()
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return false
	}
	s.listeners = append(s.listeners, listener)
	return true
}

// backOff waits for acceptBackoff. It returns false at once when the server is closed.
func (s *Server) backOff() bool {
	timer := time.NewTimer(acceptBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return false
	}
}

func (s *Server) startConnection(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = connection.Close()
		return
	}
	s.connections[connection] = struct{}{}
	s.counters.dials.Add(1)
	go s.serveConnection(connection)
}

func (s *Server) closeConnection(connection net.Conn) {
	_ = connection.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection)
}
