package aggs

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// mergeTerms merges and ranks the terms that ranges listed. A range that truncated its list may have up to as many lots of an
// unlisted term as of its last bucket: that is the error, of each bucket and of terms in no list. By key there is no error:
// the first keys overall are among the first of each range.
func (m *merger) mergeTerms(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	all, other, errorBound := map[string]*merged{}, int64(0), int64(0)
	for _, p := range parts {
		limit := int64(0)
		if other += p.other; p.other > 0 && !n.ByKey && len(p.buckets) > 0 {
			limit = p.buckets[len(p.buckets)-1].docs
		}
		errorBound += limit
		for i := range p.buckets {
			x, err := m.mergeBucket(all, p.buckets[i].key.raw, &p.buckets[i])
			if err != nil {
				return nil, err
			}
			x.listedError += limit
		}
	}
	list := n.rankTerms(all)
	least := max(n.MinDocs, 1)
	if n.MinDocs > 1 && errorBound > 0 { // a bucket below the least may reach it by what was truncated
		least = max(n.MinDocs-errorBound, 1)
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
		if b, err = m.bucket(b, n, x, "key", x.key.raw, "key_as_string", quoted(x.text), "doc_count_error_upper_bound", integer(errorBound-x.listedError)); err != nil {
			return nil, err
		}
	}
	b = append(b, "],"...)
	return append(b, object("doc_count_error_upper_bound", integer(errorBound), "sum_other_doc_count", integer(other), "meta", meta(m.boundIfMissing(Lower)))[1:]...), nil
}

// rankTerms sorts buckets by the order of the terms.
func (n *Node) rankTerms(all map[string]*merged) []*merged {
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
	return list
}

// compare orders keys: strings as such, integers exactly.
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
