// Package audit checks the entries written by package record for violations of limits. For each request it checks the number
// of attempts, that no more attempts of a subquery than allowed are in flight at once, the deduplication window and the
// timeout; for each route the concurrency, the request rate and the retry budget. Each check uses the limits that were in
// force for the request. The package does no I/O.
//
// Pass the entries to [Audit.Add] in the order in which they were recorded, then call [Audit.Report].
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// Violation describes a limit that was exceeded, with the entries that show it.
type Violation struct {
	Rule    string
	Entries []record.Entry
}

func (v Violation) String() string {
	text := v.Rule
	for _, e := range v.Entries {
		text += fmt.Sprintf("\n    %s %+v", time.UnixMicro(e.At).UTC().Format("15:04:05.000000"), e)
	}
	return text
}

// Report is the result of an audit.
type Report struct {
	Requests, Attempts, Answered, Rejected, Failed, Disconnected int
	Open                                                         int    // without a final answer when the process or the record ended
	Dropped                                                      uint64 // entries missing from the record, which the audit could not check
	Violations                                                   []Violation
	More                                                         int // violations beyond maxViolations
}

const (
	timeoutSlackUs = 30_000 // tolerance for clock differences and event-loop steps between the timeout and the final answer
	maxViolations  = 100    // violations kept in a Report
)

// Audit checks entries. The zero value is not usable; see New.
type Audit struct {
	report   Report
	requests map[uint64]*request
	routes   map[string]*route
}

type request struct {
	arrived    record.Entry
	admittedAt int64 // 0 if it was not admitted
	ended      bool
	attempts   map[subquery][]record.Entry
}

type subquery struct{ shard, step int }

type route struct {
	inFlight   int
	dueUs      float64 // earliest time at which the rate limit allows the next request, without burst
	rate       float64 // requests per second that dueUs is computed with; a change of rate or burst resets dueUs, as the rate limiter does
	burst      int
	firstSends []int64 // send times of first attempts
	retries    []record.Entry
}

// New returns an Audit without entries.
func New() *Audit {
	return &Audit{requests: map[uint64]*request{}, routes: map[string]*route{}}
}

func (a *Audit) violation(entries []record.Entry, format string, args ...any) {
	if len(a.report.Violations) >= maxViolations {
		a.report.More++
		return
	}
	a.report.Violations = append(a.report.Violations, Violation{fmt.Sprintf(format, args...), slices.Clone(entries)})
}

func (a *Audit) route(name string) *route {
	r := a.routes[name]
	if r == nil {
		r = &route{}
		a.routes[name] = r
	}
	return r
}

// Add checks the next entry.
func (a *Audit) Add(e record.Entry) {
	switch e.Kind {
	case record.Started:
		a.finishProcess()
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
			k := subquery{e.Shard, e.Step}
			q.attempts[k] = append(q.attempts[k], e)
		}
	case record.Final:
		a.final(e)
	}
}

func (a *Audit) arrived(e record.Entry) {
	a.report.Requests++
	q := &request{arrived: e, attempts: map[subquery][]record.Entry{}}
	if a.requests[e.Request] != nil {
		a.violation([]record.Entry{a.requests[e.Request].arrived, e}, "request %d arrived twice", e.Request)
	}
	a.requests[e.Request] = q
	if in := e.In; in != nil && in.PerSecond > 0 && e.Verdict != "refuse" {
		r := a.route(e.Route)
		if r.rate != in.PerSecond || r.burst != in.Burst {
			r.rate, r.burst, r.dueUs = in.PerSecond, in.Burst, 0
		}
		step := 1e6 / in.PerSecond
		r.dueUs = max(r.dueUs, float64(e.At))
		if early := r.dueUs - float64(e.At) - step*float64(max(in.Burst, 1)-1); early > step*0.01+1000 {
			a.violation([]record.Entry{e}, "route %s: %.0f us too soon for %v a second with a burst of %d", e.Route, early, in.PerSecond, in.Burst)
		}
		r.dueUs += step
	}
	if e.Verdict == "admit" {
		a.admit(q, e)
	}
}

func (a *Audit) admit(q *request, e record.Entry) {
	q.admittedAt = e.At
	r := a.route(q.arrived.Route)
	r.inFlight++
	// After dropped entries, which may include final answers, the number in flight is unknown.
	if in := q.arrived.In; in != nil && in.MaxConcurrency > 0 && r.inFlight > in.MaxConcurrency && a.report.Dropped == 0 {
		a.violation([]record.Entry{q.arrived, e}, "route %s: %d requests in hand, %d allowed", q.arrived.Route, r.inFlight, in.MaxConcurrency)
	}
}

func (a *Audit) final(e record.Entry) {
	q := a.requests[e.Request]
	if q == nil {
		return // its Arrived entry precedes the record or was dropped
	}
	if q.ended {
		a.violation([]record.Entry{q.arrived, e}, "request %d has two final answers", e.Request)
		return
	}
	q.ended = true
	switch e.Verdict {
	case "answered":
		a.report.Answered++
	case "refused":
		a.report.Rejected++
	case "left":
		a.report.Disconnected++
	default:
		a.report.Failed++
	}
	if q.admittedAt > 0 {
		a.route(q.arrived.Route).inFlight--
	}
	if in := q.arrived.In; in != nil && in.Timeout > 0 && e.At-q.arrived.At > in.Timeout+timeoutSlackUs {
		a.violation([]record.Entry{q.arrived, e}, "request %d ended %v after it came, %v allowed", e.Request,
			time.Duration(e.At-q.arrived.At)*time.Microsecond, time.Duration(in.Timeout)*time.Microsecond)
	}
}

// Report ends the audit and returns its result.
func (a *Audit) Report() Report {
	a.finishProcess()
	return a.report
}

// finishProcess runs the checks that need all entries of one process: attempts, which may end after their request, and
// retry budgets.
func (a *Audit) finishProcess() {
	ids := make([]uint64, 0, len(a.requests))
	for id := range a.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := a.requests[id]
		if !q.ended && q.arrived.Verdict != "refuse" {
			a.report.Open++
		}
		a.checkAttempts(id, q)
	}
	names := make([]string, 0, len(a.routes))
	for name := range a.routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		a.checkRetries(name, a.routes[name])
	}
	clear(a.requests)
	clear(a.routes)
}

// checkAttempts checks the attempts of a request and adds them to its route for checkRetries.
func (a *Audit) checkAttempts(id uint64, q *request) {
	in := q.arrived.In
	shards := map[int]int{}
	keys := make([]subquery, 0, len(q.attempts))
	for k := range q.attempts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(x, y subquery) int { return cmp.Or(cmp.Compare(x.step, y.step), cmp.Compare(x.shard, y.shard)) })
	for _, k := range keys {
		list := q.attempts[k]
		slices.SortFunc(list, func(x, y record.Entry) int { return cmp.Compare(x.Number, y.Number) })
		sent := a.checkSubquery(id, q, k, list)
		if k.step == record.LoadStep { // its attempts are limited separately, while those of ListingStep count together with step 0
			shards[k.shard] = 0
		}
		shards[k.shard] += sent
		if in != nil && in.Attempts > 0 && shards[k.shard] > in.Attempts {
			a.violation(list, "request %d, range %d: %d attempts over its steps, %d allowed", id, k.shard, shards[k.shard], in.Attempts)
		}
	}
}

// checkSubquery checks the attempts of one subquery, in order of their numbers, and returns how many were sent.
func (a *Audit) checkSubquery(id uint64, q *request, k subquery, list []record.Entry) (sent int) {
	in, first := q.arrived.In, int64(0)
	for i, e := range list {
		if e.Sent == 0 {
			continue // not passed to the transport
		}
		sent++
		r := a.route(q.arrived.Route)
		if e.Number == 0 {
			r.firstSends = append(r.firstSends, e.Sent)
		} else {
			x := e
			x.In = in
			r.retries = append(r.retries, x)
		}
		allowed := 1
		if in != nil && in.Hedging {
			allowed = 2
		}
		open := slices.DeleteFunc(slices.Clone(list[:i+1]), func(o record.Entry) bool {
			return o.Sent == 0 || o.Number != e.Number && o.At <= e.Sent
		})
		if len(open) > allowed {
			a.violation(open, "request %d, range %d: attempt %d left before attempt %d had ended", id, k.shard, e.Number, open[len(open)-1-allowed].Number)
		}
		if in != nil && in.Window > 0 && first > 0 && e.Sent-first >= in.Window {
			a.violation(list[:i+1], "request %d, range %d: attempt %d left %v after the first that may have run, its window is %v", id, k.shard, e.Number,
				time.Duration(e.Sent-first)*time.Microsecond, time.Duration(in.Window)*time.Microsecond)
		}
		if e.Ran && first == 0 {
			first = e.Sent
		}
	}
	return sent
}

// checkRetries checks the retries of a route against its budget: within any Span at most Free retries plus Ratio times the
// first attempts in it. The gatherer counts first attempts in slots of a tenth of the span, so up to one slot more is
// allowed.
func (a *Audit) checkRetries(name string, r *route) {
	slices.Sort(r.firstSends)
	slices.SortFunc(r.retries, func(x, y record.Entry) int { return cmp.Compare(x.Sent, y.Sent) })
	for i, e := range r.retries {
		in := e.In
		if in == nil || in.Span <= 0 {
			continue
		}
		from := e.Sent - in.Span
		lo, _ := slices.BinarySearchFunc(r.retries, from, func(x record.Entry, t int64) int { return cmp.Compare(x.Sent, t) })
		f, _ := slices.BinarySearch(r.firstSends, from-in.Span/10)
		t, _ := slices.BinarySearch(r.firstSends, e.Sent+1)
		if n, allowed := float64(i+1-lo), in.Free+in.Ratio*float64(t-f); n > allowed+1 {
			a.violation(r.retries[lo : i+1][max(0, i+1-lo-3):], "route %s: %.0f further attempts within %v, %.1f allowed", name, n, time.Duration(in.Span)*time.Microsecond, allowed)
			return // one violation of a route is enough
		}
	}
}
