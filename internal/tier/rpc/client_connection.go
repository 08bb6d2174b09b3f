package rpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// clientConnection multiplexes concurrent calls over one connection.
type clientConnection struct {
	connection net.Conn
	writer     *frameWriter
	client     *Client

	mu              sync.Mutex
	broken          bool
	lastID          uint32
	pending         map[uint32]chan frame // by call id
	lastReplyAt     time.Time
	unansweredSince time.Time // start of the first call that has timed out since the last reply
}

func newClientConnection(connection net.Conn, client *Client) *clientConnection {
	return &clientConnection{
		connection: connection, writer: newFrameWriter(connection), client: client, pending: make(map[uint32]chan frame),
	}
}

func (c *clientConnection) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *clientConnection) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

func (c *clientConnection) call(ctx context.Context, method Method, request, reply Message) error {
	startedAt := c.client.now()
	replies := make(chan frame, 1)
	id, ok := c.addPending(replies)
	if !ok {
		return ErrUnreachable
	}
	if err := c.send(ctx, method, id, request); err != nil {
		c.removePending(id)
		if errors.Is(err, ErrTimeout) {
			c.recordTimeout(startedAt)
		}
		return err
	}
	select {
	case received, ok := <-replies:
		if !ok {
			return ErrUnreachable
		}
		if received.kind != byte(method)|replyFlag && received.kind != kindFailure {
			releaseBuffer(received.payload)
			c.fail() // the peer mixes up call ids, so none of its replies can be trusted
			return ErrUnreachable
		}
		return decode(received, reply)
	case <-ctx.Done():
		c.removePending(id)
		c.recordTimeout(startedAt)
		return ErrTimeout
	}
}

func decode(received frame, reply Message) error {
	defer releaseBuffer(received.payload)
	if received.kind == kindFailure {
		return ErrRejected
	}
	return reply.UnmarshalVT(received.payload)
}

func (c *clientConnection) send(ctx context.Context, method Method, id uint32, request Message) error {
	encoded, err := encode(byte(method), id, request)
	if err != nil {
		return err
	}
	size := len(encoded)
	err = c.writer.write(ctx, encoded)
	switch {
	case err == nil:
		c.client.counters.sent.Add(uint64(size))
		return nil
	case errors.Is(err, ErrTimeout):
		return err
	}
	c.fail()
	return ErrUnreachable
}

// addPending assigns an id to a call and registers the channel for its reply. ok is false if the connection is broken.
func (c *clientConnection) addPending(replies chan frame) (id uint32, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return 0, false
	}
	c.lastID++
	c.pending[c.lastID] = replies
	return c.lastID, true
}

func (c *clientConnection) removePending(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// takePending removes a call whose reply has arrived and returns its channel, or nil if the call has already ended.
func (c *clientConnection) takePending(id uint32) chan frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReplyAt = c.client.now()
	replies := c.pending[id]
	delete(c.pending, id)
	return replies
}

// recordTimeout records that a call timed out, and closes the connection if no reply has arrived for unresponsiveTimeout.
// That time starts with the first call that timed out since the last reply, so calls with short timeouts detect a dead
// connection too.
func (c *clientConnection) recordTimeout(startedAt time.Time) {
	c.mu.Lock()
	if !c.unansweredSince.After(c.lastReplyAt) {
		c.unansweredSince = startedAt
	}
	since := c.unansweredSince
	unresponsive := since.After(c.lastReplyAt) && c.client.now().Sub(since) > unresponsiveTimeout
	c.mu.Unlock()
	if unresponsive {
		c.fail()
	}
}

// readReplies delivers replies to the pending calls until the connection breaks.
func (c *clientConnection) readReplies() {
	reader := bufio.NewReaderSize(c.connection, readBufferBytes)
	var header [headerBytes]byte
	for {
		received, err := readFrame(reader, &header)
		if err != nil {
			c.fail()
			return
		}
		c.client.counters.received.Add(uint64(headerBytes + len(received.payload)))
		if replies := c.takePending(received.callID); replies != nil {
			replies <- received
		} else {
			releaseBuffer(received.payload)
		}
	}
}

// fail closes the connection and fails all pending calls.
func (c *clientConnection) fail() {
	_ = c.connection.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	for id, replies := range c.pending {
		delete(c.pending, id)
		close(replies)
	}
}
