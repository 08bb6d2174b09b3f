package admission

import "time"

// Request describes one attempt of a client's request.
type Request struct {
	Service string
	// Arrival is the time at which the request arrived at the proxy.
	Arrival time.Time
	// LatencyTarget is the time after Arrival within which a response (the first event of a stream) has its full value.
	LatencyTarget time.Duration
	// Deadline is when the client's or the route's timeout ends, whichever is first. Zero means no deadline.
	Deadline time.Time
	// Priority is 0 for the most urgent requests and 9 for the least urgent. Other values are clamped.
	Priority int
	// Affinity is a hash of the program or session, for which a store may hold cached state. Zero means no affinity.
	Affinity uint64
	// AttemptedInstances are the instances to which earlier attempts of this request were sent. They are selected last.
	AttemptedInstances []string
	// FirstTurn says that the request continues no earlier turn of its program.
	FirstTurn bool
	// ExecutedAttempts is the number of earlier attempts that a store may have executed.
	ExecutedAttempts int
	// ResponseStarted says that a part of the response has reached the client. Such a request is not rejected because of load.
	ResponseStarted bool
	// Streaming says that the response is a stream of events.
	Streaming bool
	// Idempotent says that the request may be executed more than once, so it is retried if a store fails.
	Idempotent bool
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Success is a complete response.
	Success Outcome = iota
	// StoreError is a response in which the store reports its own failure.
	StoreError
	// Saturated is a rejection by a store that currently has no capacity. The request was not executed.
	Saturated
	// NotExecuted is a rejection for another reason: the address has another instance now, or the store is draining. The
	// request was not executed.
	NotExecuted
	// ConnectFailed means that no connection was established, or that no byte of the request was sent.
	ConnectFailed
	// ResponseLost means that the response was interrupted or missing. The store may have executed the request.
	ResponseLost
	// Cancelled means that the proxy stopped waiting because the client disconnected or the deadline passed.
	Cancelled
)

// outcomeNames are the values of the metric label "outcome".
var outcomeNames = [...]string{
	"success", "store_error", "saturated", "not_executed", "connect_failed", "response_lost", "cancelled",
}

func (o Outcome) String() string { return outcomeNames[o] }

// RejectReason is why a request was rejected.
type RejectReason uint8

// Reasons of a rejection.
const (
	// Shed means that the request was rejected by load shedding, as too many requests miss their deadlines.
	Shed RejectReason = iota
	// QueueTooLong means that the request would spend too much of its remaining time in the queue.
	QueueTooLong
	// NoStore means that the service has no store that can take the request.
	NoStore
	// DeadlineUnreachable means that even a median response would arrive after the request's Deadline.
	DeadlineUnreachable
	// ContextEnded means that the request's context ended: the client disconnected, the deadline passed or the process stops.
	ContextEnded
)

var rejectReasonNames = [...]string{"load is shed", "queue too long", "no store available", "deadline unreachable", "context ended"}

func (r RejectReason) String() string { return rejectReasonNames[r] }

// RejectedError is the error of Acquire for a request that was rejected and sent to no store.
type RejectedError struct {
	Reason RejectReason
	// RetryAfter is the time after which a retry may succeed, from 100 ms to 1.5 s. It is 0 if the request's context ended.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return "request rejected: " + e.Reason.String() }
