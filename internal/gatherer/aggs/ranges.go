package aggs

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// fixed adds up buckets that are the same at every range.
func (m *merger) fixed(b []byte, n *Node, parts []*Part) ([]byte, error) {
	one := n.Kind == Filter || n.Kind == Missing
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
				at, _ = strconv.Atoi(unquote(x.key.raw)) // as decoded
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
	if one {
		text, err := m.bucket(nil, n, &all[0])
		if err != nil || m.lacks(Lower) == Exact {
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
		name, from, to := "", "", ""
		switch {
		case len(n.Ranges) > 0:
			name, from, to = n.Ranges[i].name(), all[i].from.Raw, all[i].to.Raw
			from, to = cmp.Or(from, n.Ranges[i].From), cmp.Or(to, n.Ranges[i].To)
		case i < len(n.Filters):
			name = n.Filters[i].Name
		default:
			name = n.Other
		}
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
	if text := meta(m.lacks(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// name is a range's key, as the API makes it where none is given.
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
