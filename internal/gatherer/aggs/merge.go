package aggs

import (
	"errors"
	"math"
)

// Bound says how a figure stands to the true one.
type Bound string

// The bounds. Exact figures do not name theirs.
const (
	Exact    Bound = "exact"
	Lower    Bound = "lower"    // the true one is this or more
	Upper    Bound = "upper"    // the true one is this or less
	Estimate Bound = "estimate" // either
)

// ErrTooMany is more buckets than one answer may have.
var ErrTooMany = errors.New("more buckets than an answer may have")

// keptMost bounds the buckets that are kept while ranges' answers come together.
const keptMost = 16 * MaxBuckets

// Merge makes one answer, as the value of aggregations, of ranges' answers. missing says that some range is not among
// them, so that counts are bounds.
func Merge(list []*Node, answers [][]Part, missing bool) ([]byte, error) {
	m := merger{missing: missing}
	b, err := m.list(nil, list, answers)
	if err != nil {
		return nil, err
	}
	return b, nil
}

type merger struct {
	missing bool
	buckets int // in the answer
	kept    int // while merging
}

// list formats aggregations; answers are by range, then by aggregation.
func (m *merger) list(b []byte, list []*Node, answers [][]Part) ([]byte, error) {
	b = append(b, '{')
	for i, n := range list {
		if i > 0 {
			b = append(b, ',')
		}
		parts := make([]*Part, len(answers))
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

// meta formats a bound, and more beside it.
func meta(b Bound, more ...string) string {
	if b == Exact {
		return ""
	}
	return object(append([]string{"bound", quote(string(b))}, more...)...)
}

// if missing, a figure that is else exact is a bound of this kind.
func (m *merger) lacks(b Bound) Bound {
	if m.missing {
		return b
	}
	return Exact
}

func (m *merger) node(b []byte, n *Node, parts []*Part) ([]byte, error) {
	var sum total
	docs, least, greatest := int64(0), math.NaN(), math.NaN()
	for _, p := range parts {
		sum.add(p.sum)
		docs += p.count
		least, greatest = lesser(least, p.min), greater(greatest, p.max)
	}
	switch n.Kind {
	case Min:
		return append(b, object("value", num(least), "meta", meta(m.lacks(Upper)))...), nil
	case Max:
		return append(b, object("value", num(greatest), "meta", meta(m.lacks(Lower)))...), nil
	case Sum:
		return append(b, object("value", num(sum.value()), "meta", meta(m.lacks(Estimate)))...), nil
	case ValueCount:
		return append(b, object("value", whole(docs), "meta", meta(m.lacks(Lower)))...), nil
	case Avg, Stats:
		avg := math.NaN()
		if docs > 0 {
			avg = sum.value() / float64(docs)
		}
		if n.Kind == Avg {
			return append(b, object("value", num(avg), "meta", meta(m.lacks(Estimate)))...), nil
		}
		return append(b, object("count", whole(docs), "min", num(least), "max", num(greatest), "avg", num(avg),
			"sum", num(sum.value()), "meta", meta(m.lacks(Estimate)))...), nil
	case Cardinality:
		return append(b, m.cardinality(parts)...), nil
	case Percentiles:
		return append(b, n.percentiles(parts, docs)...), nil
	case TopHits:
		return append(b, m.topHits(n, parts, docs)...), nil
	case Terms:
		return m.terms(b, n, parts)
	case Histogram, DateHistogram:
		return m.histogram(b, n, parts)
	}
	return m.fixed(b, n, parts)
}

// merged is a bucket out of several ranges'.
type merged struct {
	bucket
	subs   [][]Part
	listed int64 // what the ranges that list it can at most have cut off of any other
}

func (m *merger) keep(into map[string]*merged, name string, x *bucket) (*merged, error) {
	b := into[name]
	if b == nil {
		if m.kept++; m.kept > keptMost {
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

// bucket formats a bucket after its key.
func (m *merger) bucket(b []byte, n *Node, x *merged, members ...string) ([]byte, error) {
	if m.buckets++; m.buckets > MaxBuckets {
		return nil, ErrTooMany
	}
	text := object(append(members, "doc_count", whole(x.docs))...)
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
