package aggs

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// mergeTerms merges the buckets of a terms aggregation. A range that truncated its list may hold, of a term that it did not
// list, as many lots as its last bucket has: its cutoff. The sum of all cutoffs is the error for terms that no range listed;
// a bucket's error is the sum over the ranges that did not list its term. Ordered by key there is no error, since the first
// keys overall are among the first of each range.
func (m *merger) mergeTerms(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	all, other, errorBound := map[string]*mergedBucket{}, int64(0), int64(0)
	for _, p := range parts {
		cutoff := int64(0)
		if other += p.otherDocs; p.otherDocs > 0 && !n.OrderByKey && len(p.buckets) > 0 {
			cutoff = p.buckets[len(p.buckets)-1].docs
		}
		errorBound += cutoff
		for i := range p.buckets {
			x, err := m.mergeBucket(all, p.buckets[i].key.raw, &p.buckets[i])
			if err != nil {
				return nil, err
			}
			x.listingCutoffs += cutoff
		}
	}
	list := n.sortTerms(all)
	minDocs := max(n.MinDocCount, 1)
	if n.MinDocCount > 1 && errorBound > 0 { // with the lots that ranges cut off, a bucket may reach the minimum
		minDocs = max(n.MinDocCount-errorBound, 1)
	}
	b = append(b, `{"buckets":[`...)
	shown := 0
	for _, x := range list {
		if shown == n.Size || x.docs < minDocs {
			other += x.docs
			continue
		}
		if shown > 0 {
			b = append(b, ',')
		}
		shown++
		var err error
		if b, err = m.appendBucket(b, n, x, "key", x.key.raw, "key_as_string", quoteUnlessEmpty(x.keyAsString), "doc_count_error_upper_bound", formatInteger(errorBound-x.listingCutoffs)); err != nil {
			return nil, err
		}
	}
	b = append(b, "],"...)
	return append(b, object("doc_count_error_upper_bound", formatInteger(errorBound), "sum_other_doc_count", formatInteger(other), "meta", formatMeta(m.boundIfMissing(Lower)))[1:]...), nil
}

// sortTerms returns the buckets in the order that the terms aggregation asks for.
func (n *Node) sortTerms(all map[string]*mergedBucket) []*mergedBucket {
	list := make([]*mergedBucket, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *mergedBucket) int {
		if c := cmp.Compare(y.docs, x.docs); c != 0 && !n.OrderByKey {
			return c
		}
		c := x.key.compare(y.key)
		if n.OrderByKey && n.Descending {
			c = -c
		}
		return c
	})
	return list
}

// compare orders keys. Strings are compared as strings, integers exactly even beyond 2^53, and other numbers as floats.
func (k key) compare(o key) int {
	if k.isString || o.isString {
		return strings.Compare(unquote(k.raw), unquote(o.raw))
	}
	x, err1 := strconv.ParseInt(k.raw, 10, 64)
	y, err2 := strconv.ParseInt(o.raw, 10, 64)
	if err1 == nil && err2 == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(k.num, o.num)
}
