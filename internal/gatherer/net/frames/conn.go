package frames

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/shared/peek"
)

// entry is an attempt in flight on a connection.
type entry struct {
	a       *gather.Attempt
	written time.Time // zero until its frame has been written completely
}

// conn is one connection. Its writer goroutine owns the writing side of the socket, its reader goroutine the other.
type conn struct {
	t    *Transport
	s    *server
	addr string   // dialled
	nc   net.Conn // nil until it is connected

	// Under the transport's lock.
	queue              [][]*gather.Attempt // calls whose writing has not begun
	cancels            []*gather.Attempt   // attempts whose cancellation is to be written
	checksQueued       int                 // health checks to be written
	inFlight           map[string]*entry   // attempts whose writing has begun, by subquery
	recent             []string            // ids lately in flight
	load               int                 // subqueries queued and in flight
	served             bool                // a subquery has been answered
	checksSent         []time.Time         // times of the health checks in flight
	connected, removed bool
	endStatus          decision.Status // of attempts that had been written completely when the connection ended
	unresponsive       bool            // an attempt was cancelled with nothing received for long: it gets no more calls
	connectedAt        time.Time       // when the connection was established
	receivedAt         time.Time       // when something was last received
	idleSince          time.Time       // since when it has had no load
	wake               chan struct{}
	ctx                context.Context // ends when it is removed
	cancel             context.CancelFunc
}

// Capacity implements mem.Conn.
func (c *conn) Capacity() int { return c.t.Streams - c.load }

// Load implements mem.Conn.
func (c *conn) Load() int { return c.load }

// unusable reports whether a connection must not take further calls: it is unresponsive, or its server has moved or
// restarted since, so that it leads to an old process.
func (c *conn) unusable() bool {
	return c.unresponsive || c.addr != c.s.Addr || c.connected && c.connectedAt.Before(c.s.Started)
}

// Ready implements mem.Conn.
func (c *conn) Ready() int {
	switch {
	case c.removed || c.unusable():
		return 0
	case !c.connected:
		return 1
	}
	return 2
}

// dropQueue empties a connection's queue and returns what was in it.
func (c *conn) dropQueue() (dropped []*gather.Attempt) {
	for _, call := range c.queue {
		dropped = append(dropped, call...)
		c.load -= len(call)
	}
	c.queue = nil
	for _, a := range dropped {
		delete(c.t.byAttempt, a)
	}
	return dropped
}

// wakeWriter makes the writer look for work.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// updateIdle records when a connection becomes idle.
func (c *conn) updateIdle() {
	if c.load == 0 {
		c.idleSince = time.Now()
		if c.unusable() {
			c.wakeWriter() // to be closed
		}
	}
}

// remove removes a connection from the tables, under the lock, and ends its goroutines.
func (c *conn) remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.cancel() // of a dial, too, as it holds a descriptor
	c.s.pool.Remove(c)
	c.t.connCount--
	if c.nc != nil {
		c.nc.Close()
	}
	c.t.reportAll(c.cancels, decision.Cancelled) // by closing the connection
	c.cancels = nil
	if c.s.State == decision.Deregistered && c.s.pool.Len() == 0 && c.t.servers[c.s.ID] == c.s {
		delete(c.t.servers, c.s.ID)
	}
}

// fail ends a connection and all that is on it: what was written completely may have run, the rest never did. Attempts end
// as reset where the connection broke, and as errors where the lot store sent a malformed message or did not finish one:
// that store is alive, and must not count as crashed. A frame that is being written at this moment is left to its writer.
func (c *conn) fail(err error) {
	t, status := c.t, decision.Reset
	if errors.Is(err, errMalformed) || errors.Is(err, os.ErrDeadlineExceeded) {
		status = decision.Error
	}
	t.mu.Lock()
	if !c.removed {
		c.endStatus = status
	}
	var reset []*gather.Attempt
	var unsent [][]*gather.Attempt
	if c.idleAfterUse() {
		unsent = c.queue
	}
	never := c.dropQueue()
	for id, e := range c.inFlight {
		if !e.written.IsZero() {
			reset = append(reset, e.a)
			delete(c.inFlight, id)
			delete(t.byAttempt, e.a)
		}
	}
	checks, was := c.checksQueued+len(c.checksSent), c.removed
	c.checksQueued, c.checksSent = 0, nil
	c.remove()
	id := c.s.ID
	for _, call := range unsent {
		if len(call) > 0 { // not all cancelled
			t.call(id, call)
		}
	}
	if unsent != nil {
		never = nil
	}
	t.mu.Unlock()
	if !was || len(reset)+len(never) > 0 {
		t.Log.Info("connection ended", "store", id, "out", len(reset), "never_sent", len(never), "moved", len(unsent), "reason", err)
	}
	for _, a := range reset {
		t.report.Outcome(a, status, "")
	}
	for _, a := range never {
		t.report.Outcome(a, decision.ConnectFailed, "")
	}
	for range checks {
		t.report.HealthChecked(id, false)
	}
}

// idleAfterUse reports whether nothing is in flight on a connection that has served: if it ends now, its lot store closed it
// as idle, or right behind an answer, and its queue is moved to another connection. It is false for a connection that has
// served nothing, or a lot store that closes each at once would be dialled for ever. The lock is held.
func (c *conn) idleAfterUse() bool { return c.served && len(c.inFlight) == 0 && !c.removed }

// closedByPeer reports whether a call is queued on an idle connection that the peer has closed, though the reader has not
// seen it yet: what is written to it would end as a reset, and would count as one that may have run.
func (c *conn) closedByPeer() bool {
	c.t.mu.Lock()
	idle := c.idleAfterUse() && len(c.queue) > 0
	c.t.mu.Unlock()
	if !idle {
		return false
	}
	_, ended := peek.Status(c.nc)
	return ended
}

// run opens the connection and is its writer.
func (c *conn) run() {
	nc, err := (&net.Dialer{Timeout: c.t.ConnectTimeout, KeepAlive: -1}).DialContext(c.ctx, "tcp", c.addr)
	if err != nil {
		c.fail(err)
		return
	}
	c.t.mu.Lock()
	if c.removed {
		c.t.mu.Unlock()
		nc.Close()
		return
	}
	c.nc, c.connected, c.connectedAt = nc, true, time.Now()
	c.receivedAt = c.connectedAt
	c.t.mu.Unlock()
	go c.read()
	// Closed well before the lot store closes it, as a call that crosses that close ends as a reset.
	check := time.NewTicker(c.t.ConnIdle / 6)
	defer check.Stop()
	for {
		more, err := c.write()
		if err != nil {
			c.fail(err)
			return
		}
		if more {
			continue
		}
		select {
		case <-c.wake:
		case <-check.C:
		case <-c.ctx.Done():
			return
		}
	}
}

// read handles the lot store's messages until the connection ends.
func (c *conn) read() {
	r, receive := bufio.NewReaderSize(c.nc, 4<<10), c.receive // bound once, as binding a method allocates
	for {
		if _, err := r.Peek(1); err != nil {
			c.fail(err)
			return
		}
		// Once a frame has begun, the rest of it must follow within the time-out.
		c.nc.SetReadDeadline(time.Now().Add(c.t.ConnectTimeout))
		if err := readFrame(r, receive); err != nil {
			c.fail(err)
			return
		}
		c.nc.SetReadDeadline(time.Time{})
	}
}
