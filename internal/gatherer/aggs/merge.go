package aggs

import (
	"errors"
	"math"
)

// Bound says how a value relates to the true one, which is over all ranges.
type Bound string

// The bounds. In answers to clients, exact values state none.
const (
	Exact    Bound = "exact"
	Lower    Bound = "lower"    // the true value is at least this
	Upper    Bound = "upper"    // the true value is at most this
	Estimate Bound = "estimate" // the true value may be more or less
)

// ErrTooManyBuckets is returned if a merged answer would have too many buckets, or too many would be in memory while merging.
var ErrTooManyBuckets = errors.New("more buckets than an answer may have")

// maxMergedBuckets limits the buckets that are in memory while answers are merged.
const maxMergedBuckets = 16 * MaxBuckets

// Merge merges the ranges' answers into the JSON value of aggregations. Missing says that the answer of some range is not
// among them, so that counts are only bounds.
func Merge(list []*Node, answers [][]Partial, missing bool) ([]byte, error) {
	m := merger{rangeMissing: missing}
	b, err := m.mergeList(nil, list, answers)
	if err != nil {
		return nil, err
	}
	return b, nil
}

// merger merges answers and counts their buckets against the limits.
type merger struct {
	rangeMissing  bool
	resultBuckets int // in the merged answer so far
	mergedBuckets int // in memory so far; at most maxMergedBuckets
}

// mergeList merges a list of aggregations. Answers are indexed by range, then by aggregation.
func (m *merger) mergeList(b []byte, list []*Node, answers [][]Partial) ([]byte, error) {
	b = append(b, '{')
	for i, n := range list {
		if i > 0 {
			b = append(b, ',')
		}
		parts := make([]*Partial, len(answers))
		for r := range answers {
			parts[r] = &answers[r][i]
		}
		b = append(append(b, quote(n.Name)...), ':')
		var err error
		if b, err = m.mergeNode(b, n, parts); err != nil {
			return nil, err
		}
	}
	return append(b, '}'), nil
}

// formatMeta encodes the meta member of a value: its bound, and more members. It is empty for an exact value.
func formatMeta(b Bound, more ...string) string {
	if b == Exact {
		return ""
	}
	return object(append([]string{"bound", quote(string(b))}, more...)...)
}

// boundIfMissing returns b if the answer of a range is missing, else Exact.
func (m *merger) boundIfMissing(b Bound) Bound {
	if m.rangeMissing {
		return b
	}
	return Exact
}

// mergeNode merges the answers to one aggregation.
func (m *merger) mergeNode(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	var sum compensatedSum
	count, lowest, highest := int64(0), math.NaN(), math.NaN()
	for _, p := range parts {
		sum.add(p.sum)
		count += p.count
		lowest, highest = minIgnoringNaN(lowest, p.min), maxIgnoringNaN(highest, p.max)
	}
	switch n.Kind {
	case Min:
		return append(b, object("value", formatNumber(lowest), "meta", formatMeta(m.boundIfMissing(Upper)))...), nil
	case Max:
		return append(b, object("value", formatNumber(highest), "meta", formatMeta(m.boundIfMissing(Lower)))...), nil
	case Sum:
		return append(b, object("value", formatNumber(sum.value()), "meta", formatMeta(m.boundIfMissing(Estimate)))...), nil
	case ValueCount:
		return append(b, object("value", formatInteger(count), "meta", formatMeta(m.boundIfMissing(Lower)))...), nil
	case Avg, Stats:
		avg := math.NaN()
		if count > 0 {
			avg = sum.value() / float64(count)
		}
		if n.Kind == Avg {
			return append(b, object("value", formatNumber(avg), "meta", formatMeta(m.boundIfMissing(Estimate)))...), nil
		}
		return append(b, object("count", formatInteger(count), "min", formatNumber(lowest), "max", formatNumber(highest), "avg", formatNumber(avg),
			"sum", formatNumber(sum.value()), "meta", formatMeta(m.boundIfMissing(Estimate)))...), nil
	case Cardinality:
		return append(b, m.mergeCardinality(parts)...), nil
	case Percentiles:
		return append(b, n.mergePercentiles(parts, count)...), nil
	case TopHits:
		return append(b, m.mergeTopHits(n, parts, count)...), nil
	case Terms:
		return m.mergeTerms(b, n, parts)
	case Histogram, DateHistogram:
		return m.mergeHistogram(b, n, parts)
	}
	return m.mergeFixed(b, n, parts)
}

// mergedBucket is a bucket merged from several ranges.
type mergedBucket struct {
	bucket
	subs           [][]Partial // nested aggregations, by range
	listingCutoffs int64       // of a terms: the sum of the cutoffs, see mergeTerms, of the ranges that list this bucket
}

// mergeBucket adds the bucket of a range to the merged bucket of the same name.
func (m *merger) mergeBucket(all map[string]*mergedBucket, name string, x *bucket) (*mergedBucket, error) {
	b := all[name]
	if b == nil {
		if m.mergedBuckets++; m.mergedBuckets > maxMergedBuckets {
			return nil, ErrTooManyBuckets
		}
		b = &mergedBucket{bucket: *x}
		b.docs = 0
		all[name] = b
	}
	b.docs += x.docs
	if x.subs != nil {
		b.subs = append(b.subs, x.subs)
	}
	return b, nil
}

// appendBucket encodes a bucket. The given members, such as its key, come first.
func (m *merger) appendBucket(b []byte, n *Node, x *mergedBucket, members ...string) ([]byte, error) {
	if m.resultBuckets++; m.resultBuckets > MaxBuckets {
		return nil, ErrTooManyBuckets
	}
	text := object(append(members, "doc_count", formatInteger(x.docs))...)
	b = append(b, text[:len(text)-1]...)
	if len(n.Subs) > 0 {
		subs, err := m.mergeList(nil, n.Subs, x.subs)
		if err != nil {
			return nil, err
		}
		if len(subs) > 2 {
			b = append(append(b, ','), subs[1:len(subs)-1]...)
		}
	}
	return append(b, '}'), nil
}
