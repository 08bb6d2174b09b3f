package rpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Bounds of a Server.
const (
	callsAtOnce = 256 // calls in hand for one connection; further ones stay unread
	acceptPause = 50 * time.Millisecond
)

// Server answers calls. Each call has a goroutine of its own, so a handler may wait.
type Server struct {
	handlers [256]func(context.Context, []byte) (Message, error)
	counters counters
	ended    chan struct{}

	mu        sync.Mutex
	closed    bool
	open      map[net.Conn]struct{}
	listeners []net.Listener
}

// NewServer makes a server without handlers.
func NewServer() *Server {
	return &Server{open: make(map[net.Conn]struct{}), ended: make(chan struct{})}
}

// Handle sets the handler of a method; an error makes the caller's call fail with ErrRejected. The handler's context
// ends with the connection.
func Handle[Request any, RequestPointer interface {
	*Request
	Message
}, Reply Message](server *Server, method Method, handler func(context.Context, RequestPointer) (Reply, error)) {
	server.handlers[method] = func(ctx context.Context, payload []byte) (Message, error) {
		request := RequestPointer(new(Request))
		err := request.UnmarshalVT(payload)
		release(payload)
		if err != nil {
			return nil, err
		}
		return handler(ctx, request)
	}
}

// Serve accepts connections until the server or the listener is closed. A server may serve several listeners.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return net.ErrClosed
	}
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			s.accepted(connection)
		case errors.Is(err, net.ErrClosed):
			return err
		case !s.pause(): // out of descriptors, or the client left already
			return net.ErrClosed
		}
	}
}

// Counters returns what the server has carried so far.
func (s *Server) Counters() Counters { return s.counters.read() }

// Close ends the listeners and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.ended)
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for connection := range s.open {
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

// pause waits a moment and says whether the server still runs.
func (s *Server) pause() bool {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ended:
		return false
	}
}

func (s *Server) accepted(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = connection.Close()
		return
	}
	s.open[connection] = struct{}{}
	s.counters.dials.Add(1)
	go s.serve(connection)
}

func (s *Server) forget(connection net.Conn) {
	_ = connection.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, connection)
}

// serverConnection is one client's connection.
type serverConnection struct {
	server     *Server
	connection net.Conn
	writer     *frameWriter
	calls      chan struct{} // holds a token for each call in hand
}

func (s *Server) serve(connection net.Conn) {
	defer s.forget(connection)
	setOptions(connection)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := &serverConnection{
		server: s, connection: connection, writer: newFrameWriter(connection), calls: make(chan struct{}, callsAtOnce),
	}
	reader := bufio.NewReaderSize(connection, readerBytes)
	var header [headerBytes]byte
	for {
		request, err := readFrame(reader, &header)
		if err != nil {
			return
		}
		s.counters.calls.Add(1)
		s.counters.received.Add(uint64(headerBytes + len(request.payload)))
		select {
		case served.calls <- struct{}{}:
		case <-s.ended:
			return
		}
		go served.answer(ctx, request)
	}
}

func (c *serverConnection) answer(ctx context.Context, request frame) {
	defer func() { <-c.calls }()
	reply, err := c.handle(ctx, request)
	kind := request.kind | kindReply
	if err != nil {
		kind, reply = kindFailure, nil
		c.server.counters.failures.Add(1)
	}
	encoded, err := encode(kind, request.call, reply)
	if err != nil {
		encoded, _ = encode(kindFailure, request.call, nil)
	}
	c.reply(ctx, encoded)
}

func (c *serverConnection) handle(ctx context.Context, request frame) (Message, error) {
	return c.server.Dispatch(ctx, Method(request.kind), request.payload)
}

// Dispatch runs the handler of a method on an encoded request, which it takes over; calls in a simulated network come
// this way too.
func (s *Server) Dispatch(ctx context.Context, method Method, payload []byte) (Message, error) {
	handler := s.handlers[method]
	if handler == nil {
		release(payload)
		return nil, ErrRejected
	}
	return handler(ctx, payload)
}

// reply writes a reply; the writer bounds each write, and a client that does not read loses its connection.
func (c *serverConnection) reply(ctx context.Context, encoded []byte) {
	size := len(encoded)
	if err := c.writer.write(ctx, encoded); err != nil {
		_ = c.connection.Close()
		return
	}
	c.server.counters.sent.Add(uint64(size))
}
