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
	headReader   *headReader // what reader reads from
	reader       *bufio.Reader
	idleDeadline time.Time     // it may stay idle until then
	idleSince    time.Time     // when its last response was finished; zero while it is new
	lastID       string        // X-Request-Id of the last request
	write        *requestWrite // of the last request; nil before the first

	timeoutMu       sync.Mutex // guards longUserTimeout and requestWrite.complete
	longUserTimeout bool       // TCP_USER_TIMEOUT is longer than usual
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

// close closes the socket and waits until nothing of the request is being written any more.
func (c *connection) close() {
	c.socket.Close()
	if c.write != nil {
		<-c.write.done
	}
}

// discard closes the connection and uncounts it.
func (c *connection) discard() {
	c.close()
	c.transport.release(c.store)
}

// setReadDeadline bounds the next read by the read idle time-out, where there is one that ends before the deadline.
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

// extendUserTimeout lets a store that has responded before it has read all of a long body leave bytes unread for so long.
// To the kernel, a store without room for more of the body is like one behind a partition, and it would end the connection
// in the middle of the response.
func (c *connection) extendUserTimeout(timeout time.Duration) {
	c.timeoutMu.Lock()
	defer c.timeoutMu.Unlock()
	if c.hasUnacknowledged() {
		c.changeUserTimeout(timeout)
	}
}

// resetUserTimeout goes back to the usual time-out where it was extended.
func (c *connection) resetUserTimeout() {
	c.timeoutMu.Lock()
	defer c.timeoutMu.Unlock()
	if c.longUserTimeout {
		c.changeUserTimeout(userTimeout)
	}
}

// recordWritten records that all of a request was written. A store that read all of it before it responded may have done so
// before the writer gets here: the time-out that was extended meanwhile is reset.
func (c *connection) recordWritten(w *requestWrite) {
	c.timeoutMu.Lock()
	defer c.timeoutMu.Unlock()
	w.complete = true
	if c.longUserTimeout && c.unacknowledged() == 0 {
		c.changeUserTimeout(userTimeout)
	}
}

// changeUserTimeout sets the socket's time-out. timeoutMu is held.
func (c *connection) changeUserTimeout(timeout time.Duration) {
	if raw := c.raw(); raw != nil {
		_ = setUserTimeout(raw, timeout) // of a closed socket, which needs none
		c.longUserTimeout = timeout != userTimeout
	}
}

// hasUnacknowledged reports whether the store's kernel has not taken all of the request yet. timeoutMu is held, or the request
// is written.
func (c *connection) hasUnacknowledged() bool {
	if !c.write.background {
		return false
	}
	return !c.write.complete || c.unacknowledged() > 0
}

// unacknowledged returns how many bytes the store's kernel has not acknowledged, and 1 where that is unknown.
func (c *connection) unacknowledged() int {
	raw := c.raw()
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

// raw gives access to the socket's descriptor, nil where there is none.
func (c *connection) raw() syscall.RawConn {
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
