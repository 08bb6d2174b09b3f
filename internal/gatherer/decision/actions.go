package decision

import "time"

// Action is something that the host must do. It carries out the actions of a step in order and without delay.
type Action interface{ action() }

// Send starts an attempt. The attempts of a subquery are numbered from 0 in the order of their Sends. Sends of one
// step to the same server may share a call.
type Send struct {
	Subquery SubqueryID
	Server   ServerID
	Limit    time.Duration // the attempt's time-out
}

// Cancel cancels an attempt. Its Outcome follows as for any attempt.
type Cancel struct {
	Subquery SubqueryID
	Attempt  int
}

// Answer answers a query from the subqueries that are done. It ends the query if Final, and the first of two steps
// otherwise.
type Answer struct {
	Query           QueryID
	Complete, Final bool
}

// Reject ends a query without an answer. A retry by the client is harmless, and should wait for RetryAfter.
type Reject struct {
	Query      QueryID
	RetryAfter time.Duration
}

// Fail ends a query without an answer. The query may have taken effect, so that a retry may repeat it.
type Fail struct{ Query QueryID }

// HealthCheck checks whether a server is reachable, bypassing its queue. A HealthChecked event reports the result.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes the connections to a server that have nothing in flight, so that the next Send opens a new one.
type CloseIdle struct{ Server ServerID }

// WakeAt requests a Wake event at At, or as soon after it as possible.
type WakeAt struct{ At time.Duration }

// Subscribe subscribes to changes of the server list.
type Subscribe struct{}

// Log writes a log line for on-call staff.
type Log struct{ Text string }

func (Send) action() {}

func (Cancel) action() {}

func (Answer) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (HealthCheck) action() {}

func (CloseIdle) action() {}

func (WakeAt) action() {}

func (Subscribe) action() {}

func (Log) action() {}
