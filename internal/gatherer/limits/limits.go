// Package limits decides on the admission of requests by route: which route a request matches, whether it is admitted,
// queued or rejected, and whether a subquery may be retried. It does no I/O and has no clock: times are arguments, as
// durations since some fixed moment. It never widens what the operator's settings allow, and it never chooses lot stores:
// that is package policy's.
//
// [NewTable] makes the routes, [Table.Find] matches a request, and each route has a [Gate].
package limits

import "time"

// Limits are the limits of one route. The zero value of a field sets no limit of its kind.
type Limits struct {
	LatencyTarget time.Duration // an answer within this has its full value
	Timeout       time.Duration // upper bound of a client's time-out
	Attempts      int           // most attempts of one subquery, the first included
	MinWeight     float64       // fraction of the weight that an answer needs
	CompleteOnly  bool          // no partial answers, whatever the class allows
	MaxBody       int           // bytes of a request body
	MaxAnswer     int           // bytes of lot stores' answers to one request
	MaxDepth      int           // from + size of a search
	Priority      int           // of queued requests, the higher leaves first

	Concurrency Concurrency
	Rate        Rate
	Retries     RetryBudget
}

// Fields returns all limits by their names in the configuration file. The value of one that is not set is empty.
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

// Concurrency bounds the requests of a route in flight.
type Concurrency struct {
	Max   int           // in flight; 0 for no limit
	Floor int           // least limit where it adapts to latency; 0 for a fixed limit of Max
	Queue int           // requests that may be queued
	Wait  time.Duration // longest time in the queue
}

// Rate is a rate limit.
type Rate struct {
	PerSecond float64 // 0 for no limit
	Burst     int     // requests that an idle route may have at once; at least 1
}

// RetryBudget bounds the retries in any span of time.
type RetryBudget struct {
	Ratio   float64       // retries per first attempt
	Minimum float64       // retries allowed in any span whatever the traffic
	Span    time.Duration // 0 for no limit
}
