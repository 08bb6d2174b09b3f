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

// Config configures a Transport.
type Config struct {
	Streams        int           // subqueries in flight on one connection
	ConnectTimeout time.Duration // also of a health check
	ConnIdle       time.Duration // a lot store closes a connection that has been idle for so long
	WriteFor       time.Duration // time-out of a write, where a lot store does not read
	MaxConns       int           // to all lot stores together
	Log            *slog.Logger
}

// Transport implements gather.Transport on frames. One lock guards all its tables; nothing is written, read or reported
// under it.
type Transport struct {
	Config
	report gather.Reporter

	mu        sync.Mutex
	servers   map[decision.ServerID]*server
	byAttempt map[*gather.Attempt]*conn
	connCount int
}

type server struct {
	mem.Server
	pool mem.Pool[*conn]
}

// New returns a transport. Start must be called before any other method.
func New(c Config) *Transport {
	return &Transport{Config: c, servers: map[decision.ServerID]*server{}, byAttempt: map[*gather.Attempt]*conn{}}
}

// Start sets the reporter of outcomes.
func (t *Transport) Start(r gather.Reporter) { t.report = r }

// Servers applies changes of the server list. What waits to be written to a server that must be sent nothing new is dropped
// now, as the drain grace period has begun.
func (t *Transport) Servers(changed []mem.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range changed {
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
			t.reportAll(dropped, decision.NotSent)
		}
		t.closeIdle(s, func(c *conn) bool { return n.State == decision.Deregistered || c.unusable() })
		if n.State == decision.Deregistered && s.pool.Len() == 0 {
			delete(t.servers, n.ID)
		}
	}
}

// reportAll reports the same outcome for all attempts, from a goroutine of its own as the caller holds the lock or is the
// core itself.
func (t *Transport) reportAll(attempts []*gather.Attempt, s decision.Status) {
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

// call queues a call on a connection. The lock is held.
func (t *Transport) call(id decision.ServerID, attempts []*gather.Attempt) {
	s := t.servers[id]
	if s == nil || s.State != decision.Ready {
		t.reportAll(attempts, decision.NotSent)
		return
	}
	c := t.conn(s, len(attempts))
	if c == nil {
		t.Log.Warn("connections used up", "most", t.MaxConns, "store", id)
		t.reportAll(attempts, decision.ConnectFailed)
		return
	}
	c.queue = append(c.queue, attempts)
	c.load += len(attempts)
	for _, a := range attempts {
		t.byAttempt[a] = c
	}
	c.wakeWriter()
}

// conn picks a connection with capacity for n subqueries, or opens one. A malformed answer ends all that is in flight on its
// connection, so calls share one only where a server has its share of all connections.
func (t *Transport) conn(s *server, n int) *conn {
	c, ok := s.pool.Pick(n)
	if ok && (c.load == 0 || s.pool.Len() >= t.MaxConns/len(t.servers)) {
		return c
	}
	if t.connCount >= t.MaxConns {
		return c // nil where none has capacity
	}
	c = &conn{t: t, s: s, addr: s.Addr, inFlight: map[string]*entry{}, endStatus: decision.Reset, wake: make(chan struct{}, 1), idleSince: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	s.pool.Add(c)
	t.connCount++
	go c.run()
	return c
}

// Cancel implements gather.Transport.
func (t *Transport) Cancel(a *gather.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.byAttempt[a]
	if c == nil {
		return
	}
	delete(t.byAttempt, a)
	c.load--
	defer c.updateIdle()
	for i, call := range c.queue {
		if j := slices.Index(call, a); j >= 0 {
			c.queue[i] = slices.Delete(call, j, j+1)
			t.reportAll([]*gather.Attempt{a}, decision.Cancelled)
			return
		}
	}
	if c.removed { // its writer is about to notice, and the frame was never complete
		t.reportAll([]*gather.Attempt{a}, decision.Cancelled)
		return
	}
	e := c.inFlight[subqueryID(a)]
	c.forget(subqueryID(a))
	// A machine that vanished gives no sign: a connection on which nothing was received for long after a subquery that
	// is now cancelled gets no other. The scheduler cancels a little before the attempt's time-out, so the time-out
	// itself says nothing.
	if e != nil && !e.written.IsZero() && time.Since(e.written) > t.unresponsiveAfter() && c.receivedAt.Before(e.written) {
		c.unresponsive = true
	}
	c.cancels = append(c.cancels, a)
	c.wakeWriter()
}

// HealthCheck implements gather.Transport.
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
	c.checksQueued++
	c.wakeWriter()
}

// CloseIdle implements gather.Transport.
func (t *Transport) CloseIdle(id decision.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		t.closeIdle(s, anyConn)
	}
}

// SetMaxConns changes the bound of connections, and closes idle ones beyond it.
func (t *Transport) SetMaxConns(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.MaxConns = n
	for _, s := range t.servers {
		if t.connCount <= n {
			return
		}
		t.closeIdle(s, anyConn)
	}
}

func anyConn(*conn) bool { return true }

// closeIdle closes those of a server's connections that have nothing in flight and that which selects. The lock is held.
func (t *Transport) closeIdle(s *server, which func(*conn) bool) {
	for _, c := range s.pool.All() {
		if which(c) && c.load == 0 && len(c.checksSent) == 0 && c.checksQueued == 0 {
			c.remove()
		}
	}
}

// unresponsiveAfter is how long a connection may receive nothing with a subquery in flight.
func (t *Transport) unresponsiveAfter() time.Duration { return 4 * t.ConnectTimeout }
