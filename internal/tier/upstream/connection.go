package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Sizes of buffers.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	largestKept      = 64 << 10 // write buffers that grew past this are not kept
	mergedBodyBytes  = 16 << 10 // bodies up to this go out in one write with the head
	largestHead      = 64 << 10 // of an answer, informational ones included
)

// connection carries one request at a time to a store.
type connection struct {
	pools      *Transport
	store      Store
	socket     net.Conn
	source     *source // what reader reads from
	reader     *bufio.Reader
	until      time.Time // may stay idle until then
	restsSince time.Time // when its last answer was over; zero while it is new
	lastID     string    // X-Request-Id of the last request
	sending    *sending  // of the last request, nil before the first

	unread      sync.Mutex
	bearsUnread bool // bytes may be unread for longer than usual
}

var writeBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, writeBufferBytes)) }}

func newConnection(pools *Transport, store Store, socket net.Conn) *connection {
	from := &source{socket: socket}
	return &connection{
		pools: pools, store: store, socket: socket, source: from, reader: bufio.NewReaderSize(from, readBufferBytes),
	}
}

// discard closes the connection.
func (c *connection) discard() {
	c.end()
	c.pools.release(c.store)
}

// Send sends a request to a store, on at most limit connections (0: no limit), and returns the head of its answer. When
// ctx ends, the connection is closed, as most stores then drop the request. The error is a *SendError.
func (p *Transport) Send(ctx context.Context, store Store, limit int, request *Request) (*Response, error) {
	taken, err := p.take(ctx, store, limit, request)
	if err != nil {
		return nil, notSent(err)
	}
	stop := context.AfterFunc(ctx, func() { taken.socket.Close() })
	if ctx.Err() != nil {
		stop()
		taken.discard()
		return nil, notSent(ErrConnectionLost)
	}
	sentAt := p.now()
	answer, failure := taken.exchange(request)
	if failure != nil {
		if stop() && failure.Sent && failure.Reason == ErrConnectionLost && taken.source.heardNothing() {
			p.noteDead(taken, request.Service, sentAt)
		}
		taken.discard()
		return nil, failure
	}
	answer.stop = stop
	return answer, nil
}

func (c *connection) exchange(request *Request) (*Response, *SendError) {
	if err := c.socket.SetDeadline(request.Deadline); err != nil {
		return nil, notSent(ErrConnectionLost)
	}
	c.lastID = request.ID
	c.send(request)
	if c.sending.tookNothing() {
		return nil, notSent(reasonOf(c.sending.err))
	}
	answer, failure := c.readHead(request)
	if failure == nil {
		c.bearUnread(max(userTimeout, request.Deadline.Sub(c.pools.now())))
		return answer, nil
	}
	if failure.Reason == ErrDeadlineExceeded && c.pools.now().Before(request.Deadline) {
		failure.Reason = ErrReadIdleTimeout
	}
	c.end()
	failure.Sent = !c.sending.tookNothing()
	return nil, failure
}

// end closes the socket and waits until nothing of the request is being written any more.
func (c *connection) end() {
	c.socket.Close()
	if c.sending != nil {
		<-c.sending.done
	}
}

// expect bounds the next read by the patience, where there is one that ends before the deadline.
func (c *connection) expect(patience time.Duration, deadline time.Time) error {
	if patience == 0 {
		return nil
	}
	until := c.pools.now().Add(patience)
	if until.After(deadline) {
		until = deadline
	}
	return c.socket.SetReadDeadline(until)
}

func keepBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= largestKept {
		writeBuffers.Put(buffer)
	}
}

// readHead reads the head of the answer, past informational ones.
func (c *connection) readHead(request *Request) (*Response, *SendError) {
	asked := &http.Request{Method: request.Method}
	c.source.limit(largestHead)
	defer c.source.unlimit()
	for {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, sent(reasonOf(err))
		}
		if isSpliced(response) {
			return nil, sent(ErrMismatched)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		return c.accept(request, response)
	}
}

// accept checks that an answer is the request's own.
func (c *connection) accept(request *Request, response *http.Response) (*Response, *SendError) {
	if ids := response.Header[HeaderRequestID]; len(ids) != 1 || ids[0] != request.ID {
		return nil, sent(ErrMismatched)
	}
	if response.StatusCode < 200 {
		return nil, sent(ErrConnectionLost)
	}
	chunked := len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
	return &Response{
		StatusCode: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
		CloseDelimited: response.ContentLength < 0 && !chunked && response.Body != http.NoBody,
		connection:     c, body: response.Body, closing: response.Close,
		patience: request.ReadIdleTimeout, deadline: request.Deadline,
	}, nil
}

func reasonOf(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrDeadlineExceeded
	}
	return ErrConnectionLost
}

// idleUntil says how long a connection may rest after an answer with these headers.
func idleUntil(now time.Time, header http.Header) time.Time {
	kept := keepAlive(header)
	if kept == 0 {
		return now.Add(defaultIdle)
	}
	kept = min(kept, longestIdle)
	return now.Add(kept - max(keepAliveMargin, kept/keepAliveDivisor))
}
