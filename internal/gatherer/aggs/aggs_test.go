package aggs_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/gatherer/aggs"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/query"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

func parse(text string) ([]*aggs.Node, *query.Error) {
	if e := query.CheckObject(text); e != nil {
		return nil, e
	}
	var list []*aggs.Node
	var e *query.Error
	gjson.Parse(text).ForEach(func(_, v gjson.Result) bool { list, e = aggs.Parse(text, v); return false })
	return list, e
}

// answers returns the decoded answers of the given ranges of a corpus.
func answers(t rapid.TB, c *lots.Corpus, list []*aggs.Node, ranges ...int) (all [][]aggs.Partial) {
	replica := c.NewReplica("t", 0)
	request := gjson.Parse(`{"size":0,"aggs":` + string(aggs.AppendRequest(nil, list)) + `}`)
	for _, r := range ranges {
		item := replica.Search(r, request)
		parts, why := aggs.Decode(list, gjson.Get(item, "aggregations"))
		if why != "" {
			t.Fatalf("%s: %s\n%s", request.Raw, why, item)
		}
		all = append(all, parts)
	}
	return all
}

func merge(t rapid.TB, list []*aggs.Node, all [][]aggs.Partial, missing bool) gjson.Result {
	b, err := aggs.Merge(list, all, missing)
	if err != nil || !gjson.ValidBytes(b) {
		t.Fatalf("%v %s", err, b)
	}
	return gjson.ParseBytes(b)
}

// drawAggregation draws the JSON of an aggregation, which may have nested ones.
func drawAggregation(t *rapid.T, depth int) string {
	field := rapid.SampledFrom([]string{"price", "year", "closing"}).Draw(t, "field")
	termsField := rapid.SampledFrom([]string{"make", "location", "year"}).Draw(t, "word")
	subs := ""
	if depth < 3 && rapid.Bool().Draw(t, "subs") {
		subs = fmt.Sprintf(`,"aggs":{"s":%s,"m":{"max":{"field":"price"}}}`, drawAggregation(t, depth+1))
	}
	return rapid.SampledFrom([]string{
		`{"min":{"field":"` + field + `"}}`, `{"max":{"field":"` + field + `","missing":7}}`, `{"sum":{"field":"price"}}`,
		`{"avg":{"field":"price"}}`, `{"stats":{"field":"` + field + `"}}`, `{"value_count":{"field":"price"}}`,
		`{"cardinality":{"field":"` + termsField + `"}}`,
		`{"terms":{"field":"` + termsField + `","size":50}` + subs + `}`,
		`{"terms":{"field":"` + termsField + `","size":3,"order":{"_key":"desc"}}` + subs + `}`,
		`{"histogram":{"field":"price","interval":2500,"offset":100,"min_doc_count":1}` + subs + `}`,
		`{"histogram":{"field":"year","interval":3}` + subs + `}`,
		`{"date_histogram":{"field":"closing","fixed_interval":"36h"}` + subs + `}`,
		`{"date_histogram":{"field":"closing","calendar_interval":"month"}` + subs + `}`,
		`{"range":{"field":"price","ranges":[{"to":1000},{"key":"mid","from":1000,"to":9000},{"from":5000}]}` + subs + `}`,
		`{"filter":{"term":{"make":"Claas"}}` + subs + `}`, `{"missing":{"field":"price"}` + subs + `}`,
		`{"filters":{"filters":{"a":{"term":{"make":"Claas"}},"b":{"range":{"year":{"gte":2000}}}},"other_bucket":true}` + subs + `}`,
		`{"filters":{"filters":[{"term":{"make":"Fendt"}}]}` + subs + `}`,
		`{"top_hits":{"size":3,"sort":[{"closing":"desc"}],"_source":["title"]}}`,
	}).Draw(t, "kind")
}

// requireEqual fails the test unless two answers are equal. Numbers may differ by a relative 1e-9, as sums are rounded.
func requireEqual(t rapid.TB, got, want gjson.Result, path string) {
	switch {
	case got.IsObject() && want.IsObject():
		a, b := got.Map(), want.Map()
		for k, v := range b {
			requireEqual(t, a[k], v, path+"."+k)
		}
		if len(a) != len(b) {
			t.Fatalf("%s: %s, want %s", path, got.Raw, want.Raw)
		}
	case got.IsArray() && want.IsArray():
		a, b := got.Array(), want.Array()
		if len(a) != len(b) {
			t.Fatalf("%s: %s, want %s", path, got.Raw, want.Raw)
		}
		for i := range a {
			requireEqual(t, a[i], b[i], fmt.Sprintf("%s[%d]", path, i))
		}
	case got.Type == gjson.Number && want.Type == gjson.Number:
		if math.Abs(got.Num-want.Num) > 1e-9*math.Max(math.Abs(got.Num), math.Abs(want.Num)) {
			t.Fatalf("%s: %s, want %s", path, got.Raw, want.Raw)
		}
	case got.Raw != want.Raw:
		t.Fatalf("%s: %s, want %s", path, got.Raw, want.Raw)
	}
}

// Merging the answers of any number of ranges gives the same as one aggregation over all lots.
func TestMergedEqualsAllLots(t *testing.T) {
	proptest.Seed(t, 300)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "ranges")
		c := lots.New(uint64(rapid.IntRange(1, 5).Draw(t, "seed")), n, rapid.IntRange(0, 30).Draw(t, "lots"))
		list, e := parse(`{"aggs":{"one":` + drawAggregation(t, 1) + `,"two":` + drawAggregation(t, 1) + `}}`)
		if e != nil {
			t.Fatal(e)
		}
		var every []int
		for r := range n {
			every = append(every, r)
		}
		got := merge(t, list, answers(t, c, list, every...), false)
		want := merge(t, list, answers(t, c.Merged(), list, 0), false)
		requireEqual(t, got, want, "")
	})
}

// With ranges missing, a value that is stated as a lower or upper bound is one, no value is stated as exact, and no bucket
// counts more lots than there are.
func TestBoundsHold(t *testing.T) {
	proptest.Seed(t, 200)
	list, e := parse(`{"aggs":{"min":{"min":{"field":"price"}},"max":{"max":{"field":"price"}},"n":{"value_count":{"field":"price"}},` +
		`"c":{"cardinality":{"field":"make"}},"t":{"terms":{"field":"make"}},"r":{"range":{"field":"year","ranges":[{"from":2000}]}},` +
		`"f":{"filter":{"term":{"make":"Claas"}}},"h":{"histogram":{"field":"year","interval":5,"min_doc_count":1}},"s":{"sum":{"field":"price"}}}}`)
	if e != nil {
		t.Fatal(e)
	}
	rapid.Check(t, func(t *rapid.T) {
		c := lots.New(uint64(rapid.IntRange(1, 9).Draw(t, "seed")), 6, 10)
		in := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 5, rapid.ID).Draw(t, "in")
		got, want := merge(t, list, answers(t, c, list, in...), true), merge(t, list, answers(t, c.Merged(), list, 0), false)
		for name, v := range want.Map() {
			g := got.Get(name)
			x, y := g.Get("value").Num, v.Get("value").Num
			switch b := g.Get("meta.bound").Str; {
			case b == "lower" && x > y, b == "upper" && x < y, b == "":
				t.Fatalf("%s: %s, true value %s", name, g.Raw, v.Raw)
			}
			truth := map[string]int64{}
			for _, x := range v.Get("buckets").Array() {
				truth[x.Get("key").Raw] = x.Get("doc_count").Int()
			}
			for _, x := range g.Get("buckets").Array() {
				if x.Get("doc_count").Int() > truth[x.Get("key").Raw] {
					t.Fatalf("%s: bucket %s, true count %d", name, x.Raw, truth[x.Get("key").Raw])
				}
			}
		}
	})
}

// Where ranges truncate their lists of terms, the count of each bucket is right within its stated error, and a term that is
// not shown has at most as many lots as the last one shown and the stated error.
func TestTermsErrorBound(t *testing.T) {
	proptest.Seed(t, 200)
	list, _ := parse(`{"aggs":{"t":{"terms":{"field":"year","size":2}}}}`) // 13 of up to 36 years from each range
	exact, _ := parse(`{"aggs":{"t":{"terms":{"field":"year","size":100}}}}`)
	more, _ := parse(`{"aggs":{"t":{"terms":{"field":"year","size":2,"shard_size":40}}}}`)
	rapid.Check(t, func(t *rapid.T) {
		c := lots.New(uint64(rapid.IntRange(1, 50).Draw(t, "seed")), 5, rapid.IntRange(15, 80).Draw(t, "lots"))
		got := merge(t, list, answers(t, c, list, 0, 1, 2, 3, 4), false).Get("t")
		truth := map[int64]int64{}
		total := int64(0)
		for _, b := range merge(t, exact, answers(t, c.Merged(), exact, 0), false).Get("t.buckets").Array() {
			truth[b.Get("key").Int()] = b.Get("doc_count").Int()
			total += b.Get("doc_count").Int()
		}
		shown := got.Get("sum_other_doc_count").Int()
		for _, b := range got.Get("buckets").Array() {
			n, errorBound := b.Get("doc_count").Int(), b.Get("doc_count_error_upper_bound").Int()
			if x := truth[b.Get("key").Int()]; x < n || x > n+errorBound {
				t.Fatalf("bucket %s, true count %d", b.Raw, x)
			}
			delete(truth, b.Get("key").Int())
			shown += n
		}
		last := got.Get("buckets.1.doc_count").Int()
		for k, x := range truth {
			if x > last+got.Get("doc_count_error_upper_bound").Int() {
				t.Fatalf("%d has %d lots and is not shown: %s", k, x, got.Raw)
			}
		}
		if x := merge(t, more, answers(t, c, more, 0, 1, 2, 3, 4), false).Get("t"); x.Get("doc_count_error_upper_bound").Int() != 0 {
			t.Fatalf("error bound above 0 although every range listed all years: %s", x.Raw)
		}
		if shown != total {
			t.Fatalf("shown and other buckets have %d lots of %d: %s", shown, total, got.Raw)
		}
	})
}

// The rank of a percentile differs from the requested one by at most a hundredth or, in small ranges, one value.
func TestPercentileRanks(t *testing.T) {
	list, _ := parse(`{"aggs":{"p":{"percentiles":{"field":"price","percents":[0,1,10,50,90,99,100]}},"n":{"value_count":{"field":"price"}}}}`)
	c := lots.New(3, 8, 200)
	got := merge(t, list, answers(t, c, list, 0, 1, 2, 3, 4, 5, 6, 7), false)
	n := got.Get("n.value").Num
	got.Get("p.values").ForEach(func(k, v gjson.Result) bool {
		below, _ := parse(`{"aggs":{"r":{"range":{"field":"price","ranges":[{"to":` + fmt.Sprint(v.Num+1e-6) + `}]}}}}`)
		rank := merge(t, below, answers(t, c.Merged(), below, 0), false).Get("r.buckets.0.doc_count").Num / n
		var want float64
		if _, err := fmt.Sscan(k.Str, &want); err != nil {
			t.Fatal(err)
		}
		if math.Abs(rank-want/100) > 0.011 {
			t.Errorf("percentile %s is %v, of rank %.3f", k.Str, v.Num, rank)
		}
		return true
	})
	if got.Get("p.meta.bound").Str != "estimate" || got.Get("p.values").Map()["50.0"].Type != gjson.Number {
		t.Error(got.Raw)
	}
}

// Empty buckets follow the calendar of the time zone, also where its offset changes.
func TestEmptyBuckets(t *testing.T) {
	for text, want := range map[string]string{
		`{"date_histogram":{"field":"d","calendar_interval":"day","time_zone":"Europe/Berlin"}}`: "2026-03-28T00:00:00.000+01:00 2026-03-29T00:00:00.000+01:00 2026-03-30T00:00:00.000+02:00 2026-03-31T00:00:00.000+02:00",
		`{"date_histogram":{"field":"d","calendar_interval":"month","format":"yyyy-MM"}}`:        "2026-01 2026-02 2026-03 2026-04",
		`{"date_histogram":{"field":"d","fixed_interval":"12h","time_zone":"+09:00"}}`:           "2026-03-28T00:00:00.000+09:00 2026-03-28T12:00:00.000+09:00 2026-03-29T00:00:00.000+09:00",
	} {
		list, e := parse(`{"a":{"h":` + text + `}}`)
		if e != nil {
			t.Fatal(e)
		}
		names := strings.Fields(want)
		from, to := names[0], names[len(names)-1]
		keys := map[string]string{"2026-03-28T00:00:00.000+01:00": "1774652400000", "2026-03-31T00:00:00.000+02:00": "1774908000000",
			"2026-01": "1767225600000", "2026-04": "1775001600000", "2026-03-28T00:00:00.000+09:00": "1774623600000", "2026-03-29T00:00:00.000+09:00": "1774710000000"}
		parts, why := aggs.Decode(list, gjson.Parse(fmt.Sprintf(`{"h":{"buckets":[{"key":%s,"key_as_string":%q,"doc_count":1},{"key":%s,"key_as_string":%q,"doc_count":2}]}}`,
			keys[from], from, keys[to], to)))
		if why != "" {
			t.Fatal(why)
		}
		got := merge(t, list, [][]aggs.Partial{parts}, false)
		var shown []string
		for _, b := range got.Get("h.buckets").Array() {
			shown = append(shown, b.Get("key_as_string").Str)
		}
		if strings.Join(shown, " ") != want {
			t.Errorf("%s:\n got %v\nwant %v", text, shown, want)
		}
	}
}

// Parse rejects unsupported and invalid aggregations with an error that says why, and Merge rejects a histogram with more
// than MaxBuckets buckets.
func TestInvalidAggregations(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":{"a":{"geo_distance":{}}}}`:                                                                               "not supported here: the aggregation [geo_distance]",
		`{"a":{"a":{"terms":{"field":"x","order":{"_count":"asc"}}}}}`:                                                  "rarest first",
		`{"a":{"a":{"terms":{"field":"x","order":{"m":"desc"}}}}}`:                                                      "[order]",
		`{"a":{"a":{"terms":{"field":"x","size":10001}}}}`:                                                              "not a whole number from 1 to 10000",
		`{"a":{"a":{"terms":{"field":"x","min_doc_count":0}}}}`:                                                         "[min_doc_count]",
		`{"a":{"a":{"min":{"field":"x"},"max":{"field":"x"}}}}`:                                                         "two kinds",
		`{"a":{"a":{"min":{"field":"x"},"aggs":{"b":{"max":{"field":"x"}}}}}}`:                                          "takes no aggregations below",
		`{"a":{"a":{"date_histogram":{"field":"x"}}}}`:                                                                  "[fixed_interval] or [calendar_interval]",
		`{"a":{"a":{"date_histogram":{"field":"x","fixed_interval":"1w"}}}}`:                                            "[fixed_interval]",
		`{"a":{"a":{"date_histogram":{"field":"x","fixed_interval":"1d","time_zone":"Mars"}}}}`:                         "[time_zone]",
		`{"a":{"a":{"histogram":{"field":"x","interval":0}}}}`:                                                          "above 0",
		`{"a":{"a":{"filter":{"nonsense":{}}}}}`:                                                                        "unknown query",
		`{"a":{"x::y":{"min":{"field":"x"}}}}`:                                                                          "not a name",
		"{\"a\":\n{\"a\":{\"sum\":{}}}}":                                                                                "line 2, column 13: [sum] lacks [field]",
		`{"a":` + strings.Repeat(`{"a":{"filter":{"match_all":{}},"aggs":`, 10) + `{}` + strings.Repeat(`}}`, 10) + `}`: "nested deeper",
	} {
		if _, e := parse(text); e == nil || !strings.Contains(e.Error(), want) {
			t.Errorf("%.80s: %v, want %q", text, e, want)
		}
	}
	list, _ := parse(`{"a":{"h":{"histogram":{"field":"x","interval":1}}}}`)
	parts, _ := aggs.Decode(list, gjson.Parse(`{"h":{"buckets":[{"key":0,"doc_count":1},{"key":1e9,"doc_count":1}]}}`))
	if _, err := aggs.Merge(list, [][]aggs.Partial{parts}, false); !errors.Is(err, aggs.ErrTooManyBuckets) {
		t.Errorf("a billion empty buckets: %v", err)
	}
}

const exampleAggregations = `{"t":{"terms":{"field":"make","size":3},"aggs":{"p":{"percentiles":{"field":"price"}},"d":{"date_histogram":{"field":"closing","calendar_interval":"1M"}}}}}`

// Truncated and corrupt input, from clients and from ranges, gets an error and never a panic.
func TestCorruptInput(t *testing.T) {
	feed := func(b []byte) error {
		if list, e := parse(`{"a":` + string(b) + `}`); e != nil {
			return e
		} else if !gjson.ValidBytes(aggs.AppendRequest(nil, list)) {
			panic("the request to a range is not valid JSON")
		}
		return nil
	}
	proptest.CheckParser(t, true, feed, exampleAggregations)
	list, _ := parse(`{"a":` + exampleAggregations + `}`)
	answer := gjson.Get(lots.New(1, 1, 5).NewReplica("t", 0).Search(0, gjson.Parse(`{"aggs":`+string(aggs.AppendRequest(nil, list))+`}`)), "aggregations").Raw
	proptest.CheckParser(t, false, func(b []byte) error {
		parts, why := aggs.Decode(list, gjson.ParseBytes(b))
		if why != "" {
			return fmt.Errorf("%s", why)
		}
		_, err := aggs.Merge(list, [][]aggs.Partial{parts, parts}, true)
		return err
	}, answer)
}

func FuzzAggs(f *testing.F) {
	f.Add([]byte(exampleAggregations))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if list, e := parse(`{"a":` + string(b) + `}`); e == nil {
			aggs.AppendRequest(nil, list)
		}
	})
}

// With a million terms in 200 ranges, memory is bounded by what the ranges were asked for, and the error is stated.
func TestMillionTerms(t *testing.T) {
	list, _ := parse(`{"a":{"t":{"terms":{"field":"x","size":10}}}}`)
	var all [][]aggs.Partial
	for r := range 200 {
		var buckets []string
		for i := range 25 {
			buckets = append(buckets, fmt.Sprintf(`{"key":"r%d-%d","doc_count":%d}`, r, i, 30-i))
		}
		parts, why := aggs.Decode(list, gjson.Parse(`{"t":{"sum_other_doc_count":4975,"buckets":[`+strings.Join(buckets, ",")+`]}}`)) // 4975 more terms of one lot each
		if why != "" {
			t.Fatal(why)
		}
		all = append(all, parts)
	}
	got := merge(t, list, all, false).Get("t")
	if got.Get("doc_count_error_upper_bound").Int() != 200*6 || got.Get("buckets.#").Int() != 10 ||
		got.Get("buckets.0.doc_count_error_upper_bound").Int() != 199*6 || got.Get("sum_other_doc_count").Int() != 200*(4975+450)-10*30 {
		t.Errorf("%.300s", got.Raw)
	}
}
