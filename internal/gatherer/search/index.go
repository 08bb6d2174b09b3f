package search

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// Bound is what is known of a range's best lot for a query: no lot of the range comes before it.
type Bound struct {
	None bool // no lot of the range matches
	// Best are the sort values of a lot that none comes before; only the first where the bound is of that key.
	Best  []merge.Value
	Count int64 // of lots that match
	Exact bool  // Count is known
}

// Index remembers bounds by range, learnt from answers whose lot stores promised that their view holds for a while.
// A bound is of a version of its range, and may be used while some copy has promised that its searches see that
// version. It is void when any copy names a later one, or when a copy that spoke for the range has started anew: its
// numbering proves nothing then. One whose promise has run out counts again when a copy promises the same version.
//
// It is a table of ranges for each name, so that a query finds its bounds by one look-up and then by number. The
// names not used for longest go first when there are more slots than most. It is not safe for concurrent use.
type Index struct {
	ranges []rangeView
	tables map[string]*table
	// first and last used; a ring through root
	root  table
	most  int
	slots int
	// numeric has the fields whose values were seen to be numbers: only of these may extremes be asked for, as lot
	// stores fail a question for those of others.
	numeric map[string]struct{}
}

// numericMost bounds the fields that are remembered as numeric.
const numericMost = 1000

// rangeView is the latest view that was heard of for a range.
type rangeView struct {
	version int64
	until   time.Duration // nothing that was promised holds for longer
	gen     uint32        // bounds of another one are void
	boots   map[uint32]string
}

type table struct {
	name       string
	slots      []slot
	prev, next *table
}

type slot struct {
	gen uint32 // from 1 on
	Bound
}

// NewIndex makes an index for ranges numbered from 0 that keeps at most so many bounds, about 100 bytes each.
func NewIndex(ranges, most int) *Index {
	x := &Index{ranges: make([]rangeView, ranges), tables: map[string]*table{}, most: max(most, ranges),
		numeric: map[string]struct{}{}}
	x.root.prev, x.root.next = &x.root, &x.root
	return x
}

// Len is the number of bounds that there is room for at present, and of names.
func (x *Index) Len() (slots, names int) { return x.slots, len(x.tables) }

// observe records the view of an answer whose question left at asked, and says whether a bound may be learnt.
func (x *Index) observe(number int, source uint32, v View, asked time.Duration) bool {
	if number < 0 || number >= len(x.ranges) || v.Boot == "" {
		return false
	}
	r := &x.ranges[number]
	if r.boots == nil {
		r.boots, r.gen = map[uint32]string{}, 1
	}
	if old, ok := r.boots[source]; ok && old != v.Boot {
		r.gen++ // started anew: its numbers, also those that others took over from it, may begin again
		r.version, r.until = v.Version, 0
	}
	r.boots[source] = v.Boot
	until := asked + time.Duration(v.Holds*float64(time.Second))
	switch {
	case v.Version > r.version || asked >= r.until: // later, or nothing promised holds any more
		if v.Version != r.version {
			r.gen++
		}
		r.version, r.until = v.Version, until
	case v.Version < r.version:
		return false // a copy that lags behind
	default:
		r.until = max(r.until, until)
	}
	return true
}

// Forget voids what a lot store said: its process has ended, or another has taken its place.
func (x *Index) Forget(source uint32) {
	for i := range x.ranges {
		r := &x.ranges[i]
		if _, spoke := r.boots[source]; spoke {
			delete(r.boots, source)
			r.gen++
		}
	}
}

// Learn records an answer of a range to a query, from a lot store and to a question that left at asked.
func (x *Index) Learn(q *Query, number int, source uint32, a *Answer, asked time.Duration) {
	if f := q.Keys[0].Field; len(a.Hits) > 0 && a.Hits[0].Sort[0].Kind == merge.Number && len(x.numeric) < numericMost {
		x.numeric[f] = struct{}{}
	}
	if !x.observe(number, source, a.View, asked) {
		return
	}
	b := Bound{Count: a.Total, Exact: q.Count != CountNone && !a.AtLeast}
	b.None = b.Exact && a.Total == 0 || q.page() > 0 && len(a.Hits) == 0
	if len(a.Hits) > 0 {
		b.Best = a.Hits[0].Sort
	}
	if b.None {
		b.Count, b.Exact = 0, true
	}
	known := b.None || b.Best != nil
	if known && q.Name != "" {
		x.put(q.Name, number, b)
	}
	if known && q.Plain && q.byScore() && len(q.Clauses) == 1 {
		c := b
		if !c.None {
			c.Best = b.Best[:1]
		}
		x.put(clauseName(q.Clauses[0]), number, c)
	}
	for field, e := range a.Extremes {
		x.put(leastName(field), number, Bound{Best: []merge.Value{e.Least}})
		x.put(greatestName(field), number, Bound{Best: []merge.Value{e.Greatest}})
	}
}

// Names of what is no whole query. A query's own name comes from its host and never begins with a zero byte.
func clauseName(clause string) string  { return "\x00c" + clause }
func leastName(field string) string    { return "\x00<" + field }
func greatestName(field string) string { return "\x00>" + field }

func (x *Index) put(name string, number int, b Bound) {
	t := x.tables[name]
	if t == nil {
		for x.slots+len(x.ranges) > x.most && x.root.prev != &x.root {
			x.drop(x.root.prev)
		}
		t = &table{name: name, slots: make([]slot, len(x.ranges))}
		x.tables[name] = t
		x.slots += len(t.slots)
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
	}
	x.front(t)
	s := &t.slots[number]
	if s.gen == x.ranges[number].gen && s.Exact && !b.Exact { // the same lots, not counted this time
		b.Count, b.Exact = s.Count, true
	}
	*s = slot{x.ranges[number].gen, b}
}

func (x *Index) front(t *table) {
	t.prev, t.next = &x.root, x.root.next
	t.prev.next, t.next.prev = t, t
}

func (x *Index) drop(t *table) {
	t.prev.next, t.next.prev = t.next, t.prev
	delete(x.tables, t.name)
	x.slots -= len(t.slots)
}

// use finds a name's table and marks it as used.
func (x *Index) use(name string) *table {
	t := x.tables[name]
	if t != nil {
		t.prev.next, t.next.prev = t.next, t.prev
		x.front(t)
	}
	return t
}

// at is a range's bound in a table, nil where none holds.
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
	whole   *table
	clauses []*table
	field   *table
	sums    []merge.Value // room for sums, so that each is no allocation
}

// bounds begins to look up the bounds of a query; nothing but reading may follow until it is done.
func (x *Index) bounds(q *Query, now time.Duration) bounder {
	b := bounder{x: x, q: q, now: now}
	if x == nil {
		return b
	}
	if q.Name != "" {
		b.whole = x.use(q.Name)
	}
	first := q.Keys[0]
	switch {
	case q.byScore():
		for _, c := range q.Clauses {
			t := x.use(clauseName(c))
			if t == nil { // a sum lacks a term
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

// of is the bound of a range, false where there is none.
func (b *bounder) of(number int) (Bound, bool) {
	if s := b.x.at(b.whole, number, b.now); s != nil {
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
		if !s.None {
			none = false
			sum += max(s.Best[0].Num, 0)
		}
	}
	if none {
		return Bound{None: true, Exact: true}, true
	}
	if len(b.sums) == cap(b.sums) {
		return Bound{}, false
	}
	b.sums = append(b.sums, merge.Num(sum*(1+merge.Slip)))
	return Bound{Best: b.sums[len(b.sums)-1:]}, true
}

// lacksField says whether the extremes of the query's first key are of use and not known for a range.
func (b *bounder) lacksField(number int) bool {
	if b.x == nil {
		return false
	}
	first := b.q.Keys[0]
	_, numeric := b.x.numeric[first.Field]
	return numeric && first.Field != merge.Score && !first.MissingFirst && b.x.at(b.field, number, b.now) == nil
}
