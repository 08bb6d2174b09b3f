package search

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// Bound is a bound of a range's best lot for a query: no lot of the range comes before it.
type Bound struct {
	Empty bool // no lot of the range matches
	// Best are sort values that no lot comes before; only the first where the bound is of that key.
	Best  []merge.Value
	Count int64 // of lots that match
	Exact bool  // Count is known
}

// Index remembers bounds by range, learned from answers whose lot stores guarantee that their view is stable for a while. A
// bound is of one version of its range, and may be used while some replica guarantees that its searches see that version. It
// is invalid once any replica reports a later version, or a replica that has reported versions restarts, as its numbering
// starts again then. A bound whose guarantee has expired is valid again when a replica guarantees the same version.
//
// It has a table of ranges for each name, so that a query finds its bounds by one look-up and then by number. The least
// recently used names are evicted when there are more slots than the limit. It is not safe for concurrent use.
type Index struct {
	ranges []rangeView
	tables map[string]*table
	// root links the tables in a ring, the most recently used first.
	root  table
	limit int
	slots int
	// numeric has the fields whose values are known to be numbers: only of these may extremes be requested, as lot
	// stores fail a request for those of others.
	numeric map[string]struct{}
}

// maxNumericFields bounds the fields that are remembered as numeric.
const maxNumericFields = 1000

// rangeView is the latest known view of a range.
type rangeView struct {
	version int64
	until   time.Duration // the end of the last guarantee
	gen     uint32        // bounds of another generation are invalid
	boots   map[uint32]string
}

// table is the bounds of one name.
type table struct {
	name       string
	slots      []slot
	prev, next *table
}

// slot is one bound with its generation.
type slot struct {
	gen uint32 // from 1 on
	Bound
}

// NewIndex returns an index for ranges numbered from 0 that keeps at most limit bounds, about 100 bytes each.
func NewIndex(ranges, limit int) *Index {
	x := &Index{ranges: make([]rangeView, ranges), tables: map[string]*table{}, limit: max(limit, ranges),
		numeric: map[string]struct{}{}}
	x.root.prev, x.root.next = &x.root, &x.root
	return x
}

// Len returns the number of slots for bounds, and of names.
func (x *Index) Len() (slots, names int) { return x.slots, len(x.tables) }

// observe records the view of an answer to a request sent at sent, and reports whether a bound may be learned.
func (x *Index) observe(number int, source uint32, v View, sent time.Duration) bool {
	if number < 0 || number >= len(x.ranges) || v.Boot == "" {
		return false
	}
	r := &x.ranges[number]
	if r.boots == nil {
		r.boots, r.gen = map[uint32]string{}, 1
	}
	if old, ok := r.boots[source]; ok && old != v.Boot {
		r.gen++ // it restarted: its versions, also those that others took over from it, may start again
		r.version, r.until = v.Version, 0
	}
	r.boots[source] = v.Boot
	until := sent + time.Duration(v.StableFor*float64(time.Second))
	switch {
	case v.Version > r.version || sent >= r.until: // later, or no guarantee holds any more
		if v.Version != r.version {
			r.gen++
		}
		r.version, r.until = v.Version, until
	case v.Version < r.version:
		return false // a replica that lags
	default:
		r.until = max(r.until, until)
	}
	return true
}

// Forget invalidates what a lot store reported, as its process has ended or was replaced.
func (x *Index) Forget(source uint32) {
	for i := range x.ranges {
		r := &x.ranges[i]
		if _, reported := r.boots[source]; reported {
			delete(r.boots, source)
			r.gen++
		}
	}
}

// Learn records an answer of a range to a query, by a lot store to a request sent at sent.
func (x *Index) Learn(q *Query, number int, source uint32, a *Answer, sent time.Duration) {
	if f := q.Keys[0].Field; len(a.Hits) > 0 && a.Hits[0].Sort[0].Kind == merge.Number && len(x.numeric) < maxNumericFields {
		x.numeric[f] = struct{}{}
	}
	if !x.observe(number, source, a.View, sent) {
		return
	}
	b := Bound{Count: a.Total, Exact: q.Count != CountNone && !a.AtLeast}
	b.Empty = b.Exact && a.Total == 0 || q.page() > 0 && len(a.Hits) == 0
	if len(a.Hits) > 0 {
		b.Best = a.Hits[0].Sort
	}
	if b.Empty {
		b.Count, b.Exact = 0, true
	}
	known := b.Empty || b.Best != nil
	if known && q.Name != "" {
		x.store(q.Name, number, b)
	}
	if known && q.Plain && q.byScore() && len(q.Clauses) == 1 {
		c := b
		if !c.Empty {
			c.Best = b.Best[:1]
		}
		x.store(clauseName(q.Clauses[0]), number, c)
	}
	for field, e := range a.Extremes {
		x.store(leastName(field), number, Bound{Best: []merge.Value{e.Least}})
		x.store(greatestName(field), number, Bound{Best: []merge.Value{e.Greatest}})
	}
}

// The names of bounds of clauses and fields. The name of a query never begins with a zero byte.
func clauseName(clause string) string  { return "\x00c" + clause }
func leastName(field string) string    { return "\x00<" + field }
func greatestName(field string) string { return "\x00>" + field }

// store stores a bound.
func (x *Index) store(name string, number int, b Bound) {
	t := x.tables[name]
	if t == nil {
		for x.slots+len(x.ranges) > x.limit && x.root.prev != &x.root {
			x.evict(x.root.prev)
		}
		t = &table{name: name, slots: make([]slot, len(x.ranges))}
		x.tables[name] = t
		x.slots += len(t.slots)
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
	}
	x.moveToFront(t)
	s := &t.slots[number]
	if s.gen == x.ranges[number].gen && s.Exact && !b.Exact { // of the same lots, which were not counted this time
		b.Count, b.Exact = s.Count, true
	}
	*s = slot{x.ranges[number].gen, b}
}

// moveToFront links a table as the most recently used.
func (x *Index) moveToFront(t *table) {
	t.prev, t.next = &x.root, x.root.next
	t.prev.next, t.next.prev = t, t
}

// evict removes a table.
func (x *Index) evict(t *table) {
	t.prev.next, t.next.prev = t.next, t.prev
	delete(x.tables, t.name)
	x.slots -= len(t.slots)
}

// use returns the table of a name and marks it as used.
func (x *Index) use(name string) *table {
	t := x.tables[name]
	if t != nil {
		t.prev.next, t.next.prev = t.next, t.prev
		x.moveToFront(t)
	}
	return t
}

// at returns a range's bound in a table, nil if none is valid.
func (x *Index) at(t *table, number int, now time.Duration) *slot {
	if t == nil || number < 0 || number >= len(t.slots) {
		return nil
	}
	s, r := &t.slots[number], &x.ranges[number]
	if now >= r.until || s.gen != r.gen || s.gen == 0 {
		return nil
	}
	return s
}

// bounder finds one query's bounds.
type bounder struct {
	x       *Index
	q       *Query
	now     time.Duration
	query   *table
	clauses []*table
	field   *table
	sums    []merge.Value // preallocated, so that sums need no allocation
}

// bounds returns the bounds of a query. The index must not be changed while it is in use.
func (x *Index) bounds(q *Query, now time.Duration) bounder {
	b := bounder{x: x, q: q, now: now}
	if x == nil {
		return b
	}
	if q.Name != "" {
		b.query = x.use(q.Name)
	}
	first := q.Keys[0]
	switch {
	case q.byScore():
		for _, c := range q.Clauses {
			t := x.use(clauseName(c))
			if t == nil { // a term of the sum is missing
				b.clauses = nil
				break
			}
			b.clauses = append(b.clauses, t)
		}
		if b.clauses != nil {
			b.sums = make([]merge.Value, 0, len(x.ranges))
		}
	case first.Field == merge.Score || first.MissingFirst:
	case first.Desc:
		b.field = x.use(greatestName(first.Field))
	default:
		b.field = x.use(leastName(first.Field))
	}
	return b
}

// of returns the bound of a range, false if there is none.
func (b *bounder) of(number int) (Bound, bool) {
	if s := b.x.at(b.query, number, b.now); s != nil {
		return s.Bound, true
	}
	if s := b.x.at(b.field, number, b.now); s != nil {
		return s.Bound, true
	}
	if len(b.clauses) == 0 || len(b.clauses) != len(b.q.Clauses) {
		return Bound{}, false
	}
	sum, none := 0.0, true
	for _, t := range b.clauses {
		s := b.x.at(t, number, b.now)
		if s == nil {
			return Bound{}, false
		}
		if !s.Empty {
			none = false
			sum += max(s.Best[0].Num, 0)
		}
	}
	if none {
		return Bound{Empty: true, Exact: true}, true
	}
	if len(b.sums) == cap(b.sums) {
		return Bound{}, false
	}
	b.sums = append(b.sums, merge.Num(sum*(1+merge.Slip)))
	return Bound{Best: b.sums[len(b.sums)-1:]}, true
}

// lacksField reports whether the extremes of the query's first key are of use and unknown for a range.
func (b *bounder) lacksField(number int) bool {
	if b.x == nil {
		return false
	}
	first := b.q.Keys[0]
	_, numeric := b.x.numeric[first.Field]
	return numeric && first.Field != merge.Score && !first.MissingFirst && b.x.at(b.field, number, b.now) == nil
}
