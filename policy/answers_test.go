package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

func TestCompleteAnswerOnce(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2)
	b.run(50 * ms)
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.OK)
	}
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Fatalf("final answer %v, want a complete answer", b.last[q])
	}
}

// A query whose time runs out with subqueries in flight, queued or never sendable gets one final answer, in time.
func TestFinalAnswerInTime(t *testing.T) {
	for name, cells := range map[string][]int{"out": {0, 1, 2}, "no servers": {}} {
		b := newFixture(t, base(), cells...)
		q, _ := b.query(0, 500*ms, 0, 1)
		b.run(520 * ms)
		if b.finals[q] != 1 {
			t.Errorf("%s: %d final answers, want 1", name, b.finals[q])
		}
	}
}

// The two steps: the floor, a complete answer and the second step are distinguished.
func TestTwoStepsAndPartial(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	q, _ := b.query(3, 4*time.Second, 0, 1)
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.run(1000 * ms) // the other stays in flight: a partial answer saves the latency target
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
		t.Errorf("final answer %v, want an answer that is not whole", b.last[q])
	}
}

// With latency targets of the order of a sweep, a partial answer leaves before the target, wherever the query arrived
// between two sweeps: with sweeps at fixed times of each 10 ms, four of five such answers were up to 8 ms late.
func TestPartialAnswerInTime(t *testing.T) {
	set := base()
	set.Tick, set.Hedging = ms, false
	set.Classes[0] = decision.Class{LatencyTarget: 300 * ms, Deadline: time.Second, Value: 1, Effect: decision.Idempotent, Need: 1, Floor: 0.5}
	for _, offset := range []time.Duration{1, 3, 7, 9} {
		b := newFixture(t, set, 0, 1, 2)
		b.now += 11 * ms
		b.query(0, time.Second, 0) // sweeps from now on
		b.now += offset * ms
		came := b.now
		q, ids := b.query(0, time.Second, 0, 1)
		for _, s := range slices.Clone(b.sends) {
			if s.Subquery == ids[0] {
				b.outcome(s, decision.OK)
			}
		}
		b.wakes(came + 290*ms)
		if b.finals[q] > 0 {
			t.Fatalf("offset %v: answered partially while the rest could still come", offset)
		}
		b.wakes(came + 299*ms)
		if a, ok := b.last[q].(decision.Answer); !ok || a.Complete {
			t.Errorf("offset %v: no partial answer before the latency target", offset)
		}
	}
}

// Bad input to the public interface is ignored, or rejected where a query is owed its answer.
func TestBadInput(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.step(decision.QueryArrived{ID: 1, Class: 99, Remaining: time.Second, Subqueries: 1}, decision.Outcome{Subquery: 5}, decision.ClientDisconnected{Query: 9},
		decision.SubqueryArrived{ID: 8, Query: 77}, decision.SubqueryArrived{ID: 9, Query: 1, Shard: -4})
	if _, ok := b.last[1].(decision.Reject); !ok {
		t.Error("a query of an unknown class was not refused")
	}
	q, p := b.query(0, time.Second, 0)
	b.now -= 500 * ms // time going backwards counts as standing still
	b.step(decision.QueryArrived{ID: q, Remaining: time.Second, Subqueries: 1}, decision.Outcome{Subquery: p[0], Attempt: 7})
	b.now += 500 * ms
	b.run(time.Second)
	if b.finals[q] != 1 {
		t.Errorf("%d final answers, want 1", b.finals[q])
	}
	set := base()
	set.Cells = 0
	if _, err := New(set, 1); err == nil {
		t.Error("New took settings without cells")
	}
}

// Clients with short time-outs are not retries: their latency targets and partial answers stay.
func TestShortTimeOut(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(20, 50*ms)
	b.query(3, 4*time.Second, 0) // what the class usually has left
	b.sends = nil
	q, _ := b.query(3, 2*time.Second, 0, 1) // half the class's wait, as a late repeat would have
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.run(100 * ms)
	if b.sched.Queries[q] == nil || b.sched.Queries[q].Step != 1 {
		t.Fatal("answered partially long before the latency target")
	}
}

// Where any so many subqueries make a complete answer no more are sent, those of shards with weak replicas last; a late
// subquery brings a spare, and a lost one ends the query only when what can still come is too little.
func TestSpareSubqueries(t *testing.T) {
	set := base()
	set.Classes[0].Need, set.Classes[0].Floor, set.MaxAttempts, set.Hedging = 0.6, 0.6, 1, false
	set.Width = 1
	b := newFixture(t, set, 0, 1, 2)
	b.warm(20, 50*ms)
	b.sched.Servers[1].FailureRate, b.sched.Servers[1].FailureRateAt = 0.5, b.now
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 1, 2)
	if len(b.sends) != 3 {
		t.Fatalf("%d subqueries sent, want the 3 of 5 that make a complete answer", len(b.sends))
	}
	for _, s := range b.sends {
		if s.Server == 1 {
			t.Error("a subquery of the weak shard was asked for first")
		}
	}
	b.outcome(b.sends[0], decision.Error)
	if len(b.sends) != 4 || b.finals[q] > 0 {
		t.Fatalf("%d subqueries sent and %d final answers after a lost subquery, want 4 and none", len(b.sends), b.finals[q])
	}
	b.run(1100 * ms) // past the deadline
	if len(b.sends) != 5 {
		t.Errorf("%d subqueries sent once others were late, want all 5", len(b.sends))
	}
	b.outcome(b.sends[1], decision.Error)
	if b.finals[q] > 0 {
		t.Fatal("ended though three subqueries can still come")
	}
	b.outcome(b.sends[2], decision.Error)
	if b.finals[q] != 1 {
		t.Error("not given up at once when two of five could still come")
	}
}

// A query whose subqueries weigh too little for any answer, which no host should submit, ends at once.
func TestSparesOfTooLittleWeight(t *testing.T) {
	set := base()
	set.Classes[0].Need, set.Classes[0].Floor = 0.6, 0.6
	b := newFixture(t, set, 0, 1, 2)
	b.step(decision.QueryArrived{ID: 1, Remaining: time.Second, Subqueries: 2},
		decision.SubqueryArrived{ID: 2, Query: 1, Shard: 0}, decision.SubqueryArrived{ID: 3, Query: 1, Shard: 1})
	if b.finals[1] != 1 || len(b.sends) > 0 {
		t.Errorf("%d final answers and %d subqueries sent, want one and none", b.finals[1], len(b.sends))
	}
}

// Nothing assumes that clients wait no longer than some seconds: a query may take 10 s, and a subquery may be in flight
// for 9 of them.
func TestTenSeconds(t *testing.T) {
	set := base()
	set.Hedging, set.Cancel = false, false
	set.Classes[0].LatencyTarget, set.Classes[0].Deadline = 5*time.Second, 10*time.Second
	b := newFixture(t, set, 0, 1, 2)
	q, _ := b.query(0, 10*time.Second, 0)
	b.run(9 * time.Second)
	if b.finals[q] != 0 || b.sends[0].Limit < 9*time.Second {
		t.Fatalf("ended with %+v; the subquery had %v", b.last[q], b.sends[0].Limit)
	}
	b.outcome(b.sends[0], decision.OK)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Errorf("final answer %+v", b.last[q])
	}
}
