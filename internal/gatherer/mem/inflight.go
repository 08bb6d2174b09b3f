package mem

import "time"

// keepNames is how long a query's name stays known after its end: another of that name, sent while the
// first was open, may come just after, and lot stores may still hold parts of the first.
const keepNames = time.Second

// InFlight is the table of the queries and parts in hand, at most cap of both together. It is not
// safe for concurrent use: one goroutine owns it.
type InFlight[Q, P any] struct {
	cap     int
	queries map[uint64]Q
	parts   map[uint64]P
	names   map[string]struct{}
	ended   []endedName // the longest ended first
}

type endedName struct {
	name string
	at   time.Time
}

// NewInFlight makes an empty table with room for cap queries and parts.
func NewInFlight[Q, P any](cap int) *InFlight[Q, P] {
	return &InFlight[Q, P]{cap: cap, queries: map[uint64]Q{}, parts: map[uint64]P{}, names: map[string]struct{}{}}
}

// SetCap gives the table another bound. What is in it stays.
func (t *InFlight[Q, P]) SetCap(cap int) { t.cap = cap }

// Room says whether a query with so many parts still fits.
func (t *InFlight[Q, P]) Room(parts int) bool {
	return len(t.queries)+len(t.parts)+1+parts <= t.cap
}

// Named says whether a query of that name is in hand, or has just ended.
func (t *InFlight[Q, P]) Named(name string, now time.Time) bool {
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > keepNames {
		delete(t.names, t.ended[0].name)
		t.ended = t.ended[1:]
	}
	_, ok := t.names[name]
	return ok
}

// AddQuery enters a query.
func (t *InFlight[Q, P]) AddQuery(id uint64, name string, q Q) {
	t.queries[id], t.names[name] = q, struct{}{}
}

// AddPart enters a part.
func (t *InFlight[Q, P]) AddPart(id uint64, p P) { t.parts[id] = p }

// Query looks a query up.
func (t *InFlight[Q, P]) Query(id uint64) (Q, bool) { q, ok := t.queries[id]; return q, ok }

// Part looks a part up.
func (t *InFlight[Q, P]) Part(id uint64) (P, bool) { p, ok := t.parts[id]; return p, ok }

// Remove drops a query and its parts; its name stays for a while.
func (t *InFlight[Q, P]) Remove(id uint64, name string, parts []uint64, now time.Time) {
	delete(t.queries, id)
	t.ended = append(t.ended, endedName{name, now})
	t.RemoveParts(parts)
}

// RemoveParts drops parts of a query that stays.
func (t *InFlight[Q, P]) RemoveParts(parts []uint64) {
	for _, p := range parts {
		delete(t.parts, p)
	}
}

// Queries lists the queries in hand, in no order.
func (t *InFlight[Q, P]) Queries() []Q {
	all := make([]Q, 0, len(t.queries))
	for _, q := range t.queries {
		all = append(all, q)
	}
	return all
}

// Len is the number of queries and of parts in hand.
func (t *InFlight[Q, P]) Len() (queries, parts int) { return len(t.queries), len(t.parts) }
