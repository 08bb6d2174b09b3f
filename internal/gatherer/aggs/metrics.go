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

// compensatedSum is a floating-point sum by Neumaier's variant of Kahan summation (1974). Its error does not grow with the
// number of terms, and their order changes it by no more than a rounding.
type compensatedSum struct{ sum, compensation float64 }

func (t *compensatedSum) add(x float64) {
	s := t.sum + x
	if math.Abs(t.sum) >= math.Abs(x) {
		t.compensation += (t.sum - s) + x
	} else {
		t.compensation += (x - s) + t.sum
	}
	t.sum = s
}

func (t compensatedSum) value() float64 {
	if math.IsInf(t.sum, 0) || math.IsNaN(t.sum) {
		return t.sum
	}
	return t.sum + t.compensation
}

// formatNumber encodes a number. NaN and infinities become null.
func formatNumber(x float64) string {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return "null"
	}
	return strconv.FormatFloat(x, 'g', -1, 64)
}

// formatInteger encodes an integer.
func formatInteger(n int64) string { return strconv.FormatInt(n, 10) }

// minIgnoringNaN returns the lesser number. NaN stands for no number.
func minIgnoringNaN(a, b float64) float64 {
	if math.IsNaN(a) || b < a {
		return b
	}
	return a
}

// maxIgnoringNaN returns the greater number. NaN stands for no number.
func maxIgnoringNaN(a, b float64) float64 {
	if math.IsNaN(a) || b > a {
		return b
	}
	return a
}

// mergeCardinality counts distinct terms. The count is exact if no range truncated its list of terms. Otherwise the number
// of listed terms is a lower bound, and the sum of the ranges' own values an upper one.
func (m *merger) mergeCardinality(parts []*Partial) string {
	seen, upper, truncated := map[string]struct{}{}, int64(0), false
	for _, p := range parts {
		for _, x := range p.buckets {
			seen[x.key.raw] = struct{}{}
		}
		if p.otherDocs > 0 {
			truncated = true
			upper += max(p.count, int64(len(p.buckets)))
		} else {
			upper += int64(len(p.buckets))
		}
	}
	if truncated && !m.rangeMissing {
		return object("value", formatInteger(int64(len(seen))), "meta", formatMeta(Lower, "upper", formatInteger(upper)))
	}
	return object("value", formatInteger(int64(len(seen))), "meta", formatMeta(m.boundIfMissing(Lower)))
}

// mergePercentiles computes percentiles of the mixture of the ranges' distributions, each weighted by its number of values.
// A distribution is known at each hundredth, so the rank of a percentile is off by at most one hundredth, in addition to the
// range's own error.
func (n *Node) mergePercentiles(parts []*Partial, count int64) string {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, p := range parts {
		if p.count > 0 {
			lo, hi = min(lo, p.distribution[0]), max(hi, p.distribution[distributionSteps])
		}
	}
	below := func(x float64) float64 { // estimated number of values up to x
		sum := 0.0
		for _, p := range parts {
			if p.count > 0 {
				sum += float64(p.count) * cumulativeFraction(p.distribution, x)
			}
		}
		return sum
	}
	values := make([]string, 0, len(n.Percentiles))
	for _, percent := range n.Percentiles {
		x := math.NaN()
		if count > 0 {
			from, to := lo, hi
			for range 64 { // bisection: 64 halvings reach nearly the precision of a float64
				mid := from + (to-from)/2
				if below(mid) >= percent/100*float64(count) {
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
			values = append(values, quote(name)+":"+formatNumber(x))
		} else {
			values = append(values, object("key", name, "value", formatNumber(x)))
		}
	}
	list := "[" + strings.Join(values, ",") + "]"
	if n.Keyed {
		list = "{" + strings.Join(values, ",") + "}"
	}
	return object("values", list, "meta", formatMeta(Estimate, "rank_error", formatNumber(1.0/distributionSteps)))
}

// cumulativeFraction returns the fraction of a distribution up to x, interpolated between its known points.
func cumulativeFraction(dist []float64, x float64) float64 {
	i := sort.Search(len(dist), func(i int) bool { return dist[i] > x }) // the first point above x
	switch {
	case i == 0:
		return 0
	case i == len(dist):
		return 1
	}
	return (float64(i-1) + (x-dist[i-1])/(dist[i]-dist[i-1])) / distributionSteps
}

// mergeTopHits merges the best hits of the ranges.
func (m *merger) mergeTopHits(n *Node, parts []*Partial, count int64) string {
	var all []hit
	for _, p := range parts {
		all = append(all, p.hits...)
	}
	desc := n.Sort == "" || strings.Contains(n.Sort, `"desc"`)
	slices.SortStableFunc(all, func(a, b hit) int { // lots without the sort field come last
		if aNull, bNull := a.sort.Type == gjson.Null, b.sort.Type == gjson.Null; aNull || bNull {
			return map[bool]int{true: 1}[aNull] - map[bool]int{true: 1}[bNull]
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
	if m.rangeMissing {
		relation = `"gte"`
	}
	return object("hits", object("total", object("value", formatInteger(count), "relation", relation), "max_score", "null",
		"hits", "["+strings.Join(raws, ",")+"]"), "meta", formatMeta(m.boundIfMissing(Estimate)))
}
