package opensearch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

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

// exchange is one call on its connection.
type exchange struct {
	left int                // attempts neither ended nor cancelled
	stop context.CancelFunc // ends the exchange and closes its connection
	gone []*gather.Attempt  // cancelled ones, to be reported when the exchange has ended
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
		if n.State == decision.Gone || moved {
			t.closeIdle(s, time.Now())
		}
		if n.State == decision.Gone {
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

// run carries one call.
func (t *Stores) run(ctx context.Context, id decision.ServerID, x *exchange, attempts []*gather.Attempt) {
	defer func() {
		x.stop()
		t.mu.Lock()
		gone := x.gone
		t.mu.Unlock()
		for _, a := range gone {
			t.report.Outcome(a, decision.Cancelled, "")
		}
	}()
	c, open, ok := t.take(id)
	if !ok {
		t.endAll(attempts, decision.ConnectFailed)
		return
	}
	defer func() { t.put(id, c) }()
	if !open {
		if err := c.Dial(ctx, t.ConnectTimeout); err != nil {
			t.endAll(attempts, decision.ConnectFailed)
			return
		}
	}
	// Looked at again, as the connection took time: a keyed part past its window, a part past its time and
	// a server that drains by now.
	now := time.Now()
	t.mu.Lock()
	s := t.servers[id]
	ready := s != nil && s.State == decision.Ready
	var live []*gather.Attempt
	var stale []*gather.Attempt
	for _, a := range attempts {
		switch {
		case t.where[a] != x: // cancelled
		case !ready || a.Stale(now):
			stale = append(stale, a)
		default:
			live = append(live, a)
		}
	}
	t.mu.Unlock()
	t.endAll(stale, decision.Moot)
	if len(live) == 0 {
		return
	}
	unwatch := context.AfterFunc(ctx, c.Aborter())
	defer func() {
		if !unwatch() { // nobody waits any more, and the connection was closed for that
			c.Close()
		}
	}()
	target, body := t.request(live, now)
	head := textproto.MIMEHeader{"Content-Type": {"application/x-ndjson"}}
	if err := c.Write(gather.WriteBy(now, t.WriteFor, live), "POST", target, head, body); err != nil {
		c.Close()
		t.endAll(live, decision.ConnectFailed)
		return
	}
	p, err := c.Read(live[0].Until.Add(time.Second))
	if err != nil {
		t.broken(ctx, id, c, live, err)
		return
	}
	defer p.Release()
	switch p.Status {
	case 200:
	case 429:
		t.endAll(live, decision.Full)
		return
	default:
		t.endAll(live, decision.Error)
		return
	}
	_, keyed := t.Class(live[0].Class)
	items, err := parseItems(p, len(live), keyed)
	if err != nil {
		t.broken(ctx, id, c, live, err)
		return
	}
	for i, a := range live {
		status, value := items[i].status, items[i].value
		if e := items[i].whole; a.Ask != nil && e.Get("status").Int() == 400 {
			if t.ended(a) {
				t.report.Unanswerable(a, e.Get("error.reason").String())
			}
			continue
		}
		if a.Ask != nil && status == decision.OK {
			found, why := parseFound(items[i].whole, a.Ask)
			if why != "" {
				t.Log.Warn("answer not believed", "store", id, "reason", why)
				t.end(a, decision.Error, "")
				continue
			}
			t.found(a, found)
			continue
		}
		if items[i].conflict && a.Number > 0 {
			status = decision.OK // the document is there: an earlier attempt ran
		}
		t.end(a, status, value)
	}
}

// broken ends a connection after a call was written whole: its parts may have run. One whose answer cannot be
// read is faulty, and is not to be taken for one that died.
func (t *Stores) broken(ctx context.Context, id decision.ServerID, c *http1.Client, out []*gather.Attempt, err error) {
	c.Close()
	if ctx.Err() == nil {
		t.Log.Info("connection ended", "store", id, "out", len(out), "never_sent", 0, "reason", err)
	}
	status := decision.Reset
	if e := (*http1.Error)(nil); errors.As(err, &e) || errors.Is(err, errMalformed) {
		status = decision.Error
	}
	t.endAll(out, status)
}

// request words a call: an _msearch or a _bulk.
func (t *Stores) request(attempts []*gather.Attempt, now time.Time) (target string, body []byte) {
	var b bytes.Buffer
	for _, a := range attempts {
		index, keyed := t.Class(a.Class)
		left := strconv.FormatInt(max(a.Until.Sub(now).Milliseconds(), 1), 10) + "ms"
		if keyed {
			target = "/_bulk?timeout=" + left
			fmt.Fprintf(&b, `{"create":{"_index":%q,"_id":%q,"routing":%q}}`+"\n%s\n", index, a.Key, t.routing[a.Shard], line(a.Text))
			continue
		}
		target = "/_msearch"
		fmt.Fprintf(&b, `{"index":%q,"preference":"_shards:%d"}`+"\n", index, a.Shard)
		if a.Ask != nil {
			b.Write(askBody(a.Text, a.Ask, a.Shard, left))
			b.WriteByte('\n')
			continue
		}
		rest := strings.TrimSpace(line(a.Text)[1:])
		if rest != "}" {
			rest = "," + rest
		}
		fmt.Fprintf(&b, `{"timeout":%q%s`+"\n", left, rest)
	}
	return target, b.Bytes()
}

// line is a query's text as one line that holds a JSON object. Text that is none, which the platform's
// front lets pass, is put into one.
func line(text []byte) string {
	if gjson.ValidBytes(text) && gjson.ParseBytes(text).IsObject() {
		return gjson.GetBytes(text, "@ugly").Raw
	}
	return fmt.Sprintf(`{"query":{"query_string":{"query":%s}}}`, must(json.Marshal(string(text))))
}

// item is what came of one part.
type item struct {
	status   decision.Status
	value    string
	whole    gjson.Result // of a search
	conflict bool         // the document was there already
}

var errMalformed = errors.New("malformed answer")

// parseItems reads the answer to a call of n parts.
func parseItems(p *http1.Response, n int, keyed bool) ([]item, error) {
	if !gjson.ValidBytes(p.Body) { // gjson's getters take garbage
		return nil, fmt.Errorf("%w: not JSON", errMalformed)
	}
	root := gjson.ParseBytes(p.Body)
	list := root.Get("responses")
	if keyed {
		list = root.Get("items")
	}
	answers := list.Array()
	if !list.IsArray() || len(answers) != n {
		return nil, fmt.Errorf("%w: %d parts of %d", errMalformed, len(answers), n)
	}
	items := make([]item, n)
	for i, a := range answers {
		if keyed {
			a = a.Get("create")
		}
		hits, status := a.Get("hits"), a.Get("status").Int()
		switch {
		case status == 429:
			items[i].status = decision.Full
		case keyed && status == 201:
			items[i] = item{status: decision.OK, value: a.Raw}
		case keyed && status == 409:
			items[i] = item{status: decision.Error, value: a.Raw, conflict: true}
		case !keyed && hits.Get("hits").IsArray() && !a.Get("timed_out").Bool() && a.Get("_shards.failed").Int() == 0:
			items[i] = item{status: decision.OK, value: hits.Raw, whole: a}
		default:
			items[i] = item{status: decision.Error, whole: a}
		}
	}
	return items, nil
}

// Probe implements gather.Transport.
func (t *Stores) Probe(id decision.ServerID) {
	go func() {
		c, open, ok := t.take(id)
		if !ok {
			t.report.Probed(id, false)
			return
		}
		defer func() { t.put(id, c) }()
		if !open && c.Dial(context.Background(), t.ConnectTimeout) != nil {
			t.report.Probed(id, false)
			return
		}
		deadline := time.Now().Add(t.ConnectTimeout)
		if c.Write(deadline, "GET", "/", nil, nil) != nil {
			c.Close()
			t.report.Probed(id, false)
			return
		}
		p, err := c.Read(deadline)
		if err != nil {
			c.Close()
		} else {
			p.Release()
		}
		t.report.Probed(id, err == nil && p.Status == 200)
	}()
}
