// Package limits decides what is let in by route: which route a request takes, whether it is admitted now, waits or is
// refused, and whether a part may be repeated. It does no input or output, keeps no clock (times are arguments, as
// durations since some fixed moment) and knows no wire. It never widens what the operator's settings allow, and it
// never chooses lot stores: attempts stay package policy's.
package limits

import "time"

// Limits of one route. The zero value of a field sets no limit of its kind.
type Limits struct {
	LatencyTarget time.Duration // answered within this it earns full worth
	Timeout       time.Duration // the longest that a client's deadline counts for
	Attempts      int           // of one part, the first included
	MinWeight     float64       // share of the weight that an answer needs
	CompleteOnly  bool          // no partial answers, whatever the class allows
	MaxBody       int           // bytes of a request's body
	MaxAnswer     int           // bytes of lot stores' answers that one request may hold
	MaxDepth      int           // from + size of a search
	Priority      int           // of those that wait, the higher goes first

	Concurrency Concurrency
	Rate        Rate
	Retries     RetryBudget
}

// Fields are the limits that are set, by their names in the file; one that is not set is empty.
func (l Limits) Fields() [][2]string {
	set := func(x any, is bool) string {
		if !is {
			return ""
		}
		return sprint(x)
	}
	c, r, b := l.Concurrency, l.Rate, l.Retries
	return [][2]string{{"wanted", set(l.LatencyTarget, l.LatencyTarget > 0)}, {"give_up", set(l.Timeout, l.Timeout > 0)}, {"attempts", set(l.Attempts, l.Attempts > 0)},
		{"least", set(l.MinWeight, l.MinWeight > 0)}, {"whole", set(l.CompleteOnly, l.CompleteOnly)}, {"body", set(l.MaxBody, l.MaxBody > 0)}, {"answer", set(l.MaxAnswer, l.MaxAnswer > 0)},
		{"depth", set(l.MaxDepth, l.MaxDepth > 0)}, {"priority", set(l.Priority, l.Priority > 0)}, {"concurrency.most", set(c.Max, c.Max > 0)},
		{"concurrency.floor", set(c.Floor, c.Floor > 0)}, {"concurrency.queue", set(c.Queue, c.Queue > 0)}, {"concurrency.wait", set(c.Wait, c.Wait > 0)},
		{"rate.per_second", set(r.PerSecond, r.PerSecond > 0)}, {"rate.burst", set(r.Burst, r.Burst > 0)}, {"repeats.share", set(b.Ratio, b.Span > 0)},
		{"repeats.free", set(b.Minimum, b.Span > 0)}, {"repeats.span", set(b.Span, b.Span > 0)}}
}

// Concurrency bounds the requests of a route that are in hand at once.
type Concurrency struct {
	Max   int           // at once; 0 for no limit
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
type RetryBudget struct {
	Ratio   float64       // of first attempts; 0 with no Span for no limit
	Minimum float64       // and so many in any span, however little comes in
	Span    time.Duration // 0 for no limit
}
