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

// exchange is one call on a connection.
type exchange struct {
	remaining int                // attempts neither ended nor cancelled
	cancel    context.CancelFunc // ends the exchange and closes its connection
	cancelled []*gather.Attempt  // to be reported when the exchange has ended
}

// run carries out one call, from taking a connection to returning it.
func (t *Stores) run(ctx context.Context, id decision.ServerID, x *exchange, attempts []*gather.Attempt) {
	defer t.finish(x)
	c, open, ok := t.takeConn(id)
	if !ok {
		t.reportAll(attempts, decision.ConnectFailed)
		return
	}
	defer func() { t.putConn(id, c) }()
	if !open {
		if err := c.Dial(ctx, t.ConnectTimeout); err != nil {
			t.reportAll(attempts, decision.ConnectFailed)
			return
		}
	}
	now := time.Now()
	live := t.writable(id, x, attempts, now)
	if len(live) == 0 {
		return
	}
	stop := context.AfterFunc(ctx, c.Aborter())
	defer func() {
		if !stop() { // all attempts were cancelled, and the connection was closed for that
			c.Close()
		}
	}()
	t.roundTrip(ctx, id, c, live, now)
}

// finish ends an exchange, and reports the attempts that were cancelled while it ran.
func (t *Stores) finish(x *exchange) {
	x.cancel()
	t.mu.Lock()
	cancelled := x.cancelled
	t.mu.Unlock()
	for _, a := range cancelled {
		t.report.Outcome(a, decision.Cancelled, "")
	}
}

// writable returns the attempts that may still be written once the connection is open, which took time. Those past their
// deduplication window or time-out, and all for a server that is draining by now, end as not sent.
func (t *Stores) writable(id decision.ServerID, x *exchange, attempts []*gather.Attempt, now time.Time) (live []*gather.Attempt) {
	t.mu.Lock()
	s := t.servers[id]
	ready := s != nil && s.State == decision.Ready
	var stale []*gather.Attempt
	for _, a := range attempts {
		switch {
		case t.exchanges[a] != x: // cancelled
		case !ready || a.Stale(now):
			stale = append(stale, a)
		default:
			live = append(live, a)
		}
	}
	t.mu.Unlock()
	t.reportAll(stale, decision.NotSent)
	return live
}

// roundTrip writes a call, reads its answer and reports how each attempt ended.
func (t *Stores) roundTrip(ctx context.Context, id decision.ServerID, c *http1.Client, live []*gather.Attempt, now time.Time) {
	target, body := t.request(live, now)
	head := textproto.MIMEHeader{"Content-Type": {"application/x-ndjson"}}
	if err := c.Write(gather.WriteDeadline(now, t.WriteFor, live), "POST", target, head, body); err != nil {
		c.Close()
		t.reportAll(live, decision.ConnectFailed)
		return
	}
	p, err := c.Read(live[0].Deadline.Add(time.Second))
	if err != nil {
		t.failConn(ctx, id, c, live, err)
		return
	}
	defer p.Release()
	switch p.Status {
	case 200:
	case 429:
		t.reportAll(live, decision.Rejected)
		return
	default:
		t.reportAll(live, decision.Error)
		return
	}
	_, create := t.Class(live[0].Class)
	items, err := parseItems(p, len(live), create)
	if err != nil {
		t.failConn(ctx, id, c, live, err)
		return
	}
	for i, a := range live {
		t.deliver(id, a, items[i])
	}
}

// deliver reports the result of one attempt.
func (t *Stores) deliver(id decision.ServerID, a *gather.Attempt, got item) {
	switch {
	case a.Search != nil && got.response.Get("status").Int() == 400:
		if t.removeAttempt(a) {
			t.report.Unanswerable(a, got.response.Get("error.reason").String())
		}
	case a.Search != nil && got.status == decision.OK:
		found, why := parseFound(got.response, a.Search)
		if why != "" {
			t.Log.Warn("answer not believed", "store", id, "reason", why)
			t.reportOutcome(a, decision.Error, "")
			return
		}
		t.reportFound(a, found)
	case got.conflict && a.Number > 0: // the document exists: an earlier attempt ran
		t.reportOutcome(a, decision.OK, got.value)
	default:
		t.reportOutcome(a, got.status, got.value)
	}
}

// failConn closes a connection after a call was written completely: its attempts may have run. A lot store with a malformed
// answer is at fault, and must not count as crashed.
func (t *Stores) failConn(ctx context.Context, id decision.ServerID, c *http1.Client, attempts []*gather.Attempt, err error) {
	c.Close()
	if ctx.Err() == nil {
		t.Log.Info("connection ended", "store", id, "out", len(attempts), "never_sent", 0, "reason", err)
	}
	status := decision.Reset
	if e := (*http1.Error)(nil); errors.As(err, &e) || errors.Is(err, errMalformed) {
		status = decision.Error
	}
	t.reportAll(attempts, status)
}

// request formats a call: an _msearch or a _bulk.
func (t *Stores) request(attempts []*gather.Attempt, now time.Time) (target string, body []byte) {
	var b bytes.Buffer
	for _, a := range attempts {
		index, create := t.Class(a.Class)
		timeout := strconv.FormatInt(max(a.Deadline.Sub(now).Milliseconds(), 1), 10) + "ms"
		if create {
			target = "/_bulk?timeout=" + timeout
			fmt.Fprintf(&b, `{"create":{"_index":%q,"_id":%q,"routing":%q}}`+"\n%s\n", index, a.Key, t.routing[a.Shard], jsonLine(a.Text))
			continue
		}
		target = "/_msearch"
		fmt.Fprintf(&b, `{"index":%q,"preference":"_shards:%d"}`+"\n", index, a.Shard)
		if a.Search != nil {
			b.Write(shardBody(a.Text, a.Search, a.Shard, timeout))
			b.WriteByte('\n')
			continue
		}
		rest := strings.TrimSpace(jsonLine(a.Text)[1:])
		if rest != "}" {
			rest = "," + rest
		}
		fmt.Fprintf(&b, `{"timeout":%q%s`+"\n", timeout, rest)
	}
	return target, b.Bytes()
}

// jsonLine is a query's text as one line with a JSON object. Other text, which the platform's front accepts, is put into
// one.
func jsonLine(text []byte) string {
	if gjson.ValidBytes(text) && gjson.ParseBytes(text).IsObject() {
		return gjson.GetBytes(text, "@ugly").Raw
	}
	return fmt.Sprintf(`{"query":{"query_string":{"query":%s}}}`, must(json.Marshal(string(text))))
}

// item is the result of one attempt.
type item struct {
	status   decision.Status
	value    string
	response gjson.Result // of a search
	conflict bool         // the document existed already
}

var errMalformed = errors.New("malformed answer")

// parseItems parses the answer to a call of n attempts.
func parseItems(p *http1.Response, n int, create bool) ([]item, error) {
	if !gjson.ValidBytes(p.Body) { // gjson's getters take garbage
		return nil, fmt.Errorf("%w: not JSON", errMalformed)
	}
	root := gjson.ParseBytes(p.Body)
	list := root.Get("responses")
	if create {
		list = root.Get("items")
	}
	answers := list.Array()
	if !list.IsArray() || len(answers) != n {
		return nil, fmt.Errorf("%w: %d parts of %d", errMalformed, len(answers), n)
	}
	items := make([]item, n)
	for i, a := range answers {
		if create {
			a = a.Get("create")
		}
		hits, status := a.Get("hits"), a.Get("status").Int()
		switch {
		case status == 429:
			items[i].status = decision.Rejected
		case create && status == 201:
			items[i] = item{status: decision.OK, value: a.Raw}
		case create && status == 409:
			items[i] = item{status: decision.Error, value: a.Raw, conflict: true}
		case !create && hits.Get("hits").IsArray() && !a.Get("timed_out").Bool() && a.Get("_shards.failed").Int() == 0:
			items[i] = item{status: decision.OK, value: hits.Raw, response: a}
		default:
			items[i] = item{status: decision.Error, response: a}
		}
	}
	return items, nil
}
