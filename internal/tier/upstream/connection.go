package upstream

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const readBufferBytes = 4 << 10

// connection carries one request at a time to a store.
type connection struct {
	transport    *Transport
	store        Store
	socket       net.Conn
	headReader   *headReader // source of reader
	reader       *bufio.Reader
	idleDeadline time.Time     // until when it may stay idle
	idleSince    time.Time     // when its last response was finished; zero for a new connection
	lastID       string        // X-Request-Id of the last request
	write        *requestWrite // of the last request; nil before the first

	timeoutMu           sync.Mutex // guards userTimeoutExtended and requestWrite.complete
	userTimeoutExtended bool       // TCP_USER_TIMEOUT is longer than userTimeout
}

func newConnection(t *Transport, store Store, socket net.Conn) *connection {
	from := &headReader{socket: socket}
	return &connection{
		transport: t, store: store, socket: socket, headReader: from, reader: bufio.NewReaderSize(from, readBufferBytes),
	}
}

// roundTrip writes a request and reads the head of its response.
func (c *connection) roundTrip(request *Request) (*Response, *SendError) {
	if err := c.socket.SetDeadline(request.Deadline); err != nil {
		return nil, notSent(ErrConnectionLost)
	}
	c.lastID = request.ID
	c.writeRequest(request)
	if c.write.sentNothing() {
		return nil, notSent(reasonOf(c.write.err))
	}
	response, failure := c.readHead(request)
	if failure == nil {
		c.extendUserTimeout(max(userTimeout, request.Deadline.Sub(c.transport.now())))
		return response, nil
	}
	if errors.Is(failure, ErrDeadlineExceeded) && c.transport.now().Before(request.Deadline) {
		failure.Reason = ErrReadIdleTimeout
	}
	c.close()
	failure.Sent = !c.write.sentNothing()
	return nil, failure
}

// close closes the socket and waits for the end of a background write.
func (c *connection) close() {
	c.socket.Close()
	if c.write != nil {
		<-c.write.done
	}
}

// discard closes the connection and removes it from the pool's count.
func (c *connection) discard() {
	c.close()
	c.transport.release(c.store)
}

// setReadDeadline bounds the next read by the read idle timeout, if there is one, or by the deadline if that is earlier.
func (c *connection) setReadDeadline(idleTimeout time.Duration, deadline time.Time) error {
	if idleTimeout == 0 {
		return nil
	}
	readDeadline := c.transport.now().Add(idleTimeout)
	if readDeadline.After(deadline) {
		readDeadline = deadline
	}
	return c.socket.SetReadDeadline(readDeadline)
}

// extendUserTimeout extends the TCP_USER_TIMEOUT if a store has responded before it has read all of a long body. To the
// kernel a full receive buffer looks like a partition, and with the usual timeout it would end the connection in the middle of
// the response.
func (c *connection) extendUserTimeout(timeout time.Duration) {
	c.timeoutMu.Lock()
	defer c.timeoutMu.Unlock()
	if c.hasUnacknowledged() {
		c.changeUserTimeout(timeout)
	}
}

// resetUserTimeout undoes extendUserTimeout.
func (c *connection) resetUserTimeout() {
	c.timeoutMu.Lock()
	defer c.timeoutMu.Unlock()
	if c.userTimeoutExtended {
		c.changeUserTimeout(userTimeout)
	}
}

// recordWritten records that a request was completely written. If the response arrives between the end of the write and this
// call, extendUserTimeout takes the write for incomplete and extends the timeout; that is undone here.
func (c *connection) recordWritten(w *requestWrite) {
	c.timeoutMu.Lock()
	defer c.timeoutMu.Unlock()
	w.complete = true
	if c.userTimeoutExtended && c.unacknowledged() == 0 {
		c.changeUserTimeout(userTimeout)
	}
}

// changeUserTimeout sets the socket's TCP_USER_TIMEOUT. The caller holds timeoutMu.
func (c *connection) changeUserTimeout(timeout time.Duration) {
	if raw := c.rawConn(); raw != nil {
		_ = setUserTimeout(raw, timeout) // fails only on a closed socket, which needs no timeout
		c.userTimeoutExtended = timeout != userTimeout
	}
}

// hasUnacknowledged reports whether a part of the request has not been acknowledged by the store's kernel. The caller holds
// timeoutMu, unless the write has ended.
func (c *connection) hasUnacknowledged() bool {
	if !c.write.background {
		return false
	}
	return !c.write.complete || c.unacknowledged() > 0
}

// unacknowledged returns the number of bytes that the store's kernel has not acknowledged. It returns 0 without a socket, and
// 1 if the socket cannot be asked.
func (c *connection) unacknowledged() int {
	raw := c.rawConn()
	if raw == nil {
		return 0
	}
	unacknowledged := 0
	err := raw.Control(func(descriptor uintptr) {
		unacknowledged, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	if err != nil {
		return 1
	}
	return unacknowledged
}

// rawConn gives access to the socket's file descriptor; it is nil if there is none.
func (c *connection) rawConn() syscall.RawConn {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
