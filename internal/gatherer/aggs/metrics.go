package aggs

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// total is a sum whose error does not grow with the number of terms, nor depends on their order by more than a rounding:
// Neumaier's variant of Kahan summation (1974).
type total struct{ sum, compensation float64 }

func (t *total) add(x float64) {
	s := t.sum + x
	if math.Abs(t.sum) >= math.Abs(x) {
		t.compensation += (t.sum - s) + x
	} else {
		t.compensation += (x - s) + t.sum
	}
	t.sum = s
}

func (t total) value() float64 {
	if math.IsInf(t.sum, 0) || math.IsNaN(t.sum) {
		return t.sum
	}
	return t.sum + t.compensation
}

// num encodes a number, NaN and infinities as null.
func num(x float64) string {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return "null"
	}
	return strconv.FormatFloat(x, 'g', -1, 64)
}

// integer encodes an integer.
func integer(n int64) string { return strconv.FormatInt(n, 10) }

// lesser is the lesser number; NaN is none.
func lesser(a, b float64) float64 {
	if math.IsNaN(a) || b < a {
		return b
	}
	return a
}

// greater is the greater number; NaN is none.
func greater(a, b float64) float64 {
	if math.IsNaN(a) || b > a {
		return b
	}
	return a
}

// cardinality is exact where no range truncated its list of terms. Otherwise the number of known terms is a lower bound,
// and the sum of the ranges' own values an upper one.
func (m *merger) cardinality(parts []*Partial) string {
	seen, upper, truncated := map[string]struct{}{}, int64(0), false
	for _, p := range parts {
		for _, x := range p.buckets {
			seen[x.key.raw] = struct{}{}
		}
		if p.other > 0 {
			truncated = true
			upper += max(p.count, int64(len(p.buckets)))
		} else {
			upper += int64(len(p.buckets))
		}
	}
	if truncated && !m.missing {
		return object("value", integer(int64(len(seen))), "meta", meta(Lower, "upper", integer(upper)))
	}
	return object("value", integer(int64(len(seen))), "meta", meta(m.boundIfMissing(Lower)))
}

// percentiles computes percentiles of the mixture of the ranges' distributions, each weighted by its number of values. A
// distribution is known at each hundredth, so the rank of a percentile is off by at most one hundredth, beside the range's
// own error.
func (n *Node) percentiles(parts []*Partial, docs int64) string {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, p := range parts {
		if p.count > 0 {
			lo, hi = min(lo, p.dist[0]), max(hi, p.dist[points])
		}
	}
	below := func(x float64) float64 { // number of values up to x
		sum := 0.0
		for _, p := range parts {
			if p.count > 0 {
				sum += float64(p.count) * cumulative(p.dist, x)
			}
		}
		return sum
	}
	values := make([]string, 0, len(n.Percents))
	for _, percent := range n.Percents {
		x := math.NaN()
		if docs > 0 {
			from, to := lo, hi
			for range 64 { // bisection, nearly to the last bit
				mid := from + (to-from)/2
				if below(mid) >= percent/100*float64(docs) {
					to = mid
				} else {
					from = mid
				}
			}
			x = to
		}
		name := strconv.FormatFloat(percent, 'f', -1, 64)
		if !strings.Contains(name, ".") {
			name += ".0"
		}
		if n.Keyed {
			values = append(values, quote(name)+":"+num(x))
		} else {
			values = append(values, object("key", name, "value", num(x)))
		}
	}
	list := "[" + strings.Join(values, ",") + "]"
	if n.Keyed {
		list = "{" + strings.Join(values, ",") + "}"
	}
	return object("values", list, "meta", meta(Estimate, "rank_error", num(1.0/points)))
}

// cumulative is the fraction of a distribution up to x.
func cumulative(dist []float64, x float64) float64 {
	i := sort.Search(len(dist), func(i int) bool { return dist[i] > x }) // the first point above
	switch {
	case i == 0:
		return 0
	case i == len(dist):
		return 1
	}
	return (float64(i-1) + (x-dist[i-1])/(dist[i]-dist[i-1])) / points
}

// topHits merges the best hits of the ranges.
func (m *merger) topHits(n *Node, parts []*Partial, docs int64) string {
	var all []hit
	for _, p := range parts {
		all = append(all, p.hits...)
	}
	desc := n.Sort == "" || strings.Contains(n.Sort, `"desc"`)
	slices.SortStableFunc(all, func(a, b hit) int { // lots without the field last
		if none, other := a.sort.Type == gjson.Null, b.sort.Type == gjson.Null; none || other {
			return map[bool]int{true: 1}[none] - map[bool]int{true: 1}[other]
		}
		c := cmp.Compare(a.sort.Num, b.sort.Num)
		if a.sort.Type == gjson.String {
			c = strings.Compare(a.sort.Str, b.sort.Str)
		}
		if desc {
			c = -c
		}
		return c
	})
	all = all[min(n.From, len(all)):]
	raws := make([]string, min(n.Size, len(all)))
	for i := range raws {
		raws[i] = all[i].raw
	}
	relation := `"eq"`
	if m.missing {
		relation = `"gte"`
	}
	return object("hits", object("total", object("value", integer(docs), "relation", relation), "max_score", "null",
		"hits", "["+strings.Join(raws, ",")+"]"), "meta", meta(m.boundIfMissing(Estimate)))
}
