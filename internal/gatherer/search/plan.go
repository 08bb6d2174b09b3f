package search

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
)

// Tuned values, with their reasons.
const (
	mostWaves   = 3   // each costs an answer time
	pageAndHalf = 1.5 // of a page: what the first wave is to hold by its ranges' last counts, as some are beaten
	pageEighth  = 8.0 // a range of unknown count is taken to hold so small a share of a page
	waveMostly  = 0.9 // of a wave: in when the next one may go, so that one slow copy holds up nothing
	waveUsual   = 2   // usual answer times that a wave is given: a part that fails has a second try
	leastLeft   = 4   // so few ranges left are asked with the rest: a wave of them saves less than it costs
)

// Phases says how a query is put to the ranges.
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

// Times is what a plan has to know of time.
type Times struct {
	// End is when the score phase must be over.
	End time.Duration
	// Usual is what a sound lot store's answer takes. The tail of so many parts is of no use here: where some copies
	// are slow, it is over the aim whatever is asked when, and the slow ones are left to the decision module.
	Usual time.Duration
}

// Orders are what the host is to do, ranges by their place in the plan: ask these, and do without those, calling
// off what is out for them.
type Orders struct{ Ask, Skip []int }

// Fetch asks a range for the listings of some of its lots.
type Fetch struct {
	Place  int // of the range in the plan
	IDs    []string
	Weight float64 // its share of the page's lots
	Source uint32  // the lot store that ranked them
}

// state of a range.
type state uint8

const (
	waiting state = iota // not asked yet
	asked
	in
	skipped
)

// Plan leads one query. Its host calls Start once, then Scored for each answer and Tick when Due has come, until it
// closes the score phase by Close; then Listed for each answer to a Fetch, and Result at the end. It is not safe for
// concurrent use.
type Plan struct {
	Query  *Query
	Phases Phases

	index   *Index
	ranges  []Range
	state   []state
	source  []uint32
	bounds  []Bound
	known   []bool // which of bounds there are
	order   []int  // ranges with a bound, best first; those from worst on are beaten or done with
	worst   int
	extreme []bool // which ranges are asked for extremes too
	next    int    // in order: the first not asked yet

	top      merge.Top
	total    int64
	atLeast  bool
	hurryAt  time.Duration
	waves    int
	waveSize int
	waveIn   int
	left     int // ranges neither asked nor skipped
	closed   bool
	page     []*merge.Hit
	fetched  int // lots of the page whose range has answered to the fetch
	changed  int
	bytes    int
	parts    int
	extra    []any // by place
	views    []View
	ahead    []bool   // ranges that have moved on from where they are pinned
	refusers []uint32 // lot stores that cannot answer such a question
}

// refusersMost is how many lot stores must call a question one that cannot be answered: one alone may be wrong.
const refusersMost = 2

// NewPlan makes a plan. The index may be nil: nothing is known then, and nothing is learnt.
func NewPlan(q *Query, phases Phases, ranges []Range, index *Index) *Plan {
	n := len(ranges)
	return &Plan{Query: q, Phases: phases, index: index, ranges: ranges, state: make([]state, n),
		source: make([]uint32, n), views: make([]View, n), ahead: make([]bool, n), left: n, top: merge.NewTop(q.Keys, q.page())}
}

// ExpectFetch is how many ranges the listings are expected to come from.
func (p *Plan) ExpectFetch() int {
	if p.Phases == One {
		return 0
	}
	return min(p.Query.Size, len(p.ranges))
}

// Start says what to ask first. In one phase that is every range at once, and nothing is skipped.
func (p *Plan) Start(now time.Duration, t Times) (o Orders) {
	p.hurryAt = 0
	if p.Phases == One {
		return p.askAll(o)
	}
	b := p.index.bounds(p.Query, now)
	p.bounds, p.known = make([]Bound, len(p.ranges)), make([]bool, len(p.ranges))
	p.extreme = make([]bool, len(p.ranges))
	for i, r := range p.ranges {
		if p.bounds[i], p.known[i] = b.of(r.Number); p.known[i] {
			p.order = append(p.order, i)
		}
		p.extreme[i] = b.lacksField(r.Number)
	}
	slices.SortFunc(p.order, func(i, j int) int { return p.compareBounds(i, j) })
	p.worst = len(p.order)
	o = p.prune(o) // what holds nothing is beaten by nothing
	// No time for a second wave, or nothing to gain by one.
	p.hurryAt = t.End - waveUsual*t.Usual
	if p.page0() || p.Query.Every || now+waveUsual*t.Usual > p.hurryAt || p.worst < leastLeft {
		return p.askAll(o)
	}
	return p.wave(o, now, true)
}

// Closed says whether the score phase is over.
func (p *Plan) Closed() bool { return p.closed }

// Due is when Tick is wanted, 0 for not at all.
func (p *Plan) Due() time.Duration {
	if p.closed || p.left == 0 {
		return 0
	}
	return p.hurryAt
}

// Tick asks for what is left when waiting longer would cost the answer its time.
func (p *Plan) Tick(now time.Duration) (o Orders) {
	if p.closed || p.left == 0 || now < p.hurryAt {
		return o
	}
	return p.askAll(o)
}

// Fits says whether a range's answer is of the data that the search is pinned to. One that is not is to be asked of
// another copy: it may lag behind, or hold on longer to what was pinned.
func (p *Plan) Fits(i int, a *Answer) bool {
	if p.Query.Pins == nil {
		return true
	}
	s := pages.Stands(p.Query.Pins[p.ranges[i].Number], a.View.Version, a.View.Boot != "")
	p.ahead[i] = p.ahead[i] || s == pages.Ahead
	return s == pages.Same
}

// Scored records a range's answer to a question that left at left. An answer must pass Check before.
func (p *Plan) Scored(i int, source uint32, a *Answer, left, now time.Duration) (o Orders) {
	if p.state[i] != asked {
		return o // skipped meanwhile
	}
	p.bytes += a.Bytes
	if p.index != nil {
		p.index.Learn(p.Query, p.ranges[i].Number, source, a, left)
	}
	if p.closed { // too late for the page
		return o
	}
	p.state[i], p.source[i], p.views[i] = in, source, a.View
	p.waveIn++
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
	if p.left > 0 && float64(p.waveIn) >= waveMostly*float64(p.waveSize) {
		o = p.wave(o, now, false)
	}
	return o
}

// Refused records that a lot store called the question one that cannot be answered, and says whether that is to be
// believed: the fault is the client's then, and no other lot store is to be asked.
func (p *Plan) Refused(source uint32) bool {
	if !slices.Contains(p.refusers, source) {
		p.refusers = append(p.refusers, source)
	}
	return len(p.refusers) >= refusersMost
}

// Close ends the score phase and says which listings are wanted. What was not asked or is not in counts as missing.
func (p *Plan) Close() (fetch []Fetch) {
	p.closed = true
	p.page = p.top.Sorted()
	p.total -= int64(p.top.Twins()) // counted by both of the ranges that a lot moved between
	p.page = p.page[min(p.Query.From, len(p.page)):]
	if p.Phases == One {
		return nil
	}
	at := map[int]int{} // by range number, place in fetch
	for _, h := range p.page {
		n, ok := at[h.Range]
		if !ok {
			n = len(fetch)
			at[h.Range] = n
			place := slices.IndexFunc(p.ranges, func(r Range) bool { return r.Number == h.Range })
			fetch = append(fetch, Fetch{Place: place, Source: p.source[place]})
		}
		fetch[n].IDs = append(fetch[n].IDs, h.ID)
		fetch[n].Weight += 1 / float64(len(p.page))
	}
	p.parts += len(fetch)
	return fetch
}

// Listed records a range's listings. A lot that is not among them, or that has changed so that its rank is not
// its own any more, is left out of the page.
func (p *Plan) Listed(i int, a *Answer) {
	p.bytes += a.Bytes
	for _, h := range p.page {
		if h.Range != p.ranges[i].Number || h.Listing != "" {
			continue
		}
		p.fetched++
		n := slices.IndexFunc(a.Hits, func(l merge.Hit) bool { return l.ID == h.ID })
		if n < 0 || !same(p.Query.Keys, h, &a.Hits[n]) {
			p.changed++
			continue
		}
		h.Listing = a.Hits[n].Listing
	}
}

// WantsExtremes says whether the range at a place is to be asked for the extremes of the first sort key's field.
func (p *Plan) WantsExtremes(i int) bool { return p.extreme != nil && p.extreme[i] }
