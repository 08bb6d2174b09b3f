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

// entry is an attempt on a connection.
type entry struct {
	a       *gather.Attempt
	written time.Time // zero while its frame is not written whole
}

// conn is one connection. Its writer owns the socket's writing side, its reader the other.
type conn struct {
	t    *Transport
	s    *server
	addr string   // where it leads
	nc   net.Conn // nil until it is up

	// Under the transport's lock.
	queue    [][]*gather.Attempt // calls not yet begun to be written
	give     []*gather.Attempt   // to be given up
	probes   int                 // probes to be written
	out      map[string]*entry   // begun to be written, by part
	past     []string            // parts lately out
	load     int                 // parts queued and out
	served   bool                // a part has been answered
	asked    []time.Time         // probes that are out
	up, dead bool
	ran      decision.Status // how parts end that were written whole when the connection ended
	silent   bool            // an attempt was given up with nothing heard for long: not chosen any more
	since    time.Time       // when it came up
	heard    time.Time       // when something last came
	idle     time.Time       // since when nothing is on it
	wake     chan struct{}
	ctx      context.Context // ends when it is removed
	end      context.CancelFunc
}

// Room, Load and Ready implement mem.Conn.
func (c *conn) Capacity() int { return c.t.Streams - c.load }

// Load implements mem.Conn.
func (c *conn) Load() int { return c.load }

// unfit says whether a connection is to take no further part: it is silent, or its server has moved or has started
// since, and it leads to a process that is no more.
func (c *conn) unfit() bool {
	return c.silent || c.addr != c.s.Addr || c.up && c.since.Before(c.s.Started)
}

// Ready implements mem.Conn.
func (c *conn) Ready() int {
	switch {
	case c.dead || c.unfit():
		return 0
	case !c.up:
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
		delete(c.t.where, a)
	}
	return dropped
}

func (c *conn) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// settle notes since when a connection is idle.
func (c *conn) settle() {
	if c.load == 0 {
		c.idle = time.Now()
		if c.unfit() {
			c.kick() // to be closed
		}
	}
}

// remove removes a connection from the tables, under the lock, and ends its goroutines.
func (c *conn) remove() {
	if c.dead {
		return
	}
	c.dead = true
	c.end() // a dial, too, as it holds a descriptor
	c.s.pool.Remove(c)
	c.t.conns--
	if c.nc != nil {
		c.nc.Close()
	}
	c.t.end(c.give, decision.Cancelled) // by the close
	c.give = nil
	if c.s.State == decision.Deregistered && c.s.pool.Len() == 0 && c.t.servers[c.s.ID] == c.s {
		delete(c.t.servers, c.s.ID)
	}
}

// fail ends a connection and all that is on it: what was written whole may have run, the rest never did.
// Parts end as reset where the connection broke, and as faulty where the lot store wrote what cannot be
// read, or did not end what it began: that store lives, and is not to be taken for one that died. A frame that is being written at this moment is left to its writer.
func (c *conn) fail(err error) {
	t, ran := c.t, decision.Reset
	if errors.Is(err, errMalformed) || errors.Is(err, os.ErrDeadlineExceeded) {
		ran = decision.Error
	}
	t.mu.Lock()
	if !c.dead {
		c.ran = ran
	}
	var reset []*gather.Attempt
	var crossed [][]*gather.Attempt
	if c.resting() {
		crossed = c.queue
	}
	never := c.dropQueue()
	for id, e := range c.out {
		if !e.written.IsZero() {
			reset = append(reset, e.a)
			delete(c.out, id)
			delete(t.where, e.a)
		}
	}
	probes, was := c.probes+len(c.asked), c.dead
	c.probes, c.asked = 0, nil
	c.remove()
	id := c.s.ID
	for _, call := range crossed {
		if len(call) > 0 { // not all cancelled
			t.call(id, call)
		}
	}
	if crossed != nil {
		never = nil
	}
	t.mu.Unlock()
	if !was || len(reset)+len(never) > 0 {
		t.Log.Info("connection ended", "store", id, "out", len(reset), "never_sent", len(never), "moved", len(crossed), "reason", err)
	}
	for _, a := range reset {
		t.report.Outcome(a, ran, "")
	}
	for _, a := range never {
		t.report.Outcome(a, decision.ConnectFailed, "")
	}
	for range probes {
		t.report.HealthChecked(id, false)
	}
}

// resting says whether nothing is out on a connection that has served: if it ends now, its lot store closed it as idle,
// or right behind an answer, and what is queued on it has not gone and goes on another. One that has served nothing is
// not taken for resting, or a lot store that closes each at once would be dialled for ever. The lock is held.
func (c *conn) resting() bool { return c.served && len(c.out) == 0 && !c.dead }

// crossed says whether a call is queued on a connection that rested and whose end has come, though its reader has not
// seen it yet: what is written to it would end as a reset, and might have run for all that is known here.
func (c *conn) crossed() bool {
	c.t.mu.Lock()
	resting := c.resting() && len(c.queue) > 0
	c.t.mu.Unlock()
	if !resting {
		return false
	}
	_, ended := peek.Look(c.nc)
	return ended
}

// run opens the connection and writes what is to be written.
func (c *conn) run() {
	nc, err := (&net.Dialer{Timeout: c.t.ConnectTimeout, KeepAlive: -1}).DialContext(c.ctx, "tcp", c.addr)
	if err != nil {
		c.fail(err)
		return
	}
	c.t.mu.Lock()
	if c.dead {
		c.t.mu.Unlock()
		nc.Close()
		return
	}
	c.nc, c.up, c.since = nc, true, time.Now()
	c.heard = c.since
	c.t.mu.Unlock()
	go c.read()
	// Closed well before the lot store would, as what crosses that close ends as a reset.
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

// read handles what the lot store sends until the connection ends.
func (c *conn) read() {
	r, receive := bufio.NewReaderSize(c.nc, 4<<10), c.receive // bound once, as a bound method is allocated
	for {
		if _, err := r.Peek(1); err != nil {
			c.fail(err)
			return
		}
		// Once a frame has begun, the rest of it must follow.
		c.nc.SetReadDeadline(time.Now().Add(c.t.ConnectTimeout))
		if err := readFrame(r, receive); err != nil {
			c.fail(err)
			return
		}
		c.nc.SetReadDeadline(time.Time{})
	}
}
