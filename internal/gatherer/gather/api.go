// Package gather is the core of the daemon: requests, attempts and outcomes, independent of any wire format.
//
// One goroutine owns the scheduler and every table. Fronts, the transport to the lot stores and discovery send it
// messages through one channel, and it never waits for any of them. Events are batched into one step of the scheduler
// per tick. A request passes these stages, a file each: inbox, limits, admit, route, send, outcomes, relay.
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
	Key          string    // repeats of a deduplicated class are recognised by it
	Deadline     time.Time // when its client times out
	Shards       []Shard
	Text         []byte // sent to every shard unchanged; the front must not modify it
	CompleteOnly bool   // the client accepts no partial answer
	// Search, where set, makes the request a search led by a plan: its lot stores report by Found. It is only read.
	Search *search.Query
	// Origin is matched against the routes, where limits are configured; nil for no route.
	Origin *limits.Request
	// Done receives the one final answer. Its buffer must have room for one, as the core does not wait.
	Done chan Result

	id             uint64
	ticket         uint64       // number of its arrival
	gate           *limits.Gate // that admitted it, or in whose queue it waits
	maxAnswerBytes int          // of lot stores' answers that its route allows; 0 for no bound
	arrived        time.Duration
}

// Shard is one shard that a request asks.
type Shard struct {
	Number int
	Weight float64 // fraction of the answer; the front ensures that they add up to 1, but for rounding
}

// Kind is how a request ended.
type Kind uint8

// The ways a request may end.
const (
	Answered Kind = iota
	Rejected      // a retry is harmless
	Failed        // nothing is guaranteed
)

// Result is the final answer of a request.
type Result struct {
	Kind       Kind
	Complete   bool
	Shards     []ShardResult // every shard, in the order of the request
	RetryAfter time.Duration
	Reason     string        // one of the Reason constants, where not answered
	Second     []ShardResult // of a plain second step: its values make the answer, not those of the first
	Search     search.Result // result of a search; Complete says that nothing is missing from it
	Phases     search.Phases // how a search was executed
	Detail     string        // where Reason is ReasonQuestion, the lot store's explanation
}

// The reasons why a request was not answered, as clients see them.
const (
	ReasonFull      = "in-flight table full"
	ReasonDuplicate = "a request of this id is in hand"
	ReasonGivenUp   = "given up"
	ReasonDeadline  = "deadline reached"
	ReasonPartial   = "only a partial answer was to be had"
	ReasonTooLarge  = "answer over the size limit"
	ReasonPanic     = "decisions restarted"
	ReasonStopping  = "this gatherer stops"
	ReasonQuestion  = "lot stores cannot answer such a question"
)

// Values are the shards whose values make the answer: those of the last step that the query reached.
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
	Last     decision.Status // of the last attempt that ended, where not OK
	Pending  bool            // not OK, and still pending when the request ended
	Skipped  bool            // not sent, or cancelled, as it could not change the page
}

// ShardSearch is what an attempt of a search asks for, beside its text.
type ShardSearch struct {
	Query      *search.Query
	ScoresOnly bool     // ids and sort values alone
	IDs        []string // only of these lots; nil for all
	Extremes   bool     // of the first sort key's field too
}

// Load is what an attempt of a plain second step says of the first step.
type Load struct {
	From          []int // the shards that were done, in order
	FirstComplete bool  // whether the first step's answer was
}

// Attempt is one attempt of a subquery at a server. The exported fields are fixed before the transport sees it.
type Attempt struct {
	Query  string
	Class  int
	Key    string
	Shard  int
	Number int
	Text   []byte
	Server decision.ServerID
	Search *ShardSearch // of a search
	Load   *Load        // of a plain second step
	Until  time.Time    // when the core stops waiting for it
	// NotAfter, where set, is the last moment at which it may be written: later, the lot stores would no longer
	// drop a repeat of a deduplicated subquery.
	NotAfter time.Time

	subquery    *subquery
	sent        time.Duration
	called      bool          // handed to the transport
	calledAt    time.Duration // when it was handed to the transport
	cancelledAt time.Duration // when its cancellation is confirmed, 0 before its server has been told
	ended       bool          // its outcome is known
	// withdrawn is set by the core before its request gets the final answer, and read by the transport's goroutines.
	withdrawn atomic.Bool
}

// Stale reports whether an attempt must no longer be written, however long it has waited to be: its time is over, or its
// request has got its final answer. Transports ask last thing before they write.
func (a *Attempt) Stale(now time.Time) bool {
	return a.withdrawn.Load() || !now.Before(a.Until) || !a.NotAfter.IsZero() && now.After(a.NotAfter)
}

// WriteBy is the deadline for writing a call completely, where a server that does not read is given the time limit. It
// is not past the deduplication window of any of the attempts.
func WriteBy(now time.Time, limit time.Duration, attempts []*Attempt) time.Time {
	by := now.Add(limit)
	for _, a := range attempts {
		if !a.NotAfter.IsZero() && a.NotAfter.Before(by) {
			by = a.NotAfter
		}
	}
	return by
}

// Transport carries attempts to servers. The core's goroutine calls its methods: none may block, nor call the Reporter
// before it returns.
type Transport interface {
	// Servers passes changed entries of the server list.
	Servers(changed []mem.Server)
	// Call sends the attempts to one server as one call.
	Call(server decision.ServerID, attempts []*Attempt)
	// Cancel cancels an attempt. If it has not ended, the transport reports Cancelled, and nothing more of it, once
	// its server has been told or the connection was closed: from then on the subquery may be sent elsewhere.
	Cancel(a *Attempt)
	// HealthCheck asks whether a server is reachable.
	HealthCheck(server decision.ServerID)
	// CloseIdle closes the connections to a server on which nothing is in flight.
	CloseIdle(server decision.ServerID)
}

// Reporter receives what a transport reports. Its methods may wait for the core.
type Reporter interface {
	// Outcome reports how an attempt ended, with its value where it is OK.
	Outcome(a *Attempt, s decision.Status, value string)
	// Scored reports that an attempt succeeded, with its value and the score by which a second step chooses shards.
	Scored(a *Attempt, value string, score float64)
	// Found reports that an attempt with a Search succeeded, and its answer, which has passed its Check.
	Found(a *Attempt, found *search.Answer)
	// Unanswerable reports that the lot store cannot answer what an attempt with a Search asks, and why: the client's
	// query is at fault, and the lot store is healthy.
	Unanswerable(a *Attempt, why string)
	// HealthChecked reports the result of a health check.
	HealthChecked(server decision.ServerID, ok bool)
}

// List is an update of the server list.
type List struct {
	Kind    decision.ListKind
	Servers []mem.Server // their IDs are not set
}
