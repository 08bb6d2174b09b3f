package soak

import (
	"bytes"
	"fmt"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// maxRunsPerAttempt is how often one attempt of a client may run on stores: maxAttempts of the example's routes, and what
// the client's HTTP library retries by itself for an idempotent request.
const maxRunsPerAttempt = 4

// disconnectBound is how long after its client has disconnected a request may still reach a store.
const disconnectBound = 500 * time.Millisecond

// drainBound is drainMs of the machines' settings.
const drainBound = 2 * time.Second

// check compares the responses that clients got with the requests that the stores ran.
func (h *harness) check() {
	attempts := h.attemptsByID()
	runs := make(map[string][]testbed.Run)
	h.stores.mu.Lock()
	stores := append([]*testbed.Store(nil), h.stores.all...)
	h.stores.mu.Unlock()
	for _, store := range stores {
		for _, run := range store.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], run)
			h.checkRun(attempts[run.RequestID], store, run)
		}
	}
	for id, attempt := range attempts {
		h.checkAttempt(attempt, runs[id])
		h.checkPlannedWork(attempt, runs[id])
		h.checkShutdown(attempt, runs[id])
		h.checkDeadline(attempt)
	}
	h.countLateRequests(attempts)
	h.checkAtMostOnce(attempts, runs)
	h.checkConversations(attempts, runs)
	h.checkBudgets(attempts)
	h.checkCalmPeriods(attempts)
	h.checkWorkAfterDisconnect()
}

func (h *harness) attemptsByID() map[string]*Attempt {
	h.History.mu.Lock()
	defer h.History.mu.Unlock()
	attempts := make(map[string]*Attempt, len(h.attempts))
	for _, attempt := range h.attempts {
		attempts[attempt.ID] = attempt
	}
	return attempts
}

// checkRun checks that a store ran what a client sent, unchanged, and nothing after it had drained or deregistered.
func (h *harness) checkRun(attempt *Attempt, store *testbed.Store, run testbed.Run) {
	switch {
	case attempt == nil:
		h.ReportViolation("UNASKED", "%s ran %s, which no client sent", store.ID(), run.RequestID)
		return
	case attempt.Method != run.Method || attempt.Path != run.Path:
		h.ReportViolation("UNASKED", "%s ran %s as %s %s", store.ID(), run.RequestID, run.Method, run.Path)
	case attempt.Prompt == nil && attempt.Body != nil || !bytes.Equal(attempt.Prompt, run.Body):
		h.ReportViolation("UNASKED", "%s ran %s with another body: want %q, got %q", store.ID(), run.RequestID, attempt.Prompt, run.Body)
	}
	if attempt != nil && store.Service() != serviceOf(routeKind(attempt.Route)) {
		h.ReportViolation("ROUTE", "%s ran %s, a request of the route %s", store.ID(), run.RequestID, attempt.Route)
	}
	h.checkRunAfterDisconnect(attempt, store, run)
	h.stores.mu.Lock()
	deregistered, known := h.stores.deregistering[store]
	h.stores.mu.Unlock()
	bound := deregistered.Add(drainBound + calmSlack)
	if known && run.At.After(bound) && h.calm(contactBound, run.At, run.At) {
		h.reportLate("DRAIN", "%s got %s %v after its deregistration was acknowledged", store.ID(), run.RequestID, run.At.Sub(deregistered))
	}
}

// serviceOf returns the service that serves a route.
func serviceOf(kind routeKind) string {
	if kind == draftRoute || kind == talkRoute {
		return testbed.EngineService
	}
	return testbed.PlainService
}

// checkRunAfterDisconnect checks that no run begins long after the client has disconnected, if the edge could notice it.
func (h *harness) checkRunAfterDisconnect(attempt *Attempt, store *testbed.Store, run testbed.Run) {
	if !attempt.Disconnected || attempt.Ended.IsZero() {
		return
	}
	h.countWorkAfterDisconnect(attempt, run)
	h.Count("run of a request whose client disconnected")
	if run.At.After(attempt.Ended.Add(disconnectBound+calmSlack)) && h.running(attempt.Front, calmSlack, attempt.Sent, run.At) {
		h.reportLate("GONE", "%s ran %s %v after its client had disconnected", store.ID(), run.RequestID, run.At.Sub(attempt.Ended))
	}
}

// workAfterDisconnect names the counter of runs that continued long after their client had disconnected.
const workAfterDisconnect = "store still running a request long after the client disconnected"

// countWorkAfterDisconnect counts runs that continue without a client: idempotent requests and resumable streams, which
// an edge cancels at the store.
func (h *harness) countWorkAfterDisconnect(attempt *Attempt, run testbed.Run) {
	if kind := routeKind(attempt.Route); kind != fetchRoute && kind != draftRoute {
		return
	}
	bound := attempt.Ended.Add(disconnectBound + calmSlack)
	if (run.Ended.IsZero() || run.Ended.After(bound)) && h.running(attempt.Front, calmSlack, attempt.Sent, bound) {
		h.Count(workAfterDisconnect)
	}
}

// checkWorkAfterDisconnect tolerates the few runs that a partition or a frozen edge explains.
func (h *harness) checkWorkAfterDisconnect() {
	const tolerated = 3
	if working := h.Sometimes()[workAfterDisconnect]; working > tolerated {
		h.reportLate("GONE", "%d times a store was still running a request long after the client had disconnected", working)
	}
}

// checkAttempt checks the number of runs of one attempt against its route and its response.
func (h *harness) checkAttempt(attempt *Attempt, runs []testbed.Run) {
	once := attempt.Route == string(orderRoute) || attempt.Route == string(talkRoute)
	switch {
	case once && len(runs) > 1:
		h.ReportViolation("TWICE", "%s %s ran %d times", attempt.Route, attempt.ID, len(runs))
	case len(runs) > maxRunsPerAttempt:
		h.ReportViolation("BUDGET", "%s %s ran %d times", attempt.Route, attempt.ID, len(runs))
	}
	if attempt.isNotExecuted() && len(runs) > 0 && (once || attempt.Status == statusBudgetSpent) {
		h.ReportViolation("REFUSED", "%s %s got %d and ran", attempt.Route, attempt.ID, attempt.Status)
	}
	if attempt.Status == 200 && attempt.isComplete() && len(runs) == 0 {
		h.ReportViolation("MIXED", "%s %s got 200 and did not run", attempt.Route, attempt.ID)
	}
}

// checkPlannedWork checks that planned work (reload, graceful shutdown) interrupts no request that a store has run.
func (h *harness) checkPlannedWork(attempt *Attempt, runs []testbed.Run) {
	if attempt.isComplete() || attempt.Disconnected || len(runs) == 0 || !runs[len(runs)-1].Completed {
		return
	}
	if h.planned(contactBound, attempt.Sent, attempt.Ended) {
		h.reportLate("LOST", "%s %s was interrupted by planned work: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
	}
}

// checkDeadline checks that each request is answered by its deadline, whatever faults other machines have.
func (h *harness) checkDeadline(attempt *Attempt) {
	const slack = 500 * time.Millisecond
	took := attempt.Ended.Sub(attempt.Sent)
	if attempt.Disconnected || took < max(callTime, attempt.Deadline)+slack || !h.running(attempt.Front, calmSlack, attempt.Sent, attempt.Ended) {
		return
	}
	h.reportLate("CONFIG", "%s %s has no response at its deadline: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
}

// checkAtMostOnce checks that no body of a non-idempotent request ran under two request ids: clients retry it only after
// a response with the not-executed guarantee.
func (h *harness) checkAtMostOnce(attempts map[string]*Attempt, runs map[string][]testbed.Run) {
	ran := make(map[string]string)
	for id, attempt := range attempts {
		if attempt.Route != string(orderRoute) || len(runs[id]) == 0 {
			continue
		}
		if earlier, again := ran[string(attempt.Body)]; again {
			h.ReportViolation("TWICE", "%q ran as %s and as %s", attempt.Body, earlier, id)
		}
		ran[string(attempt.Body)] = id
	}
}

// checkBudgets adds up the tokens that programs received.
func (h *harness) checkBudgets(attempts map[string]*Attempt) {
	received := make(map[string]int)
	for _, attempt := range attempts {
		if attempt.Program != "" {
			received[attempt.Program] += attempt.Events * testbed.TokensPerEvent
		}
	}
	h.turns.mu.Lock()
	defer h.turns.mu.Unlock()
	for program, tokens := range received {
		if budget := h.turns.budgets[program]; tokens > budget+maxOutputTokens {
			h.ReportViolation("BUDGET", "program %s received %d tokens of %d", program, tokens, budget)
		}
	}
}

// checkCalmPeriods checks that every request in a time without faults is served, and that few are rejected.
func (h *harness) checkCalmPeriods(attempts map[string]*Attempt) {
	served, rejected := 0, 0
	for _, attempt := range attempts {
		if attempt.Route == string(markerRoute) || attempt.Disconnected || !h.calm(contactBound+calmSlack, attempt.Sent, attempt.Ended) {
			continue
		}
		switch {
		case !attempt.isComplete() || attempt.Status == 502 || attempt.Status == 504:
			h.reportLate("LOST", "%s %s failed in a calm period: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
		case attempt.isNotExecuted() && attempt.Status != statusBudgetSpent:
			rejected++
		default:
			served++
		}
	}
	h.Logf("calm periods: %d served, %d rejected", served, rejected)
	if rejected > 5+served/20 {
		h.reportLate("LOST", "of %d requests in calm periods %d were rejected", served+rejected, rejected)
	}
}

// outcomeOf describes an attempt for a violation.
func outcomeOf(attempt *Attempt) string {
	return fmt.Sprintf("status %d %s after %v, sent at %s to %s", attempt.Status, attempt.Error,
		attempt.Ended.Sub(attempt.Sent).Round(time.Millisecond), attempt.Sent.Format("15:04:05.000"), attempt.Front)
}
