package opensearch

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// StoresConfig configures a Stores.
type StoresConfig struct {
	Class          func(class int) (index string, create bool) // create: the index takes creates, not searches
	Shards         int
	ConnectTimeout time.Duration // also of a health check
	ConnIdle       time.Duration // a lot store closes a connection that has been idle for so long
	WriteFor       time.Duration // time-out of a write, where a lot store does not read
	MaxConns       int           // to all lot stores together
	MaxAnswer      int           // bytes of an answer, if more than 64 KiB
	Log            *slog.Logger
}

// Stores implements gather.Transport on the API: the searches of a call are sent as one _msearch, its creates as one _bulk. A
// connection carries one call at a time.
type Stores struct {
	StoresConfig
	routing []string // by shard, a routing value that leads there
	report  gather.Reporter

	mu        sync.Mutex
	servers   map[decision.ServerID]*store
	exchanges map[*gather.Attempt]*exchange
	connCount int
}

type store struct {
	mem.Server
	idle []idleConn // the longest idle first
}

type idleConn struct {
	c     *http1.Client
	since time.Time
}

// NewStores returns the transport. Start must be called before any other method.
func NewStores(c StoresConfig) *Stores {
	routing := make([]string, c.Shards)
	for i, found := 0, 0; found < c.Shards; i++ {
		if s := Shard(strconv.Itoa(i), c.Shards); routing[s] == "" {
			routing[s] = strconv.Itoa(i)
			found++
		}
	}
	return &Stores{StoresConfig: c, routing: routing, servers: map[decision.ServerID]*store{}, exchanges: map[*gather.Attempt]*exchange{}}
}

// Start sets the reporter of outcomes.
func (t *Stores) Start(r gather.Reporter) { t.report = r }

// Servers implements gather.Transport. What is not written yet checks the state again when it is.
func (t *Stores) Servers(changed []mem.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range changed {
		s := t.servers[n.ID]
		if s == nil {
			s = &store{}
			t.servers[n.ID] = s
		}
		moved := s.Addr != n.Addr
		s.Server = n
		if n.State == decision.Deregistered || moved {
			t.closeIdle(s, time.Now())
		}
		if n.State == decision.Deregistered {
			delete(t.servers, n.ID)
		}
	}
}

// closeIdle closes the connections that have been idle since before a time. The lock is held.
func (t *Stores) closeIdle(s *store, before time.Time) {
	for len(s.idle) > 0 && !s.idle[0].since.After(before) {
		s.idle[0].c.Close()
		s.idle = s.idle[1:]
		t.connCount--
	}
}

// SetMaxConns changes the bound of connections, and closes idle ones beyond it.
func (t *Stores) SetMaxConns(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.MaxConns = n
	for _, s := range t.servers {
		if t.connCount <= n {
			return
		}
		t.closeIdle(s, time.Now())
	}
}

// CloseIdle implements gather.Transport.
func (t *Stores) CloseIdle(id decision.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		t.closeIdle(s, time.Now())
	}
}

// Call implements gather.Transport.
func (t *Stores) Call(id decision.ServerID, attempts []*gather.Attempt) {
	var kinds [2][]*gather.Attempt
	for _, a := range attempts {
		k := 0
		if _, create := t.Class(a.Class); create {
			k = 1
		}
		kinds[k] = append(kinds[k], a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, some := range kinds {
		if len(some) == 0 {
			continue
		}
		ctx, stop := context.WithDeadline(context.Background(), some[0].Deadline)
		x := &exchange{remaining: len(some), cancel: stop}
		for _, a := range some {
			t.exchanges[a] = x
		}
		go t.run(ctx, id, x, some)
	}
}

// Cancel implements gather.Transport. One attempt of a call cannot be cancelled alone: it is in flight until the call ends.
// When all of a call are cancelled, its connection is closed.
func (t *Stores) Cancel(a *gather.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.exchanges[a]; x != nil {
		delete(t.exchanges, a)
		x.cancelled = append(x.cancelled, a)
		if x.remaining--; x.remaining == 0 {
			x.cancel()
		}
	}
}

// reportOutcome reports an attempt's outcome, unless it has been cancelled.
func (t *Stores) reportOutcome(a *gather.Attempt, s decision.Status, value string) {
	if t.removeAttempt(a) {
		t.report.Outcome(a, s, value)
	}
}

// reportFound reports the answer to a search, unless it has been cancelled.
func (t *Stores) reportFound(a *gather.Attempt, found *search.Answer) {
	if t.removeAttempt(a) {
		t.report.Found(a, found)
	}
}

// removeAttempt removes an attempt, and returns false if it has been cancelled.
func (t *Stores) removeAttempt(a *gather.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.exchanges[a]
	if x != nil {
		delete(t.exchanges, a)
		x.remaining--
	}
	return x != nil
}

// reportAll reports the same outcome for all attempts.
func (t *Stores) reportAll(attempts []*gather.Attempt, s decision.Status) {
	for _, a := range attempts {
		t.reportOutcome(a, s, "")
	}
}

// takeConn returns an open connection or one to be dialled; ok is false where none is allowed.
func (t *Stores) takeConn(id decision.ServerID) (c *http1.Client, open, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		return nil, false, false
	}
	t.closeIdle(s, time.Now().Add(-t.ConnIdle/2))
	for n := len(s.idle); n > 0; n = len(s.idle) {
		c, s.idle = s.idle[n-1].c, s.idle[:n-1]
		if c.Alive() {
			return c, true, true
		}
		c.Close()
		t.connCount--
	}
	if t.connCount >= t.MaxConns {
		t.Log.Warn("connections used up", "most", t.MaxConns, "store", id)
		return nil, false, false
	}
	t.connCount++
	return &http1.Client{Addr: s.Addr, MaxBody: t.MaxAnswer}, false, true
}

// putConn returns a connection to the pool. One that is closed, or leads to an old address, is dropped.
func (t *Stores) putConn(id decision.ServerID, c *http1.Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || !c.Open() || s.Addr != c.Addr {
		c.Close()
		t.connCount--
		return
	}
	s.idle = append(s.idle, idleConn{c, time.Now()})
	// Closed well before the lot store closes it, as a call that crosses that close ends as a reset.
	time.AfterFunc(t.ConnIdle/2+time.Millisecond, func() {
		t.mu.Lock()
		t.closeIdle(s, time.Now().Add(-t.ConnIdle/2))
		t.mu.Unlock()
	})
}

// HealthCheck implements gather.Transport.
func (t *Stores) HealthCheck(id decision.ServerID) {
	go func() {
		c, open, ok := t.takeConn(id)
		if !ok {
			t.report.HealthChecked(id, false)
			return
		}
		defer func() { t.putConn(id, c) }()
		if !open && c.Dial(context.Background(), t.ConnectTimeout) != nil {
			t.report.HealthChecked(id, false)
			return
		}
		deadline := time.Now().Add(t.ConnectTimeout)
		if c.Write(deadline, "GET", "/", nil, nil) != nil {
			c.Close()
			t.report.HealthChecked(id, false)
			return
		}
		p, err := c.Read(deadline)
		if err != nil {
			c.Close()
		} else {
			p.Release()
		}
		t.report.HealthChecked(id, err == nil && p.Status == 200)
	}()
}
