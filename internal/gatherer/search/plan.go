package search

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
)

// Tuned values, each with its reason.
const (
	maxWaves      = 3   // each costs a latency
	pageAndHalf   = 1.5 // of a page: what the first wave should contain by the last counts of its ranges, as some are beaten
	pageEighth    = 8.0 // a range of unknown count is assumed to contain this fraction of a page
	waveDoneShare = 0.9 // of a wave that must be answered before the next one, so that one slow replica delays nothing
	waveUsual     = 2   // usual latencies that a wave is given: a failed request can be retried
	minPending    = 4   // so few remaining ranges are asked at once: a wave of them saves less than it costs
)

// Phases is the number of phases of a search.
type Phases uint8

// One asks for listings at once; Two for scores, and for the listings of the page afterwards.
const (
	One Phases = iota + 1
	Two
)

// Range is a range that a query goes to.
type Range struct {
	Number int     // among all ranges
	Weight float64 // the weights add up to 1
}

// Times are the times that a plan needs.
type Times struct {
	// End is when the score phase must be over.
	End time.Duration
	// Usual is the usual latency of a healthy lot store. The tail of the fan-out is of no use here: where some replicas
	// are slow, it is beyond the latency target anyhow, and slow replicas are left to package policy.
	Usual time.Duration
}

// Orders are what the host is to do, ranges by their index in the plan: request these, and skip those, cancelling what is
// in flight for them.
type Orders struct{ Request, Skip []int }

// Fetch asks a range for the listings of some of its lots.
type Fetch struct {
	Index  int // of the range in the plan
	IDs    []string
	Weight float64 // its fraction of the page's lots
	Source uint32  // the lot store that ranked them
}

// state of a range.
type state uint8

const (
	pending state = iota // not requested yet
	requested
	answered
	skipped
)

// Plan leads one query. Its host calls Start once, then Scored for each answer and Tick at Due, until it ends the score phase
// with Close; then Listed for each answer to a Fetch, and Result at the end. It is not safe for concurrent use.
type Plan struct {
	Query  *Query
	Phases Phases

	index     *Index
	ranges    []Range
	state     []state
	source    []uint32
	bounds    []Bound
	hasBound  []bool // which of bounds are known
	order     []int  // ranges with a bound, best first; those from pruneFrom on are beaten or done
	pruneFrom int
	extreme   []bool // which ranges are asked for extremes as well
	next      int    // index in order of the first not requested yet

	top            merge.Top
	total          int64
	atLeast        bool
	askAllAt       time.Duration
	waves          int
	waveSize       int
	waveAnswered   int
	unsent         int // ranges neither requested nor skipped
	closed         bool
	page           []*merge.Hit
	fetched        int // lots of the page whose range has answered the fetch
	changed        int
	bytes          int
	requests       int
	extra          []any // by index
	views          []View
	movedOn        []bool   // ranges that have changed since the version that is pinned
	unanswerableAt []uint32 // lot stores that cannot answer the query
}

// minUnanswerable is how many lot stores must say that they cannot answer a query: one alone may be at fault.
const minUnanswerable = 2

// NewPlan returns a plan. The index may be nil: no bounds are known or learned then.
func NewPlan(q *Query, phases Phases, ranges []Range, index *Index) *Plan {
	n := len(ranges)
	return &Plan{Query: q, Phases: phases, index: index, ranges: ranges, state: make([]state, n),
		source: make([]uint32, n), views: make([]View, n), movedOn: make([]bool, n), unsent: n, top: merge.NewTop(q.Keys, q.page())}
}

// ExpectFetch is how many ranges the listings are expected to come from.
func (p *Plan) ExpectFetch() int {
	if p.Phases == One {
		return 0
	}
	return min(p.Query.Size, len(p.ranges))
}

// Start returns the first orders. In one phase that is every range at once, and none is skipped.
func (p *Plan) Start(now time.Duration, t Times) (o Orders) {
	p.askAllAt = 0
	if p.Phases == One {
		return p.requestAll(o)
	}
	b := p.index.bounds(p.Query, now)
	p.bounds, p.hasBound = make([]Bound, len(p.ranges)), make([]bool, len(p.ranges))
	p.extreme = make([]bool, len(p.ranges))
	for i, r := range p.ranges {
		if p.bounds[i], p.hasBound[i] = b.of(r.Number); p.hasBound[i] {
			p.order = append(p.order, i)
		}
		p.extreme[i] = b.lacksField(r.Number)
	}
	slices.SortFunc(p.order, func(i, j int) int { return p.compareBounds(i, j) })
	p.pruneFrom = len(p.order)
	o = p.prune(o) // an empty range is beaten without any hit
	// There is no time for a second wave, or nothing to gain by one.
	p.askAllAt = t.End - waveUsual*t.Usual
	if p.countOnly() || p.Query.Every || now+waveUsual*t.Usual > p.askAllAt || p.pruneFrom < minPending {
		return p.requestAll(o)
	}
	return p.wave(o, true)
}

// Closed reports whether the score phase is over.
func (p *Plan) Closed() bool { return p.closed }

// Due is when Tick must be called, 0 for never.
func (p *Plan) Due() time.Duration {
	if p.closed || p.unsent == 0 {
		return 0
	}
	return p.askAllAt
}

// Tick requests all remaining ranges when waiting longer would miss the time.
func (p *Plan) Tick(now time.Duration) (o Orders) {
	if p.closed || p.unsent == 0 || now < p.askAllAt {
		return o
	}
	return p.requestAll(o)
}

// Fits reports whether a range's answer is of the version that the search is pinned to. If it is not, another replica is to
// be asked, which may lag less, or keep the pinned version longer.
func (p *Plan) Fits(i int, a *Answer) bool {
	if p.Query.Pins == nil {
		return true
	}
	s := pages.Compare(p.Query.Pins[p.ranges[i].Number], a.View.Version, a.View.Boot != "")
	p.movedOn[i] = p.movedOn[i] || s == pages.Ahead
	return s == pages.Same
}

// Scored records a range's answer to a request sent at sent. The answer must have passed Check.
func (p *Plan) Scored(i int, source uint32, a *Answer, sent, now time.Duration) (o Orders) {
	if p.state[i] != requested {
		return o // skipped meanwhile
	}
	p.bytes += a.Bytes
	if p.index != nil {
		p.index.Learn(p.Query, p.ranges[i].Number, source, a, sent)
	}
	if p.closed { // too late for the page
		return o
	}
	p.state[i], p.source[i], p.views[i] = answered, source, a.View
	p.waveAnswered++
	p.total += a.Total
	p.atLeast = p.atLeast || a.AtLeast
	if a.Extra != nil {
		if p.extra == nil {
			p.extra = make([]any, len(p.ranges))
		}
		p.extra[i] = a.Extra
	}
	for n := range a.Hits {
		a.Hits[n].Range, a.Hits[n].Rank = p.ranges[i].Number, n
	}
	moved := p.top.Offer(a.Hits)
	if p.Phases == One {
		return o
	}
	if moved || p.Query.Count > 0 {
		o = p.prune(o)
	}
	if p.unsent > 0 && float64(p.waveAnswered) >= waveDoneShare*float64(p.waveSize) {
		o = p.wave(o, false)
	}
	return o
}

// Unanswerable records that a lot store cannot answer the query, and reports whether enough have said so: then the query is
// at fault, and no other lot store is to be asked.
func (p *Plan) Unanswerable(source uint32) bool {
	if !slices.Contains(p.unanswerableAt, source) {
		p.unanswerableAt = append(p.unanswerableAt, source)
	}
	return len(p.unanswerableAt) >= minUnanswerable
}

// Close ends the score phase and returns the listings to fetch. Ranges that have not answered count as missing.
func (p *Plan) Close() (fetch []Fetch) {
	p.closed = true
	p.page = p.top.Sorted()
	p.total -= int64(p.top.Duplicates()) // counted by both of the ranges that a lot moved between
	p.page = p.page[min(p.Query.From, len(p.page)):]
	if p.Phases == One {
		return nil
	}
	at := map[int]int{} // by range number, index in fetch
	for _, h := range p.page {
		n, ok := at[h.Range]
		if !ok {
			n = len(fetch)
			at[h.Range] = n
			index := slices.IndexFunc(p.ranges, func(r Range) bool { return r.Number == h.Range })
			fetch = append(fetch, Fetch{Index: index, Source: p.source[index]})
		}
		fetch[n].IDs = append(fetch[n].IDs, h.ID)
		fetch[n].Weight += 1 / float64(len(p.page))
	}
	p.requests += len(fetch)
	return fetch
}

// Listed records a range's listings. A lot that is not among them, or whose rank has changed, is left out of the page.
func (p *Plan) Listed(i int, a *Answer) {
	p.bytes += a.Bytes
	for _, h := range p.page {
		if h.Range != p.ranges[i].Number || h.Listing != "" {
			continue
		}
		p.fetched++
		n := slices.IndexFunc(a.Hits, func(l merge.Hit) bool { return l.ID == h.ID })
		if n < 0 || !unchanged(p.Query.Keys, h, &a.Hits[n]) {
			p.changed++
			continue
		}
		h.Listing = a.Hits[n].Listing
	}
}

// WantsExtremes reports whether the i-th range is to be asked for the extremes of the first sort key's field.
func (p *Plan) WantsExtremes(i int) bool { return p.extreme != nil && p.extreme[i] }
