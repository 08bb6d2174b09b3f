package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// phased hands over a phased query of six shards; those from later on wait to be asked for.
func (b *fixture) phased(later int) (decision.QueryID, []decision.SubqueryID) {
	b.nextID += 100
	q := decision.QueryID(b.nextID)
	ev := []decision.Event{decision.QueryArrived{ID: q, Remaining: 4 * time.Second, Subqueries: 6, Phased: true, Fetch: 2}}
	var ids []decision.SubqueryID
	for i := range 6 {
		id := decision.SubqueryID(b.nextID + uint64(i) + 1)
		b.owner[id] = q
		ids = append(ids, id)
		ev = append(ev, decision.SubqueryArrived{ID: id, Query: q, Shard: i, Weight: 1.0 / 6, Later: i >= later})
	}
	b.step(ev...)
	return q, ids
}

// fetch hands over the subqueries of the second step, of the shards given.
func (b *fixture) fetch(q decision.QueryID, used int, prefer decision.ServerID, shards ...int) (ids []decision.SubqueryID) {
	b.nextID += 100
	ev := []decision.Event{decision.Planned{Query: q, Fetch: len(shards)}}
	for i, s := range shards {
		id := decision.SubqueryID(b.nextID + uint64(i) + 1)
		b.owner[id] = q
		ids = append(ids, id)
		ev = append(ev, decision.SubqueryArrived{ID: id, Query: q, Shard: s, Weight: 1 / float64(len(shards)), Prefer: prefer, Used: used})
	}
	b.step(ev...)
	return ids
}

func (b *fixture) ok(ids ...decision.SubqueryID) {
	for _, id := range ids {
		b.step(decision.Outcome{Subquery: id, Attempt: b.attempts[id] - 1, Status: decision.OK})
	}
}

func (b *fixture) nonFinal(q decision.QueryID) (got, whole bool) {
	for _, a := range b.actions {
		if a, ok := a.(decision.Answer); ok && a.Query == q && !a.Final {
			return true, a.Complete
		}
	}
	return false, false
}

func phasedBase() decision.Settings {
	set := base()
	set.Hedging, set.MaxAttempts = false, 4
	set.Classes[0].Floor = 0.7
	return set
}

// Parts of later waves leave only when they are asked for; a skipped one counts as in and is cancelled.
func TestPhasedWaves(t *testing.T) {
	b := newFixture(t, phasedBase(), 0, 1, 2)
	q, ids := b.phased(4)
	if len(b.sends) != 4 {
		t.Fatalf("%d subqueries sent, want the 4 of the first wave", len(b.sends))
	}
	b.ok(ids[0], ids[1], ids[2])
	b.step(decision.Planned{Query: q, Request: ids[4:5], Skip: []decision.SubqueryID{ids[3], ids[5]}})
	cancelled := false
	for _, a := range b.actions {
		c, ok := a.(decision.Cancel)
		cancelled = cancelled || ok && c.Subquery == ids[3]
	}
	if len(b.sends) != 5 || b.sends[4].Subquery != ids[4] || !cancelled {
		t.Fatalf("sends %v, cancelled %v", b.sends, cancelled)
	}
	b.ok(ids[4])
	if got, whole := b.nonFinal(q); !got || !whole {
		t.Errorf("first step: over %v, whole %v", got, whole)
	}
	fetch := b.fetch(q, 1, 2, 0, 1)
	for _, s := range b.sends[5:] {
		if s.Server != 2 {
			t.Errorf("listings asked of server %d, want the one preferred", s.Server)
		}
	}
	b.ok(fetch...)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Errorf("final %+v", b.last[q])
	}
}

// A page of no lots needs no second step.
func TestPhasedNothingToFetch(t *testing.T) {
	b := newFixture(t, phasedBase(), 0, 1, 2)
	q, ids := b.phased(6)
	b.ok(ids...)
	b.fetch(q, 0, 0)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
		t.Errorf("final %+v", b.last[q])
	}
}

// Under the floor when the scores are due, the query ends at once, long before its client times out.
func TestPhasedFloor(t *testing.T) {
	b := newFixture(t, phasedBase(), 0, 1, 2)
	q, ids := b.phased(6)
	b.ok(ids[0], ids[1], ids[2])
	for at := b.now + time.Second; b.now < at; {
		b.now += 10 * ms
		b.step(decision.Wake{})
	}
	if _, ok := b.last[q].(decision.Reject); !ok {
		t.Errorf("final %+v after the latency target with half of the weight", b.last[q])
	}
}

// From the floor on the first step ends in part in time for the second; the share of a page without some of
// its listings is one of what was ranked, so that five sixths of the weight and two thirds of the page fail.
func TestPhasedShare(t *testing.T) {
	for _, lost := range []int{0, 1} {
		b := newFixture(t, phasedBase(), 0, 1, 2)
		q, ids := b.phased(6)
		start := b.now
		b.now += 100 * ms
		b.ok(ids[:5]...)
		for got := false; !got; got, _ = b.nonFinal(q) {
			if b.now += 10 * ms; b.now > start+time.Second {
				t.Fatal("the first step did not end")
			}
			b.step(decision.Wake{})
		}
		if b.now > start+900*ms {
			t.Errorf("the first step ended %v after the start, with nothing left for the second", b.now-start)
		}
		fetch := b.fetch(q, 0, 0, 0, 1, 2)
		b.now += 50 * ms
		b.ok(fetch[lost:]...)
		for b.now < start+1010*ms {
			b.now += 10 * ms
			b.step(decision.Wake{})
		}
		a, ok := b.last[q].(decision.Answer)
		if _, refused := b.last[q].(decision.Reject); lost == 0 && (!ok || a.Complete) || lost == 1 && !refused {
			t.Errorf("%d listings lost: final %+v", lost, b.last[q])
		}
	}
}

// Four attempts at most over both steps: the scores leave one for the listings, which count theirs in.
func TestPhasedAttempts(t *testing.T) {
	b := newFixture(t, phasedBase(), 0, 1, 2)
	q, ids := b.phased(6)
	fail := func(id decision.SubqueryID) {
		for n := 0; n < b.attempts[id]; n++ {
			b.now += 10 * ms
			b.step(decision.Outcome{Subquery: id, Attempt: n, Status: decision.Error})
		}
	}
	b.ok(ids[1:]...)
	fail(ids[0])
	if b.attempts[ids[0]] != 3 {
		t.Errorf("%d attempts for scores, want 3", b.attempts[ids[0]])
	}
	fetch := b.fetch(q, 3, 0, 1)
	fail(fetch[0])
	if b.attempts[fetch[0]] != 1 {
		t.Errorf("%d attempts for listings after 3 for scores, want 1", b.attempts[fetch[0]])
	}
}
