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

// page0 says whether only a count is wanted.
func (p *Plan) page0() bool { return p.Query.page() == 0 }

// compareBounds orders ranges by the best lot that they may have; those that have none come last.
func (p *Plan) compareBounds(i, j int) int {
	a, b := &p.bounds[i], &p.bounds[j]
	switch {
	case a.None != b.None:
		if b.None {
			return -1
		}
		return 1
	case !a.None:
		n := min(len(a.Best), len(b.Best))
		if c := merge.Compare(p.Query.Keys[:n], a.Best, b.Best); c != 0 {
			return c
		}
	}
	return p.ranges[i].Number - p.ranges[j].Number
}

// beaten says whether no lot of a range with a bound can reach the page.
func (p *Plan) beaten(i int) bool {
	b := &p.bounds[i]
	if b.None || p.page0() {
		return true
	}
	last := p.top.Last()
	if last == nil {
		return false
	}
	n := len(b.Best)
	switch c := merge.Compare(p.Query.Keys[:n], last.Sort, b.Best); {
	case c != 0:
		return c < 0
	case n < len(p.Query.Keys): // further keys decide
		return false
	}
	return last.Range < p.ranges[i].Number
}

// countable says whether a range may be left out without making the count less than the client wants.
func (p *Plan) countable(i int) bool {
	b := &p.bounds[i]
	switch c := p.Query.Count; {
	case p.Query.Every:
		return b.None
	case b.Exact || c == CountNone:
		return true
	case c == CountAll:
		return false
	case c == CountAnyhow:
		return !p.page0()
	default:
		return p.total >= int64(c)
	}
}

// prune skips the ranges that cannot change the page any more, from the worst bound up: where one is not beaten, no
// better one is.
func (p *Plan) prune(o Orders) Orders {
	for ; p.worst > 0; p.worst-- {
		i := p.order[p.worst-1]
		if p.state[i] == in || p.state[i] == skipped {
			continue
		}
		if !p.beaten(i) {
			break
		}
		if !p.countable(i) {
			return p.pruneBetween(o)
		}
		o = p.skip(o, i)
	}
	return o
}

// pruneBetween goes on past a range whose count is wanted: another may be beaten and counted.
func (p *Plan) pruneBetween(o Orders) Orders {
	for n := p.worst - 1; n >= 0; n-- {
		i := p.order[n]
		if p.state[i] == in || p.state[i] == skipped {
			continue
		}
		if !p.beaten(i) {
			break
		}
		if p.countable(i) {
			o = p.skip(o, i)
		}
	}
	return o
}

func (p *Plan) skip(o Orders, i int) Orders {
	if p.state[i] == waiting {
		p.left--
	} else {
		p.waveIn++ // of the wave it went with
	}
	p.state[i] = skipped
	b := &p.bounds[i]
	p.total += b.Count
	p.atLeast = p.atLeast || !b.Exact
	o.Skip = append(o.Skip, i)
	return o
}

func (p *Plan) ask(o Orders, i int) Orders {
	p.state[i] = asked
	p.left--
	p.parts++
	p.waveSize++
	o.Ask = append(o.Ask, i)
	return o
}

func (p *Plan) askAll(o Orders) Orders {
	p.waves++
	for i := range p.ranges {
		if p.state[i] == waiting {
			o = p.ask(o, i)
		}
	}
	p.hurryAt = 0
	return o
}

// wave asks the next ranges: at first those without a bound and, by their bounds, as many of the others as hold a
// page and a half; then, with a page to beat, half of what can still reach it, and at last the rest.
func (p *Plan) wave(o Orders, now time.Duration, first bool) Orders {
	p.waves++
	p.waveSize, p.waveIn = 0, 0
	if first {
		for i := range p.ranges {
			if !p.known[i] && p.state[i] == waiting {
				o = p.ask(o, i)
			}
		}
	}
	want, most := pageAndHalf*float64(p.Query.page()), p.left
	if p.top.Last() != nil {
		want, most = float64(p.left*p.Query.page()), (p.left+1)/2
	}
	if p.waves >= mostWaves || p.left <= leastLeft {
		return p.askAll(o)
	}
	for held := 0.0; held < want && most > 0 && p.next < len(p.order); p.next++ {
		i := p.order[p.next]
		if p.state[i] != waiting {
			continue
		}
		n := float64(p.Query.page()) / pageEighth
		if p.bounds[i].Exact {
			n = float64(p.bounds[i].Count)
		}
		held += n
		most--
		o = p.ask(o, i)
	}
	if p.left <= leastLeft {
		return p.askAll(o)
	}
	return o
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

// same says whether a lot still belongs where it was ranked: it has not changed, or its rank has not.
func same(keys []merge.Key, h, now *merge.Hit) bool {
	return h.Version != 0 && h.Version == now.Version || merge.Same(keys, h.Sort, now.Sort)
}

// Result is what a query's answer says.
type Result struct {
	Hits    []*merge.Hit // of the page, in order, with their listings
	Total   int64
	AtLeast bool       // Total is a lower bound
	Best    *merge.Hit // of all lots, nil where there is none or a better one may be missing
	In      int        // ranges that answered
	Skipped []int      // range numbers
	Missing []int
	Weight  float64      // of the ranges that are in or skipped
	Listed  float64      // share of the page's lots whose ranges gave their listings
	Changed int          // lots left out as they had changed between the phases
	Bytes   int          // of the lot stores' answers
	Parts   int          // asked, further attempts not counted
	Extra   []any        // of the ranges that are in, in the plan's order
	Views   map[int]View // of the ranges that are in, by number
	Moved   []int        // those of Missing that were ahead of where they are pinned
}

// Share is the share of a whole answer that the result is: of the weight, and of the page.
func (r *Result) Share() float64 { return r.Weight * r.Listed }

// Whole says whether nothing is missing.
func (r *Result) Whole() bool { return len(r.Missing) == 0 && r.Listed == 1 && r.Changed == 0 }

// Result is what is in now; the host ends the score phase first.
func (p *Plan) Result() (r Result) {
	r = Result{Total: p.total, AtLeast: p.atLeast, Listed: 1, Changed: p.changed, Bytes: p.bytes, Parts: p.parts}
	r.Views = map[int]View{}
	r.Missing = append(r.Missing, p.Query.Absent...)
	for _, x := range p.extra {
		if x != nil {
			r.Extra = append(r.Extra, x)
		}
	}
	for i, s := range p.state {
		switch s {
		case in:
			r.In++
			r.Weight += p.ranges[i].Weight
			r.Views[p.ranges[i].Number] = p.views[i]
		case skipped:
			r.Skipped = append(r.Skipped, p.ranges[i].Number)
			r.Weight += p.ranges[i].Weight
		default:
			r.Missing = append(r.Missing, p.ranges[i].Number)
			if p.ahead[i] {
				r.Moved = append(r.Moved, p.ranges[i].Number)
			}
		}
	}
	if len(r.Missing) > 0 {
		r.AtLeast = true
	} else {
		r.Weight = 1 // but for rounding
		r.Best = p.top.Best()
	}
	if p.Phases == Two && len(p.page) > 0 {
		r.Listed = float64(p.fetched) / float64(len(p.page))
	}
	for _, h := range p.page {
		if h.Listing != "" {
			r.Hits = append(r.Hits, h)
		}
	}
	return r
}

// WantsExtremes says whether the range at a place is to be asked for the extremes of the first sort key's field.
func (p *Plan) WantsExtremes(i int) bool { return p.extreme != nil && p.extreme[i] }
