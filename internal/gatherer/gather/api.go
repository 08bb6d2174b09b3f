// Package gather is the core of the daemon: requests, attempts and outcomes, and no wire.
//
// One goroutine owns the Mixer and every table. Fronts, the transport to the lot stores and discovery
// talk to it by one channel, and it never waits for any of them. What came in is batched into one
// Step of the Mixer per tick. A request passes these stages, a file each: inbox, limits, admit, route,
// send, relay, book.
package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Request is one query as a front took it.
type Request struct {
	Name      string // unique among those in hand
	Class     int
	Key       string    // repeats of a keyed class are known by it
	Deadline  time.Time // when its client stops waiting
	Shards    []Shard
	Text      []byte // goes to every shard unchanged; the front must not touch it again
	WholeOnly bool   // the client wants no partial answer
	// Search, where set, makes a search of it that a plan leads: its lot stores report by Found. It is only read.
	Search *search.Query
	// Origin is what its route is found by, where an installation has limits; nil for no route.
	Origin *limits.Request
	// Done gets the one final answer. It must have room for one, as the core does not wait.
	Done chan Result

	id         uint64
	ticket     uint64       // of its arrival
	gate       *limits.Gate // that admitted it, or where it waits
	answerMost int          // bytes of lot stores' answers that its route allows; 0 for no bound
	arrived    time.Duration
}

// Shard is one part that a request asks for.
type Shard struct {
	Number int
	Weight float64 // they add up to 1, but for rounding: the front sees to that
}

// Kind is how a request ended.
type Kind uint8

// The ways a request may end.
const (
	Answered Kind = iota
	Refused       // trying again is harmless
	Failed        // nothing is promised
)

// Result is the final answer of a request.
type Result struct {
	Kind       Kind
	Whole      bool
	Parts      []PartResult // every part, in the request's order
	RetryAfter time.Duration
	Reason     string        // one of the Reason constants, where not answered
	Second     []PartResult  // of a plain second step: its values are the answer's, not the first one's
	Search     search.Result // what came of a search; Whole says that nothing is missing there
	Phases     search.Phases // how a search was put
	Detail     string        // where Reason is ReasonQuestion, what a lot store says of it
}

// Why a request was not answered.
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

// Values are the parts whose values make the answer: those of the last step that the query came to.
func (r *Result) Values() []PartResult {
	if r.Second != nil {
		return r.Second
	}
	return r.Parts
}

// PartResult is what came of one part.
type PartResult struct {
	Shard    int
	OK       bool
	Value    string
	Attempts int
	Last     decision.Status // of the last attempt that ended, where not OK
	Waiting  bool            // not OK, and still to come when the request ended
	Skipped  bool            // not asked, or called off, as it could not change the page
}

// Ask is what an attempt of a search asks for, beside its text.
type Ask struct {
	Query    *search.Query
	Scores   bool     // ids and sort values alone
	IDs      []string // only of these lots; nil for all
	Extremes bool     // of the first sort key's field too
}

// Load is what an attempt of a plain second step tells of the first one.
type Load struct {
	From  []int // the shards that were in, in order
	Whole bool  // what the first step's answer was
}

// Attempt is one try of a part at a server. All fields are fixed before the transport sees it.
type Attempt struct {
	Query  string
	Class  int
	Key    string
	Shard  int
	Number int
	Text   []byte
	Server decision.ServerID
	Ask    *Ask      // of a search
	Load   *Load     // of a plain second step
	Until  time.Time // when the core stops waiting for it
	// NotAfter, where set, is the last moment at which it may be written: later, a repeat of a keyed
	// part would no longer be dropped by the lot stores.
	NotAfter time.Time

	part    *part
	sent    time.Duration
	called  bool          // handed to the transport
	handed  time.Duration // and when
	settled time.Duration // when its cancel is through, 0 while it is not cancelled or its server not told
	outcome bool          // has ended
}

// Stale says whether an attempt must no longer be written, however long it waited for that.
func (a *Attempt) Stale(now time.Time) bool {
	return !now.Before(a.Until) || !a.NotAfter.IsZero() && now.After(a.NotAfter)
}

// WriteBy is by when a call of attempts has to be written whole, where a server that does not read is waited for so long:
// not past the window of any of them.
func WriteBy(now time.Time, most time.Duration, attempts []*Attempt) time.Time {
	by := now.Add(most)
	for _, a := range attempts {
		if !a.NotAfter.IsZero() && a.NotAfter.Before(by) {
			by = a.NotAfter
		}
	}
	return by
}

// Transport carries attempts to servers. No method may block, nor call its Reporter before it returns:
// the core's goroutine calls them.
type Transport interface {
	// Servers tells what the list now says of some servers.
	Servers(news []mem.Server)
	// Call sends the attempts to one server as one call.
	Call(server decision.ServerID, attempts []*Attempt)
	// Cancel gives an attempt up. Of one that has not ended it reports that it is cancelled, and no more, once
	// its server has been told or the connection was closed: from then on the part may be sent elsewhere.
	Cancel(a *Attempt)
	// Probe asks whether a server is there.
	Probe(server decision.ServerID)
	// CloseIdle closes the connections to a server on which nothing is out.
	CloseIdle(server decision.ServerID)
}

// Reporter takes what a transport has to tell; it may wait for the core.
type Reporter interface {
	// Outcome tells how an attempt ended, with its value where it is OK.
	Outcome(a *Attempt, s decision.Status, value string)
	// Scored tells that an attempt ended well, with its value and the score by which a second step chooses shards.
	Scored(a *Attempt, value string, score float64)
	// Found tells what an attempt with an Ask brought; it has ended well. The answer has passed its Check.
	Found(a *Attempt, found *search.Answer)
	// Unanswerable tells that the lot store cannot answer what an attempt with an Ask asks, and why: whoever asked it
	// is at fault, and the lot store is sound.
	Unanswerable(a *Attempt, why string)
	// Probed tells how a probe ended.
	Probed(server decision.ServerID, ok bool)
}

// List is news of the server list.
type List struct {
	Kind    decision.ListKind
	Servers []mem.Server // their IDs are not set yet
}
