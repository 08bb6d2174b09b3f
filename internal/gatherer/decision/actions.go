package decision

import "time"

// Action is something the host is to do, in order, at the Step's time.
type Action interface{ action() }

// The actions.
type (
	// Send launches an attempt; attempts of a part are numbered from 0 in Send order. Sends of one
	// Step to one server may share a call.
	Send struct {
		Part   PartID
		Server ServerID
		Limit  time.Duration // the attempt's time-out
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		Part    PartID
		Attempt int
	}
	// Answer answers a query from the parts that are in. Final is false for the first of two steps.
	Answer struct {
		Query        QueryID
		Whole, Final bool
	}
	// Refuse ends a query and promises that trying again is harmless, best after RetryAfter.
	Refuse struct {
		Query      QueryID
		RetryAfter time.Duration
	}
	// Fail ends a query and promises nothing.
	Fail struct{ Query QueryID }
	// Probe asks a server whether it is there, beside its queue.
	Probe struct{ Server ServerID }
	// CloseIdle closes the connections to a server that nothing is out on; the next Send opens a new one.
	CloseIdle struct{ Server ServerID }
	// WakeAt asks for a Wake at the first chance at or after At.
	WakeAt struct{ At time.Duration }
	// Subscribe asks the server list for its changes from now on.
	Subscribe struct{}
	// Log is a line for the on-call staff.
	Log struct{ Text string }
)

func (Send) action() {}

func (Cancel) action() {}

func (Answer) action() {}

func (Refuse) action() {}

func (Fail) action() {}

func (Probe) action() {}

func (CloseIdle) action() {}

func (WakeAt) action() {}

func (Subscribe) action() {}

func (Log) action() {}
