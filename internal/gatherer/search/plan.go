package search

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
)

// Parameters of the waves, in which a plan with two phases requests the scores of ranges.
const (
	maxWaves            = 3   // each takes the latency of a lot store
	firstWavePages      = 1.5 // lots that the ranges of the first wave should have by their known counts, in pages: some will not make the page
	unknownCountDivisor = 8.0 // a range of unknown count is assumed to have the page size divided by this
	waveDoneFraction    = 0.9 // fraction of a wave that must be answered before the next one, so that a slow replica does not delay it
	waveLatencies       = 2   // time for a wave in multiples of the usual latency, so that a failed request can be retried
	requestRestAt       = 4   // with so few ranges left, all are requested at once: another wave would save less than it costs
)

// Phases is the number of phases of a search.
type Phases uint8

// With One, ranges return their listings at once. With Two, they return scores first, and then the listings of the page.
const (
	One Phases = iota + 1
	Two
)

// Range is a range that a query is sent to.
type Range struct {
	Number int     // among all ranges
	Weight float64 // fraction of the answer; the weights of a plan's ranges add up to 1
}

// Times are the times that a plan is based on.
type Times struct {
	// End is when the score phase must be over.
	End time.Duration
	// UsualLatency is that of a healthy lot store. The tail latency of the whole fan-out would be of no use: if some replicas
	// are slow, it exceeds the latency target. Package policy handles slow replicas.
	UsualLatency time.Duration
}

// Orders tell the host which ranges to request and which to skip, by their index in the plan. If the request to a skipped
// range is in flight, it is to be cancelled.
type Orders struct{ Request, Skip []int }

// Fetch asks a range for the listings of some of its lots.
type Fetch struct {
	Index  int // of the range in the plan
	IDs    []string
	Weight float64 // fraction of the lots on the page
	Source uint32  // the lot store that returned their scores
}

// state is the state of a range.
type state uint8

const (
	pending state = iota // neither requested nor skipped yet
	requested
	answered
	skipped
)

// Plan executes one query. Its host calls Start once, then RecordAnswer for each answer and Tick when Due says, until it
// ends the score phase by Close. Then it calls RecordListings for each answer to a Fetch, and Result at the end. It is not
// safe for concurrent use.
type Plan struct {
	Query  *Query
	Phases Phases

	index         *Index // nil for none
	ranges        []Range
	state         []state  // by index in ranges, as are the slices below
	source        []uint32 // lot store that answered
	bounds        []Bound
	hasBound      []bool // whether the bound is known
	order         []int  // indices of ranges with a bound, the best bound first
	pruneFrom     int    // ranges from this index in order on are answered or skipped
	wantsExtremes []bool // whether extremes are requested as well
	next          int    // ranges before this index in order are not pending

	top             merge.Top
	total           int64         // lots that match in the ranges answered or skipped
	atLeast         bool          // total is a lower bound
	requestAllAt    time.Duration // when all remaining ranges are requested
	waves           int
	waveSize        int // ranges requested in the current wave
	waveAnswered    int // and those answered or skipped since
	unsent          int // ranges neither requested nor skipped
	closed          bool
	page            []*merge.Hit
	fetched         int // lots of the page whose range has answered the fetch
	changedLots     int // lots of the page that have changed between the phases
	bytes           int
	requests        int
	extra           []any
	views           []View
	changedSincePin []bool   // whether the range has changed since the pinned version
	unanswerableAt  []uint32 // lot stores that cannot answer the query
}

// minUnanswerable is how many lot stores must report that they cannot answer a query before the query is held at fault: a
// single lot store may itself be at fault.
const minUnanswerable = 2

// NewPlan returns a plan. With a nil index, no bounds are used or learned.
func NewPlan(q *Query, phases Phases, ranges []Range, index *Index) *Plan {
	n := len(ranges)
	return &Plan{Query: q, Phases: phases, index: index, ranges: ranges, state: make([]state, n),
		source: make([]uint32, n), views: make([]View, n), changedSincePin: make([]bool, n), unsent: n, top: merge.NewTop(q.Keys, q.page())}
}

// ExpectedFetches returns how many ranges are expected to be asked for listings in a second phase.
func (p *Plan) ExpectedFetches() int {
	if p.Phases == One {
		return 0
	}
	return min(p.Query.Size, len(p.ranges))
}

// Start returns the first orders. A plan with one phase requests all ranges at once and skips none.
func (p *Plan) Start(now time.Duration, t Times) (o Orders) {
	p.requestAllAt = 0
	if p.Phases == One {
		return p.requestAll(o)
	}
	b := p.index.bounds(p.Query, now)
	p.bounds, p.hasBound = make([]Bound, len(p.ranges)), make([]bool, len(p.ranges))
	p.wantsExtremes = make([]bool, len(p.ranges))
	for i, r := range p.ranges {
		if p.bounds[i], p.hasBound[i] = b.boundOf(r.Number); p.hasBound[i] {
			p.order = append(p.order, i)
		}
		p.wantsExtremes[i] = b.needsExtremes(r.Number)
	}
	slices.SortFunc(p.order, func(i, j int) int { return p.compareBounds(i, j) })
	p.pruneFrom = len(p.order)
	o = p.prune(o) // skips the empty ranges, as there are no hits yet
	p.requestAllAt = t.End - waveLatencies*t.UsualLatency
	// Further waves need time, and ranges that may be skipped after the first one.
	if p.countOnly() || p.Query.SkipEmptyOnly || now+waveLatencies*t.UsualLatency > p.requestAllAt || p.pruneFrom < requestRestAt {
		return p.requestAll(o)
	}
	return p.wave(o, true)
}

// Closed reports whether the score phase is over.
func (p *Plan) Closed() bool { return p.closed }

// Due returns when Tick must be called, 0 for never.
func (p *Plan) Due() time.Duration {
	if p.closed || p.unsent == 0 {
		return 0
	}
	return p.requestAllAt
}

// Tick requests all remaining ranges if a later request would miss the end of the score phase.
func (p *Plan) Tick(now time.Duration) (o Orders) {
	if p.closed || p.unsent == 0 || now < p.requestAllAt {
		return o
	}
	return p.requestAll(o)
}

// MatchesPin reports whether a range's answer is from the version that the search is pinned to. If it is not, another replica
// should be asked, as it may lag less or keep the pinned version longer.
func (p *Plan) MatchesPin(i int, a *Answer) bool {
	if p.Query.Pins == nil {
		return true
	}
	s := pages.Compare(p.Query.Pins[p.ranges[i].Number], a.View.Version, a.View.Boot != "")
	p.changedSincePin[i] = p.changedSincePin[i] || s == pages.Ahead
	return s == pages.Same
}

// RecordAnswer records the i-th range's answer to a request sent at sent, and returns further orders. The answer must have
// passed Answer.Check.
func (p *Plan) RecordAnswer(i int, source uint32, a *Answer, sent, now time.Duration) (o Orders) {
	if p.state[i] != requested {
		return o // it has been skipped since
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
	pageChanged := p.top.Offer(a.Hits)
	if p.Phases == One {
		return o
	}
	if pageChanged || p.Query.Count > 0 {
		o = p.prune(o)
	}
	if p.unsent > 0 && float64(p.waveAnswered) >= waveDoneFraction*float64(p.waveSize) {
		o = p.wave(o, false)
	}
	return o
}

// Unanswerable records that a lot store cannot answer the query, and reports whether enough of them have said so. Then the
// query is at fault, and no other lot store should be asked.
func (p *Plan) Unanswerable(source uint32) bool {
	if !slices.Contains(p.unanswerableAt, source) {
		p.unanswerableAt = append(p.unanswerableAt, source)
	}
	return len(p.unanswerableAt) >= minUnanswerable
}

// Close ends the score phase and returns the listings to fetch. Ranges that have not answered are missing from the result.
func (p *Plan) Close() (fetch []Fetch) {
	p.closed = true
	p.page = p.top.Sorted()
	p.total -= int64(p.top.Duplicates()) // a lot that moved between two ranges was counted by both
	p.page = p.page[min(p.Query.From, len(p.page)):]
	if p.Phases == One {
		return nil
	}
	fetchIndex := map[int]int{} // index in fetch by range number
	for _, h := range p.page {
		n, ok := fetchIndex[h.Range]
		if !ok {
			n = len(fetch)
			fetchIndex[h.Range] = n
			index := slices.IndexFunc(p.ranges, func(r Range) bool { return r.Number == h.Range })
			fetch = append(fetch, Fetch{Index: index, Source: p.source[index]})
		}
		fetch[n].IDs = append(fetch[n].IDs, h.ID)
		fetch[n].Weight += 1 / float64(len(p.page))
	}
	p.requests += len(fetch)
	return fetch
}

// RecordListings records the listings of the i-th range. A lot that is missing from them, or whose sort values have changed, is
// left out of the page.
func (p *Plan) RecordListings(i int, a *Answer) {
	p.bytes += a.Bytes
	for _, h := range p.page {
		if h.Range != p.ranges[i].Number || h.Listing != "" {
			continue
		}
		p.fetched++
		n := slices.IndexFunc(a.Hits, func(l merge.Hit) bool { return l.ID == h.ID })
		if n < 0 || !unchanged(p.Query.Keys, h, &a.Hits[n]) {
			p.changedLots++
			continue
		}
		h.Listing = a.Hits[n].Listing
	}
}

// WantsExtremes reports whether the i-th range should be asked for the extremes of the first sort key's field.
func (p *Plan) WantsExtremes(i int) bool { return p.wantsExtremes != nil && p.wantsExtremes[i] }
