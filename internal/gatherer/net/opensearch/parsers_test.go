package opensearch

import (
	"errors"
	"net/url"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

var bodies = []string{
	`{"query":{"match":{"title":"tractor"}},"from":10,"size":5,"sort":["year",{"price":{"order":"desc","missing":"_first"}}],"track_total_hits":true}`,
	`{"query":{"bool":{"must":[{"match":{"title":"x"}}],"should":{"term":{"make":"Claas"}},"filter":[{"range":{"year":{"gte":2010}}}],"must_not":[]}},"_source":["title"]}`,
	`{"query":{"constant_score":{"filter":{"ids":{"values":["1"]}}}},"track_total_hits":100}`,
}

func parseSearchBody(b []byte) error {
	if q, e := parseBody(string(b), nil, true); e != nil {
		return errors.New(e.reason)
	} else if q.From < 0 || q.Size < 0 || q.From+q.Size > maxWindow || len(q.Keys) == 0 {
		panic("a query out of bounds")
	}
	return nil
}

var items = []string{
	`{"hits":{"total":{"value":2,"relation":"eq"},"hits":[{"_id":"a","_score":2.5,"_version":3,"_source":{}},{"_id":"b","_score":1}]},"status":200}`,
	`{"hits":{"total":0,"hits":[]},"view":{"boot":"b","version":3,"holds_ms":100}}`,
}

func parseSearchItem(b []byte) error {
	if !gjson.ValidBytes(b) {
		return errors.New("not JSON")
	}
	q := &search.Query{Keys: []merge.Key{{Field: merge.Score, Desc: true}}, Size: 10, Count: search.CountBestEffort}
	for _, ask := range []*gather.ShardSearch{{Query: q, ScoresOnly: true}, {Query: q, IDs: []string{"a", "b"}}, {Query: q}} {
		found, why := parseFound(gjson.ParseBytes(b), ask)
		if why != "" {
			return errors.New(why)
		}
		p := search.NewPlan(q, search.Two, []search.Range{{Weight: 1}}, search.NewIndex(1, 10))
		p.Start(0, search.Times{})
		p.RecordAnswer(0, 1, found, 0, 0)
		for _, f := range p.Close() {
			p.RecordListings(f.Index, found)
		}
		p.Result()
	}
	return nil
}

// Truncated and corrupt input gets an error and never more.
func TestSearchParsers(t *testing.T) {
	proptest.CheckParser(t, true, parseSearchBody, bodies...)
	proptest.CheckParser(t, true, parseSearchItem, items...)
}

func FuzzSearchBody(f *testing.F) {
	for _, b := range bodies {
		f.Add([]byte(b))
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _ = parseSearchBody(b) })
}

func FuzzSearchItem(f *testing.F) {
	for _, b := range items {
		f.Add([]byte(b))
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _ = parseSearchItem(b) })
}

// An error in a search body is reported with its position.
func TestSearchBodyErrors(t *testing.T) {
	for _, x := range []struct{ body, params, want string }{
		{"{\n \"query\":7}", "", "line 2, column 10: not an object"},
		{`{"query":{"function_score":{}}}`, "", "unknown query [function_score]"},
		{`{"timeout":"soon"}`, "", "[timeout] with value [soon]"},
		{`{"_source":5}`, "", "[_source] is neither"},
		{`{}`, "q=a:[1 TO", "[q] line 1, column"},
		{`{"query":{"match_all":{}}}`, "q=a", "[q] and [query]"},
		{`{"from":-1}`, "", "[from] is not a whole number from 0 to 10000"},
		{`{"size":1.5}`, "", "[size] is not a whole number"},
		{`{"size":1,"size":2}`, "", "[size] stands twice"},
		{`{}`, "size=x", "[size] is not a number"},
		{`{"from":9999,"size":2}`, "", "[10000] but was [10001]"},
		{`{}`, "from=10000&size=1", "[10000] but was [10001]"},
		{`{"track_total_hits":"yes"}`, "", "[track_total_hits] is neither"},
		{`{"sort":[7]}`, "", "[sort] has a key"},
		{`{"sort":{"a":"up"}}`, "", "[sort] by [a] with [order] of"},
		{`{"sort":{"a":{"mode":"avg"}}}`, "", "with [mode]"},
		{`{"sort":{"_score":{"missing":"_first"}}}`, "", "with [missing]"},
		{`{"sort":"_doc"}`, "", "[sort] by [_doc]"},
		{`{"sort":["a","b","c","d","e","f","g","h","i"]}`, "", "more than 8 keys"},
		{`{}`, "sort=a:up", "with [order] of [up]"},
		{`{"highlight":{}}`, "", "not supported here: [highlight]"},
		{`{"aggs":{"a":{"terms":{"size":3}}}}`, "", "column 23: [terms] lacks [field]"},
	} {
		params, _ := url.ParseQuery(x.params)
		if _, e := parseBody(x.body, params, true); e == nil || e.status != 400 || !strings.Contains(e.reason, x.want) {
			t.Errorf("%.60s: %+v, want %q", x.body, e, x.want)
		}
	}
}

// Bounds are learned only of queries whose answer depends on the lots alone; a score is the sum of its clauses' where it
// is in the API.
func TestQueryNames(t *testing.T) {
	for _, x := range []struct {
		body    string
		named   bool
		clauses int
		plain   bool
	}{
		{`{}`, true, 1, true},
		{`{"query":{"match":{"title":"x"}}}`, true, 1, true},
		{`{"query":{"bool":{"must":[{"match":{"title":"x"}}],"should":{"term":{"a":1}},"filter":{"term":{"b":1}}}}}`, true, 2, false},
		{`{"query":{"bool":{"must":{"match":{"title":"x"}},"boost":2}}}`, true, 0, false},
		{`{"query":{"range":{"closing":{"lte":"now+1h"}}}}`, false, 0, false},
		{`{"query":{"bool":{"filter":{"range":{"closing":{"lte":"now"}}}}}}`, false, 0, false},
	} {
		q, e := parseBody(x.body, nil, true)
		if e != nil || (q.Name != "") != x.named || len(q.Clauses) != x.clauses || q.Plain != x.plain {
			t.Errorf("%s: %+v %+v", x.body, q, e)
		}
	}
	a, _ := parseBody(`{"query":{"match":{"t":"x"}},"from":10,"size":3}`, nil, true)
	b, _ := parseBody(`{"size":7,"query": {"match": {"t": {"query":"x"}}}}`, nil, true)
	c, _ := parseBody(`{"query":{"match":{"t":"x"}},"sort":"year"}`, nil, true)
	if a.Name != b.Name || a.Name == c.Name {
		t.Errorf("names %q, %q, %q", a.Name, b.Name, c.Name)
	}
}
