package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A deduplicated subquery that may have run is sent again within its window only, and fails otherwise.
func TestDeduplicatedWindow(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
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

// A first attempt that ended in an error still counts when the second is rejected: it may have run.
func TestDeduplicatedErrorThenRejected(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
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
		t.Error("sent again past its window")
	}
	if _, ok := b.last[q].(decision.Fail); !ok {
		t.Errorf("final answer %v, want Fail", b.last[q])
	}
}

// A subquery that is not idempotent is sent again only when no attempt can have run.
func TestNotIdempotent(t *testing.T) {
	for st, want := range map[decision.Status]int{decision.Error: 1, decision.TimedOut: 1, decision.Reset: 1, decision.Cancelled: 1, decision.Rejected: 2, decision.ConnectFailed: 2} {
		b := newFixture(t, base(), 0, 1, 2)
		q, _ := b.query(2, 4*time.Second, 0)
		b.run(20 * ms)
		b.outcome(b.sends[0], st)
		b.run(20 * ms)
		if len(b.sends) != want {
			t.Errorf("status %d: %d attempts, want %d", st, len(b.sends), want)
		}
		if _, refused := b.last[q].(decision.Reject); refused {
			t.Errorf("status %d: refused though it may have run", st)
		}
	}
}

// Further attempts stay within the configured budget in every window.
func TestRetryBudget(t *testing.T) {
	set := base()
	set.Rules.BudgetOn, set.Rules.BudgetFree, set.Rules.BudgetRatio, set.Rules.BudgetSpan = true, 2, 0.05, 10*time.Second
	b := newFixture(t, set, 0, 1, 2)
	taken := []time.Duration{}
	for range 300 {
		k := len(b.sends)
		b.query(0, 2*time.Second, 0)
		taken = append(taken, b.now, b.now)
		b.run(50 * ms)
		for _, s := range append([]sent(nil), b.sends[k:]...) {
			b.outcome(s, decision.Error)
		}
	}
	extra := 0
	for _, s := range b.sends {
		if s.attempt == 0 {
			continue
		}
		extra++
		in, ex := 0, 0
		for _, at := range taken {
			if at > s.at-10*time.Second && at <= s.at {
				in++
			}
		}
		for _, o := range b.sends {
			if o.attempt > 0 && o.at >= s.at-10*time.Second && o.at <= s.at {
				ex++
			}
		}
		if float64(ex) > 2+0.05*float64(in) {
			t.Fatalf("%d further attempts by %v with %d taken", ex, s.at, in)
		}
	}
	if extra == 0 {
		t.Fatal("no further attempt was made at all")
	}
}

// A deduplicated subquery that is queued past its window cannot be sent again: its query fails then, not at its
// client's time-out.
func TestQueuedPastWindow(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
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
		t.Errorf("%d sends, then %+v", len(b.sends), b.last[q])
	}
}
