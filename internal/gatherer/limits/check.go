package limits

import (
	"math"
	"time"
)

// Effect says what a class's repeats do, as far as limits care.
type Effect uint8

// The effects.
const (
	Idempotent Effect = iota
	Deduplicated
	NotIdempotent
)

// Class is what the operator's settings say of a class: limits must stay within.
type Class struct {
	Name          string
	Effect        Effect
	LatencyTarget time.Duration
	Timeout       time.Duration
	Window        time.Duration // of a keyed class: repeats are dropped so long
	Attempts      int
	Floor         float64 // least share of any answer
}

// Breach is one rule that a route's limits break.
type Violation struct {
	Field string // as the file has it
	Rule  string // which rule, and what would be allowed
}

// Check says how limits break the rules of the class that they are for; none is let through.
func (l Limits) Check(c Class) (list []Violation) {
	add := func(field, rule string) { list = append(list, Violation{field, rule}) }
	wanted, giveUp := l.LatencyTarget, l.Timeout
	if wanted == 0 {
		wanted = c.LatencyTarget
	}
	if giveUp == 0 {
		giveUp = c.Timeout
	}
	switch {
	case l.Attempts < 0:
		add("attempts", "wants 1 at least")
	case l.Attempts > c.Attempts:
		add("attempts", sprint("the settings allow at most ", c.Attempts, " attempts of a part of ", c.Name))
	}
	if l.Timeout < 0 || l.Timeout > c.Timeout {
		add("give_up", sprint("clients of ", c.Name, " give up at ", c.Timeout, ": wants more than 0 and at most that"))
	}
	if l.LatencyTarget < 0 || l.LatencyTarget > c.LatencyTarget {
		add("wanted", sprint("an answer of ", c.Name, " is wanted within ", c.LatencyTarget, ": wants more than 0 and at most that"))
	} else if wanted > giveUp {
		add("wanted", sprint("is past the give-up time of ", giveUp))
	}
	if l.MinWeight != 0 && (l.MinWeight < c.Floor || l.MinWeight > 1) {
		add("least", sprint("an answer of ", c.Name, " needs ", c.Floor, " of the weight: wants that to 1"))
	}
	for _, x := range []struct {
		field string
		n     int
	}{{"body", l.MaxBody}, {"answer", l.MaxAnswer}, {"depth", l.MaxDepth}, {"priority", l.Priority},
		{"concurrency.most", l.Concurrency.Max}, {"concurrency.floor", l.Concurrency.Floor}, {"concurrency.queue", l.Concurrency.Queue}} {
		if x.n < 0 {
			add(x.field, "wants 0 or more")
		}
	}
	k := l.Concurrency
	if k.Floor > k.Max {
		add("concurrency.floor", sprint("is over concurrency.most of ", k.Max))
	}
	if k.Queue > 0 && k.Max == 0 {
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
	if b := l.Retries; b.Span < 0 || b.Span == 0 && (b.Ratio > 0 || b.Minimum > 0) {
		add("repeats.span", "wants more than 0")
	} else if b.Span > 0 && (!(b.Ratio >= 0) || !(b.Minimum >= 0) || b.Ratio+b.Minimum == 0 || b.Ratio > float64(c.Attempts)) {
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
func (p Plan) Check(c Class, giveUp time.Duration) (list []Violation) {
	if p.Timeout == 0 && p.Wait == 0 {
		return nil
	}
	if giveUp == 0 {
		giveUp = c.Timeout
	}
	n := p.Attempts
	if n == 0 {
		n = c.Attempts
	}
	if p.Timeout < 0 || p.Wait < 0 || !(p.Jitter >= 0 && p.Jitter <= 1) {
		return []Violation{{"attempt", "wants a time-out and a wait of 0 or more, and a jitter of 0 to 1"}}
	}
	wait := p.Wait + time.Duration(p.Jitter*float64(p.Wait))
	last := time.Duration(n-1) * (p.Timeout + wait) // when the last attempt begins, at the latest
	if c.Effect == Deduplicated && n > 1 && last >= c.Window {
		list = append(list, Violation{"attempt", sprint("the last of ", n, " attempts may begin ", last, " after the first, and repeats of ", c.Name,
			" are dropped for ", c.Window, " only: wants less than that")})
	}
	if c.Effect == NotIdempotent && n > 1 {
		list = append(list, Violation{"attempts", sprint(c.Name, " must not be repeated: wants 1")})
	}
	if end := last + p.Timeout; end > giveUp {
		list = append(list, Violation{"attempt", sprint(n, " attempts may end ", end, " after the first began, and clients of ", c.Name, " give up at ", giveUp)})
	}
	return list
}
