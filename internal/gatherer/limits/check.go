package limits

import (
	"math"
	"time"
)

// Effect says what repeating a subquery does, like decision.Effect.
type Effect uint8

// The effects of a class.
const (
	Idempotent    Effect = iota // repeats are harmless
	Deduplicated                // lot stores drop repeats within Class.Window
	NotIdempotent               // a repeat would take effect twice
)

// Class has the operator's settings of a class. The limits of a route must not exceed them.
type Class struct {
	Name          string
	Effect        Effect
	LatencyTarget time.Duration
	Timeout       time.Duration
	Window        time.Duration // Deduplicated: how long repeats are dropped
	Attempts      int
	Floor         float64 // minimum fraction of the weight for any answer
}

// Violation is a rule that the limits of a route violate.
type Violation struct {
	Field string // its name in the configuration file
	Rule  string // the rule, and what is allowed
}

// Check returns the rules that the limits violate in a route of the given class, nil if there are none.
func (l Limits) Check(c Class) (list []Violation) {
	add := func(field, rule string) { list = append(list, Violation{field, rule}) }
	target, timeout := l.LatencyTarget, l.Timeout
	if target == 0 {
		target = c.LatencyTarget
	}
	if timeout == 0 {
		timeout = c.Timeout
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
	} else if target > timeout {
		add("wanted", sprint("is past the give-up time of ", timeout))
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
	l.checkConcurrency(timeout, add)
	l.checkRate(add)
	l.checkRetries(c, add)
	return list
}

// checkConcurrency checks the concurrency limit and its queue.
func (l Limits) checkConcurrency(timeout time.Duration, add func(field, rule string)) {
	k := l.Concurrency
	if k.Floor > k.Max {
		add("concurrency.floor", sprint("is over concurrency.most of ", k.Max))
	}
	if k.Queue > 0 && k.Max == 0 {
		add("concurrency.queue", "has nothing to wait for without concurrency.most")
	}
	if k.Wait < 0 || k.Wait >= timeout {
		add("concurrency.wait", sprint("wants less than the give-up time of ", timeout))
	}
	if k.Queue > 0 && k.Wait == 0 {
		add("concurrency.wait", "wants a time where there is a queue")
	}
}

// checkRate checks the rate limit.
func (l Limits) checkRate(add func(field, rule string)) {
	if r := l.Rate; r.PerSecond < 0 || math.IsNaN(r.PerSecond) || math.IsInf(r.PerSecond, 0) || r.PerSecond == 0 && r.Burst > 0 {
		add("rate.per_second", "wants more than 0")
	} else if r.Burst < 0 || r.PerSecond > 0 && r.Burst == 0 {
		add("rate.burst", "wants 1 at least")
	}
}

// checkRetries checks the retry budget.
func (l Limits) checkRetries(c Class, add func(field, rule string)) {
	if b := l.Retries; b.Span < 0 || b.Span == 0 && (b.Ratio > 0 || b.Minimum > 0) {
		add("repeats.span", "wants more than 0")
	} else if b.Span > 0 && (!(b.Ratio >= 0) || !(b.Minimum >= 0) || b.Ratio+b.Minimum == 0 || b.Ratio > float64(c.Attempts)) {
		add("repeats.share", sprint("a budget of 0 repeats nothing ever, and more than ", c.Attempts, " to one is none: say attempts 1, or leave it out"))
	}
}

// AttemptSchedule is the schedule of attempts of a subquery, for routes that configure time-outs and back-offs. In the
// worst case, every attempt runs to its time-out, and each retry waits for its back-off.
type AttemptSchedule struct {
	Attempts int
	Timeout  time.Duration // of one attempt; 0 if the scheduler sets it
	Backoff  time.Duration // back-off before a retry
	Jitter   float64       // fraction by which a back-off may be longer
}

// Check returns the rules that the schedule violates in the worst case: the last attempt of a deduplicated class must begin
// within its window, a class that is not idempotent has one attempt only, and the last attempt must end before the client
// times out.
func (s AttemptSchedule) Check(c Class, timeout time.Duration) (list []Violation) {
	if s.Timeout == 0 && s.Backoff == 0 {
		return nil
	}
	if timeout == 0 {
		timeout = c.Timeout
	}
	n := s.Attempts
	if n == 0 {
		n = c.Attempts
	}
	if s.Timeout < 0 || s.Backoff < 0 || !(s.Jitter >= 0 && s.Jitter <= 1) {
		return []Violation{{"attempt", "wants a time-out and a wait of 0 or more, and a jitter of 0 to 1"}}
	}
	backoff := s.Backoff + time.Duration(s.Jitter*float64(s.Backoff))
	last := time.Duration(n-1) * (s.Timeout + backoff) // latest start of the last attempt
	if c.Effect == Deduplicated && n > 1 && last >= c.Window {
		list = append(list, Violation{"attempt", sprint("the last of ", n, " attempts may begin ", last, " after the first, and repeats of ", c.Name,
			" are dropped for ", c.Window, " only: wants less than that")})
	}
	if c.Effect == NotIdempotent && n > 1 {
		list = append(list, Violation{"attempts", sprint(c.Name, " must not be repeated: wants 1")})
	}
	if end := last + s.Timeout; end > timeout {
		list = append(list, Violation{"attempt", sprint(n, " attempts may end ", end, " after the first began, and clients of ", c.Name, " give up at ", timeout)})
	}
	return list
}
