// Package platform is the front for the platform's own protocol.
package platform

import (
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// Core is the part of gather.Core that the front uses.
type Core interface {
	Submit(*gather.Request)
	ClientDisconnected(*gather.Request)
}

// Front serves queries and the platform's health checks.
type Front struct {
	Core     Core
	Settings *settings.Current
	Ready    func() bool
}

// maxDeadline bounds the deadline of a client.
const maxDeadline = time.Minute

// rounding is how far from 1 the weights of a query's shards may add up.
const rounding = 0.01

// Handle is the front's http1.Handler.
func (f *Front) Handle(r *http1.Request, gone <-chan struct{}) *http1.Response {
	switch {
	case r.Path == "/-/ready" && r.Method == "GET":
		if f.Ready() {
			return http1.Text(200, "ready")
		}
		return http1.Text(503, "not ready")
	case r.Path == "/-/healthy" && r.Method == "GET":
		return http1.Text(200, "healthy")
	}
	q, err := f.parse(r)
	r.Release() // the body is parsed, and the answer may take seconds
	if err != nil {
		return http1.Text(err.Status, err.Reason)
	}
	f.Core.Submit(q)
	select {
	case res := <-q.Done:
		return render(res)
	case <-gone:
		f.Core.ClientDisconnected(q)
		return nil
	}
}

// bad returns an error that is answered with 400.
// bad returns an error that is answered with 400.
func bad(format string, args ...any) *http1.Error {
	return &http1.Error{Status: 400, Reason: fmt.Sprintf(format, args...)}
}

// parse converts a query to a request of the core.
func (f *Front) parse(r *http1.Request) (*gather.Request, *http1.Error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	set := f.Settings.Load()
	class := set.Class(name)
	for _, h := range []string{"Req-Id", "Req-Deadline", "Idempotency-Key"} {
		if len(r.Header[h]) > 1 {
			return nil, bad("%s is given twice", h)
		}
	}
	switch {
	case class < 0:
		return nil, &http1.Error{Status: 404, Reason: fmt.Sprintf("no class is named %.60q", name)}
	case r.Method != "POST":
		return nil, &http1.Error{Status: 405, Reason: "a query is a POST"}
	}
	k := set.Policy.Classes[class]
	q := &gather.Request{Name: r.Header.Get("Req-Id"), Class: class, Key: r.Header.Get("Idempotency-Key"),
		Done: make(chan gather.Result, 1)}
	if !http1.IsName(q.Name) {
		return nil, bad("Req-Id is missing, too long or has characters other than letters, digits, - and _")
	}
	if k.Effect == decision.Deduplicated && q.Key == "" { // a class that must not be repeated needs none
		return nil, bad("Idempotency-Key is missing")
	}
	if q.Key != "" && !http1.IsName(q.Key) {
		return nil, bad("Idempotency-Key is too long or has characters other than letters, digits, - and _")
	}
	q.Origin = r.Origin("platform", name)
	wait, ok := parseWait(r.Header.Get("Req-Deadline"))
	if !ok {
		return nil, bad("Req-Deadline is not a number above 0 followed by m or u")
	}
	q.Deadline = r.At.Add(wait)
	var err *http1.Error
	q.Shards, q.Text, err = f.parseBody(r.Body)
	return q, err
}

// parseWait parses a duration such as 480m (milliseconds) or 480000u (microseconds).
func parseWait(s string) (time.Duration, bool) {
	if s == "" {
		return 0, false
	}
	unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[s[len(s)-1]]
	s = s[:len(s)-1]
	n, err := strconv.ParseFloat(s, 64)
	if unit == 0 || err != nil || n <= 0 || strings.Trim(s, "0123456789.") != "" { // ParseFloat accepts inf, 0x1p3 and 1e3
		return 0, false
	}
	return time.Duration(min(n*float64(unit), float64(maxDeadline))), true
}

// parseBody parses the shards and the text. Nothing in the result refers to the body.
func (f *Front) parseBody(body []byte) ([]gather.Shard, []byte, *http1.Error) {
	if !gjson.ValidBytes(body) { // gjson's getters take garbage
		return nil, nil, bad("the body is not JSON")
	}
	root := gjson.ParseBytes(body)
	buckets, text := root.Get("buckets"), root.Get("body")
	switch {
	case !root.IsObject() || !buckets.IsArray():
		return nil, nil, bad("buckets is not an array")
	case text.Type != gjson.String:
		return nil, nil, bad("body is not a string")
	}
	var shards []gather.Shard
	var err *http1.Error
	seen, sum := make([]bool, f.Settings.Load().Shards), 0.0
	buckets.ForEach(func(_, b gjson.Result) bool {
		n, w := b.Get("bucket"), b.Get("part")
		shard := int(n.Num)
		switch {
		case n.Type != gjson.Number || n.Num != math.Trunc(n.Num) || n.Num < 0 || n.Num >= float64(len(seen)):
			err = bad("buckets: a bucket is not a whole number from 0 to %d", len(seen)-1)
		case seen[shard]:
			err = bad("buckets: bucket %d stands twice", shard)
		case w.Type != gjson.Number || !(w.Num > 0) || w.Num > 1:
			err = bad("buckets: a part is not a number above 0, up to 1")
		default:
			seen[shard], sum = true, sum+w.Num
			shards = append(shards, gather.Shard{Number: shard, Weight: w.Num})
		}
		return err == nil
	})
	switch {
	case err != nil:
	case len(shards) == 0:
		err = bad("buckets is empty")
	case math.Abs(sum-1) > rounding: // weights of something else: no floor could be checked by them
		err = bad("buckets: the parts add up to %.4g, not 1", sum)
	}
	return shards, []byte(text.String()), err
}

// render returns the response for a final answer.
func render(res gather.Result) *http1.Response {
	switch res.Kind {
	case gather.Answered:
		b := fmt.Appendf(nil, `{"finished":%v,"found":[`, res.Complete)
		for _, p := range res.Values() {
			if !p.OK {
				continue
			}
			if b[len(b)-1] != '[' {
				b = append(b, ',')
			}
			b = fmt.Appendf(b, `{"bucket":%d,"item":`, p.Shard)
			b = append(gjson.AppendJSONString(b, p.Value), '}')
		}
		return &http1.Response{Status: 200, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}},
			Body: append(b, "]}"...)}
	case gather.Rejected:
		p := http1.Text(503, res.Reason)
		if res.Reason == gather.ReasonFull {
			p.Status = 429
		}
		if res.RetryAfter > 0 {
			p.Header.Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return p
	}
	status := 502
	switch res.Reason {
	case gather.ReasonDeadline:
		status = 504
	case gather.ReasonDuplicate:
		status = 409
	case gather.ReasonBodyTooLarge:
		status = 413
	case gather.ReasonPageTooDeep:
		status = 400
	}
	return http1.Text(status, res.Reason)
}
