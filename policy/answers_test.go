package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A query gets one complete answer as soon as all its subqueries are answered.
func TestCompleteAnswerOnce(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2)
	b.run(50 * ms)
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.OK)
	}
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Fatalf("final answer %v, want a complete answer", b.last[q])
	}
}

// A query gets exactly one final answer before its client times out, with subqueries still in flight or with no server
// to send them to.
func TestFinalAnswerInTime(t *testing.T) {
	for name, cells := range map[string][]int{"in flight": {0, 1, 2}, "no servers": {}} {
		b := newFixture(t, baseSettings(), cells...)
		q, _ := b.query(0, 500*ms, 0, 1)
		b.run(520 * ms)
		if b.finals[q] != 1 {
			t.Errorf("%s: %d final answers, want 1", name, b.finals[q])
		}
	}
}

// If the first of two steps was answered only partially, the query's final answer is partial too.
func TestPartialFirstStep(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	q, _ := b.query(3, 4*time.Second, 0, 1)
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.run(1000 * ms) // the other stays in flight, so that only a partial answer meets the latency target
	if b.sched.Queries[q] == nil || b.sched.Queries[q].Step != 2 {
		t.Fatal("no partial first answer by the latency target")
	}
	b.owner[999] = q
	k := len(b.sends)
	b.step(decision.SubqueryArrived{ID: 999, Query: q, Shard: 0, Weight: 1})
	b.run(20 * ms)
	for _, s := range append([]sent(nil), b.sends[k:]...) {
		if s.Subquery == 999 {
			b.outcome(s, decision.OK)
			break
		}
	}
	a, ok := b.last[q].(decision.Answer)
	if !ok || a.Complete {
		t.Errorf("final answer %v, want a partial answer", b.last[q])
	}
}

// A partial answer leaves before the latency target, wherever between two sweeps the query arrived. With sweeps at
// fixed intervals of 10 ms, four of five such answers were up to 8 ms late.
func TestPartialAnswerInTime(t *testing.T) {
	set := baseSettings()
	set.Tick, set.Hedging = ms, false
	set.Classes[0] = decision.Class{LatencyTarget: 300 * ms, Deadline: time.Second, Value: 1, Effect: decision.Idempotent, CompleteFraction: 1, PartialFraction: 0.5}
	for _, offset := range []time.Duration{1, 3, 7, 9} {
		b := newFixture(t, set, 0, 1, 2)
		b.now += 11 * ms
		b.query(0, time.Second, 0) // starts the sweeps
		b.now += offset * ms
		arrived := b.now
		q, ids := b.query(0, time.Second, 0, 1)
		for _, s := range slices.Clone(b.sends) {
			if s.Subquery == ids[0] {
				b.outcome(s, decision.OK)
			}
		}
		b.runWakes(arrived + 290*ms)
		if b.finals[q] > 0 {
			t.Fatalf("offset %v: final answer before the latency target", offset)
		}
		b.runWakes(arrived + 299*ms)
		if a, ok := b.last[q].(decision.Answer); !ok || a.Complete {
			t.Errorf("offset %v: no partial answer before the latency target", offset)
		}
	}
}

// Invalid events are ignored, except that a query of an unknown class is rejected. Invalid settings are an error.
func TestInvalidInput(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.step(decision.QueryArrived{ID: 1, Class: 99, Remaining: time.Second, Subqueries: 1}, decision.Outcome{Subquery: 5}, decision.ClientDisconnected{Query: 9},
		decision.SubqueryArrived{ID: 8, Query: 77}, decision.SubqueryArrived{ID: 9, Query: 1, Shard: -4})
	if _, ok := b.last[1].(decision.Reject); !ok {
		t.Error("a query of an unknown class was not rejected")
	}
	q, p := b.query(0, time.Second, 0)
	b.now -= 500 * ms // a clock that goes back is taken as standing still
	b.step(decision.QueryArrived{ID: q, Remaining: time.Second, Subqueries: 1}, decision.Outcome{Subquery: p[0], Attempt: 7})
	b.now += 500 * ms
	b.run(time.Second)
	if b.finals[q] != 1 {
		t.Errorf("%d final answers, want 1", b.finals[q])
	}
	set := baseSettings()
	set.Cells = 0
	if _, err := New(set, 1); err == nil {
		t.Error("New accepted settings without cells")
	}
}

// A query with less time left than others of its class is not taken for a late retry: it is not answered partially
// before its latency target.
func TestShortTimeOut(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(20, 50*ms)
	b.query(3, 4*time.Second, 0) // the time that queries of the class usually have left
	b.sends = nil
	q, _ := b.query(3, 2*time.Second, 0, 1) // half of it, as a late retry would have
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.run(100 * ms)
	if b.sched.Queries[q] == nil || b.sched.Queries[q].Step != 1 {
		t.Fatal("first step was answered long before the latency target")
	}
}

// If a complete answer needs only some of the subqueries, no more than these are sent at first, and those of shards
// with unhealthy replicas last. A late or failed subquery is replaced by a spare, and the query ends only when too few
// can still be answered.
func TestSpareSubqueries(t *testing.T) {
	set := baseSettings()
	set.Classes[0].CompleteFraction, set.Classes[0].PartialFraction, set.MaxAttempts, set.Hedging = 0.6, 0.6, 1, false
	set.Width = 1
	b := newFixture(t, set, 0, 1, 2)
	b.warmUp(20, 50*ms)
	b.sched.Servers[1].FailureRate, b.sched.Servers[1].FailureRateAt = 0.5, b.now
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 1, 2)
	if len(b.sends) != 3 {
		t.Fatalf("%d subqueries sent, want the 3 of 5 that make a complete answer", len(b.sends))
	}
	for _, s := range b.sends {
		if s.Server == 1 {
			t.Error("the subquery of the shard with an unhealthy replica was sent first")
		}
	}
	b.outcome(b.sends[0], decision.Error)
	if len(b.sends) != 4 || b.finals[q] > 0 {
		t.Fatalf("%d subqueries sent and %d final answers after a failed subquery, want 4 and none", len(b.sends), b.finals[q])
	}
	b.run(1100 * ms) // past the deadline
	if len(b.sends) != 5 {
		t.Errorf("%d subqueries sent once others were late, want all 5", len(b.sends))
	}
	b.outcome(b.sends[1], decision.Error)
	if b.finals[q] > 0 {
		t.Fatal("final answer while three subqueries can still be answered")
	}
	b.outcome(b.sends[2], decision.Error)
	if b.finals[q] != 1 {
		t.Error("no final answer when only two of five subqueries can still be answered")
	}
}

// A query whose subqueries have too little weight for any answer ends at once. No host should submit such a query.
func TestSparesOfTooLittleWeight(t *testing.T) {
	set := baseSettings()
	set.Classes[0].CompleteFraction, set.Classes[0].PartialFraction = 0.6, 0.6
	b := newFixture(t, set, 0, 1, 2)
	b.step(decision.QueryArrived{ID: 1, Remaining: time.Second, Subqueries: 2},
		decision.SubqueryArrived{ID: 2, Query: 1, Shard: 0}, decision.SubqueryArrived{ID: 3, Query: 1, Shard: 1})
	if b.finals[1] != 1 || len(b.sends) > 0 {
		t.Errorf("%d final answers and %d subqueries sent, want one and none", b.finals[1], len(b.sends))
	}
}

// No rule assumes that clients time out after a few seconds: a query may take 10 s, of which an attempt may be in
// flight for 9 s.
func TestLongTimeOut(t *testing.T) {
	set := baseSettings()
	set.Hedging, set.Cancel = false, false
	set.Classes[0].LatencyTarget, set.Classes[0].Deadline = 5*time.Second, 10*time.Second
	b := newFixture(t, set, 0, 1, 2)
	q, _ := b.query(0, 10*time.Second, 0)
	b.run(9 * time.Second)
	if b.finals[q] != 0 || b.sends[0].Limit < 9*time.Second {
		t.Fatalf("final answer %+v after 9 s; time-out of the attempt %v, want none and 9 s or more", b.last[q], b.sends[0].Limit)
	}
	b.outcome(b.sends[0], decision.OK)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Errorf("final answer %+v, want a complete answer", b.last[q])
	}
}
