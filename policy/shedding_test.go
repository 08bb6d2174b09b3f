package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Load shedding rejects the queries with the most subqueries per value first. Here a query of one subquery has two
// thirds of the value of a query of 20, so that rejecting it would save hardly any load and lose much value.
func TestRejectByCostForValue(t *testing.T) {
	set := manyInstancesSettings()
	set.Cells, set.Width = 20, 1
	cells := make([]int, 40)
	var shards []int
	for i := range cells {
		cells[i] = i % 20
		if i < 20 {
			shards = append(shards, i)
		}
	}
	rejected, b := [2]int{}, newFixture(t, set, cells...)
	for range 200 {
		b.sched.ShedFraction, b.sched.ShedFractionAt, b.sched.ExcessLatency, b.sched.ExcessLatencyAt = 0.5, b.now, 0.35, b.now
		for class, at := range [][]int{shards, shards[:1]} {
			q, _ := b.query(class, time.Second, at...)
			if _, ok := b.last[q].(decision.Reject); ok {
				rejected[class]++
			}
			b.step(decision.ClientDisconnected{Query: q})
		}
	}
	if rejected[0] < 70 || rejected[1] > 30 {
		t.Errorf("of 200 each, %d queries of 20 subqueries and %d of one rejected, want 70 or more and 30 or fewer", rejected[0], rejected[1])
	}
}

// An instance that starts during overload gives every query exactly one final answer.
func TestRestartInOverload(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	for range 300 { // far more than the servers answer
		b.query(0, time.Second, 0, 1, 2)
		b.run(10 * ms)
		if n := len(b.sends); n > 3 && n%3 == 0 {
			b.outcome(b.sends[n/2], decision.OK)
		}
	}
	b.run(1500 * ms)
	if len(b.finals) != 300 {
		t.Errorf("%d of 300 queries have a final answer", len(b.finals))
	}
	if len(b.sched.Queries) != 0 || len(b.sched.ActiveQueries) != 0 {
		t.Errorf("%d queries in the table and %d in the sweep list after all have ended", len(b.sched.Queries), len(b.sched.ActiveQueries))
	}
}

// Queues at the servers, which other instances may have filled, count as missed deadlines even if nothing is queued
// here: queries that would wait past their deadline are rejected before any subquery is sent, and admitted again later.
func TestQueuesAtServersCountAsMisses(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	rejected := func(n int, took time.Duration) (r int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2)
			b.run(took)
			for ; k < len(b.sends); k++ { // including hedged requests sent meanwhile
				b.outcome(b.sends[k], decision.OK)
			}
			if _, is := b.last[q].(decision.Reject); is {
				r++
			}
		}
		return r
	}
	if rejected(20, 1200*ms); b.sched.ShedFraction == 0 && rejected(5, 1200*ms) == 0 {
		t.Error("no query rejected, though every subquery waits past its deadline at the servers")
	}
	b.run(5 * time.Second)
	rejected(20, 50*ms)
	if r := rejected(20, 50*ms); r > 0 {
		t.Errorf("%d of 20 queries rejected after the servers were fast again, want none", r)
	}
}

// A query is rejected before any subquery is sent if its client would probably time out before the answer. With a
// little more time left it is admitted, even if queries of its class usually have more.
func TestRejectClientTooShortOfTime(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 200*ms)
	q, _ := b.query(0, 100*ms, 0, 1)
	if _, ok := b.last[q].(decision.Reject); !ok || len(b.sends) > 0 {
		t.Errorf("final answer %v and %d subqueries sent, want a rejection and none", b.last[q], len(b.sends))
	}
	if q, _ = b.query(0, 400*ms, 0, 1); b.finals[q] > 0 || len(b.sends) != 2 {
		t.Errorf("%d subqueries sent for a client with enough time, want 2", len(b.sends))
	}
}

// While load is shed, a query with less time left than others of its class is not taken for a late retry and ended.
func TestShortTimeOutWhileShedding(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(20, 50*ms)
	b.query(0, 4*time.Second, 0) // the time that queries of the class usually have left
	b.sched.ShedFraction = 1
	k := len(b.sends)
	q, _ := b.query(0, 2*time.Second, 0, 1) // half of it, as a late retry would have
	b.run(20 * ms)
	if b.finals[q] > 0 || len(b.sends) != k+2 {
		t.Errorf("%d subqueries sent and final answer %v, want two and none", len(b.sends)-k, b.last[q])
	}
}

// If every replica of a shard is slow or fails, the subqueries of that shard count as missed deadlines, even if all
// other servers are fast. While load is shed, a query is admitted without these subqueries if it can do without them,
// and rejected otherwise.
func TestSlowShardCountsAsMiss(t *testing.T) {
	set := baseSettings()
	set.Width = 1
	b := newFixture(t, set, 0, 1, 2)
	b.warmUp(60, 50*ms)
	for range 20 {
		b.sched.recordLatency(b.sched.Servers[2], 2, false)
	}
	for range 10 {
		b.sched.recordOutcome(b.sched.Servers[3], false, 1)
	}
	for shard, want := range []bool{false, true, true} {
		p := &cluster.Subquery{SubqueryArrived: decision.SubqueryArrived{Shard: shard}, QueueKey: tailguard.QueueKey{Deadline: b.now + time.Second}}
		if got := b.sched.wouldMiss(p); got != want {
			t.Errorf("shard %d: wouldMiss is %v, want %v", shard, got, want)
		}
	}
	b.sched.ShedFraction = 1
	if q, _ := b.query(0, 4*time.Second, 0, 1); b.finals[q] != 1 {
		t.Error("query of a slow shard admitted while load is shed")
	}
	// With partial answers, the query is admitted without the slow shard and answered as soon as the rest is. Such a shard
	// may be one where operators banned two of the three servers of a cell.
	b.sched.Settings.Classes[0].PartialFraction = 0.5
	q, _ := b.query(0, 4*time.Second, 0, 1)
	if len(b.sends) != 1 || b.finals[q] > 0 {
		t.Fatalf("%d subqueries sent and %d final answers, want 1 and none", len(b.sends), b.finals[q])
	}
	b.now += 50 * ms
	b.outcome(b.sends[0], decision.OK)
	if a, ok := b.last[q].(decision.Answer); !ok || a.Complete || !a.Final {
		t.Errorf("final answer %+v, want a partial answer", b.last[q])
	}
}

// A query is rejected at once if one of its shards has no listed server, both on arrival and when the last server is
// deregistered while it is in progress. It is not queued until its client times out.
func TestNoServerListed(t *testing.T) {
	set := baseSettings()
	set.Width = 1
	b := newFixture(t, set, 0, 1)
	unserved, _ := b.query(0, 4*time.Second, 0, 2)
	if r, ok := b.last[unserved].(decision.Reject); !ok || r.RetryAfter <= 0 {
		t.Errorf("without a server: final answer %+v, want Reject", b.last[unserved])
	}
	pending, parts := b.query(2, 4*time.Second, 1)
	b.now += 10 * ms
	b.step(decision.Outcome{Subquery: parts[0], Server: 2, Status: decision.ConnectFailed},
		decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Deregistered}}})
	if _, ok := b.last[pending].(decision.Reject); !ok {
		t.Errorf("after its last server was deregistered: final answer %+v, want Reject", b.last[pending])
	}
}

// A query without partial answers is rejected on arrival if its subquery would wait past the latency target in the
// queue of every replica, even without missed deadlines so far: it would be late and delay all queries behind it. It is
// admitted if a replica has no queue, or if its class has partial answers.
func TestRejectWhereQueuesAreTooLong(t *testing.T) {
	for _, x := range []struct {
		class, first, second int // class of the query, and subqueries queued for the first and the second server
		rejected             bool
	}{{0, 200, 200, true}, {0, 200, 0, false}, {0, 2, 2, false}, {4, 200, 200, false}} {
		set := baseSettings()
		set.Classes = append(set.Classes, decision.Class{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, CompleteFraction: 1, PartialFraction: 0.5})
		b := newFixture(t, set, 0, 0)
		b.warmUp(60, 50*ms)
		for i, n := range []int{x.first, x.second} {
			s := b.sched.Servers[decision.ServerID(i+1)]
			s.Cap = capRule.Min
			b.fillCapacity(s)
			for range n {
				s.Enqueue(&cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0]}, QueueKey: tailguard.QueueKey{Seq: uint64(len(s.Queue)), Deadline: b.now}})
			}
		}
		q, _ := b.query(x.class, 4*time.Second, 0)
		if _, is := b.last[q].(decision.Reject); is != x.rejected {
			t.Errorf("class %d, %d and %d subqueries queued: rejected %v, want %v", x.class, x.first, x.second, is, x.rejected)
		}
	}
}
