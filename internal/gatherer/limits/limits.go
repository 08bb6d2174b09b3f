// Package limits decides on the admission of requests by route: which route a request matches, whether it is admitted,
// queued or rejected, and whether a subquery may be retried. It does no I/O and has no clock: times are arguments, as
// durations since some fixed moment. It never allows more than the operator's settings do. Choosing lot stores is left to
// package policy.
//
// [NewTable] builds the table of routes, [Table.Find] matches a request, and each route has a [Limiter].
package limits

import "time"

// Limits are the limits of one route. A field that is zero sets no limit.
type Limits struct {
	LatencyTarget time.Duration // an answer within this has its full value
	Timeout       time.Duration // upper bound of a client's time-out
	Attempts      int           // maximum number of attempts of one subquery, including the first
	MinWeight     float64       // minimum fraction of the weight that an answer must have
	CompleteOnly  bool          // no partial answers, whatever the class allows
	MaxBody       int           // bytes of a request body
	MaxAnswer     int           // bytes of all lot stores' answers to one request
	MaxDepth      int           // from + size of a search
	Priority      int           // queued requests of a higher priority are admitted first

	Concurrency Concurrency
	Rate        Rate
	Retries     RetryBudget
}

// Fields returns the names of all limits in the configuration file with their values. The value of a limit that is not set
// is empty.
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

// Concurrency limits the requests of a route that are in flight at once.
type Concurrency struct {
	Max   int           // maximum number in flight; 0 for no limit
	Floor int           // lower bound of a limit that adapts to latency, below Max; 0 for a fixed limit of Max
	Queue int           // maximum number of queued requests
	Wait  time.Duration // maximum time in the queue
}

// Rate is a rate limit.
type Rate struct {
	PerSecond float64 // 0 for no limit
	Burst     int     // number of requests that are admitted at once after an idle time; at least 1
}

// RetryBudget limits the retries within any Span of time to Minimum, plus Ratio for each first attempt in it.
type RetryBudget struct {
	Ratio   float64
	Minimum float64
	Span    time.Duration // 0 for no limit
}
