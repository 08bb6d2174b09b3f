// Package decision is the interface of the decision module, package policy: its settings, the events that a host
// reports to it, the actions that it wants carried out, and the records that a successor takes over. It holds types
// and the check of settings and decides nothing.
//
// A query asks one subquery of each of its shards. An attempt is one sending of a subquery to a server, which is a
// replica of the shard. Times are the host's clock: they start at any value above 0 and never go back.
package decision

import "time"

// QueryID identifies a query. It is chosen by the host and opaque here.
type QueryID uint64

// SubqueryID identifies a subquery. It is chosen by the host and opaque here.
type SubqueryID uint64

// ServerID identifies a server. It is chosen by the host and opaque here; 0 is no server.
type ServerID uint32

// Record is what a scheduler has learned of a server, to be handed to a successor. Times are ages, as clocks differ.
type Record struct {
	Server           ServerID
	Answers          []float64     // latencies by bucket of the histogram, faded to now
	Latency, Failing float64       // smoothed latency in seconds, 0 for none, and smoothed failure rate, 0 to 1
	Cap              float64       // how many subqueries may be in flight there
	SlowStartAge     time.Duration // since the server was last seen to restart, -1 for never
}
