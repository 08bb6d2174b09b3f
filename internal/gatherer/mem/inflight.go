package mem

import "time"

// keepNames is how long a query's name stays known after its end: another query of that name, sent while the first was
// in flight, may arrive just after, and lot stores may still work on subqueries of the first.
const keepNames = time.Second

// InFlight is the table of the queries and subqueries in flight. It is not safe for concurrent use: one goroutine owns
// it.
type InFlight[Q, P any] struct {
	limit      int
	queries    map[uint64]Q
	subqueries map[uint64]P
	names      map[string]struct{}
	endedNames []endedName // in the order of their ends
}

type endedName struct {
	name string
	at   time.Time
}

// NewInFlight returns an empty table for at most limit queries and subqueries together.
func NewInFlight[Q, P any](limit int) *InFlight[Q, P] {
	return &InFlight[Q, P]{limit: limit, queries: map[uint64]Q{}, subqueries: map[uint64]P{}, names: map[string]struct{}{}}
}

// SetLimit changes the limit. What is in the table stays.
func (t *InFlight[Q, P]) SetLimit(limit int) { t.limit = limit }

// Fits reports whether a query with so many subqueries still fits.
func (t *InFlight[Q, P]) Fits(subqueries int) bool {
	return len(t.queries)+len(t.subqueries)+1+subqueries <= t.limit
}

// HasName reports whether a query of that name is in flight, or has just ended.
func (t *InFlight[Q, P]) HasName(name string, now time.Time) bool {
	for len(t.endedNames) > 0 && now.Sub(t.endedNames[0].at) > keepNames {
		delete(t.names, t.endedNames[0].name)
		t.endedNames = t.endedNames[1:]
	}
	_, ok := t.names[name]
	return ok
}

// AddQuery adds a query.
func (t *InFlight[Q, P]) AddQuery(id uint64, name string, q Q) {
	t.queries[id], t.names[name] = q, struct{}{}
}

// AddSubquery adds a subquery.
func (t *InFlight[Q, P]) AddSubquery(id uint64, p P) { t.subqueries[id] = p }

// Query returns the query with the id.
func (t *InFlight[Q, P]) Query(id uint64) (Q, bool) { q, ok := t.queries[id]; return q, ok }

// Subquery returns the subquery with the id.
func (t *InFlight[Q, P]) Subquery(id uint64) (P, bool) { p, ok := t.subqueries[id]; return p, ok }

// Remove removes a query and its subqueries. Its name stays known for a short time.
func (t *InFlight[Q, P]) Remove(id uint64, name string, subqueries []uint64, now time.Time) {
	delete(t.queries, id)
	t.endedNames = append(t.endedNames, endedName{name, now})
	t.RemoveSubqueries(subqueries)
}

// RemoveSubqueries removes subqueries of a query that stays.
func (t *InFlight[Q, P]) RemoveSubqueries(subqueries []uint64) {
	for _, p := range subqueries {
		delete(t.subqueries, p)
	}
}

// Queries returns the queries in flight, in no order.
func (t *InFlight[Q, P]) Queries() []Q {
	all := make([]Q, 0, len(t.queries))
	for _, q := range t.queries {
		all = append(all, q)
	}
	return all
}

// Len returns the numbers of queries and of subqueries in flight.
func (t *InFlight[Q, P]) Len() (queries, subqueries int) { return len(t.queries), len(t.subqueries) }
