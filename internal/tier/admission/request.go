package admission

import "time"

// Request is what admission knows of one attempt of a client's request.
type Request struct {
	Service string
	// Arrival is the time at which the request arrived at the proxy.
	Arrival time.Time
	// LatencyTarget is the time after Arrival within which a response (the first event of a stream) earns its full value.
	LatencyTarget time.Duration
	// Deadline is the end of the client's time-out or of the route's, whichever is first. Zero means none.
	Deadline time.Time
	// Priority is 0 for the most urgent requests, up to 9. Values outside are clamped.
	Priority int
	// Affinity is the hash of the program or session that a store may have state of. Zero means none.
	Affinity uint64
	// AttemptedInstances are the instances that this request was sent to before. They are selected last.
	AttemptedInstances []string
	// FirstTurn says that nothing has been done yet for the program that the request belongs to.
	FirstTurn bool
	// ExecutedAttempts is the number of earlier attempts that a store may have executed.
	ExecutedAttempts int
	// ResponseStarted says that a part of the response has reached the client: load is no reason to break it off.
	ResponseStarted bool
	// Streaming says that the response is a stream of events.
	Streaming bool
	// Idempotent says that the request may be executed twice: it is sent again when a store fails.
	Idempotent bool
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Success is a complete response.
	Success Outcome = iota
	// StoreError is a response by which the store reports a failure of its own.
	StoreError
	// Saturated is a rejection by a store that has no capacity now; the request was not executed.
	Saturated
	// NotExecuted is a rejection for another reason: another incarnation runs at the address, or the store is draining.
	NotExecuted
	// ConnectFailed means that no connection was established, or that no byte of the request was sent.
	ConnectFailed
	// ResponseLost means that the response was interrupted or never came, though the store may have executed the request.
	ResponseLost
	// Cancelled means that the proxy stopped waiting: the client is gone or the deadline has passed.
	Cancelled
)

// outcomeNames are the values of the metric's label.
var outcomeNames = [...]string{
	"success", "store_error", "saturated", "not_executed", "connect_failed", "response_lost", "cancelled",
}

func (o Outcome) String() string { return outcomeNames[o] }

// RejectReason says why a request was rejected.
type RejectReason uint8

// The reasons.
const (
	// Shed means that too many requests miss their deadlines, and that this one was chosen to make room for others.
	Shed RejectReason = iota
	// QueueTooLong means that the request would be queued for too large a part of the time that it has.
	QueueTooLong
	// NoStore means that the service has no store that could take the request.
	NoStore
	// DeadlineUnreachable means that no response can arrive in the time that the request has left.
	DeadlineUnreachable
	// ClientGone means that the request's context ended: the client disconnected, the deadline passed, or the process stops.
	ClientGone
)

var rejectReasonNames = [...]string{"load is shed", "queue too long", "no store available", "deadline unreachable", "client gone"}

func (r RejectReason) String() string { return rejectReasonNames[r] }

// RejectedError is returned for a request that this Acquire sent to no store.
type RejectedError struct {
	Reason RejectReason
	// RetryAfter is the time after which a retry is of use, 100 ms to 1.5 s. It is 0 for ClientGone.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return "request rejected: " + e.Reason.String() }
