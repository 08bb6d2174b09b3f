package decision

import "time"

// Action is something that the host is to do, in order, at the time of the step that returned it.
type Action interface{ action() }

// Send starts an attempt. Attempts of a subquery are numbered from 0 in the order of their Sends. Sends of one step
// to one server may share a call.
type Send struct {
	Subquery SubqueryID
	Server   ServerID
	Limit    time.Duration // the attempt's time-out
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	Subquery SubqueryID
	Attempt  int
}

// Answer answers a query from the subqueries that are done. Final is false for the first of two steps.
type Answer struct {
	Query           QueryID
	Complete, Final bool
}

// Reject ends a query and guarantees that a retry is harmless, best after RetryAfter.
type Reject struct {
	Query      QueryID
	RetryAfter time.Duration
}

// Fail ends a query and guarantees nothing.
type Fail struct{ Query QueryID }

// HealthCheck asks whether a server is reachable, without waiting in its queue.
type HealthCheck struct{ Server ServerID }

// CloseIdle closes the connections to a server that have nothing in flight. The next Send opens a new one.
type CloseIdle struct{ Server ServerID }

// WakeAt asks for a Wake event at the first opportunity at or after At.
type WakeAt struct{ At time.Duration }

// Subscribe subscribes to the changes of the server list from now on.
type Subscribe struct{}

// Log is a line for on-call staff.
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
