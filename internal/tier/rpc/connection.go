package rpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// clientConnection carries many calls at once over one connection.
type clientConnection struct {
	connection net.Conn
	writer     *frameWriter
	client     *Client

	mu              sync.Mutex
	broken          bool
	next            uint32
	waiting         map[uint32]chan frame
	heardAt         time.Time
	unansweredSince time.Time // start of the first call without an answer since anything was heard
}

func newClientConnection(connection net.Conn, client *Client) *clientConnection {
	return &clientConnection{
		connection: connection, writer: newFrameWriter(connection), client: client, waiting: make(map[uint32]chan frame),
	}
}

func (c *clientConnection) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *clientConnection) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0
}

func (c *clientConnection) call(ctx context.Context, method Method, request, reply Message) error {
	began := c.client.now()
	answer := make(chan frame, 1)
	number, ok := c.expect(answer)
	if !ok {
		return ErrUnreachable
	}
	if err := c.send(ctx, method, number, request); err != nil {
		c.forget(number)
		if errors.Is(err, ErrTimeout) {
			c.noteUnanswered(began)
		}
		return err
	}
	select {
	case got, ok := <-answer:
		if !ok {
			return ErrUnreachable
		}
		if got.kind != byte(method)|kindReply && got.kind != kindFailure {
			release(got.payload)
			c.fail() // the peer counts calls in another way: none of its replies can be trusted
			return ErrUnreachable
		}
		return decode(got, reply)
	case <-ctx.Done():
		c.forget(number)
		c.noteUnanswered(began)
		return ErrTimeout
	}
}

func decode(got frame, reply Message) error {
	defer release(got.payload)
	if got.kind == kindFailure {
		return ErrRejected
	}
	return reply.UnmarshalVT(got.payload)
}

func (c *clientConnection) send(ctx context.Context, method Method, number uint32, request Message) error {
	encoded, err := encode(byte(method), number, request)
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

// expect books a number for a call whose reply goes to a channel.
func (c *clientConnection) expect(answer chan frame) (uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return 0, false
	}
	c.next++
	c.waiting[c.next] = answer
	return c.next, true
}

func (c *clientConnection) forget(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

// noteUnanswered ends a connection on which nothing was heard for a while and calls found no answer, also where each
// of them waited only shortly.
func (c *clientConnection) noteUnanswered(began time.Time) {
	c.mu.Lock()
	if !c.unansweredSince.After(c.heardAt) {
		c.unansweredSince = began
	}
	since := c.unansweredSince
	silent := since.After(c.heardAt) && c.client.now().Sub(since) > silentTime
	c.mu.Unlock()
	if silent {
		c.fail()
	}
}

func (c *clientConnection) read() {
	reader := bufio.NewReaderSize(c.connection, readerBytes)
	var header [headerBytes]byte
	for {
		got, err := readFrame(reader, &header)
		if err != nil {
			c.fail()
			return
		}
		c.client.counters.received.Add(uint64(headerBytes + len(got.payload)))
		if answer := c.claim(got.call); answer != nil {
			answer <- got
		} else {
			release(got.payload)
		}
	}
}

// claim takes the channel that waits for a reply, nil where the call has ended.
func (c *clientConnection) claim(number uint32) chan frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = c.client.now()
	answer := c.waiting[number]
	delete(c.waiting, number)
	return answer
}

// fail ends the connection and all calls that wait on it.
func (c *clientConnection) fail() {
	_ = c.connection.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	for number, answer := range c.waiting {
		delete(c.waiting, number)
		close(answer)
	}
}
