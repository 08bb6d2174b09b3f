package soak

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Bounds of the rule LOST for a graceful shutdown.
const (
	lateRequest   = 3 * time.Second                             // a request sent later than this after the SIGTERM has no excuse
	excusedCut    = gracePeriodOfMachines * 5 / 6               // an earlier one may be cut in the last sixth of the grace period
	lastCut       = gracePeriodOfMachines + time.Second         // planned work ends
	unreadSlack   = 200*time.Millisecond + 700*time.Millisecond // lossSlackMs, and what a busy machine adds
	deadlineSlack = 100 * time.Millisecond                      // before the deadline, which the edge counts from a later time
)

// beginShutdown records a SIGTERM.
func (h *History) beginShutdown(begun shutdown) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shutdowns = append(h.shutdowns, begun)
}

// shutdownDuring returns the last SIGTERM of the edge of an attempt that may have interrupted it.
func (h *History) shutdownDuring(attempt *Attempt) (begun shutdown, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, candidate := range h.shutdowns {
		if candidate.front == attempt.Front && candidate.at.Before(attempt.Ended) && attempt.Ended.Before(candidate.at.Add(lastCut)) {
			begun, found = candidate, true
		}
	}
	return begun, found
}

// checkShutdown checks in plans of planned work that no request ends without a complete answer but for the rule's excuses.
// Stores neither crash nor misbehave in such plans.
func (h *harness) checkShutdown(attempt *Attempt, runs []testbed.Run) {
	if !h.plan.Planned || attempt.isComplete() || attempt.Disconnected || attempt.Route == string(markerRoute) {
		return
	}
	begun, found := h.shutdownDuring(attempt)
	sent := attempt.lastByteSent()
	after := sent.Sub(begun.at).Round(time.Millisecond)
	switch {
	case attempt.Ended.Sub(attempt.Sent) >= attempt.Deadline-deadlineSlack:
		h.Count("request cut at its deadline")
	case len(runs) == 0 && attempt.Ended.Sub(sent) <= unreadSlack:
		h.Count("connection closed before the request was read")
	case len(runs) == 0:
		h.ReportViolation("LOST", "%s %s was not run and got no answer: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
	case !found:
		h.ReportViolation("LOST", "%s %s was cut without a SIGTERM of its edge: %s", attempt.Route, attempt.ID, outcomeOf(attempt))
	case after > lateRequest:
		h.ReportViolation("LOST", "%s %s was sent %v after the SIGTERM, ran and was cut: %s", attempt.Route, attempt.ID, after, outcomeOf(attempt))
	case attempt.Ended.Before(begun.at.Add(excusedCut)):
		h.ReportViolation("LOST", "%s %s was cut %v after the SIGTERM: %s", attempt.Route, attempt.ID,
			attempt.Ended.Sub(begun.at).Round(time.Millisecond), outcomeOf(attempt))
	default:
		h.Count("request of the first seconds cut at the end of the grace period")
	}
}

// countLateRequests counts what clients sent on kept connections while their edge was shutting down, by how it ended.
func (h *harness) countLateRequests(attempts map[string]*Attempt) {
	if !h.plan.Planned {
		return
	}
	for _, attempt := range attempts {
		begun, found := h.shutdownDuring(attempt)
		if !found || attempt.Sent.Before(begun.at) || !attempt.isComplete() || attempt.Route == string(markerRoute) {
			continue
		}
		late := attempt.lastByteSent().Sub(begun.at) > lateRequest
		switch {
		case late && attempt.Status == 200:
			h.Count("late request on a kept connection served")
		case late && attempt.isNotExecuted():
			h.Count("late request on a kept connection refused")
		case attempt.Status == 200:
			h.Count("request served during a shutdown")
		}
	}
}
