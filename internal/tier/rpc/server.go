package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Server answers calls. Each call has a goroutine of its own, so a handler may wait.
type Server struct {
	handlers  [256]func(context.Context, []byte) (Message, error)
	mu        sync.Mutex
	closed    bool
	open      map[net.Conn]struct{}
	listeners []net.Listener
}

// NewServer makes a server without handlers.
func NewServer() *Server { return &Server{open: make(map[net.Conn]struct{})} }

// Handle sets the handler of a method; an error makes the caller's call fail with ErrRefused.
func Handle[Request any, RequestPointer interface {
	*Request
	Message
}, Reply Message](server *Server, method Method, handler func(context.Context, RequestPointer) (Reply, error)) {
	server.handlers[method] = func(ctx context.Context, payload []byte) (Message, error) {
		request := RequestPointer(new(Request))
		if err := request.UnmarshalVT(payload); err != nil {
			return nil, err
		}
		return handler(ctx, request)
	}
}

// Serve accepts connections until the listener is closed. A server may serve several listeners.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		if s.keep(connection) {
			go s.serve(connection)
		}
	}
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for connection := range s.open {
		_ = connection.Close()
	}
}

func (s *Server) keep(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = connection.Close()
		return false
	}
	s.open[connection] = struct{}{}
	return true
}

func (s *Server) serve(connection net.Conn) {
	setOptions(connection)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		_ = connection.Close()
		s.mu.Lock()
		delete(s.open, connection)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(connection, 16<<10)
	var header [headerBytes]byte
	var writing sync.Mutex
	for {
		request, err := readFrame(reader, &header)
		if err != nil {
			return
		}
		go s.answer(ctx, connection, &writing, request)
	}
}

func (s *Server) answer(ctx context.Context, connection net.Conn, writing *sync.Mutex, request frame) {
	kind := request.kind | kindReply
	var reply Message
	var err error
	if handler := s.handlers[request.kind]; handler == nil {
		kind = kindFailure
	} else if reply, err = handler(ctx, request.payload); err != nil {
		kind, reply = kindFailure, nil
	}
	buffer, err := encode(kind, request.call, reply)
	if err != nil {
		buffer, _ = encode(kindFailure, request.call, nil)
	}
	writing.Lock()
	defer writing.Unlock()
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := connection.Write(buffer); err != nil {
		_ = connection.Close()
	}
}
