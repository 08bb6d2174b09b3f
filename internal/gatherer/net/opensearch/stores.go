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

// StoresConfig is what the lot-store side needs to know.
type StoresConfig struct {
	Class          func(class int) (index string, keyed bool) // keyed: created in, not searched
	Shards         int
	ConnectTimeout time.Duration // also a probe's
	ConnIdle       time.Duration // the lot store closes a connection idle for so long
	WriteFor       time.Duration // a lot store that does not read is waited for so long
	MaxConns       int           // in all
	MaxAnswer      int           // bytes of an answer, where more than 64 KiB
	Log            *slog.Logger
}

// Stores implements gather.Transport on the API: the searches of a call travel as one _msearch, its
// creates as one _bulk. A connection carries one call at a time.
type Stores struct {
	StoresConfig
	routing []string // by shard, a value that leads there
	report  gather.Reporter

	mu      sync.Mutex
	servers map[decision.ServerID]*store
	where   map[*gather.Attempt]*exchange
	conns   int
}

type store struct {
	mem.Server
	idle []idleConn // the longest idle first
}

type idleConn struct {
	c     *http1.Client
	since time.Time
}

// NewStores makes the transport; Start must come before any other call.
func NewStores(c StoresConfig) *Stores {
	routing := make([]string, c.Shards)
	for i, found := 0, 0; found < c.Shards; i++ {
		if s := Shard(strconv.Itoa(i), c.Shards); routing[s] == "" {
			routing[s] = strconv.Itoa(i)
			found++
		}
	}
	return &Stores{StoresConfig: c, routing: routing, servers: map[decision.ServerID]*store{}, where: map[*gather.Attempt]*exchange{}}
}

// Start names whom outcomes are reported to.
func (t *Stores) Start(r gather.Reporter) { t.report = r }

// Servers implements gather.Transport. What is not written yet looks at the state again when it is.
func (t *Stores) Servers(news []mem.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
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

// closeIdle closes the connections idle since before a time.
func (t *Stores) closeIdle(s *store, before time.Time) {
	for len(s.idle) > 0 && !s.idle[0].since.After(before) {
		s.idle[0].c.Close()
		s.idle = s.idle[1:]
		t.conns--
	}
}

// SetMaxConns gives another bound, and closes idle connections past it.
func (t *Stores) SetMaxConns(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.MaxConns = n
	for _, s := range t.servers {
		if t.conns <= n {
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
		if _, keyed := t.Class(a.Class); keyed {
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
		ctx, stop := context.WithDeadline(context.Background(), some[0].Until)
		x := &exchange{left: len(some), stop: stop}
		for _, a := range some {
			t.where[a] = x
		}
		go t.run(ctx, id, x, some)
	}
}

// Cancel implements gather.Transport: when nobody waits for anything in a call, its connection is closed. One
// part of a call cannot be given up alone: it is out until the call ends.
func (t *Stores) Cancel(a *gather.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.where[a]; x != nil {
		delete(t.where, a)
		x.gone = append(x.gone, a)
		if x.left--; x.left == 0 {
			x.stop()
		}
	}
}

// end reports an attempt's outcome, unless it has been cancelled.
func (t *Stores) end(a *gather.Attempt, s decision.Status, value string) {
	if t.ended(a) {
		t.report.Outcome(a, s, value)
	}
}

// found reports what a search brought, unless it has been cancelled.
func (t *Stores) found(a *gather.Attempt, found *search.Answer) {
	if t.ended(a) {
		t.report.Found(a, found)
	}
}

// ended removes an attempt from the tables, and says whether anybody still waits for it.
func (t *Stores) ended(a *gather.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.where[a]
	if x != nil {
		delete(t.where, a)
		x.left--
	}
	return x != nil
}

func (t *Stores) endAll(attempts []*gather.Attempt, s decision.Status) {
	for _, a := range attempts {
		t.end(a, s, "")
	}
}

// take gets an open connection or room for a new one.
func (t *Stores) take(id decision.ServerID) (c *http1.Client, open, ok bool) {
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
		t.conns--
	}
	if t.conns >= t.MaxConns {
		t.Log.Warn("connections used up", "most", t.MaxConns, "store", id)
		return nil, false, false
	}
	t.conns++
	return &http1.Client{Addr: s.Addr, MaxBody: t.MaxAnswer}, false, true
}

// put gives a connection back. One that is closed, or leads to where the server no longer is, is dropped.
func (t *Stores) put(id decision.ServerID, c *http1.Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil || !c.Open() || s.Addr != c.Addr {
		c.Close()
		t.conns--
		return
	}
	s.idle = append(s.idle, idleConn{c, time.Now()})
	// Closed well before the lot store would, as what crosses that close ends as a reset.
	time.AfterFunc(t.ConnIdle/2+time.Millisecond, func() {
		t.mu.Lock()
		t.closeIdle(s, time.Now().Add(-t.ConnIdle/2))
		t.mu.Unlock()
	})
}

// Probe implements gather.Transport.
func (t *Stores) HealthCheck(id decision.ServerID) {
	go func() {
		c, open, ok := t.take(id)
		if !ok {
			t.report.HealthChecked(id, false)
			return
		}
		defer func() { t.put(id, c) }()
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
