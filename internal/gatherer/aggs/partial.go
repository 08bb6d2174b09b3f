package aggs

import (
	"fmt"
	"math"
	"strconv"

	"github.com/tidwall/gjson"
)

// Partial is the answer of one range to one aggregation. Which fields are set depends on the kind.
type Partial struct {
	count        int64
	sum          float64
	min, max     float64 // NaN if the range has no value
	buckets      []bucket
	otherDocs    int64     // of a terms or cardinality: lots in the buckets that the range cut off
	distribution []float64 // of percentiles: the values at each hundredth
	hits         []hit
}

// bucket is one bucket of a range's answer.
type bucket struct {
	key         key
	keyAsString string // key_as_string
	from        gjson.Result
	to          gjson.Result
	docs        int64
	subs        []Partial
}

// key is the key of a bucket. Raw is its JSON and identifies it, so that 64-bit integers beyond 2^53 are not rounded.
type key struct {
	raw      string
	num      float64
	isString bool
}

// hit is one hit of a top_hits aggregation, as JSON, and its sort value.
type hit struct {
	raw  string
	sort gjson.Result
}

// Decode parses a range's answer to the request of AppendRequest. If the answer is invalid, the string says why; otherwise
// it is empty.
func Decode(list []*Node, v gjson.Result) ([]Partial, string) {
	parts := make([]Partial, len(list))
	if len(list) > 0 && !v.IsObject() {
		return nil, "aggregations are missing"
	}
	byName := make(map[string]gjson.Result, len(list))
	v.ForEach(func(k, x gjson.Result) bool { byName[k.Str] = x; return true })
	for i, n := range list {
		x := byName[n.Name]
		if !x.IsObject() {
			return nil, fmt.Sprintf("the aggregation %.40q is missing", n.Name)
		}
		if why := n.decode(&parts[i], x, byName); why != "" {
			return nil, fmt.Sprintf("the aggregation %.40q: %s", n.Name, why)
		}
	}
	return parts, ""
}

// numberOrNaN parses a number. Anything else is NaN.
func numberOrNaN(v gjson.Result) float64 {
	if v.Type != gjson.Number {
		return math.NaN()
	}
	return v.Num
}

// parseCount parses a count. The second result is false if it is not a whole number from 0 on.
func parseCount(v gjson.Result) (int64, bool) {
	ok := v.Type == gjson.Number && v.Num >= 0 && v.Num < 1<<53 && v.Num == math.Trunc(v.Num)
	return int64(v.Num), ok
}

// decode parses the answer to one aggregation, and returns why it is invalid, empty if it is valid. ByName has all
// aggregations of the same answer, among them those that were sent along with this one.
func (n *Node) decode(p *Partial, v gjson.Result, byName map[string]gjson.Result) string {
	value := v.Get("value")
	var ok bool
	p.min, p.max = math.NaN(), math.NaN()
	switch n.Kind {
	case Min, Max:
		if p.min = numberOrNaN(value); !value.Exists() {
			return "no value"
		}
		p.max = p.min
	case Sum:
		if p.sum = numberOrNaN(value); math.IsNaN(p.sum) {
			return "a sum that is no number"
		}
	case Avg, Stats:
		p.count, ok = parseCount(v.Get("count"))
		p.sum, p.min, p.max = numberOrNaN(v.Get("sum")), numberOrNaN(v.Get("min")), numberOrNaN(v.Get("max"))
		if !ok || math.IsNaN(p.sum) || p.count > 0 && math.IsNaN(p.min+p.max) {
			return "stats that are no numbers"
		}
	case ValueCount:
		if p.count, ok = parseCount(value); !ok {
			return "a count that is none"
		}
	case Cardinality:
		if p.count, ok = parseCount(value); !ok {
			return "a count that is none"
		}
		list := Node{Kind: Terms, Size: maxListedTerms}
		return list.decodeBuckets(p, byName[n.Name+termsSuffix])
	case Percentiles:
		if p.count, ok = parseCount(byName[n.Name+countSuffix].Get("value")); !ok {
			return "a count that is none"
		}
		return p.decodeDistribution(v)
	case TopHits:
		return n.decodeHits(p, v)
	case Filter, Missing:
		b := bucket{}
		if why := n.decodeBucket(&b, v); why != "" {
			return why
		}
		p.buckets = []bucket{b}
	default:
		return n.decodeBuckets(p, v)
	}
	return ""
}

// decodeDistribution parses the percentiles that describe the distribution of a range.
func (p *Partial) decodeDistribution(v gjson.Result) string {
	ok, last := true, math.Inf(-1)
	v.Get("values").ForEach(func(_, x gjson.Result) bool {
		y := numberOrNaN(x.Get("value"))
		ok = ok && (p.count == 0 || y >= last)
		p.distribution, last = append(p.distribution, y), y
		return ok && len(p.distribution) <= distributionSteps+1
	})
	if !ok || len(p.distribution) != distributionSteps+1 {
		return "a distribution that does not rise, or lacks points"
	}
	return ""
}

// decodeHits parses the hits of a top_hits aggregation.
func (n *Node) decodeHits(p *Partial, v gjson.Result) string {
	v.Get("hits.hits").ForEach(func(_, h gjson.Result) bool {
		x := hit{raw: h.Raw, sort: h.Get("sort.0")}
		if n.Sort == "" {
			x.sort = h.Get("_score")
		}
		p.hits = append(p.hits, x)
		return true
	})
	var ok bool
	if p.count, ok = parseCount(v.Get("hits.total.value")); !ok || len(p.hits) > n.From+n.Size {
		return "hits without a count, or more than were asked for"
	}
	return ""
}

// decodeBuckets parses the buckets of an aggregation, and checks that there are not too many and that they are those
// requested.
func (n *Node) decodeBuckets(p *Partial, v gjson.Result) (why string) {
	list := v.Get("buckets")
	if !list.IsArray() {
		return "no buckets"
	}
	limit := MaxBuckets
	switch n.Kind {
	case Terms:
		limit = n.RangeSize()
	case Range, DateRange:
		limit = len(n.Ranges)
	case Filters:
		limit = len(n.Filters) + 1
	}
	list.ForEach(func(_, x gjson.Result) bool {
		b := bucket{keyAsString: x.Get("key_as_string").Str, from: x.Get("from"), to: x.Get("to")}
		k := x.Get("key")
		b.key = key{raw: k.Raw, num: k.Num, isString: k.Type == gjson.String}
		if n.Kind != Filters && (k.Type != gjson.String && k.Type != gjson.Number) {
			why = "a bucket without a key"
		} else if len(p.buckets) == limit {
			why = "more buckets than were asked for"
		} else {
			why = n.decodeBucket(&b, x)
		}
		p.buckets = append(p.buckets, b)
		return why == ""
	})
	if why != "" {
		return why
	}
	return n.checkBuckets(p, v)
}

// checkBuckets returns why the decoded buckets are not those that were requested, empty if they are.
func (n *Node) checkBuckets(p *Partial, v gjson.Result) (why string) {
	switch n.Kind {
	case Terms:
		var ok bool
		if p.otherDocs, ok = parseCount(v.Get("sum_other_doc_count")); !ok {
			return "no sum of what was cut off"
		}
	case Range, DateRange:
		for _, b := range p.buckets { // their keys are indices
			if i, err := strconv.Atoi(unquote(b.key.raw)); err != nil || i < 0 || i >= len(n.Ranges) {
				return "a range that was not asked for"
			}
		}
		if len(p.buckets) != len(n.Ranges) {
			return "not all ranges"
		}
	case Filters:
		want := len(n.Filters)
		if n.OtherBucketKey != "" {
			want++
		}
		if len(p.buckets) != want {
			return "not all filters"
		}
	}
	return ""
}

// unquote decodes a JSON value as a string.
func unquote(raw string) string { return gjson.Parse(raw).String() }

// decodeBucket parses the count of a bucket and its nested aggregations.
func (n *Node) decodeBucket(b *bucket, v gjson.Result) (why string) {
	var ok bool
	if b.docs, ok = parseCount(v.Get("doc_count")); !ok {
		return "a bucket without a count"
	}
	if len(n.Subs) > 0 {
		b.subs, why = Decode(n.Subs, v)
	}
	return why
}
