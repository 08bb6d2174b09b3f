package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A deduplicated subquery that may have run is retried only within its window. After it, the query fails.
func TestDeduplicatedWindow(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	q, _ := b.query(1, 4*time.Second, 0)
	b.run(400 * ms)
	for _, s := range b.sends {
		if s.at-b.sends[0].at >= 300*ms {
			t.Errorf("attempt sent %v after the first", s.at-b.sends[0].at)
		}
	}
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.Error)
	}
	b.run(100 * ms)
	if _, ok := b.last[q].(decision.Fail); !ok {
		t.Errorf("final answer %v, want Fail", b.last[q])
	}
}

// The window of a deduplicated subquery starts with a first attempt that failed, as it may have run, even if the second
// attempt is rejected and never ran.
func TestDeduplicatedErrorThenRejected(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	q, _ := b.query(1, 4*time.Second, 0)
	b.run(20 * ms)
	b.outcome(b.sends[0], decision.Error)
	b.run(20 * ms)
	if len(b.sends) != 2 {
		t.Fatalf("%d attempts, want a second within the window", len(b.sends))
	}
	b.run(300 * ms) // past the window
	b.outcome(b.sends[1], decision.Rejected)
	b.run(20 * ms)
	if len(b.sends) != 2 {
		t.Error("retried after its window")
	}
	if _, ok := b.last[q].(decision.Fail); !ok {
		t.Errorf("final answer %v, want Fail", b.last[q])
	}
}

// A subquery that is not idempotent is retried only if no attempt can have run.
func TestNotIdempotent(t *testing.T) {
	for st, want := range map[decision.Status]int{decision.Error: 1, decision.TimedOut: 1, decision.Reset: 1, decision.Cancelled: 1, decision.Rejected: 2, decision.ConnectFailed: 2} {
		b := newFixture(t, baseSettings(), 0, 1, 2)
		q, _ := b.query(2, 4*time.Second, 0)
		b.run(20 * ms)
		b.outcome(b.sends[0], st)
		b.run(20 * ms)
		if len(b.sends) != want {
			t.Errorf("status %d: %d attempts, want %d", st, len(b.sends), want)
		}
		if _, rejected := b.last[q].(decision.Reject); rejected {
			t.Errorf("status %d: Reject, though an attempt may have run", st)
		}
	}
}

// Further attempts stay within the configured budget in every window.
func TestRetryBudget(t *testing.T) {
	set := baseSettings()
	set.Rules.BudgetEnabled, set.Rules.BudgetFree, set.Rules.BudgetRatio, set.Rules.BudgetSpan = true, 2, 0.05, 10*time.Second
	b := newFixture(t, set, 0, 1, 2)
	received := []time.Duration{} // arrival times of queries and subqueries
	for range 300 {
		k := len(b.sends)
		b.query(0, 2*time.Second, 0)
		received = append(received, b.now, b.now)
		b.run(50 * ms)
		for _, s := range append([]sent(nil), b.sends[k:]...) {
			b.outcome(s, decision.Error)
		}
	}
	further := 0
	for _, s := range b.sends {
		if s.attempt == 0 {
			continue
		}
		further++
		inSpan, furtherInSpan := 0, 0
		for _, at := range received {
			if at > s.at-10*time.Second && at <= s.at {
				inSpan++
			}
		}
		for _, o := range b.sends {
			if o.attempt > 0 && o.at >= s.at-10*time.Second && o.at <= s.at {
				furtherInSpan++
			}
		}
		if float64(furtherInSpan) > 2+0.05*float64(inSpan) {
			t.Fatalf("%d further attempts in the 10 s before %v, with %d queries and subqueries received", furtherInSpan, s.at, inSpan)
		}
	}
	if further == 0 {
		t.Fatal("no further attempt was sent")
	}
}

// A deduplicated subquery that is still queued when its window ends cannot be retried. Its query fails then, and not
// only when its client times out.
func TestQueuedPastWindow(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	q, parts := b.query(1, 4*time.Second, 0)
	b.now += 10 * ms
	var cold []decision.ServerInfo
	for i := range 3 {
		cold = append(cold, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready, Nominal: 1, Started: b.now})
	}
	b.step(decision.ServerList{Kind: decision.Delta, Servers: cold}, decision.Outcome{Subquery: parts[0], Server: b.sends[0].Server, Status: decision.Error})
	for end := b.now + 310*ms; b.now < end; b.now += 10 * ms {
		b.step(decision.Wake{})
	}
	if _, ok := b.last[q].(decision.Fail); !ok || len(b.sends) != 1 {
		t.Errorf("%d attempts and final answer %+v, want 1 and Fail", len(b.sends), b.last[q])
	}
}
