package aggs

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// terms ranks the terms that ranges listed. A range that cut its list may hold of any term that it did not list as many
// lots as its last bucket, no more: that is the error, of each bucket and of terms that are in no list. By key there is
// none: the first keys over all are among the first of each range.
func (m *merger) terms(b []byte, n *Node, parts []*Part) ([]byte, error) {
	all, other, caps := map[string]*merged{}, int64(0), int64(0)
	for _, p := range parts {
		limit := int64(0)
		if other += p.other; p.other > 0 && !n.ByKey && len(p.buckets) > 0 {
			limit = p.buckets[len(p.buckets)-1].docs
		}
		caps += limit
		for i := range p.buckets {
			x, err := m.keep(all, p.buckets[i].key.raw, &p.buckets[i])
			if err != nil {
				return nil, err
			}
			x.listed += limit
		}
	}
	list := make([]*merged, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *merged) int {
		if c := cmp.Compare(y.docs, x.docs); c != 0 && !n.ByKey {
			return c
		}
		c := x.key.compare(y.key)
		if n.ByKey && n.Desc {
			c = -c
		}
		return c
	})
	least := max(n.MinDocs, 1)
	if n.MinDocs > 1 && caps > 0 { // a bucket under the least may reach it by what was cut off
		least = max(n.MinDocs-caps, 1)
	}
	b = append(b, `{"buckets":[`...)
	shown := 0
	for _, x := range list {
		if shown == n.Size || x.docs < least {
			other += x.docs
			continue
		}
		if shown > 0 {
			b = append(b, ',')
		}
		shown++
		var err error
		if b, err = m.bucket(b, n, x, "key", x.key.raw, "key_as_string", quoted(x.text), "doc_count_error_upper_bound", whole(caps-x.listed)); err != nil {
			return nil, err
		}
	}
	b = append(b, "],"...)
	return append(b, object("doc_count_error_upper_bound", whole(caps), "sum_other_doc_count", whole(other), "meta", meta(m.lacks(Lower)))[1:]...), nil
}

func (k key) compare(o key) int {
	if k.str || o.str {
		return strings.Compare(unquote(k.raw), unquote(o.raw))
	}
	x, err1 := strconv.ParseInt(k.raw, 10, 64)
	y, err2 := strconv.ParseInt(o.raw, 10, 64)
	if err1 == nil && err2 == nil { // exact past 2^53
		return cmp.Compare(x, y)
	}
	return cmp.Compare(k.num, o.num)
}
