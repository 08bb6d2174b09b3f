package frames

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/mix"
	"pulleygw.example/pulleygw/internal/shared/peek"
)

// Config is what a transport needs to know.
type Config struct {
	Streams        int           // parts that one connection carries at once
	ConnectTimeout time.Duration // also a probe's
	ConnIdle       time.Duration // the lot store closes a connection idle for so long
	WriteFor       time.Duration // a lot store that does not read is waited for so long
	MaxConns       int           // in all
	Log            *slog.Logger
}

// Transport implements gather.Transport on frames. One lock covers all its books; nothing is written, read
// or reported under it.
type Transport struct {
	Config
	report gather.Reporter

	mu      sync.Mutex
	servers map[mix.ServerID]*server
	where   map[*gather.Attempt]*conn
	conns   int
}

type server struct {
	mem.Server
	pool mem.Pool[*conn]
}

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
	ran      mix.Status // how parts end that were written whole when the connection ended
	silent   bool       // an attempt was given up with nothing heard for long: not chosen any more
	since    time.Time  // when it came up
	heard    time.Time  // when something last came
	idle     time.Time  // since when nothing is on it
	wake     chan struct{}
	ctx      context.Context // ends when it is off the books
	end      context.CancelFunc
}

// New makes a transport; Start must come before any other call.
func New(c Config) *Transport {
	return &Transport{Config: c, servers: map[mix.ServerID]*server{}, where: map[*gather.Attempt]*conn{}}
}

// Start names whom outcomes are reported to.
func (t *Transport) Start(r gather.Reporter) { t.report = r }

// Room, Load and Ready implement mem.Conn.
func (c *conn) Room() int { return c.t.Streams - c.load }

// Load implements mem.Conn.
func (c *conn) Load() int { return c.load }

// unfit says whether a connection is to take no further part: it is silent, or its server has moved or has started
// since, and it leads to a process that is no more.
func (c *conn) unfit() bool {
	return c.silent || c.addr != c.s.Addr || c.up && c.since.Before(c.s.Born)
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

// Servers takes in news of the list. What waits to be written to a server that may be sent nothing new is
// dropped now: the time until such sends must have stopped runs.
func (t *Transport) Servers(news []mem.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		s := t.servers[n.ID]
		if s == nil {
			if n.State == mix.Gone {
				continue
			}
			s = &server{}
			t.servers[n.ID] = s
		}
		s.Server = n
		if n.State != mix.Ready {
			var dropped []*gather.Attempt
			for _, c := range s.pool.All() {
				dropped = append(dropped, c.dropQueue()...)
			}
			t.end(dropped, mix.Moot)
		}
		t.closeIdle(s, func(c *conn) bool { return n.State == mix.Gone || c.unfit() })
		if n.State == mix.Gone && s.pool.Len() == 0 {
			delete(t.servers, n.ID)
		}
	}
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

// end reports the same outcome for attempts, from a goroutine of its own as the caller holds the lock or is
// the core itself.
func (t *Transport) end(attempts []*gather.Attempt, s mix.Status) {
	if len(attempts) == 0 {
		return
	}
	go func() {
		for _, a := range attempts {
			t.report.Outcome(a, s, "")
		}
	}()
}

// Call implements gather.Transport.
func (t *Transport) Call(id mix.ServerID, attempts []*gather.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.call(id, attempts)
}

// call queues a call on a connection; the lock is held.
func (t *Transport) call(id mix.ServerID, attempts []*gather.Attempt) {
	s := t.servers[id]
	if s == nil || s.State != mix.Ready {
		t.end(attempts, mix.Moot)
		return
	}
	c := t.conn(s, len(attempts))
	if c == nil {
		t.Log.Warn("connections used up", "most", t.MaxConns, "store", id)
		t.end(attempts, mix.ConnectFailed)
		return
	}
	c.queue = append(c.queue, attempts)
	c.load += len(attempts)
	for _, a := range attempts {
		t.where[a] = c
	}
	c.kick()
}

// conn picks a connection with room for n parts, or opens one. An answer that cannot be read ends all that
// is out on its connection, so that calls share one only where a server has its part of all connections.
func (t *Transport) conn(s *server, n int) *conn {
	c, ok := s.pool.Pick(n)
	if ok && (c.load == 0 || s.pool.Len() >= t.MaxConns/len(t.servers)) {
		return c
	}
	if t.conns >= t.MaxConns {
		return c // nil where none has room
	}
	c = &conn{t: t, s: s, addr: s.Addr, out: map[string]*entry{}, ran: mix.Reset, wake: make(chan struct{}, 1), idle: time.Now()}
	c.ctx, c.end = context.WithCancel(context.Background())
	s.pool.Add(c)
	t.conns++
	go c.run()
	return c
}

func (c *conn) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Cancel implements gather.Transport.
func (t *Transport) Cancel(a *gather.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.where[a]
	if c == nil {
		return
	}
	delete(t.where, a)
	c.load--
	defer c.settle()
	for i, call := range c.queue {
		if j := slices.Index(call, a); j >= 0 {
			c.queue[i] = slices.Delete(call, j, j+1)
			t.end([]*gather.Attempt{a}, mix.Cancelled)
			return
		}
	}
	if c.dead { // its writer is about to find out, and the frame was never whole
		t.end([]*gather.Attempt{a}, mix.Cancelled)
		return
	}
	e := c.out[partID(a)]
	c.over(partID(a))
	// A machine that vanished gives no sign: a connection on which nothing came for long after a part that is
	// now given up is not trusted with another. The Mixer gives up a little before the attempt's time is up, so
	// that the time itself tells nothing.
	if e != nil && !e.written.IsZero() && time.Since(e.written) > t.silentFor() && c.heard.Before(e.written) {
		c.silent = true
	}
	c.give = append(c.give, a)
	c.kick()
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

// Probe implements gather.Transport.
func (t *Transport) Probe(id mix.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		go t.report.Probed(id, false)
		return
	}
	c := t.conn(s, 0)
	if c == nil {
		go t.report.Probed(id, false)
		return
	}
	c.probes++
	c.kick()
}

// CloseIdle implements gather.Transport.
func (t *Transport) CloseIdle(id mix.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		t.closeIdle(s, every)
	}
}

// SetMaxConns gives another bound, and closes idle connections past it.
func (t *Transport) SetMaxConns(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.MaxConns = n
	for _, s := range t.servers {
		if t.conns <= n {
			return
		}
		t.closeIdle(s, every)
	}
}

func every(*conn) bool { return true }

// closeIdle closes those of a server's connections on which nothing is out or asked and that are to be closed. The lock
// is held.
func (t *Transport) closeIdle(s *server, which func(*conn) bool) {
	for _, c := range s.pool.All() {
		if which(c) && c.load == 0 && len(c.asked) == 0 && c.probes == 0 {
			c.remove()
		}
	}
}

// remove takes a connection off the books, under the lock, and ends its goroutines.
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
	c.t.end(c.give, mix.Cancelled) // by the close
	c.give = nil
	if c.s.State == mix.Gone && c.s.pool.Len() == 0 && c.t.servers[c.s.ID] == c.s {
		delete(c.t.servers, c.s.ID)
	}
}

// fail ends a connection and all that is on it: what was written whole may have run, the rest never did.
// Parts end as reset where the connection broke, and as faulty where the lot store wrote what cannot be
// read, or did not end what it began: that store lives, and is not to be taken for one that died. A frame that is being written at this moment is left to its writer.
func (c *conn) fail(err error) {
	t, ran := c.t, mix.Reset
	if errors.Is(err, errMalformed) || errors.Is(err, os.ErrDeadlineExceeded) {
		ran = mix.Error
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
		t.report.Outcome(a, mix.ConnectFailed, "")
	}
	for range probes {
		t.report.Probed(id, false)
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

// write writes the next thing in line and says whether there was one. An idle connection is closed here.
func (c *conn) write() (more bool, err error) {
	if c.crossed() {
		return false, io.EOF
	}
	t, now := c.t, time.Now()
	t.mu.Lock()
	switch {
	case c.dead:
		t.mu.Unlock()
		return false, nil
	case len(c.give) > 0 || c.probes > 0:
		var b []byte
		for _, a := range c.give {
			b = appendFrame(b, letterGiveUp, partID(a))
		}
		given := c.give
		for range c.probes {
			b = appendFrame(b, letterProbe, "")
			c.asked = append(c.asked, now)
			time.AfterFunc(t.ConnectTimeout+time.Millisecond, c.kick) // to see whether it is overdue
		}
		c.give, c.probes = nil, 0
		t.mu.Unlock()
		c.nc.SetWriteDeadline(now.Add(t.WriteFor))
		_, err := c.nc.Write(b)
		if err != nil {
			c.nc.Close() // that, too, gives them up
		}
		for _, a := range given {
			t.report.Outcome(a, mix.Cancelled, "")
		}
		return true, err
	case len(c.queue) > 0:
		call := c.queue[0]
		c.queue = c.queue[1:]
		return true, c.writeCall(call, now)
	}
	if len(c.asked) > 0 && now.Sub(c.asked[0]) > t.ConnectTimeout {
		c.asked = c.asked[1:]
		c.silent = true
		id := c.s.ID
		t.mu.Unlock()
		t.report.Probed(id, false)
		return true, nil
	}
	if c.load == 0 && len(c.asked) == 0 && (c.unfit() || now.Sub(c.idle) > t.ConnIdle/2) {
		c.remove()
	}
	t.mu.Unlock()
	return false, nil
}

// silentFor is how long a connection may be silent with a part out on it.
func (t *Transport) silentFor() time.Duration { return 4 * t.ConnectTimeout }

// writeCall writes one call; the lock is held on entry and is not on return. It looks again at what time
// and the list say: a keyed part past its window, a part past its time or a server that drains by now are
// not written, and never ran.
func (c *conn) writeCall(call []*gather.Attempt, now time.Time) error {
	t := c.t
	var lines []string
	var late, attempts []*gather.Attempt
	for _, a := range call {
		if c.s.State != mix.Ready || a.Stale(now) {
			late = append(late, a)
			delete(t.where, a)
			c.load--
			continue
		}
		c.out[partID(a)] = &entry{a: a}
		attempts = append(attempts, a)
		lines = append(lines, partLine(a, a.Until.Sub(now).Milliseconds()))
	}
	c.settle()
	t.mu.Unlock()
	for _, a := range late {
		t.report.Outcome(a, mix.Moot, "")
	}
	if len(attempts) == 0 {
		return nil
	}
	c.nc.SetWriteDeadline(gather.WriteBy(now, t.WriteFor, attempts))
	err := writeCall(c.nc, lines, attempts)
	t.mu.Lock()
	var ended []*gather.Attempt
	for _, a := range attempts {
		e := c.out[partID(a)]
		if e == nil || e.a != a {
			continue // answered or cancelled meanwhile
		}
		if err == nil && !c.dead {
			e.written = time.Now()
			continue
		}
		delete(c.out, partID(a))
		delete(t.where, a)
		ended = append(ended, a)
	}
	status := c.ran // written whole, and the connection ended before that was booked
	t.mu.Unlock()
	if err != nil {
		status = mix.ConnectFailed
	}
	for _, a := range ended {
		t.report.Outcome(a, status, "")
	}
	return err
}

// read takes in what the lot store tells until the connection ends.
func (c *conn) read() {
	r, take := bufio.NewReaderSize(c.nc, 4<<10), c.take
	for {
		if _, err := r.Peek(1); err != nil {
			c.fail(err)
			return
		}
		// Once a frame has begun, the rest of it must follow.
		c.nc.SetReadDeadline(time.Now().Add(c.t.ConnectTimeout))
		if err := readFrame(r, take); err != nil {
			c.fail(err)
			return
		}
		c.nc.SetReadDeadline(time.Time{})
	}
}
