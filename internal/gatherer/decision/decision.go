// Package decision declares the interface of the scheduler in package policy: its settings, the events that the host
// reports to it, the actions that it returns, and the records that it hands over to a successor. Besides these types
// it holds only the validation of settings.
//
// A query has one subquery for each of its shards. An attempt is one sending of a subquery to a server that is a
// replica of the shard. Times are those of the host's clock, which starts at any value above 0 and never goes back.
package decision

import "time"

// QueryID identifies a query. The host chooses it; the scheduler takes it as opaque.
type QueryID uint64

// SubqueryID identifies a subquery. The host chooses it; the scheduler takes it as opaque.
type SubqueryID uint64

// ServerID identifies a server. The host chooses it; the scheduler takes it as opaque. 0 stands for no server.
type ServerID uint32

// Record is what a scheduler has learned about a server, for a successor. It holds ages in place of times, as the
// clocks of two processes differ.
type Record struct {
	Server               ServerID
	LatencyCounts        []float64     // decayed number of answers in each bucket of the latency histogram
	Latency, FailureRate float64       // smoothed latency in seconds, 0 for none; smoothed failure rate, 0 to 1
	Cap                  float64       // concurrency cap: how many subqueries may be in flight at the server
	SlowStartAge         time.Duration // since the server was last seen to restart; -1 for never
}
