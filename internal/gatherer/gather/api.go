// Package gather is the core of the daemon: requests, attempts and outcomes, independent of any wire format.
//
// One goroutine owns the scheduler and every table. Fronts, the transport to the lot stores and discovery send it
// messages through one channel, and it never blocks on any of them. Events are batched into one step of the scheduler
// per tick. A request passes through these stages, each in its own file: inbox, limits, admit, route, send, outcomes,
// relay.
//
// A front calls [Core.Submit] with a [Request] and receives exactly one [Result] on its Done channel, unless it calls
// [Core.ClientDisconnected] first. A [Transport] carries the attempts and reports to the core, which is its [Reporter].
package gather

import (
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Request is one query as a front received it.
type Request struct {
	Name         string // unique among the requests in flight
	Class        int
	Key          string    // identifies repeats of a request of a deduplicated class
	Deadline     time.Time // when its client times out
	Shards       []Shard
	Text         []byte // sent to every shard unchanged; the front must not modify it
	CompleteOnly bool   // the client accepts no partial answer
	// Search is set for a search, which a search.Plan executes. The transport reports each lot store's answer
	// to it by Reporter.Found. The core does not modify it.
	Search *search.Query
	// Origin is matched against the routes; nil if no route applies.
	Origin *limits.Request
	// Done receives exactly one result, the final answer. It needs a buffer of at least one, so that the core never blocks.
	Done chan Result

	id             uint64          // assigned when it enters the in-flight table
	arrivalID      uint64          // assigned on arrival
	limiter        *limits.Limiter // of its route; nil if no limiter has to be told of the request's end
	maxAnswerBytes int             // limit of its route on the total size of lot stores' answers; 0 for no limit
	arrived        time.Duration
}

// Shard is one shard that a request is sent to.
type Shard struct {
	Number int
	Weight float64 // fraction of the answer; the front ensures that the weights add up to 1, except for rounding
}

// Kind is how a request ended.
type Kind uint8

// The ways a request may end.
const (
	Answered Kind = iota
	Rejected      // a retry is safe
	Failed        // it may or may not have taken effect
)

// Result is the final answer of a request.
type Result struct {
	Kind       Kind
	Complete   bool
	Shards     []ShardResult // one per shard, in the order of the request
	RetryAfter time.Duration
	Reason     string        // one of the Reason constants of this package or of package limits; empty if answered
	Second     []ShardResult // results of a second step by score, whose values replace those in Shards; nil without one
	Search     search.Result // result of a search; Complete means that nothing is missing from it
	Phases     search.Phases // number of phases that a search was executed in
	Detail     string        // with ReasonUnanswerable: why the lot stores cannot answer the query
}

// The reasons why a request was not answered, as clients see them.
const (
	ReasonFull         = "in-flight table full"
	ReasonDuplicate    = "a request of this id is in hand"
	ReasonGivenUp      = "given up"
	ReasonDeadline     = "deadline reached"
	ReasonPartial      = "only a partial answer was to be had"
	ReasonTooLarge     = "answer over the size limit"
	ReasonPanic        = "decisions restarted"
	ReasonStopping     = "this gatherer stops"
	ReasonUnanswerable = "lot stores cannot answer such a question"
)

// Values returns the shards whose values make up the answer: those of the last step that the query reached.
func (r *Result) Values() []ShardResult {
	if r.Second != nil {
		return r.Second
	}
	return r.Shards
}

// ShardResult is the result of one shard.
type ShardResult struct {
	Shard    int
	OK       bool
	Value    string
	Attempts int
	Last     decision.Status // of the last attempt that did not end OK
	Pending  bool            // not OK, and still pending when the request ended
	Skipped  bool            // not sent, or cancelled, because it could not change the page
}

// ShardSearch says what an attempt of a search asks for, in addition to its text.
type ShardSearch struct {
	Query      *search.Query
	ScoresOnly bool     // ids and sort values without listings
	IDs        []string // return only these lots; nil for all
	Extremes   bool     // also return the least and the greatest value of the first sort key's field
}

// FirstStep tells the lot store about the first step, in an attempt of a second step by score.
type FirstStep struct {
	From     []int // shards that answered the first step, in ascending order
	Complete bool  // whether the first step's answer was complete
}

// Attempt is one attempt of a subquery at a server. The exported fields do not change once the transport has it.
type Attempt struct {
	Query     string
	Class     int
	Key       string
	Shard     int
	Number    int
	Text      []byte
	Server    decision.ServerID
	Search    *ShardSearch // of a search, else nil
	FirstStep *FirstStep   // of a second step by score, else nil
	Deadline  time.Time    // when the core stops waiting for it
	// NotAfter, unless zero, is the latest time at which it may be written: after that, the lot stores would no longer
	// drop a repeat of a deduplicated subquery.
	NotAfter time.Time

	subquery     *subquery
	sent         time.Duration // time of the step that created it; 0 once it is known never to have run
	handedOver   bool          // handed to the transport
	handedOverAt time.Duration // when it was handed to the transport
	cancelDueAt  time.Duration // when it may be treated as cancelled; 0 until its server has been told
	ended        bool          // its outcome is known
	// withdrawn is set by the core before the request gets its final answer, and read by the transport's goroutines.
	withdrawn atomic.Bool
}

// Stale reports whether an attempt must no longer be written: it has timed out, NotAfter has passed, or its request has
// ended. Transports check it immediately before writing, as an attempt may have been queued for any length of time.
func (a *Attempt) Stale(now time.Time) bool {
	return a.withdrawn.Load() || !now.Before(a.Deadline) || !a.NotAfter.IsZero() && now.After(a.NotAfter)
}

// WriteDeadline returns the deadline for writing a call completely: the time limit for a server that does not read, or the
// earliest NotAfter of the attempts if that is sooner.
func WriteDeadline(now time.Time, limit time.Duration, attempts []*Attempt) time.Time {
	deadline := now.Add(limit)
	for _, a := range attempts {
		if !a.NotAfter.IsZero() && a.NotAfter.Before(deadline) {
			deadline = a.NotAfter
		}
	}
	return deadline
}

// Transport carries attempts to servers. The core's goroutine calls its methods: none may block, nor call the Reporter
// before it returns.
type Transport interface {
	// Servers passes changed entries of the server list.
	Servers(changed []mem.Server)
	// Call sends the attempts to one server as one call.
	Call(server decision.ServerID, attempts []*Attempt)
	// Cancel cancels an attempt. If the attempt has not ended, the transport reports decision.Cancelled, as its only
	// outcome, once the server has been told or the connection has been closed.
	Cancel(a *Attempt)
	// HealthCheck checks whether a server is reachable.
	HealthCheck(server decision.ServerID)
	// CloseIdle closes the connections to a server that have nothing in flight.
	CloseIdle(server decision.ServerID)
}

// Reporter receives what a transport reports. Its methods may block until the core has room for the message.
type Reporter interface {
	// Outcome reports how an attempt ended, with its value if it succeeded.
	Outcome(a *Attempt, s decision.Status, value string)
	// Scored reports that an attempt succeeded, with its value and the score by which a second step chooses shards.
	Scored(a *Attempt, value string, score float64)
	// Found reports that an attempt with a Search succeeded, and its answer, which must have passed Answer.Check.
	Found(a *Attempt, found *search.Answer)
	// Unanswerable reports that the lot store cannot answer an attempt with a Search, and why. The client's query is at
	// fault, and the lot store counts as healthy.
	Unanswerable(a *Attempt, why string)
	// HealthChecked reports the result of a health check.
	HealthChecked(server decision.ServerID, ok bool)
}

// ServerList is an update of the server list.
type ServerList struct {
	Kind    decision.ListKind
	Servers []mem.Server // with ID unset
}
