// Package audit proves from the record that every limit held: for each request its attempts, that no two of a part
// overlapped, the window of keyed classes and the time to give up; for each route its concurrency, rate and budget of
// repeats, by the limits in force at that moment. It is pure.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// Breach is a limit that did not hold, with the entries that show it.
type Breach struct {
	Rule    string
	Entries []record.Entry
}

func (b Breach) String() string {
	text := b.Rule
	for _, e := range b.Entries {
		text += fmt.Sprintf("\n    %s %+v", time.UnixMicro(e.At).UTC().Format("15:04:05.000000"), e)
	}
	return text
}

// Report is what an audit found.
type Report struct {
	Requests, Attempts, Answered, Refused, Failed, Left int
	Open                                                int    // without a final answer by the record's end
	Dropped                                             uint64 // entries that the record lacks: what they would show is not known
	Breaches                                            []Breach
	More                                                int // breaches past those that are kept
}

// Slack that clocks and the core's own steps are given, in microseconds.
const (
	stepSlack   = 30_000 // a final answer after the time to give up
	breachesMax = 100
)

// Audit takes entries in, in order.
type Audit struct {
	report   Report
	requests map[uint64]*request
	routes   map[string]*route
}

type request struct {
	arrived record.Entry
	let     int64 // when it was let in, 0 if it was not
	done    bool
	parts   map[part][]record.Entry
}

type part struct{ shard, step int }

type route struct {
	inHand  int
	due     float64 // when the next request would be on schedule, microseconds
	rate    float64 // that this is by; another begins anew, as the gate does
	burst   int
	first   []int64 // times of first attempts and
	further []record.Entry
}

// New begins an audit.
func New() *Audit {
	return &Audit{requests: map[uint64]*request{}, routes: map[string]*route{}}
}

func (a *Audit) breach(entries []record.Entry, format string, args ...any) {
	if len(a.report.Breaches) >= breachesMax {
		a.report.More++
		return
	}
	a.report.Breaches = append(a.report.Breaches, Breach{fmt.Sprintf(format, args...), slices.Clone(entries)})
}

func (a *Audit) route(name string) *route {
	r := a.routes[name]
	if r == nil {
		r = &route{}
		a.routes[name] = r
	}
	return r
}

// Add takes the next entry in.
func (a *Audit) Add(e record.Entry) {
	switch e.Kind {
	case record.Started:
		a.settle()
	case record.Dropped:
		a.report.Dropped += e.Count
	case record.Arrived:
		a.arrived(e)
	case record.Released:
		if q := a.requests[e.Request]; q != nil && e.Verdict == "admit" {
			a.admit(q, e)
		}
	case record.Attempt:
		a.report.Attempts++
		if q := a.requests[e.Request]; q != nil {
			k := part{e.Shard, e.Step}
			q.parts[k] = append(q.parts[k], e)
		}
	case record.Final:
		a.final(e)
	}
}

func (a *Audit) arrived(e record.Entry) {
	a.report.Requests++
	q := &request{arrived: e, parts: map[part][]record.Entry{}}
	if a.requests[e.Request] != nil {
		a.breach([]record.Entry{a.requests[e.Request].arrived, e}, "request %d arrived twice", e.Request)
	}
	a.requests[e.Request] = q
	if in := e.In; in != nil && in.PerSecond > 0 && e.Verdict != "refuse" {
		r := a.route(e.Route)
		if r.rate != in.PerSecond || r.burst != in.Burst {
			r.rate, r.burst, r.due = in.PerSecond, in.Burst, 0
		}
		step := 1e6 / in.PerSecond
		r.due = max(r.due, float64(e.At))
		if early := r.due - float64(e.At) - step*float64(max(in.Burst, 1)-1); early > step*0.01+1000 {
			a.breach([]record.Entry{e}, "route %s: %.0f us too soon for %v a second with a burst of %d", e.Route, early, in.PerSecond, in.Burst)
		}
		r.due += step
	}
	if e.Verdict == "admit" {
		a.admit(q, e)
	}
}

func (a *Audit) admit(q *request, e record.Entry) {
	q.let = e.At
	r := a.route(q.arrived.Route)
	r.inHand++
	// With entries missing, ends may be: how many are in hand is not known then.
	if in := q.arrived.In; in != nil && in.MaxConcurrency > 0 && r.inHand > in.MaxConcurrency && a.report.Dropped == 0 {
		a.breach([]record.Entry{q.arrived, e}, "route %s: %d requests in hand, %d allowed", q.arrived.Route, r.inHand, in.MaxConcurrency)
	}
}

func (a *Audit) final(e record.Entry) {
	q := a.requests[e.Request]
	if q == nil {
		return // arrived before the record's beginning, or its entry was dropped
	}
	if q.done {
		a.breach([]record.Entry{q.arrived, e}, "request %d has two final answers", e.Request)
		return
	}
	q.done = true
	switch e.Verdict {
	case "answered":
		a.report.Answered++
	case "refused":
		a.report.Refused++
	case "left":
		a.report.Left++
	default:
		a.report.Failed++
	}
	if q.let > 0 {
		a.route(q.arrived.Route).inHand--
	}
	if in := q.arrived.In; in != nil && in.Timeout > 0 && e.At-q.arrived.At > in.Timeout+stepSlack {
		a.breach([]record.Entry{q.arrived, e}, "request %d ended %v after it came, %v allowed", e.Request,
			time.Duration(e.At-q.arrived.At)*time.Microsecond, time.Duration(in.Timeout)*time.Microsecond)
	}
}

// Report ends the audit.
func (a *Audit) Report() Report {
	a.settle()
	return a.report
}

// settle ends one process's part: what wants all attempts of a request is looked at here, as an attempt may end after
// its request.
func (a *Audit) settle() {
	ids := make([]uint64, 0, len(a.requests))
	for id := range a.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := a.requests[id]
		if !q.done && q.arrived.Verdict != "refuse" {
			a.report.Open++
		}
		a.attempts(id, q)
	}
	names := make([]string, 0, len(a.routes))
	for name := range a.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		a.repeats(name, a.routes[name])
	}
	clear(a.requests)
	clear(a.routes)
}

func (a *Audit) attempts(id uint64, q *request) {
	in := q.arrived.In
	shards := map[int]int{}
	keys := make([]part, 0, len(q.parts))
	for k := range q.parts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(x, y part) int { return cmp.Or(cmp.Compare(x.step, y.step), cmp.Compare(x.shard, y.shard)) })
	for _, k := range keys {
		list := q.parts[k]
		slices.SortFunc(list, func(x, y record.Entry) int { return cmp.Compare(x.Number, y.Number) })
		first, sent := int64(0), 0
		for i, e := range list {
			if e.Sent == 0 {
				continue // never left
			}
			sent++
			r := a.route(q.arrived.Route)
			if e.Number == 0 {
				r.first = append(r.first, e.Sent)
			} else {
				x := e
				x.In = in
				r.further = append(r.further, x)
			}
			allowed := 1
			if in != nil && in.Hedging {
				allowed = 2
			}
			out := slices.DeleteFunc(slices.Clone(list[:i+1]), func(o record.Entry) bool { return o.Sent == 0 || o.Number != e.Number && o.At <= e.Sent })
			if len(out) > allowed {
				a.breach(out, "request %d, range %d: attempt %d left before attempt %d had ended", id, k.shard, e.Number, out[len(out)-1-allowed].Number)
			}
			if in != nil && in.Window > 0 && first > 0 && e.Sent-first >= in.Window {
				a.breach(list[:i+1], "request %d, range %d: attempt %d left %v after the first that may have run, its window is %v", id, k.shard, e.Number,
					time.Duration(e.Sent-first)*time.Microsecond, time.Duration(in.Window)*time.Microsecond)
			}
			if e.Ran && first == 0 {
				first = e.Sent
			}
		}
		if k.step == record.LoadStep { // its parts have attempts of their own, where listings share their range's
			shards[k.shard] = 0
		}
		shards[k.shard] += sent
		if in != nil && in.Attempts > 0 && shards[k.shard] > in.Attempts {
			a.breach(list, "request %d, range %d: %d attempts over its steps, %d allowed", id, k.shard, shards[k.shard], in.Attempts)
		}
	}
}

// repeats holds a route's further attempts to its budget: those of any span to its free ones and its share of the first
// ones of that span, which the gate counts in tenths of it.
func (a *Audit) repeats(name string, r *route) {
	slices.Sort(r.first)
	slices.SortFunc(r.further, func(x, y record.Entry) int { return cmp.Compare(x.Sent, y.Sent) })
	for i, e := range r.further {
		in := e.In
		if in == nil || in.Span <= 0 {
			continue
		}
		from := e.Sent - in.Span
		lo, _ := slices.BinarySearchFunc(r.further, from, func(x record.Entry, t int64) int { return cmp.Compare(x.Sent, t) })
		f, _ := slices.BinarySearch(r.first, from-in.Span/10)
		t, _ := slices.BinarySearch(r.first, e.Sent+1)
		if n, allowed := float64(i+1-lo), in.Free+in.Ratio*float64(t-f); n > allowed+1 {
			a.breach(r.further[lo : i+1][max(0, i+1-lo-3):], "route %s: %.0f further attempts within %v, %.1f allowed", name, n, time.Duration(in.Span)*time.Microsecond, allowed)
			return // one of a route tells it
		}
	}
}
