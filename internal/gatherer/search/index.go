package search

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// Bound limits what a range can contribute to a query.
type Bound struct {
	Empty bool // no lot of the range matches
	// Best has sort values such that no lot of the range comes before them. It may have fewer values than there are sort
	// keys.
	Best  []merge.Value
	Count int64 // number of lots that match, if Exact
	Exact bool
}

// Index remembers the bounds of ranges, learned from answers whose lot stores guarantee a stable view for a while. A bound
// holds for one version of its range, and may be used while some replica guarantees that its searches see that version. It
// becomes invalid when any replica reports a later version, and when a replica that has reported versions restarts, as its
// version numbers start again. A bound whose guarantee has expired is valid again when a replica guarantees the same version.
//
// The bounds are stored by name, in one table per name with a slot for each range, so that a query looks up its name once
// and then its bounds by number of the range. The least recently used names are evicted when there are more slots than the
// limit. It is not safe for concurrent use.
type Index struct {
	ranges []rangeView
	tables map[string]*table
	// root is the head of the list of tables, a ring with the most recently used table first.
	root  table
	limit int // maximum number of slots
	slots int // number of slots in all tables
	// numeric has the fields whose values are known to be numbers. Extremes are requested only of these, as lot stores
	// return an error for other fields.
	numeric map[string]struct{}
}

// maxNumericFields limits the size of Index.numeric.
const maxNumericFields = 1000

// rangeView is the latest known view of a range.
type rangeView struct {
	version         int64
	guaranteedUntil time.Duration     // end of the latest guarantee
	generation      uint32            // slots with another generation are invalid
	boots           map[uint32]string // View.Boot by lot store
}

// table has the bounds of one name.
type table struct {
	name       string
	slots      []slot
	prev, next *table
}

// slot is one bound with its generation.
type slot struct {
	generation uint32 // 0 if there is no bound yet
	Bound
}

// NewIndex returns an index for ranges numbered from 0 that keeps at most limit bounds, about 100 bytes each.
func NewIndex(ranges, limit int) *Index {
	x := &Index{ranges: make([]rangeView, ranges), tables: map[string]*table{}, limit: max(limit, ranges),
		numeric: map[string]struct{}{}}
	x.root.prev, x.root.next = &x.root, &x.root
	return x
}

// Len returns the number of slots in all tables, and the number of names.
func (x *Index) Len() (slots, names int) { return x.slots, len(x.tables) }

// observe records the view of an answer to a request that was sent at sent. It reports whether bounds may be learned from
// the answer.
func (x *Index) observe(number int, source uint32, v View, sent time.Duration) bool {
	if number < 0 || number >= len(x.ranges) || v.Boot == "" {
		return false
	}
	r := &x.ranges[number]
	if r.boots == nil {
		r.boots, r.generation = map[uint32]string{}, 1
	}
	if old, ok := r.boots[source]; ok && old != v.Boot {
		r.generation++ // the lot store has restarted, and versions may start again, at replicas that copied from it as well
		r.version, r.guaranteedUntil = v.Version, 0
	}
	r.boots[source] = v.Boot
	until := sent + time.Duration(v.StableFor*float64(time.Second))
	switch {
	case v.Version > r.version || sent >= r.guaranteedUntil: // a later version, or the guarantee of the known one has expired
		if v.Version != r.version {
			r.generation++
		}
		r.version, r.guaranteedUntil = v.Version, until
	case v.Version < r.version:
		return false // this replica lags behind
	default:
		r.guaranteedUntil = max(r.guaranteedUntil, until)
	}
	return true
}

// Forget invalidates the bounds of the ranges for which a lot store has reported views. It must be called when the lot
// store's process may have ended.
func (x *Index) Forget(source uint32) {
	for i := range x.ranges {
		r := &x.ranges[i]
		if _, reported := r.boots[source]; reported {
			delete(r.boots, source)
			r.generation++
		}
	}
}

// Learn records the bounds that follow from a range's answer to a query. Source is the lot store, and sent the time at which
// the request was sent.
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

// Tables of clauses and fields have names that begin with a zero byte, which the names of queries never do.
func clauseName(clause string) string  { return "\x00c" + clause }
func leastName(field string) string    { return "\x00<" + field }
func greatestName(field string) string { return "\x00>" + field }

// store stores a bound of a range under a name.
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
	if s.generation == x.ranges[number].generation && s.Exact && !b.Exact { // the lots are the same, so the earlier count still holds
		b.Count, b.Exact = s.Count, true
	}
	*s = slot{x.ranges[number].generation, b}
}

// moveToFront adds a table to the list as the most recently used.
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

// lookUp returns the table of a name, nil if there is none, and marks it as used.
func (x *Index) lookUp(name string) *table {
	t := x.tables[name]
	if t != nil {
		t.prev.next, t.next.prev = t.next, t.prev
		x.moveToFront(t)
	}
	return t
}

// validSlot returns a range's slot in a table, nil if it has no valid bound.
func (x *Index) validSlot(t *table, number int, now time.Duration) *slot {
	if t == nil || number < 0 || number >= len(t.slots) {
		return nil
	}
	s, r := &t.slots[number], &x.ranges[number]
	if now >= r.guaranteedUntil || s.generation != r.generation || s.generation == 0 {
		return nil
	}
	return s
}

// queryBounds finds the bounds of the ranges for one query.
type queryBounds struct {
	index   *Index // nil for no bounds
	q       *Query
	now     time.Duration
	query   *table        // of the query's name
	clauses []*table      // of its clauses, if known for all of them
	field   *table        // of the first sort key's field
	sums    []merge.Value // allocated once for all ranges
}

// bounds returns the bounds for a query. They must not be used after the index has changed.
func (x *Index) bounds(q *Query, now time.Duration) queryBounds {
	b := queryBounds{index: x, q: q, now: now}
	if x == nil {
		return b
	}
	if q.Name != "" {
		b.query = x.lookUp(q.Name)
	}
	first := q.Keys[0]
	switch {
	case q.byScore():
		for _, c := range q.Clauses {
			t := x.lookUp(clauseName(c))
			if t == nil { // a term of the sum is unknown
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
		b.field = x.lookUp(greatestName(first.Field))
	default:
		b.field = x.lookUp(leastName(first.Field))
	}
	return b
}

// boundOf returns the bound of a range, and false if none is known. In order of preference, it is the bound of the same query,
// that of the first sort key's field, or the sum of the best scores of the clauses.
func (b *queryBounds) boundOf(number int) (Bound, bool) {
	if s := b.index.validSlot(b.query, number, b.now); s != nil {
		return s.Bound, true
	}
	if s := b.index.validSlot(b.field, number, b.now); s != nil {
		return s.Bound, true
	}
	if len(b.clauses) == 0 || len(b.clauses) != len(b.q.Clauses) {
		return Bound{}, false
	}
	sum, empty := 0.0, true
	for _, t := range b.clauses {
		s := b.index.validSlot(t, number, b.now)
		if s == nil {
			return Bound{}, false
		}
		if !s.Empty {
			empty = false
			sum += max(s.Best[0].Num, 0)
		}
	}
	if empty {
		return Bound{Empty: true, Exact: true}, true
	}
	if len(b.sums) == cap(b.sums) {
		return Bound{}, false
	}
	b.sums = append(b.sums, merge.Num(sum*(1+merge.ScoreTolerance)))
	return Bound{Best: b.sums[len(b.sums)-1:]}, true
}

// needsExtremes reports whether the extremes of the first sort key's field are useful for a range and not known.
func (b *queryBounds) needsExtremes(number int) bool {
	if b.index == nil {
		return false
	}
	first := b.q.Keys[0]
	_, numeric := b.index.numeric[first.Field]
	return numeric && first.Field != merge.Score && !first.MissingFirst && b.index.validSlot(b.field, number, b.now) == nil
}
