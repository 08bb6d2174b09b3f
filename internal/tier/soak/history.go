package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Attempt is one try of a client and what it was told.
type Attempt struct {
	ID       string    `json:"id"`
	Route    string    `json:"route"`
	Front    string    `json:"front"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Program  string    `json:"program,omitempty"`
	Previous string    `json:"previous,omitempty"`
	Body     []byte    `json:"body,omitempty"`
	Prompt   []byte    `json:"prompt,omitempty"` // all that a store is to get
	Sent     time.Time `json:"sent"`
	Ended    time.Time `json:"ended"`
	Status   int       `json:"status"`
	Error    string    `json:"error,omitempty"`
	Events   int       `json:"events,omitempty"` // whole events that came
	Left     bool      `json:"left,omitempty"`   // the client gave it up
	Bad      string    `json:"bad,omitempty"`    // what is wrong with the answer
}

// whole says whether the answer came to its end.
func (a *Attempt) whole() bool { return a.Error == "" }

// promised says whether the answer promises that the request has not run and never will.
func (a *Attempt) promised() bool {
	reply := testbed.Reply{Status: a.Status}
	return a.whole() && (reply.NotExecuted() || a.Status == statusSpent)
}

const statusSpent = 402

// Violation is a promise that was broken.
type Violation struct {
	Rule string    `json:"rule"`
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// History is what clients, stores and operators saw. It is safe for concurrent use.
type History struct {
	log io.Writer

	mu         sync.Mutex
	attempts   []*Attempt
	violations []Violation
	sometimes  map[string]int // how often what a soak is for came about
	troubles   []span
}

// span is the time that a trouble lasted; end is zero while it does.
type span struct {
	cause
	start, end time.Time
}

// cause is what a trouble is, so far as rules excuse by it.
type cause struct {
	what    string
	planned bool   // work that clients must not notice
	stops   string // front address of the edge whose processes it stops or freezes, or everyEdge
}

const everyEdge = "*"

// NewHistory makes an empty history that tells its events to a log as they come.
func NewHistory(log io.Writer) *History {
	return &History{log: log, sometimes: make(map[string]int)}
}

// Note writes a line into the common log.
func (h *History) Note(format string, values ...any) {
	fmt.Fprintf(h.log, "soak %s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, values...))
}

// Count counts that something came about.
func (h *History) Count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sometimes[what]++
}

// Break records a broken promise.
func (h *History) Break(rule, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	h.Note("BROKEN %s: %s", rule, text)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, Violation{Rule: rule, At: time.Now(), Text: text})
}

func (h *History) add(attempt *Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, attempt)
	h.sometimes[fmt.Sprintf("answer %s %d", attempt.Route, attempt.Status)]++
}

// begin notes the start of a trouble and returns what notes its end.
func (h *History) begin(why cause) (end func()) {
	h.Note("trouble begins: %s", why.what)
	h.mu.Lock()
	number := len(h.troubles)
	h.troubles = append(h.troubles, span{cause: why, start: time.Now()})
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		h.troubles[number].end = time.Now()
		h.mu.Unlock()
		h.Note("trouble ends: %s", why.what)
	}
}

// calm says that no trouble was on between two times, nor in the time before the first.
func (h *History) calm(before time.Duration, from, to time.Time) bool {
	return h.without(before, from, to, func(cause) bool { return true })
}

// planned says that there was nothing but planned work.
func (h *History) planned(before time.Duration, from, to time.Time) bool {
	return h.without(before, from, to, func(why cause) bool { return !why.planned })
}

// running says that nothing stopped or froze an edge.
func (h *History) running(front string, before time.Duration, from, to time.Time) bool {
	return h.without(before, from, to, func(why cause) bool { return why.stops == front || why.stops == everyEdge })
}

// without says that no trouble that counts was on between two times, nor in the time before the first.
func (h *History) without(before time.Duration, from, to time.Time, counts func(cause) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, trouble := range h.troubles {
		if counts(trouble.cause) && trouble.start.Before(to) && (trouble.end.IsZero() || trouble.end.Add(before).After(from)) {
			return false
		}
	}
	return true
}

// Violations lists the broken promises.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation(nil), h.violations...)
}

// Sometimes tells how often what a soak is for came about.
func (h *History) Sometimes() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int, len(h.sometimes))
	for what, count := range h.sometimes {
		counts[what] = count
	}
	return counts
}

// Save writes all attempts, one a line.
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
