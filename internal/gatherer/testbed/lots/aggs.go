package lots

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// aggregate answers aggregations over lots that matched, as one shard does. All are the range's lots, for global.
func (c *Corpus) aggregate(aggs gjson.Result, found []*scored, all []*Lot) (string, error) {
	var members []string
	var err error
	aggs.ForEach(func(name, a gjson.Result) bool {
		var text string
		if text, err = c.newAggregation(a, found, all).answer(); err != nil {
			return false
		}
		members = append(members, strconv.Quote(name.Str)+":"+text)
		return true
	})
	return "{" + strings.Join(members, ",") + "}", err
}

// aggregation is one aggregation over lots.
type aggregation struct {
	c      *Corpus
	kind   string
	body   gjson.Result
	subs   gjson.Result
	found  []*scored
	all    []*Lot
	values []gjson.Result // of the lots that have the field, or count as having it
	with   []*scored      // those lots
	err    error          // of an aggregation below
}

// newAggregation parses one aggregation and collects the values of its field.
func (c *Corpus) newAggregation(a gjson.Result, found []*scored, all []*Lot) *aggregation {
	g := &aggregation{c: c, subs: a.Get("aggs"), found: found, all: all}
	a.ForEach(func(k, v gjson.Result) bool {
		if k.Str != "aggs" {
			g.kind, g.body = k.Str, v
		}
		return true
	})
	for _, x := range found {
		v := x.lot.field(g.body.Get("field").Str)
		if !v.Exists() {
			v = g.body.Get("missing")
		}
		if v.Exists() {
			g.values, g.with = append(g.values, v), append(g.with, x)
		}
	}
	return g
}

// answer answers the aggregation.
func (g *aggregation) answer() (string, error) {
	switch g.kind {
	case "min", "max", "sum", "value_count", "stats":
		return g.metric(), nil
	case "cardinality":
		keys, _ := g.group(func(v gjson.Result) string { return v.Raw })
		return fmt.Sprintf(`{"value":%d}`, len(keys)), nil
	case "percentiles":
		return g.percentiles(), nil
	case "global":
		var every []*scored
		for _, l := range g.all {
			every = append(every, &scored{lot: l})
		}
		return g.bucket("", every), g.err
	case "terms":
		return g.terms(), g.err
	case "histogram", "date_histogram":
		return g.histogram()
	case "range":
		return g.ranges(), g.err
	case "missing":
		var in []*scored
		for _, x := range g.found {
			if !x.lot.field(g.body.Get("field").Str).Exists() {
				in = append(in, x)
			}
		}
		return g.bucket("", in), g.err
	case "filter", "filters":
		return g.filters()
	case "top_hits":
		return g.topHits(), nil
	}
	return "", fmt.Errorf("%w: unknown aggregation [%s]", errQuery, g.kind)
}

// bucket formats a bucket of lots, with its aggregations.
func (g *aggregation) bucket(head string, in []*scored) string {
	sub := ""
	if g.subs.Exists() {
		var e error
		if sub, e = g.c.aggregate(g.subs, in, g.all); e != nil {
			g.err = e
		} else if sub = "," + sub[1:len(sub)-1]; sub == "," {
			sub = ""
		}
	}
	return fmt.Sprintf(`{%s"doc_count":%d%s}`, head, len(in), sub)
}

// group groups the lots by a key of their values, with the keys in the order of the lots.
func (g *aggregation) group(keyOf func(gjson.Result) string) (keys []string, in map[string][]*scored) {
	in = map[string][]*scored{}
	for i, v := range g.values {
		k := keyOf(v)
		if in[k] == nil {
			keys = append(keys, k)
		}
		in[k] = append(in[k], g.with[i])
	}
	return keys, in
}

// number formats a number.
func number(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// metric answers the aggregations of one value.
func (g *aggregation) metric() string {
	least, greatest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, v := range g.values {
		least, greatest, sum = min(least, v.Num), max(greatest, v.Num), sum+v.Num
	}
	orNull := func(x float64) string {
		if len(g.values) == 0 {
			return "null"
		}
		return number(x)
	}
	switch g.kind {
	case "min":
		return `{"value":` + orNull(least) + `}`
	case "max":
		return `{"value":` + orNull(greatest) + `}`
	case "sum":
		return `{"value":` + number(sum) + `}`
	case "value_count":
		return fmt.Sprintf(`{"value":%d}`, len(g.values))
	}
	return fmt.Sprintf(`{"count":%d,"min":%s,"max":%s,"avg":%s,"sum":%s}`, len(g.values), orNull(least), orNull(greatest),
		orNull(sum/float64(max(len(g.values), 1))), number(sum))
}

// percentiles answers a percentiles.
func (g *aggregation) percentiles() string {
	values := g.values
	slices.SortFunc(values, func(a, b gjson.Result) int { return cmp.Compare(a.Num, b.Num) })
	var list []string
	for _, p := range g.body.Get("percents").Array() {
		v := "null"
		if n := len(values); n > 0 {
			at := p.Num / 100 * float64(n-1)
			lo := values[int(at)].Num
			v = number(lo + (at-math.Floor(at))*(values[min(int(at)+1, n-1)].Num-lo))
		}
		list = append(list, fmt.Sprintf(`{"key":%s,"value":%s}`, p.Raw, v))
	}
	return `{"values":[` + strings.Join(list, ",") + `]}`
}

// terms answers a terms.
func (g *aggregation) terms() string {
	keys, in := g.group(func(v gjson.Result) string { return v.Raw })
	byKey, desc := g.body.Get("order._key").Exists(), g.body.Get("order._key").Str == "desc"
	slices.SortFunc(keys, func(a, b string) int {
		if d := len(in[b]) - len(in[a]); d != 0 && !byKey {
			return d
		}
		x, y := gjson.Parse(a), gjson.Parse(b)
		d := cmp.Or(cmp.Compare(x.Num, y.Num), strings.Compare(x.Str, y.Str))
		if desc {
			d = -d
		}
		return d
	})
	size := 10
	if s := g.body.Get("size"); s.Exists() {
		size = int(s.Int())
	}
	other := 0
	var list []string
	for i, k := range keys {
		if i >= size {
			other += len(in[k])
			continue
		}
		list = append(list, g.bucket(`"key":`+k+`,`, in[k]))
	}
	return fmt.Sprintf(`{"doc_count_error_upper_bound":0,"sum_other_doc_count":%d,"buckets":[%s]}`, other, strings.Join(list, ","))
}

// histogramKey returns the function from a value to the key of its bucket.
func (g *aggregation) histogramKey() (func(gjson.Result) string, error) {
	step, off := g.body.Get("interval").Num, g.body.Get("offset").Num
	if f := g.body.Get("fixed_interval").Str; f != "" {
		d, err := time.ParseDuration(f)
		if err != nil {
			return nil, fmt.Errorf("%w: %s", errQuery, f)
		}
		step = float64(d.Milliseconds())
	}
	switch cal := g.body.Get("calendar_interval").Str; cal {
	case "":
		return func(v gjson.Result) string { return number(math.Floor((v.Num-off)/step)*step + off) }, nil
	case "1M":
		return func(v gjson.Result) string {
			t := time.UnixMilli(int64(v.Num)).UTC()
			return number(float64(time.Date(t.Year(), t.Month(), 1, 0, 0, 0, 0, time.UTC).UnixMilli()))
		}, nil
	default:
		return nil, fmt.Errorf("%w: calendar %s", errQuery, cal)
	}
}

// histogram answers a histogram or a date_histogram.
func (g *aggregation) histogram() (string, error) {
	keyOf, err := g.histogramKey()
	if err != nil {
		return "", err
	}
	keys, in := g.group(keyOf)
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(gjson.Parse(a).Num, gjson.Parse(b).Num) })
	var list []string
	for _, k := range keys {
		head := `"key":` + k + `,`
		if g.kind == "date_histogram" {
			head += `"key_as_string":"` + time.UnixMilli(int64(gjson.Parse(k).Num)).UTC().Format("2006-01-02T15:04:05.000Z07:00") + `",`
		}
		list = append(list, g.bucket(head, in[k]))
	}
	return `{"buckets":[` + strings.Join(list, ",") + `]}`, g.err
}

// ranges answers a range.
func (g *aggregation) ranges() string {
	var list []string
	for _, r := range g.body.Get("ranges").Array() {
		var in []*scored
		from, to := r.Get("from"), r.Get("to")
		for i, v := range g.values {
			if (!from.Exists() || v.Num >= from.Num) && (!to.Exists() || v.Num < to.Num) {
				in = append(in, g.with[i])
			}
		}
		head := `"key":` + r.Get("key").Raw + `,`
		if from.Exists() {
			head += `"from":` + from.Raw + `,`
		}
		if to.Exists() {
			head += `"to":` + to.Raw + `,`
		}
		list = append(list, g.bucket(head, in))
	}
	return `{"buckets":[` + strings.Join(list, ",") + `]}`
}

// filters answers a filter or a filters.
func (g *aggregation) filters() (string, error) {
	filters := []gjson.Result{g.body}
	if g.kind == "filters" {
		filters = g.body.Get("filters").Array()
	}
	var list []string
	seen := map[*scored]bool{}
	for _, f := range filters {
		m, err := g.c.compile(f)
		if err != nil {
			return "", err
		}
		var in []*scored
		for _, x := range g.found {
			if _, ok := m(x.lot); ok {
				in = append(in, x)
				seen[x] = true
			}
		}
		list = append(list, g.bucket("", in))
	}
	if g.kind == "filter" {
		return list[0], g.err
	}
	if g.body.Get("other_bucket").Bool() {
		list = append(list, g.bucket("", slices.DeleteFunc(slices.Clone(g.found), func(x *scored) bool { return seen[x] })))
	}
	return `{"buckets":[` + strings.Join(list, ",") + `]}`, g.err
}

// topHits answers a top_hits.
func (g *aggregation) topHits() string {
	keys := sortKeys(g.body.Get("sort"))
	if len(keys) == 0 {
		keys = []sortKey{{"_score", true, false}}
	}
	var hits []*scored
	for _, x := range g.found {
		y := &scored{lot: x.lot, score: x.score}
		for _, k := range keys {
			y.sort = append(y.sort, y.value(k))
		}
		hits = append(hits, y)
	}
	slices.SortStableFunc(hits, func(a, b *scored) int { return compareBy(keys, a, b) })
	out := fmt.Appendf(nil, `{"hits":{"total":{"value":%d,"relation":"eq"},"max_score":null,"hits":[`, len(hits))
	for i, x := range hits[:min(int(g.body.Get("size").Int()), len(hits))] {
		if i > 0 {
			out = append(out, ',')
		}
		out = x.append(out, g.body, !g.body.Get("sort").Exists())
	}
	return string(append(out, `]}}`...))
}
