// Package admission decides, in one proxy, when each request leaves and for which store of its service, and which are
// refused. It follows TF-EDFQ (TailGuard) with a fan-out of one: a request is stamped once with a deadline, its arrival plus
// the route's aim minus the store's unloaded tail; held requests leave each store's queue earliest deadline first while fewer
// than a cap are out; new ones are refused on the share of those whose deadline passed while they were held.
//
// The decisions are a state machine (core) that is handed the time and does no I/O. Dispatcher puts one lock round it, and
// at most one timer for all requests that are held.
package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// State of a store, as the list of stores tells it.
type State uint8

// The states of a store.
const (
	Ready State = iota
	Suspect
	Draining
	Deregistered
)

// Store is one incarnation of a store of a service.
type Store struct {
	Instance       string
	Address        string
	Zone           string
	Slots          int // requests it works on at a time; 0 where it is not known
	State          State
	SlowStartUntil time.Time // it is slow from its start until then
}

// Request is what admission knows of one try of a client.
type Request struct {
	Service            string
	Arrival            time.Time
	LatencyTarget      time.Duration // within this after its arrival an answer (a stream's first event) earns its full worth
	Deadline           time.Time     // end of the client's patience or of the route's timeout, whichever is first
	Priority           int           // 0 is the most urgent
	Affinity           uint64        // hash of the program or session that a store may remember; 0 for none
	AttemptedInstances []string      // instances that this try was sent to before
	FirstTurn          bool          // nothing was done yet for the program that it belongs to
	ExecutedAttempts   int           // stores that this try was sent to before
	ResponseStarted    bool          // part of its answer has gone to the client: load is no reason to break that off
	Streaming          bool
	Idempotent         bool // running it twice does no harm: it is sent again where a store fails
}

// Outcome says how a sending ended.
type Outcome uint8

// The outcomes.
const (
	Success       Outcome = iota // answered whole
	StoreError                   // the store answered with a failure of its own
	Saturated                    // the store did not run it: it has no place now
	NotExecuted                  // the store did not run it for another reason (another store lives there, it leaves)
	ConnectFailed                // no connection came about
	ResponseLost                 // the answer broke off or never came
	Cancelled                    // we stopped waiting: the client has left or its time is up
)

var outcomeNames = [...]string{"answered", "failure", "full", "not executed", "no connection", "broken", "cancelled"}

var sends = metrics.NewCounterVec("proxy_sends_total", "Sends to stores by how they ended.", "outcome")

// RejectReason says why a request was refused.
type RejectReason uint8

// The reasons.
const (
	Overload            RejectReason = iota // too many requests miss their deadlines
	NoStore                                 // the service has no store that could take it
	DeadlineUnreachable                     // it can't be answered in the time it has left
	ClientGone                              // its client has gone
)

var reasonNames = [...]string{"overload", "no store", "hopeless", "client left"}

func (r RejectReason) String() string { return reasonNames[r] }

// RejectedError tells that a request was not sent to any store by this Acquire.
type RejectedError struct {
	Reason     RejectReason
	RetryAfter time.Duration // when trying again is of use
}

func (r *RejectedError) Error() string { return "refused: " + r.Reason.String() }
