package frames

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
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

// Transport implements gather.Transport on frames. One lock covers all its tables; nothing is written, read
// or reported under it.
type Transport struct {
	Config
	report gather.Reporter

	mu      sync.Mutex
	servers map[decision.ServerID]*server
	where   map[*gather.Attempt]*conn
	conns   int
}

type server struct {
	mem.Server
	pool mem.Pool[*conn]
}

// New makes a transport; Start must come before any other call.
func New(c Config) *Transport {
	return &Transport{Config: c, servers: map[decision.ServerID]*server{}, where: map[*gather.Attempt]*conn{}}
}

// Start names whom outcomes are reported to.
func (t *Transport) Start(r gather.Reporter) { t.report = r }

// Servers applies changes of the server list. What waits to be written to a server that may be sent nothing new is
// dropped now: the time until such sends must have stopped runs.
func (t *Transport) Servers(news []mem.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		s := t.servers[n.ID]
		if s == nil {
			if n.State == decision.Deregistered {
				continue
			}
			s = &server{}
			t.servers[n.ID] = s
		}
		s.Server = n
		if n.State != decision.Ready {
			var dropped []*gather.Attempt
			for _, c := range s.pool.All() {
				dropped = append(dropped, c.dropQueue()...)
			}
			t.end(dropped, decision.NotSent)
		}
		t.closeIdle(s, func(c *conn) bool { return n.State == decision.Deregistered || c.unfit() })
		if n.State == decision.Deregistered && s.pool.Len() == 0 {
			delete(t.servers, n.ID)
		}
	}
}

// end reports the same outcome for attempts, from a goroutine of its own as the caller holds the lock or is
// the core itself.
func (t *Transport) end(attempts []*gather.Attempt, s decision.Status) {
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
func (t *Transport) Call(id decision.ServerID, attempts []*gather.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.call(id, attempts)
}

// call queues a call on a connection; the lock is held.
func (t *Transport) call(id decision.ServerID, attempts []*gather.Attempt) {
	s := t.servers[id]
	if s == nil || s.State != decision.Ready {
		t.end(attempts, decision.NotSent)
		return
	}
	c := t.conn(s, len(attempts))
	if c == nil {
		t.Log.Warn("connections used up", "most", t.MaxConns, "store", id)
		t.end(attempts, decision.ConnectFailed)
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
	c = &conn{t: t, s: s, addr: s.Addr, out: map[string]*entry{}, ran: decision.Reset, wake: make(chan struct{}, 1), idle: time.Now()}
	c.ctx, c.end = context.WithCancel(context.Background())
	s.pool.Add(c)
	t.conns++
	go c.run()
	return c
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
			t.end([]*gather.Attempt{a}, decision.Cancelled)
			return
		}
	}
	if c.dead { // its writer is about to find out, and the frame was never whole
		t.end([]*gather.Attempt{a}, decision.Cancelled)
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

// Probe implements gather.Transport.
func (t *Transport) HealthCheck(id decision.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		go t.report.HealthChecked(id, false)
		return
	}
	c := t.conn(s, 0)
	if c == nil {
		go t.report.HealthChecked(id, false)
		return
	}
	c.probes++
	c.kick()
}

// CloseIdle implements gather.Transport.
func (t *Transport) CloseIdle(id decision.ServerID) {
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

// silentFor is how long a connection may be silent with a part out on it.
func (t *Transport) silentFor() time.Duration { return 4 * t.ConnectTimeout }
