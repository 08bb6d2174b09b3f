// Package limits decides what is let in by route: which route a request takes, whether it is admitted now, waits or is
// refused, and whether a part may be repeated. It does no input or output, keeps no clock (times are arguments, as
// durations since some fixed moment) and knows no wire. It never widens what the operator's settings allow, and it
// never chooses lot stores: attempts stay package policy's.
package limits

import (
	"math"
	"slices"
	"time"
)

// Limits of one route. The zero value of a field sets no limit of its kind.
type Limits struct {
	Wanted   time.Duration // answered within this it earns full worth
	GiveUp   time.Duration // the longest that a client's deadline counts for
	Attempts int           // of one part, the first included
	Least    float64       // share of the weight that an answer needs
	Whole    bool          // no partial answers, whatever the class allows
	Body     int           // bytes of a request's body
	Answer   int           // bytes of lot stores' answers that one request may hold
	Depth    int           // from + size of a search
	Priority int           // of those that wait, the higher goes first

	Concurrency Concurrency
	Rate        Rate
	Repeats     Repeats
}

// Fields are the limits that are set, by their names in the file; one that is not set is empty.
func (l Limits) Fields() [][2]string {
	set := func(x any, is bool) string {
		if !is {
			return ""
		}
		return sprint(x)
	}
	c, r, b := l.Concurrency, l.Rate, l.Repeats
	return [][2]string{{"wanted", set(l.Wanted, l.Wanted > 0)}, {"give_up", set(l.GiveUp, l.GiveUp > 0)}, {"attempts", set(l.Attempts, l.Attempts > 0)},
		{"least", set(l.Least, l.Least > 0)}, {"whole", set(l.Whole, l.Whole)}, {"body", set(l.Body, l.Body > 0)}, {"answer", set(l.Answer, l.Answer > 0)},
		{"depth", set(l.Depth, l.Depth > 0)}, {"priority", set(l.Priority, l.Priority > 0)}, {"concurrency.most", set(c.Most, c.Most > 0)},
		{"concurrency.floor", set(c.Floor, c.Floor > 0)}, {"concurrency.queue", set(c.Queue, c.Queue > 0)}, {"concurrency.wait", set(c.Wait, c.Wait > 0)},
		{"rate.per_second", set(r.PerSecond, r.PerSecond > 0)}, {"rate.burst", set(r.Burst, r.Burst > 0)}, {"repeats.share", set(b.Share, b.Span > 0)},
		{"repeats.free", set(b.Free, b.Span > 0)}, {"repeats.span", set(b.Span, b.Span > 0)}}
}

// Concurrency bounds the requests of a route that are in hand at once.
type Concurrency struct {
	Most  int           // at once; 0 for no limit
	Floor int           // where it follows answer times: it never falls under this; 0 for a limit that stands
	Queue int           // requests that may wait for a place
	Wait  time.Duration // the longest that one waits
}

// Rate bounds the requests of a route by time.
type Rate struct {
	PerSecond float64 // 0 for no limit
	Burst     int     // requests at once that an idle route may have; at least 1
}

// Repeats is a retry budget: of a span's attempts, how many may be further ones.
type Repeats struct {
	Share float64       // of first attempts; 0 with no Span for no limit
	Free  float64       // and so many in any span, however little comes in
	Span  time.Duration // 0 for no limit
}

// Effect says what a class's repeats do, as far as limits care.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Class is what the operator's settings say of a class: limits must stay within.
type Class struct {
	Name     string
	Effect   Effect
	Wanted   time.Duration
	GiveUp   time.Duration
	Window   time.Duration // of a keyed class: repeats are dropped so long
	Attempts int
	Floor    float64 // least share of any answer
}

// Breach is one rule that a route's limits break.
type Breach struct {
	Field string // as the file has it
	Rule  string // which rule, and what would be allowed
}

// Check says how limits break the rules of the class that they are for; none is let through.
func (l Limits) Check(c Class) (list []Breach) {
	add := func(field, rule string) { list = append(list, Breach{field, rule}) }
	attempts, wanted, giveUp := l.Attempts, l.Wanted, l.GiveUp
	if attempts == 0 {
		attempts = c.Attempts
	}
	if wanted == 0 {
		wanted = c.Wanted
	}
	if giveUp == 0 {
		giveUp = c.GiveUp
	}
	switch {
	case l.Attempts < 0:
		add("attempts", "wants 1 at least")
	case l.Attempts > c.Attempts:
		add("attempts", sprint("the settings allow at most ", c.Attempts, " attempts of a part of ", c.Name))
	}
	if l.GiveUp < 0 || l.GiveUp > c.GiveUp {
		add("give_up", sprint("clients of ", c.Name, " give up at ", c.GiveUp, ": wants more than 0 and at most that"))
	}
	if l.Wanted < 0 || l.Wanted > c.Wanted {
		add("wanted", sprint("an answer of ", c.Name, " is wanted within ", c.Wanted, ": wants more than 0 and at most that"))
	} else if wanted > giveUp {
		add("wanted", sprint("is past the give-up time of ", giveUp))
	}
	if l.Least != 0 && (l.Least < c.Floor || l.Least > 1) {
		add("least", sprint("an answer of ", c.Name, " needs ", c.Floor, " of the weight: wants that to 1"))
	}
	for _, x := range []struct {
		field string
		n     int
	}{{"body", l.Body}, {"answer", l.Answer}, {"depth", l.Depth}, {"priority", l.Priority},
		{"concurrency.most", l.Concurrency.Most}, {"concurrency.floor", l.Concurrency.Floor}, {"concurrency.queue", l.Concurrency.Queue}} {
		if x.n < 0 {
			add(x.field, "wants 0 or more")
		}
	}
	k := l.Concurrency
	if k.Floor > k.Most {
		add("concurrency.floor", sprint("is over concurrency.most of ", k.Most))
	}
	if k.Queue > 0 && k.Most == 0 {
		add("concurrency.queue", "has nothing to wait for without concurrency.most")
	}
	if k.Wait < 0 || k.Wait >= giveUp {
		add("concurrency.wait", sprint("wants less than the give-up time of ", giveUp))
	}
	if k.Queue > 0 && k.Wait == 0 {
		add("concurrency.wait", "wants a time where there is a queue")
	}
	if r := l.Rate; r.PerSecond < 0 || math.IsNaN(r.PerSecond) || math.IsInf(r.PerSecond, 0) || r.PerSecond == 0 && r.Burst > 0 {
		add("rate.per_second", "wants more than 0")
	} else if r.Burst < 0 || r.PerSecond > 0 && r.Burst == 0 {
		add("rate.burst", "wants 1 at least")
	}
	if b := l.Repeats; b.Span < 0 || b.Span == 0 && (b.Share > 0 || b.Free > 0) {
		add("repeats.span", "wants more than 0")
	} else if b.Span > 0 && (!(b.Share >= 0) || !(b.Free >= 0) || b.Share+b.Free == 0 || b.Share > float64(c.Attempts)) {
		add("repeats.share", sprint("a budget of 0 repeats nothing ever, and more than ", c.Attempts, " to one is none: say attempts 1, or leave it out"))
	}
	return list
}

// Plan is what a fixed schedule of attempts comes to in the worst case: each runs to its time-out and is followed by its
// wait. Installations that set time-outs and waits themselves are held to it.
type Plan struct {
	Attempts int
	Timeout  time.Duration // of one attempt; 0 where the decision module sets it
	Wait     time.Duration // before a further attempt
	Jitter   float64       // by what share of itself a wait may be longer
}

// Check adds a schedule up: the last attempt of a keyed class must begin inside its window, and the whole must end by the
// time that the client gives up.
func (p Plan) Check(c Class, giveUp time.Duration) (list []Breach) {
	if p.Timeout == 0 && p.Wait == 0 {
		return nil
	}
	if giveUp == 0 {
		giveUp = c.GiveUp
	}
	n := p.Attempts
	if n == 0 {
		n = c.Attempts
	}
	if p.Timeout < 0 || p.Wait < 0 || !(p.Jitter >= 0 && p.Jitter <= 1) {
		return []Breach{{"attempt", "wants a time-out and a wait of 0 or more, and a jitter of 0 to 1"}}
	}
	wait := p.Wait + time.Duration(p.Jitter*float64(p.Wait))
	last := time.Duration(n-1) * (p.Timeout + wait) // when the last attempt begins, at the latest
	if c.Effect == Keyed && n > 1 && last >= c.Window {
		list = append(list, Breach{"attempt", sprint("the last of ", n, " attempts may begin ", last, " after the first, and repeats of ", c.Name,
			" are dropped for ", c.Window, " only: wants less than that")})
	}
	if c.Effect == Unsafe && n > 1 {
		list = append(list, Breach{"attempts", sprint(c.Name, " must not be repeated: wants 1")})
	}
	if end := last + p.Timeout; end > giveUp {
		list = append(list, Breach{"attempt", sprint(n, " attempts may end ", end, " after the first began, and clients of ", c.Name, " give up at ", giveUp)})
	}
	return list
}

// gcra is a rate limit by the generic cell rate algorithm (ITU-T I.371): one time, when the next request would be on
// schedule.
type gcra struct{ due time.Duration }

// take lets a request through, or says how long it is too soon.
func (g *gcra) take(r Rate, now time.Duration) (wait time.Duration) {
	if r.PerSecond <= 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / r.PerSecond)
	// Never later than a full burst from now: a clock that went back must not keep clients out for hours.
	due := min(max(g.due, now), now+step*time.Duration(max(r.Burst, 1)))
	if early := due - now - step*time.Duration(max(r.Burst, 1)-1); early > 0 {
		return early
	}
	g.due = due + step
	return 0
}

// slots counts amounts over a moving span in ten steps of it: no memory grows with what is counted.
type slots struct {
	n    [slotCount + 1]float64
	head int
	at   time.Duration // when the newest slot began
}

const slotCount = 10

func (s *slots) turn(now, span time.Duration) {
	step := max(span/slotCount, 1)
	gone := (now - s.at) / step
	if gone <= 0 {
		return // also where a clock went back: what was counted stays
	}
	for range min(gone, slotCount+1) {
		s.head = (s.head + 1) % len(s.n)
		s.n[s.head] = 0
	}
	s.at += gone * step
}

func (s *slots) add(now, span time.Duration, x float64) {
	s.turn(now, span)
	s.n[s.head] += x
}

func (s *slots) sum(now, span time.Duration) (total float64) {
	s.turn(now, span)
	for _, x := range s.n {
		total += x
	}
	return total
}

// budget is a retry budget.
type budget struct{ first, further slots }

func (b *budget) attempt(r Repeats, now time.Duration) {
	if r.Span > 0 {
		b.first.add(now, r.Span, 1)
	}
}

// repeat says whether a further attempt fits, and counts it if so.
func (b *budget) repeat(r Repeats, now time.Duration) bool {
	if r.Span <= 0 {
		return true
	}
	if b.further.sum(now, r.Span)+1 > r.Free+r.Share*b.first.sum(now, r.Span) {
		return false
	}
	b.further.add(now, r.Span, 1)
	return true
}

// Tuned values of the limit that follows answer times.
const (
	shortHalf = 0.2   // smoothing of recent answer times: some five answers
	longHalf  = 0.002 // and of the usual: some five hundred
	slack     = 1.5   // times the usual: slower answers are a queue at work
	leastFall = 0.5   // the steepest fall of one look
	lookEvery = 10    // answers between two looks
	useful    = 0.5   // of the limit: where fewer are in hand, answer times say nothing of it
)

// gradient is a limit that follows answer times, after Netflix's concurrency-limits (Gradient2): it falls by how much
// recent answers are slower than the usual ones, and grows by its root while they are not.
type gradient struct {
	limit       float64
	short, long float64 // seconds
	seen        int
	most        int // in hand at once since the last look
}

func (g *gradient) now(c Concurrency) int {
	if c.Floor == 0 || g.limit == 0 {
		return c.Most
	}
	return min(max(int(g.limit), c.Floor), c.Most)
}

func (g *gradient) answered(c Concurrency, took time.Duration, inHand int) {
	if c.Floor == 0 || c.Most == 0 {
		return
	}
	sec := took.Seconds()
	if g.limit == 0 {
		g.limit, g.short, g.long = float64(c.Most), sec, sec
	}
	g.short += shortHalf * (sec - g.short)
	g.long += longHalf * (sec - g.long)
	g.long = min(g.long, 2*g.short+1e-9) // a long jam must not become the usual's memory for ever
	g.most = max(g.most, inHand)
	if g.seen++; g.seen < lookEvery {
		return
	}
	if float64(g.most) >= useful*g.limit {
		g.limit *= min(max(slack*g.long/max(g.short, 1e-9), leastFall), 1)
		g.limit = min(max(g.limit+math.Sqrt(g.limit), float64(c.Floor)), float64(c.Most))
	}
	g.seen, g.most = 0, 0
}

// Verdict is what becomes of a request at the door.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota
	Wait           // it has a place in the queue; Next says when it leaves
	Refuse         // at once, with when to come back
)

// Why a request is refused.
const (
	WhyRate  = "the route's rate"
	WhyFull  = "the route's concurrency, and its queue is full"
	WhyLate  = "the route's queue: its time would be up before it left"
	WhyShort = "the time left is under the route's usual answer time"
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict    Verdict
	Why        string
	RetryAfter time.Duration
}

// Gate keeps one route. It is not safe for concurrent use.
type Gate struct {
	Limits Limits

	rate    gcra
	budget  budget
	limit   gradient
	inHand  int
	waiting []waiter // by priority, then as they came
	usual   float64  // smoothed answer time in seconds
	counts  Counts
}

// Counts are what a gate has done, for operators.
type Counts struct {
	Admitted       uint64 `json:"admitted"`
	Queued         uint64 `json:"queued"`
	Refused        uint64 `json:"refused"`  // at the door
	GivenUp        uint64 `json:"given_up"` // after they had waited
	Repeats        uint64 `json:"repeats"`
	RepeatsRefused uint64 `json:"repeats_refused"`
	InHand         int    `json:"in_hand"`
	Waiting        int    `json:"waiting"`
	Limit          int    `json:"limit"` // of concurrency now, 0 for none
}

type waiter struct {
	id       uint64
	priority int
	until    time.Duration // when its wait is over
	end      time.Duration // when its client gives up
}

// Change puts other limits in force. Another rate begins anew: the schedule of a lower one may lie far ahead.
func (g *Gate) Change(l Limits) {
	if l.Rate != g.Limits.Rate {
		g.rate = gcra{}
	}
	g.Limits = l
}

// Arrive decides on a request whose client gives up at end.
func (g *Gate) Arrive(id uint64, priority int, now, end time.Duration) Decision {
	if end-now < time.Duration(g.usual*shortOf*float64(time.Second)) {
		g.counts.Refused++
		return Decision{Refuse, WhyShort, g.comeBack()}
	}
	if wait := g.rate.take(g.Limits.Rate, now); wait > 0 {
		g.counts.Refused++
		return Decision{Refuse, WhyRate, wait}
	}
	c := g.Limits.Concurrency
	if c.Most == 0 || g.inHand < g.limit.now(c) && len(g.waiting) == 0 {
		g.admit()
		return Decision{Verdict: Admit}
	}
	w := waiter{id, priority, min(now+c.Wait, end-time.Duration(g.usual*float64(time.Second))), end}
	switch {
	case c.Queue == 0 || w.until <= now:
		g.counts.Refused++
		return Decision{Refuse, WhyFull, g.comeBack()}
	case len(g.waiting) >= c.Queue:
		if last := g.waiting[len(g.waiting)-1]; last.priority >= priority {
			g.counts.Refused++
			return Decision{Refuse, WhyFull, g.comeBack()}
		}
	}
	i, _ := slices.BinarySearchFunc(g.waiting, priority, func(x waiter, p int) int {
		if x.priority >= p {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, i, w)
	g.counts.Queued++
	return Decision{Verdict: Wait}
}

// shortOf is the share of the usual answer time that a request's time must at least be: with less it is work for nobody.
const shortOf = 0.25

func (g *Gate) admit() {
	g.inHand++
	g.counts.Admitted++
}

// comeBack is when a refused client may well be let in: after an answer time, by when places have come free.
func (g *Gate) comeBack() time.Duration {
	return min(max(time.Duration(g.usual*float64(time.Second)), comeBackLeast), comeBackMost)
}

// Bounds of what a refused client is told.
const (
	comeBackLeast = 100 * time.Millisecond
	comeBackMost  = 5 * time.Second
)

// Given is a request that waited and is decided on now.
type Given struct {
	ID uint64
	Decision
}

// Next decides on those that wait: whose wait is over is refused, and free places are given to the rest. A queue that is
// longer than its limit by now, as after a reload, gives up those behind it.
func (g *Gate) Next(now time.Duration) (list []Given) {
	c := g.Limits.Concurrency
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		switch {
		case w.until <= now || c.Most > 0 && len(kept) >= max(c.Queue, 0) && g.inHand >= g.limit.now(c):
			g.counts.GivenUp++
			list = append(list, Given{w.id, Decision{Refuse, WhyLate, g.comeBack()}})
		case c.Most == 0 || g.inHand < g.limit.now(c):
			g.admit()
			list = append(list, Given{w.id, Decision{Verdict: Admit}})
		default:
			kept = append(kept, w)
		}
	}
	g.waiting = kept
	return list
}

// Due is when Next is wanted at the latest, 0 for not at all.
func (g *Gate) Due() (due time.Duration) {
	for _, w := range g.waiting {
		if due == 0 || w.until < due {
			due = w.until
		}
	}
	return due
}

// Leave takes a request out that waits and whose client is gone; false where it does not wait.
func (g *Gate) Leave(id uint64) bool {
	n := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiter) bool { return w.id == id })
	return len(g.waiting) < n
}

// Done takes in the end of an admitted request. Only an answer's time says anything: a refusal by the decision module,
// or a failure, is none.
func (g *Gate) Done(took time.Duration, answered bool) {
	inHand := g.inHand
	g.inHand = max(g.inHand-1, 0)
	if !answered {
		return
	}
	if g.usual == 0 {
		g.usual = took.Seconds()
	}
	g.usual += shortHalf * (took.Seconds() - g.usual)
	g.limit.answered(g.Limits.Concurrency, took, inHand)
}

// First counts a part's first attempt.
func (g *Gate) First(now time.Duration) { g.budget.attempt(g.Limits.Repeats, now) }

// Repeat says whether a part's further attempt fits the route's budget.
func (g *Gate) Repeat(now time.Duration) bool {
	ok := g.budget.repeat(g.Limits.Repeats, now)
	if ok {
		g.counts.Repeats++
	} else {
		g.counts.RepeatsRefused++
	}
	return ok
}

// Counts tells what the gate has done so far.
func (g *Gate) Counts() Counts {
	c := g.counts
	c.InHand, c.Waiting, c.Limit = g.inHand, len(g.waiting), g.limit.now(g.Limits.Concurrency)
	return c
}
