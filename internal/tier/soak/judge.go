package soak

import (
	"bytes"
	"fmt"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// mostRuns is how often one try may run: maxAttempts of the example's routes, and what the client's own library sends
// again for a request that may be repeated.
const mostRuns = 4

// goneBound is how long after its client has left a request may still reach a store.
const goneBound = 500 * time.Millisecond

// drainBound is drainMs of the machines' settings.
const drainBound = 2 * time.Second

// judge compares what clients were told with what the stores ran.
func (w *world) judge() {
	attempts := w.attemptsByID()
	runs := make(map[string][]testbed.Run)
	w.stores.mu.Lock()
	stores := append([]*testbed.Store(nil), w.stores.all...)
	w.stores.mu.Unlock()
	for _, store := range stores {
		for _, run := range store.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], run)
			w.judgeRun(attempts[run.RequestID], store, run)
		}
	}
	for id, attempt := range attempts {
		w.judgeAttempt(attempt, runs[id])
		w.judgePlanned(attempt, runs[id])
		w.judgeTime(attempt)
	}
	w.judgeOnce(attempts, runs)
	w.judgeBudgets(attempts)
	w.judgeCalm(attempts)
	w.judgeWorking()
}

func (w *world) attemptsByID() map[string]*Attempt {
	w.History.mu.Lock()
	defer w.History.mu.Unlock()
	attempts := make(map[string]*Attempt, len(w.attempts))
	for _, attempt := range w.attempts {
		attempts[attempt.ID] = attempt
	}
	return attempts
}

// judgeRun wants a store to have run what a client sent, unchanged, and nothing late after its leave.
func (w *world) judgeRun(attempt *Attempt, store *testbed.Store, run testbed.Run) {
	switch {
	case attempt == nil:
		w.Break("UNASKED", "%s ran %s, which nobody sent", store.ID(), run.RequestID)
		return
	case attempt.Method != run.Method || attempt.Path != run.Path:
		w.Break("UNASKED", "%s ran %s as %s %s", store.ID(), run.RequestID, run.Method, run.Path)
	case attempt.Prompt == nil && attempt.Body != nil || !bytes.Equal(attempt.Prompt, run.Body):
		w.Break("UNASKED", "%s ran %s with another body: want %q, got %q", store.ID(), run.RequestID, attempt.Prompt, run.Body)
	}
	if attempt != nil && store.Service() != serviceOf(routeKind(attempt.Route)) {
		w.Break("ROUTE", "%s ran %s, a request of the route %s", store.ID(), run.RequestID, attempt.Route)
	}
	w.judgeGone(attempt, store, run)
	w.stores.mu.Lock()
	left, leaving := w.stores.leaving[store]
	w.stores.mu.Unlock()
	late := left.Add(drainBound + calmSlack)
	if leaving && run.At.After(late) && w.calm(contactBound, run.At, run.At) {
		w.late("DRAIN", "%s got %s %v after its leave was acknowledged", store.ID(), run.RequestID, run.At.Sub(left))
	}
}

// serviceOf is the service that a route's requests go to.
func serviceOf(kind routeKind) string {
	if kind == draftRoute || kind == talkRoute {
		return testbed.EngineService
	}
	return testbed.PlainService
}

// judgeGone wants no run to begin long after the client has left, at an edge that could know of it.
func (w *world) judgeGone(attempt *Attempt, store *testbed.Store, run testbed.Run) {
	if !attempt.Left || attempt.Ended.IsZero() {
		return
	}
	w.countWorking(attempt, run)
	w.Count("run of a request whose client left")
	if run.At.After(attempt.Ended.Add(goneBound+calmSlack)) && w.running(attempt.Front, calmSlack, attempt.Sent, run.At) {
		w.late("GONE", "%s ran %s %v after its client had left", store.ID(), run.RequestID, run.At.Sub(attempt.Ended))
	}
}

// workingAfterLeave names the counter of runs that went on long after their client had left.
const workingAfterLeave = "store at work long after the client left"

// countWorking counts stores that are still at work on what nobody waits for: of requests that may be repeated and streams.
func (w *world) countWorking(attempt *Attempt, run testbed.Run) {
	if kind := routeKind(attempt.Route); kind != fetchRoute && kind != draftRoute {
		return
	}
	late := attempt.Ended.Add(goneBound + calmSlack)
	if (run.Ended.IsZero() || run.Ended.After(late)) && w.running(attempt.Front, calmSlack, attempt.Sent, late) {
		w.Count(workingAfterLeave)
	}
}

// judgeWorking bears the few that a cut or a frozen edge explains.
func (w *world) judgeWorking() {
	const most = 3
	if working := w.Sometimes()[workingAfterLeave]; working > most {
		w.late("GONE", "%d times a store was at work long after the client had left", working)
	}
}

func (w *world) judgeAttempt(attempt *Attempt, runs []testbed.Run) {
	once := attempt.Route == string(orderRoute) || attempt.Route == string(talkRoute)
	switch {
	case once && len(runs) > 1:
		w.Break("TWICE", "%s %s ran %d times", attempt.Route, attempt.ID, len(runs))
	case len(runs) > mostRuns:
		w.Break("BUDGET", "%s %s ran %d times", attempt.Route, attempt.ID, len(runs))
	}
	if attempt.promised() && len(runs) > 0 && (once || attempt.Status == statusSpent) {
		w.Break("REFUSED", "%s %s got %d and ran", attempt.Route, attempt.ID, attempt.Status)
	}
	if attempt.Status == 200 && attempt.whole() && len(runs) == 0 {
		w.Break("MIXED", "%s %s got 200 and did not run", attempt.Route, attempt.ID)
	}
}

// judgePlanned wants no request that was passed on to a store to be cut by planned work.
func (w *world) judgePlanned(attempt *Attempt, runs []testbed.Run) {
	if attempt.whole() || attempt.Left || len(runs) == 0 || !runs[len(runs)-1].Completed {
		return
	}
	if w.planned(contactBound, attempt.Sent, attempt.Ended) {
		w.late("LOST", "%s %s was cut by planned work: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
	}
}

// judgeTime wants the final answer of each request at its deadline, whatever troubles other machines have.
func (w *world) judgeTime(attempt *Attempt) {
	const slack = 500 * time.Millisecond
	took := attempt.Ended.Sub(attempt.Sent)
	if attempt.Left || took < callTime+slack || !w.running(attempt.Front, calmSlack, attempt.Sent, attempt.Ended) {
		return
	}
	w.late("CONFIG", "%s %s has no answer at its deadline: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
}

// judgeOnce wants no body of a request that runs once to have run under two ids: clients send it again after a promise
// alone.
func (w *world) judgeOnce(attempts map[string]*Attempt, runs map[string][]testbed.Run) {
	ran := make(map[string]string)
	for id, attempt := range attempts {
		if attempt.Route != string(orderRoute) || len(runs[id]) == 0 {
			continue
		}
		if earlier, again := ran[string(attempt.Body)]; again {
			w.Break("TWICE", "%q ran as %s and as %s", attempt.Body, earlier, id)
		}
		ran[string(attempt.Body)] = id
	}
}

// judgeBudgets adds up what programs were handed.
func (w *world) judgeBudgets(attempts map[string]*Attempt) {
	handed := make(map[string]int)
	for _, attempt := range attempts {
		if attempt.Program != "" {
			handed[attempt.Program] += attempt.Events * testbed.TokensPerEvent
		}
	}
	w.turns.mu.Lock()
	defer w.turns.mu.Unlock()
	for program, tokens := range handed {
		if budget := w.turns.budgets[program]; tokens > budget+mostTokens {
			w.Break("BUDGET", "program %s was handed %d tokens of %d", program, tokens, budget)
		}
	}
}

// judgeCalm wants every request of a calm time to be served, or refused in order.
func (w *world) judgeCalm(attempts map[string]*Attempt) {
	served, refused := 0, 0
	for _, attempt := range attempts {
		if attempt.Route == string(markRoute) || attempt.Left || !w.calm(contactBound+calmSlack, attempt.Sent, attempt.Ended) {
			continue
		}
		switch {
		case !attempt.whole() || attempt.Status == 502 || attempt.Status == 504:
			w.late("LOST", "%s %s failed in a calm time: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
		case attempt.promised() && attempt.Status != statusSpent:
			refused++
		default:
			served++
		}
	}
	w.Note("calm times: %d served, %d refused", served, refused)
	if refused > 5+served/20 {
		w.late("LOST", "of %d requests in calm times %d were refused", served+refused, refused)
	}
}

func outcomeOf(attempt *Attempt) string {
	return fmt.Sprintf("status %d %s after %v, sent at %s to %s", attempt.Status, attempt.Error,
		attempt.Ended.Sub(attempt.Sent).Round(time.Millisecond), attempt.Sent.Format("15:04:05.000"), attempt.Front)
}
