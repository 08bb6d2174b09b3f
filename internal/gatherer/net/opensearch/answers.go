package opensearch

import (
	"encoding/json"
	"fmt"
	"math"
	"net/textproto"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/aggs"
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// shardError is the error object of a shard's failure.
type shardError struct {
	Shard  int    `json:"shard"`
	Index  string `json:"index"`
	Node   any    `json:"node"`
	Reason cause  `json:"reason"`
}

// cause is an error object without a status.
type cause struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// shardCounts is the _shards object.
type shardCounts struct {
	Total      int          `json:"total"`
	Successful int          `json:"successful"`
	Skipped    int          `json:"skipped"`
	Failed     int          `json:"failed"`
	Failures   []shardError `json:"failures,omitempty"`
}

// causes describes how the last attempt of a subquery ended.
var causes = map[decision.Status]cause{
	decision.Error:         {"query_phase_execution_exception", "the lot store reported a failure"},
	decision.Rejected:      {"rejected_execution_exception", "the lot store turned it away"},
	decision.TimedOut:      {"receive_timeout_transport_exception", "no answer in time"},
	decision.ConnectFailed: {"connect_transport_exception", "no connection to the lot store"},
	decision.Reset:         {"node_disconnected_exception", "the connection to the lot store broke"},
	decision.Cancelled:     {"task_cancelled_exception", "given up"},
	decision.NotSent:       {"task_cancelled_exception", "not sent"},
}

// counts makes the _shards object of an answer, and reports whether a shard timed out.
func (a *clientRequest) counts(res gather.Result) (c shardCounts, timedOut bool) {
	c.Total = len(res.Shards)
	for _, p := range res.Shards {
		if p.OK {
			c.Successful++
			continue
		}
		if p.Skipped {
			c.Successful++ // as in the API
			c.Skipped++
			continue
		}
		c.Failed++
		why := causes[p.Last]
		if p.Pending || p.Last == decision.TimedOut {
			why, timedOut = causes[decision.TimedOut], true
		}
		c.Failures = append(c.Failures, shardError{Shard: p.Shard, Index: a.index, Reason: why})
	}
	return c, timedOut
}

// render makes the response for a final answer.
func (a *clientRequest) render(res gather.Result, took time.Duration) *http1.Response {
	counts, timedOut := a.counts(res)
	if res.Kind != gather.Answered && len(res.Search.ChangedSincePin) > 0 { // a retry would not help
		return errorResponse(&apiError{404, "search_context_missing_exception", fmt.Sprintf("%d of %d ranges have changed since the point in time was opened",
			len(res.Search.ChangedSincePin), a.shards)}, nil)
	}
	switch res.Kind {
	case gather.Answered:
		if a.core.Search != nil {
			return a.renderPage(res, counts, timedOut, took)
		}
		if a.search {
			return a.mergeHits(res, counts, timedOut, took)
		}
		return a.renderCreated(res, counts)
	case gather.Rejected:
		p := errorResponse(&apiError{429, "rejected_execution_exception", "rejected: " + res.Reason}, nil)
		// In whole seconds, as the header is defined.
		p.Header.Set("Retry-After", strconv.Itoa(max(int(math.Ceil(res.RetryAfter.Seconds())), 1)))
		return p
	}
	// A failure may have taken effect, so its status must not be one that client libraries retry by themselves: 429,
	// 502, 503 and for a create 504.
	switch {
	case res.Reason == gather.ReasonBodyTooLarge:
		return errorResponse(&apiError{413, "content_too_long_exception", res.Reason}, nil)
	case res.Reason == gather.ReasonPageTooDeep:
		return errorResponse(illegalArgument("%s", res.Reason), nil)
	case res.Reason == gather.ReasonUnanswerable:
		return errorResponse(&apiError{400, "search_phase_execution_exception", fmt.Sprintf("%s: %.300s", res.Reason, res.Detail)}, nil)
	case !a.search:
		return errorResponse(&apiError{500, "unavailable_shards_exception", res.Reason}, counts.Failures)
	case res.Reason == gather.ReasonDeadline || timedOut:
		return errorResponse(&apiError{504, "search_phase_execution_exception", res.Reason}, counts.Failures)
	}
	return errorResponse(&apiError{500, "search_phase_execution_exception", res.Reason}, counts.Failures)
}

// mergeHits merges the shards' hits, best score first. A value that is no hits object of the API, as from lot stores that
// speak frames, counts as one hit.
func (a *clientRequest) mergeHits(res gather.Result, counts shardCounts, timedOut bool, took time.Duration) *http1.Response {
	type hit struct {
		raw   string
		score float64
	}
	var all []hit
	total := int64(0)
	for _, p := range res.Values() {
		if !p.OK {
			continue
		}
		if v := gjson.Parse(p.Value); gjson.Valid(p.Value) && v.Get("hits").IsArray() {
			total += v.Get("total.value").Int()
			for _, h := range v.Get("hits").Array() {
				all = append(all, hit{h.Raw, h.Get("_score").Float()})
			}
			continue
		}
		total++
		raw := must(json.Marshal(map[string]any{"_index": a.index, "_id": strconv.Itoa(p.Shard), "_score": nil,
			"_source": map[string]string{"item": p.Value}}))
		all = append(all, hit{string(raw), 0})
	}
	slices.SortStableFunc(all, func(x, y hit) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return 0
	})
	raws := []json.RawMessage{}
	for _, h := range all[:min(len(all), a.size)] {
		raws = append(raws, json.RawMessage(h.raw))
	}
	relation := "eq"
	if !res.Complete {
		relation = "gte"
	}
	return jsonResponse(200, map[string]any{
		"took": took.Milliseconds(), "timed_out": timedOut, "_shards": counts,
		"hits": map[string]any{"total": map[string]any{"value": total, "relation": relation}, "max_score": nil, "hits": raws},
	})
}

// renderPage makes the response for the result of a plan.
func (a *clientRequest) renderPage(res gather.Result, counts shardCounts, timedOut bool, took time.Duration) *http1.Response {
	r := res.Search
	raws := make([]json.RawMessage, len(r.Hits))
	for i, h := range r.Hits {
		raws[i] = a.listing(h, res.Phases)
	}
	hits := map[string]any{"max_score": nil, "hits": raws}
	if r.Best != nil && a.core.Search.Keys[0].Field == merge.Score {
		hits["max_score"] = r.Best.Sort[0].Num
	}
	if a.core.Search.Count != search.CountNone {
		relation := "eq"
		if r.AtLeast {
			relation = "gte"
		}
		hits["total"] = map[string]any{"value": r.Total, "relation": relation}
	}
	answer := map[string]any{"took": took.Milliseconds(), "timed_out": timedOut, "_shards": counts, "hits": hits}
	if list, ok := a.core.Search.Extra.([]*aggs.Node); ok {
		answers := make([][]aggs.Partial, len(r.Extra))
		for i, x := range r.Extra {
			answers[i] = x.([]aggs.Partial)
		}
		merged, err := aggs.Merge(list, answers, len(r.Missing) > 0)
		if err != nil {
			return errorResponse(&apiError{400, "too_many_buckets_exception", err.Error()}, nil)
		}
		answer["aggregations"] = json.RawMessage(merged)
	}
	answer["coverage"] = a.coverage(res)
	if a.pin != nil {
		answer["pit_id"] = a.token
	}
	return jsonResponse(200, answer)
}

// coverage makes the coverage object of an answer.
func (a *clientRequest) coverage(res gather.Result) coverage {
	r := res.Search
	c := coverage{Complete: res.Complete, Fraction: r.Fraction(), Weight: r.Weight, Listed: r.Listed, Missing: r.Missing, Moved: r.ChangedSincePin,
		Skipped: len(r.Skipped), Changed: r.ChangedLots, Phases: int(res.Phases)}
	if c.Missing == nil {
		c.Missing = []int{}
	}
	return c
}

// coverage says how complete an answer is. OpenSearch has no such object; its clients ignore it.
type coverage struct {
	Complete bool    `json:"whole"`
	Fraction float64 `json:"share"`           // of a complete answer: weight times listed
	Weight   float64 `json:"weight"`          // of the ranges that were answered or skipped
	Listed   float64 `json:"listed"`          // fraction of the page's lots that were listed
	Missing  []int   `json:"missing"`         // ranges that were not ranked
	Moved    []int   `json:"moved,omitempty"` // those of them that have changed since the point in time
	Skipped  int     `json:"skipped"`
	Changed  int     `json:"changed"` // lots left out of the page, as they changed while it was made
	Phases   int     `json:"phases"`
}

// listing formats a hit as its client asked for it, without what the lot store was asked for the ranking alone.
func (a *clientRequest) listing(h *merge.Hit, phases search.Phases) json.RawMessage {
	q := a.core.Search
	if !q.TiesByID && phases == search.One {
		return json.RawMessage(h.Listing)
	}
	b := []byte{'{'}
	gjson.Parse(h.Listing).ForEach(func(k, v gjson.Result) bool {
		raw := v.Raw
		switch {
		case k.Str == "_version", k.Str == "sort" && !a.ties && !sorted(q):
			return true
		case k.Str == "sort":
			list := []byte{'['}
			for i, x := range h.Sort {
				if i > 0 {
					list = append(list, ',')
				}
				list = append(list, x.JSON(quote)...)
			}
			if a.ties {
				list = append(append(list, ','), quote(tieOf(h))...)
			}
			raw = string(append(list, ']'))
		}
		if len(b) > 1 {
			b = append(b, ',')
		}
		b = append(append(append(b, k.Raw...), ':'), raw...)
		return true
	})
	return append(b, '}')
}

// renderCreated makes the response for a create.
func (a *clientRequest) renderCreated(res gather.Result, counts shardCounts) *http1.Response {
	doc := map[string]any{"_index": a.index, "_id": a.core.Key, "_version": 1, "result": "created", "_shards": counts}
	item := res.Values()[0].Value
	if v := gjson.Parse(item); gjson.Valid(item) && v.Get("_id").Exists() {
		for _, k := range []string{"_version", "_seq_no", "_primary_term"} {
			if x := v.Get(k); x.Type == gjson.Number {
				doc[k] = json.Number(x.Raw)
			}
		}
	} else {
		doc["get"] = map[string]any{"_source": map[string]string{"item": item}}
	}
	return jsonResponse(201, doc)
}

// errorResponse makes the response for an error, with the failures of shards if any.
func errorResponse(e *apiError, failed []shardError) *http1.Response {
	object := map[string]any{"type": e.kind, "reason": e.reason,
		"root_cause": []cause{{e.kind, e.reason}}}
	if failed != nil {
		object["phase"], object["grouped"], object["failed_shards"] = "query", true, failed
	}
	return jsonResponse(e.status, map[string]any{"error": object, "status": e.status})
}

// jsonResponse makes a response with a value as JSON.
func jsonResponse(status int, v any) *http1.Response {
	return rawResponse(status, must(json.Marshal(v)))
}

// rawResponse makes a response with a JSON body.
func rawResponse(status int, body []byte) *http1.Response {
	return &http1.Response{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"application/json; charset=UTF-8"}}, Body: body}
}

// must panics on an error. It is for encodings that cannot fail: plain values, and JSON that was validated.
func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}
