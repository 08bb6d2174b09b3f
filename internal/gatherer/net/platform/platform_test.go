package platform

import (
	"errors"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

type core struct {
	result gather.Result
	asked  *gather.Request
	left   bool
}

func (c *core) Submit(r *gather.Request) {
	if c.asked = r; c.result.Kind != none {
		r.Done <- c.result
	}
}
func (c *core) ClientDisconnected(*gather.Request) { c.left = true }

const none gather.Kind = 99

func front(res gather.Result) (*Front, *core) {
	c := &core{result: res}
	set := settings.Settings{Classes: []string{"lot-search", "place-bid", "close-lot"}, Shards: 24}
	set.Policy.Classes = []decision.Class{{Deadline: 3 * time.Second}, {Deadline: 4 * time.Second, Effect: decision.Deduplicated},
		{Deadline: 4 * time.Second, Effect: decision.NotIdempotent}}
	current := &settings.Current{}
	current.Store(&set)
	return &Front{Core: c, Settings: current, Ready: func() bool { return true }}, c
}

func post(path, body string, header ...string) *http1.Request {
	h := textproto.MIMEHeader{"Req-Id": {"9b1f"}, "Req-Deadline": {"480m"}, "Idempotency-Key": {"5c0f"}}
	for i := 0; i < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http1.Request{Method: "POST", Path: path, Header: h, Body: []byte(body), At: time.Now()}
}

const good = `{"buckets":[{"bucket":3,"part":0.5,"effort":9000},{"bucket":9,"part":0.5,"seed":"91f03b7c55d20a64"}],"body":"c41e77d0"}`

func TestQuery(t *testing.T) {
	f, c := front(gather.Result{Shards: []gather.ShardResult{{Shard: 3, OK: true, Value: `5b"e2`}, {Shard: 9}}})
	r := post("/lot-search/x", good)
	p := f.Handle(r, nil)
	if p.Status != 200 || string(p.Body) != `{"finished":false,"found":[{"bucket":3,"item":"5b\"e2"}]}` {
		t.Errorf("%d %s", p.Status, p.Body)
	}
	q := c.asked
	if q.Name != "9b1f" || q.Class != 0 || string(q.Text) != "c41e77d0" || len(q.Shards) != 2 || q.Shards[1] != (gather.Shard{Number: 9, Weight: 0.5}) ||
		q.Deadline != r.At.Add(480*time.Millisecond) {
		t.Errorf("%+v", q)
	}
}

// Only a deduplicated class's queries need a key: one of a class that must not be repeated is served without.
func TestNotIdempotentNeedsNoKey(t *testing.T) {
	f, c := front(gather.Result{})
	if p := f.Handle(post("/close-lot", good, "Idempotency-Key", ""), nil); p.Status != 200 || c.asked == nil || c.asked.Key != "" {
		t.Errorf("%d %s, asked %+v", p.Status, p.Body, c.asked)
	}
}

// A rejection says at once when to retry; a failure guarantees nothing.
func TestRejectedAndFailed(t *testing.T) {
	for _, x := range []struct {
		res    gather.Result
		status int
		after  string
	}{
		{gather.Result{Kind: gather.Rejected, RetryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{gather.Result{Kind: gather.Rejected, Reason: gather.ReasonFull, RetryAfter: 500 * time.Millisecond}, 429, "0.500"},
		{gather.Result{Kind: gather.Failed, Reason: gather.ReasonDeadline}, 504, ""},
		{gather.Result{Kind: gather.Failed, Reason: gather.ReasonDuplicate}, 409, ""},
		{gather.Result{Kind: gather.Failed}, 502, ""},
	} {
		f, _ := front(x.res)
		if p := f.Handle(post("/place-bid", good), nil); p.Status != x.status || p.Header.Get("Retry-After") != x.after {
			t.Errorf("%+v: %d %v", x.res, p.Status, p.Header)
		}
	}
}

func TestBadRequests(t *testing.T) {
	for _, x := range []struct {
		r      *http1.Request
		status int
		reason string
	}{
		{post("/unknown", good), 404, "unknown"},
		{post("/place-bid", good, "Idempotency-Key", ""), 400, "Idempotency-Key"},
		{post("/place-bid", good, "Idempotency-Key", "a,k=b"), 400, "Idempotency-Key"},
		{post("/lot-search", good, "Req-Id", ""), 400, "Req-Id"},
		{post("/lot-search", good, "Req-Id", "a b"), 400, "Req-Id"},
		{post("/lot-search", good, "Req-Deadline", "soon"), 400, "Req-Deadline"},
		{post("/lot-search", good, "Req-Deadline", "NaNm"), 400, "Req-Deadline"},
		{post("/lot-search", good, "Req-Deadline", "-1m"), 400, "Req-Deadline"},
		{post("/lot-search", good, "Req-Deadline", "infm"), 400, "Req-Deadline"},
		{post("/lot-search", good, "Req-Deadline", "0m"), 400, "Req-Deadline"},
		{post("/lot-search", good, "Req-Deadline", ""), 400, "Req-Deadline"},
		{&http1.Request{Method: "POST", Path: "/lot-search", Header: textproto.MIMEHeader{"Req-Id": {"a", "b"}}}, 400, "twice"},
		{post("/lot-search", good[:40]), 400, "JSON"},
		{post("/lot-search", `[]`), 400, "buckets"},
		{post("/lot-search", `{"buckets":[],"body":""}`), 400, "empty"},
		{post("/lot-search", `{"buckets":[{"bucket":24,"part":1}],"body":""}`), 400, "0 to 23"},
		{post("/lot-search", `{"buckets":[{"bucket":1.5,"part":1}],"body":""}`), 400, "0 to 23"},
		{post("/lot-search", `{"buckets":[{"bucket":1,"part":0.5},{"bucket":1,"part":0.5}],"body":""}`), 400, "twice"},
		{post("/lot-search", `{"buckets":[{"bucket":1,"part":0}],"body":""}`), 400, "above 0"},
		{post("/lot-search", `{"buckets":[{"bucket":1,"part":1}],"body":{}}`), 400, "string"},
		{post("/lot-search", `{"buckets":[{"bucket":1,"part":1}]}`), 400, "string"},
		{post("/lot-search", `{"buckets":[{"bucket":1,"part":0.5},{"bucket":2,"part":0.4}],"body":""}`), 400, "add up"},
		{post("/lot-search", `{"buckets":[{"bucket":1,"part":1},{"bucket":2,"part":0.2}],"body":""}`), 400, "add up"},
	} {
		f, c := front(gather.Result{})
		if p := f.Handle(x.r, nil); p.Status != x.status || !strings.Contains(string(p.Body), x.reason) || c.asked != nil {
			t.Errorf("%s %s: %d %s", x.r.Path, x.r.Body, p.Status, p.Body)
		}
	}
}

func TestClientDisconnects(t *testing.T) {
	f, c := front(gather.Result{Kind: none})
	gone := make(chan struct{})
	close(gone)
	if p := f.Handle(post("/lot-search", good), gone); p != nil || !c.left {
		t.Errorf("%+v, left %v", p, c.left)
	}
}

func TestGarbage(t *testing.T) {
	f, _ := front(gather.Result{})
	proptest.CheckParser(t, true, func(b []byte) error {
		_, _, err := f.parseBody(b)
		if err != nil {
			return err
		}
		return nil
	}, good)
	proptest.CheckParser(t, false, func(b []byte) error {
		if d, ok := parseWait(string(b)); !ok {
			return errors.New("refused")
		} else if d < 0 || d > maxDeadline || strings.ContainsAny(string(b), "-+exInN_") {
			t.Errorf("%q gives %v", b, d)
		}
		return nil
	}, "480m", "480000u", "0.5m")
}
