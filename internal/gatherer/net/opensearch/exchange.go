package opensearch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// exchange is one call on its connection.
type exchange struct {
	left int                // attempts neither ended nor cancelled
	stop context.CancelFunc // ends the exchange and closes its connection
	gone []*gather.Attempt  // cancelled ones, to be reported when the exchange has ended
}

// run carries one call, from taking a connection to giving it back.
func (t *Stores) run(ctx context.Context, id decision.ServerID, x *exchange, attempts []*gather.Attempt) {
	defer t.finish(x)
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
	now := time.Now()
	live := t.writable(id, x, attempts, now)
	if len(live) == 0 {
		return
	}
	unwatch := context.AfterFunc(ctx, c.Aborter())
	defer func() {
		if !unwatch() { // nobody waits any more, and the connection was closed for that
			c.Close()
		}
	}()
	t.carry(ctx, id, c, live, now)
}

// finish ends an exchange, and reports the attempts that were cancelled while it ran.
func (t *Stores) finish(x *exchange) {
	x.stop()
	t.mu.Lock()
	gone := x.gone
	t.mu.Unlock()
	for _, a := range gone {
		t.report.Outcome(a, decision.Cancelled, "")
	}
}

// writable returns the attempts that may still be written once the connection is open, which took time. A keyed part past
// its window, a part past its time, and any part for a server that drains by now end as never sent.
func (t *Stores) writable(id decision.ServerID, x *exchange, attempts []*gather.Attempt, now time.Time) (live []*gather.Attempt) {
	t.mu.Lock()
	s := t.servers[id]
	ready := s != nil && s.State == decision.Ready
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
	t.endAll(stale, decision.NotSent)
	return live
}

// carry writes a call, reads its answer and reports how each attempt ended.
func (t *Stores) carry(ctx context.Context, id decision.ServerID, c *http1.Client, live []*gather.Attempt, now time.Time) {
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
		t.endAll(live, decision.Rejected)
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
		t.deliver(id, a, items[i])
	}
}

// deliver reports what came of one attempt.
func (t *Stores) deliver(id decision.ServerID, a *gather.Attempt, came item) {
	switch {
	case a.Search != nil && came.whole.Get("status").Int() == 400:
		if t.ended(a) {
			t.report.Unanswerable(a, came.whole.Get("error.reason").String())
		}
	case a.Search != nil && came.status == decision.OK:
		found, why := parseFound(came.whole, a.Search)
		if why != "" {
			t.Log.Warn("answer not believed", "store", id, "reason", why)
			t.end(a, decision.Error, "")
			return
		}
		t.found(a, found)
	case came.conflict && a.Number > 0: // the document is there: an earlier attempt ran
		t.end(a, decision.OK, came.value)
	default:
		t.end(a, came.status, came.value)
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

// request formats a call: an _msearch or a _bulk.
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
		if a.Search != nil {
			b.Write(askBody(a.Text, a.Search, a.Shard, left))
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
			items[i].status = decision.Rejected
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
