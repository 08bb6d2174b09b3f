package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// phased submits a phased query of six shards. The subqueries with an index of later or more are withheld until
// requested.
func (b *fixture) phased(later int) (decision.QueryID, []decision.SubqueryID) {
	b.nextID += 100
	q := decision.QueryID(b.nextID)
	ev := []decision.Event{decision.QueryArrived{ID: q, Remaining: 4 * time.Second, Subqueries: 6, Phased: true, Fetch: 2}}
	var ids []decision.SubqueryID
	for i := range 6 {
		id := decision.SubqueryID(b.nextID + uint64(i) + 1)
		b.owner[id] = q
		ids = append(ids, id)
		ev = append(ev, decision.SubqueryArrived{ID: id, Query: q, Shard: i, Weight: 1.0 / 6, Deferred: i >= later})
	}
	b.step(ev...)
	return q, ids
}

// fetch submits the second step of a phased query, with one subquery for each of the shards.
func (b *fixture) fetch(q decision.QueryID, used int, prefer decision.ServerID, shards ...int) (ids []decision.SubqueryID) {
	b.nextID += 100
	ev := []decision.Event{decision.Planned{Query: q, Fetch: len(shards)}}
	for i, s := range shards {
		id := decision.SubqueryID(b.nextID + uint64(i) + 1)
		b.owner[id] = q
		ids = append(ids, id)
		ev = append(ev, decision.SubqueryArrived{ID: id, Query: q, Shard: s, Weight: 1 / float64(len(shards)), Preferred: prefer, UsedAttempts: used})
	}
	b.step(ev...)
	return ids
}

// answerLast reports that the last attempts of subqueries were answered.
func (b *fixture) answerLast(ids ...decision.SubqueryID) {
	for _, id := range ids {
		b.step(decision.Outcome{Subquery: id, Attempt: b.attempts[id] - 1, Status: decision.OK})
	}
}

// nonFinal reports whether the last step answered the first step of a query, and whether that answer is complete.
func (b *fixture) nonFinal(q decision.QueryID) (answered, complete bool) {
	for _, a := range b.actions {
		if a, ok := a.(decision.Answer); ok && a.Query == q && !a.Final {
			return true, a.Complete
		}
	}
	return false, false
}

// phasedSettings returns settings for phased queries, with partial answers from a weight of 0.7.
func phasedSettings() decision.Settings {
	set := baseSettings()
	set.Hedging, set.MaxAttempts = false, 4
	set.Classes[0].PartialFraction = 0.7
	return set
}

// Withheld subqueries of the first step are sent only on request. A skipped subquery counts as done, and its attempt in
// flight is cancelled.
func TestPhasedRequestAndSkip(t *testing.T) {
	b := newFixture(t, phasedSettings(), 0, 1, 2)
	q, ids := b.phased(4)
	if len(b.sends) != 4 {
		t.Fatalf("%d subqueries sent, want the 4 of the first wave", len(b.sends))
	}
	b.answerLast(ids[0], ids[1], ids[2])
	b.step(decision.Planned{Query: q, Request: ids[4:5], Skip: []decision.SubqueryID{ids[3], ids[5]}})
	cancelled := false
	for _, a := range b.actions {
		c, ok := a.(decision.Cancel)
		cancelled = cancelled || ok && c.Subquery == ids[3]
	}
	if len(b.sends) != 5 || b.sends[4].Subquery != ids[4] || !cancelled {
		t.Fatalf("sends %v, cancelled %v, want the requested subquery sent and the skipped one cancelled", b.sends, cancelled)
	}
	b.answerLast(ids[4])
	if answered, complete := b.nonFinal(q); !answered || !complete {
		t.Errorf("first step: answered %v, complete %v, want both", answered, complete)
	}
	fetch := b.fetch(q, 1, 2, 0, 1)
	for _, s := range b.sends[5:] {
		if s.Server != 2 {
			t.Errorf("subquery of the second step sent to server %d, want the preferred server 2", s.Server)
		}
	}
	b.answerLast(fetch...)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Errorf("final answer %+v, want a complete answer", b.last[q])
	}
}

// A phased query is answered after its first step if the planner has nothing to fetch.
func TestPhasedNothingToFetch(t *testing.T) {
	b := newFixture(t, phasedSettings(), 0, 1, 2)
	q, ids := b.phased(6)
	b.answerLast(ids...)
	b.fetch(q, 0, 0)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Errorf("final answer %+v, want a complete answer", b.last[q])
	}
}

// A phased query ends at the latency target of its first step if too little is answered for a partial answer. It does
// not wait until its client times out.
func TestPhasedTooLittleWeight(t *testing.T) {
	b := newFixture(t, phasedSettings(), 0, 1, 2)
	q, ids := b.phased(6)
	b.answerLast(ids[0], ids[1], ids[2])
	for at := b.now + time.Second; b.now < at; {
		b.now += 10 * ms
		b.step(decision.Wake{})
	}
	if _, ok := b.last[q].(decision.Reject); !ok {
		t.Errorf("final answer %+v after the latency target with half of the weight, want Reject", b.last[q])
	}
}

// A first step with enough weight for a partial answer ends early enough for the second. The weight answered in the
// second step counts as a fraction of the weight answered in the first: five sixths in the first step and two thirds in
// the second are too little.
func TestPhasedPartialAnswer(t *testing.T) {
	for _, lost := range []int{0, 1} {
		b := newFixture(t, phasedSettings(), 0, 1, 2)
		q, ids := b.phased(6)
		start := b.now
		b.now += 100 * ms
		b.answerLast(ids[:5]...)
		for answered := false; !answered; answered, _ = b.nonFinal(q) {
			if b.now += 10 * ms; b.now > start+time.Second {
				t.Fatal("the first step did not end")
			}
			b.step(decision.Wake{})
		}
		if b.now > start+900*ms {
			t.Errorf("the first step ended %v after the start, which leaves too little time for the second", b.now-start)
		}
		fetch := b.fetch(q, 0, 0, 0, 1, 2)
		b.now += 50 * ms
		b.answerLast(fetch[lost:]...)
		for b.now < start+1010*ms {
			b.now += 10 * ms
			b.step(decision.Wake{})
		}
		a, ok := b.last[q].(decision.Answer)
		if _, rejected := b.last[q].(decision.Reject); lost == 0 && (!ok || a.Complete) || lost == 1 && !rejected {
			t.Errorf("%d subqueries of the second step not answered: final answer %+v", lost, b.last[q])
		}
	}
}

// MaxAttempts holds for both steps of a shard together. The first step leaves one attempt for the second, which counts
// those of the first.
func TestPhasedAttempts(t *testing.T) {
	b := newFixture(t, phasedSettings(), 0, 1, 2)
	q, ids := b.phased(6)
	fail := func(id decision.SubqueryID) {
		for n := 0; n < b.attempts[id]; n++ {
			b.now += 10 * ms
			b.step(decision.Outcome{Subquery: id, Attempt: n, Status: decision.Error})
		}
	}
	b.answerLast(ids[1:]...)
	fail(ids[0])
	if b.attempts[ids[0]] != 3 {
		t.Errorf("%d attempts in the first step, want 3", b.attempts[ids[0]])
	}
	fetch := b.fetch(q, 3, 0, 1)
	fail(fetch[0])
	if b.attempts[fetch[0]] != 1 {
		t.Errorf("%d attempts in the second step after 3 in the first, want 1", b.attempts[fetch[0]])
	}
}
