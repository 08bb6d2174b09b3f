package aggs

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// mergeFixed merges the kinds whose buckets are the same in every range of lots: range, date_range, filters, filter and
// missing.
func (m *merger) mergeFixed(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	all := n.sumFixedBuckets(parts)
	if n.Kind == Filter || n.Kind == Missing {
		text, err := m.appendBucket(nil, n, &all[0])
		if err != nil || m.boundIfMissing(Lower) == Exact {
			return append(b, text...), err
		}
		return append(append(b, text[:len(text)-1]...), `,"meta":`+formatMeta(Lower)+"}"...), nil
	}
	opening, closing := byte('['), byte(']')
	if n.Keyed {
		opening, closing = '{', '}'
	}
	b = append(append(b, `{"buckets":`...), opening)
	for i := range all {
		if i > 0 {
			b = append(b, ',')
		}
		name, from, to := n.fixedBucket(i, &all[i])
		key := quoteUnlessEmpty(name)
		if n.Keyed {
			b = append(append(b, quote(name)...), ':')
			key = ""
		} else if n.Kind == Filters {
			key = ""
		}
		var err error
		if b, err = m.appendBucket(b, n, &all[i], "key", key, "from", from, "to", to); err != nil {
			return nil, err
		}
	}
	b = append(b, closing)
	if text := formatMeta(m.boundIfMissing(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// sumFixedBuckets adds up the buckets of all ranges of lots. A bucket is identified by its index, which in a range
// aggregation is also its key.
func (n *Node) sumFixedBuckets(parts []*Partial) []mergedBucket {
	size := 1
	if len(n.Ranges) > 0 {
		size = len(n.Ranges)
	} else if n.Kind == Filters {
		size = len(n.Filters)
		if n.OtherBucketKey != "" {
			size++
		}
	}
	all := make([]mergedBucket, size)
	for _, p := range parts {
		for i := range p.buckets {
			x := &p.buckets[i]
			index := i
			if len(n.Ranges) > 0 {
				index, _ = strconv.Atoi(unquote(x.key.raw)) // checked by checkBuckets
			}
			sum := &all[index]
			if !sum.from.Exists() {
				sum.from, sum.to = x.from, x.to
			}
			sum.docs += x.docs
			if x.subs != nil {
				sum.subs = append(sum.subs, x.subs)
			}
		}
	}
	return all
}

// fixedBucket returns the name of the i-th bucket and, for a range aggregation, its ends as JSON.
func (n *Node) fixedBucket(i int, x *mergedBucket) (name, from, to string) {
	switch {
	case len(n.Ranges) > 0:
		r := &n.Ranges[i]
		return r.name(), cmp.Or(x.from.Raw, r.From), cmp.Or(x.to.Raw, r.To)
	case i < len(n.Filters):
		return n.Filters[i].Name, "", ""
	}
	return n.OtherBucketKey, "", ""
}

// name returns the key of a range of values. Without one from the client it is made of the ends, as in OpenSearch.
func (s Span) name() string {
	if s.Key != "" {
		return s.Key
	}
	end := func(raw string) string {
		if raw == "" {
			return "*"
		}
		v := gjson.Parse(raw)
		if v.Type == gjson.Number {
			text := strconv.FormatFloat(v.Num, 'f', -1, 64)
			if !strings.Contains(text, ".") {
				text += ".0"
			}
			return text
		}
		return v.String()
	}
	return end(s.From) + "-" + end(s.To)
}
