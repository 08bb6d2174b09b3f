package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Attempt is one request of a client with its outcome.
type Attempt struct {
	ID           string        `json:"id"`
	Route        string        `json:"route"`
	Front        string        `json:"front"`
	Method       string        `json:"method"`
	Path         string        `json:"path"`
	Program      string        `json:"program,omitempty"`
	Previous     string        `json:"previous,omitempty"`
	Body         []byte        `json:"body,omitempty"`
	Prompt       []byte        `json:"prompt,omitempty"` // body that a store must get
	Sent         time.Time     `json:"sent"`
	BodySent     time.Time     `json:"bodySent"` // when the last byte of the body was sent, if the client paused before it
	Ended        time.Time     `json:"ended"`
	Deadline     time.Duration `json:"deadline"` // that the client sent
	Status       int           `json:"status"`
	Error        string        `json:"error,omitempty"`
	Events       int           `json:"events,omitempty"` // complete events received
	Disconnected bool          `json:"left,omitempty"`   // the client disconnected on purpose
	Bad          string        `json:"bad,omitempty"`    // what is wrong with the response
}

// isComplete reports whether the response was received to its end.
func (a *Attempt) isComplete() bool { return a.Error == "" }

// lastByteSent returns when the request had been sent whole.
func (a *Attempt) lastByteSent() time.Time {
	if a.BodySent.IsZero() {
		return a.Sent
	}
	return a.BodySent
}

// isNotExecuted reports whether the response guarantees that the request has not run and never will.
func (a *Attempt) isNotExecuted() bool {
	reply := testbed.Reply{Status: a.Status}
	return a.isComplete() && (reply.NotExecuted() || a.Status == statusBudgetSpent)
}

// statusBudgetSpent is the status for programs without tokens left.
const statusBudgetSpent = 402

// Violation is a violated rule.
type Violation struct {
	Rule string    `json:"rule"`
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// History records what clients and operators observed, the faults, and the violations. It is safe for concurrent use.
type History struct {
	log io.Writer

	mu         sync.Mutex
	attempts   []*Attempt
	violations []Violation
	sometimes  map[string]int // how often each situation occurred that the soak is meant to produce
	faults     []faultSpan
	shutdowns  []shutdown
}

// faultSpan is the time of a fault; end is zero while it lasts.
type faultSpan struct {
	faultScope
	start, end time.Time
}

// faultScope is the part of a fault by which rules excuse a violation.
type faultScope struct {
	what    string
	planned bool   // planned work, which clients must not notice
	disk    bool   // a machine with a disk is affected
	stops   string // front address of the edge whose processes it stops or pauses, or everyEdge
}

// everyEdge stands for all edges in faultScope.stops.
const everyEdge = "*"

// NewHistory creates an empty history that also writes its events to a log.
func NewHistory(log io.Writer) *History {
	return &History{log: log, sometimes: make(map[string]int)}
}

// Logf writes a line to the common log.
func (h *History) Logf(format string, values ...any) {
	_, _ = fmt.Fprintf(h.log, "soak %s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, values...))
}

// Count counts an occurrence of a situation.
func (h *History) Count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sometimes[what]++
}

// ReportViolation records the violation of a rule.
func (h *History) ReportViolation(rule, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	h.Logf("BROKEN %s: %s", rule, text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, Violation{Rule: rule, At: time.Now(), Text: text})
}

// add records an attempt that has ended.
func (h *History) add(attempt *Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, attempt)
	h.sometimes[fmt.Sprintf("response %s %d", attempt.Route, attempt.Status)]++
}

// beginFault records the start of a fault and returns the function that records its end.
func (h *History) beginFault(scope faultScope) (end func()) {
	h.Logf("fault begins: %s", scope.what)
	h.mu.Lock()
	number := len(h.faults)
	h.faults = append(h.faults, faultSpan{faultScope: scope, start: time.Now()})
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		h.faults[number].end = time.Now()
		h.mu.Unlock()
		h.Logf("fault ends: %s", scope.what)
	}
}

// calm reports whether there was no fault between two times, nor in the time before the first.
func (h *History) calm(before time.Duration, from, to time.Time) bool {
	return h.without(before, from, to, func(faultScope) bool { return true })
}

// planned reports whether there were no faults but planned work.
func (h *History) planned(before time.Duration, from, to time.Time) bool {
	return h.without(before, from, to, func(scope faultScope) bool { return !scope.planned })
}

// running reports whether no fault stopped or paused an edge.
func (h *History) running(front string, before time.Duration, from, to time.Time) bool {
	return h.without(before, from, to, func(scope faultScope) bool { return scope.stops == front || scope.stops == everyEdge })
}

// without reports whether there was no fault that counts between two times, nor in the time before the first.
func (h *History) without(before time.Duration, from, to time.Time, counts func(faultScope) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, fault := range h.faults {
		if counts(fault.faultScope) && fault.start.Before(to) && (fault.end.IsZero() || fault.end.Add(before).After(from)) {
			return false
		}
	}
	return true
}

// Violations returns the violations so far.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation(nil), h.violations...)
}

// Sometimes returns how often each counted situation occurred.
func (h *History) Sometimes() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int, len(h.sometimes))
	for what, count := range h.sometimes {
		counts[what] = count
	}
	return counts
}

// Save writes all attempts as JSON, one per line.
func (h *History) Save(to io.Writer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	encoder := json.NewEncoder(to)
	for _, attempt := range h.attempts {
		if err := encoder.Encode(attempt); err != nil {
			return err
		}
	}
	return nil
}
