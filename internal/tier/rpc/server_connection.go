package rpc

import (
	"bufio"
	"context"
	"net"
)

// maxConcurrentCalls limits the calls that run concurrently for one connection. Further requests are not read, and TCP
// flow control then stops the client from sending.
const maxConcurrentCalls = 256

// serverConnection is an accepted connection of a client.
type serverConnection struct {
	server     *Server
	connection net.Conn
	writer     *frameWriter
	callSlots  chan struct{} // semaphore: holds an element for each running call
}

// serveConnection reads requests until the connection breaks or the server is closed.
func (s *Server) serveConnection(connection net.Conn) {
	defer s.closeConnection(connection)
	setSocketOptions(connection)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &serverConnection{
		server: s, connection: connection, writer: newFrameWriter(connection),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
	reader := bufio.NewReaderSize(connection, readBufferBytes)
	var header [headerBytes]byte
	for {
		request, err := readFrame(reader, &header)
		if err != nil {
			return
		}
		s.counters.calls.Add(1)
		s.counters.received.Add(uint64(headerBytes + len(request.payload)))
		select {
		case c.callSlots <- struct{}{}:
		case <-s.done:
			return
		}
		go c.handle(ctx, request)
	}
}

// handle runs one call and writes its reply.
func (c *serverConnection) handle(ctx context.Context, request frame) {
	defer func() { <-c.callSlots }()
	reply, err := c.server.Dispatch(ctx, Method(request.kind), request.payload)
	kind := request.kind | replyFlag
	if err != nil {
		kind, reply = kindFailure, nil
		c.server.counters.failures.Add(1)
	}
	encoded, err := encode(kind, request.callID, reply)
	if err != nil {
		encoded, _ = encode(kindFailure, request.callID, nil)
	}
	c.reply(ctx, encoded)
}

// reply writes an encoded reply. If the client does not read it within writeTimeout, its connection is closed.
func (c *serverConnection) reply(ctx context.Context, encoded []byte) {
	size := len(encoded)
	if err := c.writer.write(ctx, encoded); err != nil {
		_ = c.connection.Close()
		return
	}
	c.server.counters.sent.Add(uint64(size))
}
