package aggs

import (
	"errors"
	"math"
)

// Bound is the relation of a value to the true one.
type Bound string

// The bounds. Exact values do not state theirs.
const (
	Exact    Bound = "exact"
	Lower    Bound = "lower"    // the true value is at least this
	Upper    Bound = "upper"    // the true value is at most this
	Estimate Bound = "estimate" // the true value may be more or less
)

// ErrTooMany is returned for more buckets than one answer may have.
var ErrTooMany = errors.New("more buckets than an answer may have")

// maxMergedBuckets bounds the buckets in memory while answers are merged.
const maxMergedBuckets = 16 * MaxBuckets

// Merge merges ranges' answers into the value of aggregations. Missing says that some range is not among them, so that
// counts are bounds.
func Merge(list []*Node, answers [][]Partial, missing bool) ([]byte, error) {
	m := merger{missing: missing}
	b, err := m.list(nil, list, answers)
	if err != nil {
		return nil, err
	}
	return b, nil
}

// merger merges answers and counts buckets.
type merger struct {
	missing bool
	buckets int // in the merged answer
	merged  int // while merging
}

// list merges a list of aggregations. Answers are by range, then by aggregation.
func (m *merger) list(b []byte, list []*Node, answers [][]Partial) ([]byte, error) {
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
		if b, err = m.node(b, n, parts); err != nil {
			return nil, err
		}
	}
	return append(b, '}'), nil
}

// meta encodes a bound, and more members.
func meta(b Bound, more ...string) string {
	if b == Exact {
		return ""
	}
	return object(append([]string{"bound", quote(string(b))}, more...)...)
}

// boundIfMissing is the bound of a value that is exact if no range is missing.
func (m *merger) boundIfMissing(b Bound) Bound {
	if m.missing {
		return b
	}
	return Exact
}

// node merges one aggregation.
func (m *merger) node(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	var sum total
	docs, least, greatest := int64(0), math.NaN(), math.NaN()
	for _, p := range parts {
		sum.add(p.sum)
		docs += p.count
		least, greatest = lesser(least, p.min), greater(greatest, p.max)
	}
	switch n.Kind {
	case Min:
		return append(b, object("value", num(least), "meta", meta(m.boundIfMissing(Upper)))...), nil
	case Max:
		return append(b, object("value", num(greatest), "meta", meta(m.boundIfMissing(Lower)))...), nil
	case Sum:
		return append(b, object("value", num(sum.value()), "meta", meta(m.boundIfMissing(Estimate)))...), nil
	case ValueCount:
		return append(b, object("value", integer(docs), "meta", meta(m.boundIfMissing(Lower)))...), nil
	case Avg, Stats:
		avg := math.NaN()
		if docs > 0 {
			avg = sum.value() / float64(docs)
		}
		if n.Kind == Avg {
			return append(b, object("value", num(avg), "meta", meta(m.boundIfMissing(Estimate)))...), nil
		}
		return append(b, object("count", integer(docs), "min", num(least), "max", num(greatest), "avg", num(avg),
			"sum", num(sum.value()), "meta", meta(m.boundIfMissing(Estimate)))...), nil
	case Cardinality:
		return append(b, m.cardinality(parts)...), nil
	case Percentiles:
		return append(b, n.percentiles(parts, docs)...), nil
	case TopHits:
		return append(b, m.topHits(n, parts, docs)...), nil
	case Terms:
		return m.mergeTerms(b, n, parts)
	case Histogram, DateHistogram:
		return m.mergeHistogram(b, n, parts)
	}
	return m.mergeFixed(b, n, parts)
}

// merged is a bucket merged from several ranges.
type merged struct {
	bucket
	subs        [][]Partial
	listedError int64 // by how many lots the ranges that list it may have cut off any other bucket
}

// mergeBucket adds a bucket to that of the same name.
func (m *merger) mergeBucket(into map[string]*merged, name string, x *bucket) (*merged, error) {
	b := into[name]
	if b == nil {
		if m.merged++; m.merged > maxMergedBuckets {
			return nil, ErrTooMany
		}
		b = &merged{bucket: *x}
		b.docs = 0
		into[name] = b
	}
	b.docs += x.docs
	if x.subs != nil {
		b.subs = append(b.subs, x.subs)
	}
	return b, nil
}

// bucket encodes a bucket, its key members first.
func (m *merger) bucket(b []byte, n *Node, x *merged, members ...string) ([]byte, error) {
	if m.buckets++; m.buckets > MaxBuckets {
		return nil, ErrTooMany
	}
	text := object(append(members, "doc_count", integer(x.docs))...)
	b = append(b, text[:len(text)-1]...)
	if len(n.Subs) > 0 {
		subs, err := m.list(nil, n.Subs, x.subs)
		if err != nil {
			return nil, err
		}
		if len(subs) > 2 {
			b = append(append(b, ','), subs[1:len(subs)-1]...)
		}
	}
	return append(b, '}'), nil
}
