package aggs

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// mergeFixed merges buckets that are the same at every range: of ranges, filters, filter and missing.
func (m *merger) mergeFixed(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	all := n.sumFixed(parts)
	if n.Kind == Filter || n.Kind == Missing {
		text, err := m.bucket(nil, n, &all[0])
		if err != nil || m.boundIfMissing(Lower) == Exact {
			return append(b, text...), err
		}
		return append(append(b, text[:len(text)-1]...), `,"meta":`+meta(Lower)+"}"...), nil
	}
	open, end := byte('['), byte(']')
	if n.Keyed {
		open, end = '{', '}'
	}
	b = append(append(b, `{"buckets":`...), open)
	for i := range all {
		if i > 0 {
			b = append(b, ',')
		}
		name, from, to := n.fixedBucket(i, &all[i])
		key := quoted(name)
		if n.Keyed {
			b = append(append(b, quote(name)...), ':')
			key = ""
		} else if n.Kind == Filters {
			key = ""
		}
		var err error
		if b, err = m.bucket(b, n, &all[i], "key", key, "from", from, "to", to); err != nil {
			return nil, err
		}
	}
	b = append(b, end)
	if text := meta(m.boundIfMissing(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// sumFixed adds up the buckets by their index.
func (n *Node) sumFixed(parts []*Partial) []merged {
	size := 1
	if len(n.Ranges) > 0 {
		size = len(n.Ranges)
	} else if n.Kind == Filters {
		size = len(n.Filters)
		if n.Other != "" {
			size++
		}
	}
	all := make([]merged, size)
	for _, p := range parts {
		for i := range p.buckets {
			x := &p.buckets[i]
			at := i
			if len(n.Ranges) > 0 {
				at, _ = strconv.Atoi(unquote(x.key.raw)) // checked by decodeBuckets
			}
			y := &all[at]
			if !y.from.Exists() {
				y.from, y.to = x.from, x.to
			}
			y.docs += x.docs
			if x.subs != nil {
				y.subs = append(y.subs, x.subs)
			}
		}
	}
	return all
}

// fixedBucket is the name of the i-th bucket and, of a range, its ends as JSON.
func (n *Node) fixedBucket(i int, x *merged) (name, from, to string) {
	switch {
	case len(n.Ranges) > 0:
		r := &n.Ranges[i]
		return r.name(), cmp.Or(x.from.Raw, r.From), cmp.Or(x.to.Raw, r.To)
	case i < len(n.Filters):
		return n.Filters[i].Name, "", ""
	}
	return n.Other, "", ""
}

// name is the key of a range, as the API makes it where none is given.
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
