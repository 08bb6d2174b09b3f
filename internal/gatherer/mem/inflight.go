package mem

import "time"

// nameRetention is how long the name of a query stays reserved after the query has ended. Lot stores identify subqueries
// by the name of their query, and may still execute some of the ended query when another of the same name arrives, so the
// name must not be reused at once.
const nameRetention = time.Second

// InFlight is the table of queries and subqueries in flight, and of the names of queries. It is not safe for concurrent
// use: one goroutine owns it.
type InFlight[Q, P any] struct {
	limit      int
	queries    map[uint64]Q
	subqueries map[uint64]P
	names      map[string]struct{}
	endedNames []endedName // in the order in which the queries ended
}

type endedName struct {
	name string
	at   time.Time
}

// NewInFlight returns an empty table for at most limit queries and subqueries in total.
func NewInFlight[Q, P any](limit int) *InFlight[Q, P] {
	return &InFlight[Q, P]{limit: limit, queries: map[uint64]Q{}, subqueries: map[uint64]P{}, names: map[string]struct{}{}}
}

// SetLimit changes the limit. Entries beyond a lower limit stay in the table.
func (t *InFlight[Q, P]) SetLimit(limit int) { t.limit = limit }

// Fits reports whether the table has room for a query with the given number of subqueries.
func (t *InFlight[Q, P]) Fits(subqueries int) bool {
	return len(t.queries)+len(t.subqueries)+1+subqueries <= t.limit
}

// HasName reports whether a query of that name is in flight or ended less than nameRetention ago. It drops the names of
// queries that ended earlier.
func (t *InFlight[Q, P]) HasName(name string, now time.Time) bool {
	for len(t.endedNames) > 0 && now.Sub(t.endedNames[0].at) > nameRetention {
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

// Query returns the query with the given ID.
func (t *InFlight[Q, P]) Query(id uint64) (Q, bool) { q, ok := t.queries[id]; return q, ok }

// Subquery returns the subquery with the given ID.
func (t *InFlight[Q, P]) Subquery(id uint64) (P, bool) { p, ok := t.subqueries[id]; return p, ok }

// Remove removes a query and its subqueries. Its name stays in use for nameRetention.
func (t *InFlight[Q, P]) Remove(id uint64, name string, subqueries []uint64, now time.Time) {
	delete(t.queries, id)
	t.endedNames = append(t.endedNames, endedName{name, now})
	t.RemoveSubqueries(subqueries)
}

// RemoveSubqueries removes subqueries but not their query.
func (t *InFlight[Q, P]) RemoveSubqueries(subqueries []uint64) {
	for _, p := range subqueries {
		delete(t.subqueries, p)
	}
}

// Queries returns the queries in flight, in no particular order.
func (t *InFlight[Q, P]) Queries() []Q {
	all := make([]Q, 0, len(t.queries))
	for _, q := range t.queries {
		all = append(all, q)
	}
	return all
}

// Len returns the numbers of queries and of subqueries in flight.
func (t *InFlight[Q, P]) Len() (queries, subqueries int) { return len(t.queries), len(t.subqueries) }
