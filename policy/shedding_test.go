package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Where queries must be rejected, those go first that need most subqueries for their value: rejecting a query of one
// subquery saves hardly any load, and loses two thirds of the value of one of 20.
func TestRejectByCostForValue(t *testing.T) {
	set := manyInstances()
	set.Cells, set.Width = 20, 1
	cells := make([]int, 40)
	var shards []int
	for i := range cells {
		cells[i] = i % 20
		if i < 20 {
			shards = append(shards, i)
		}
	}
	refused, b := [2]int{}, newFixture(t, set, cells...)
	for range 200 {
		b.sched.Shed, b.sched.ShedAt, b.sched.Wait, b.sched.WaitAt = 0.5, b.now, 0.35, b.now
		for class, at := range [][]int{shards, shards[:1]} {
			q, _ := b.query(class, time.Second, at...)
			if _, ok := b.last[q].(decision.Reject); ok {
				refused[class]++
			}
			b.step(decision.ClientDisconnected{Query: q})
		}
	}
	if refused[0] < 70 || refused[1] > 30 {
		t.Errorf("of 200 each, %d searches and %d bids refused", refused[0], refused[1])
	}
}

// An instance that restarts during overload still gives every query its one final answer.
func TestRestartInOverload(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
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
	if len(b.sched.Queries) != 0 || len(b.sched.Live) != 0 {
		t.Error("ended queries are still on the books")
	}
}

// Queues at the servers, filled by other instances, count as misses though nothing is queued here: queries that would
// wait past their deadline are rejected before any subquery is sent, and admitted again later.
func TestQueuesAtServersCountAsMisses(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	refused := func(n int, took time.Duration) (r int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2)
			b.run(took)
			for ; k < len(b.sends); k++ { // copies sent meanwhile too
				b.outcome(b.sends[k], decision.OK)
			}
			if _, is := b.last[q].(decision.Reject); is {
				r++
			}
		}
		return r
	}
	if refused(20, 1200*ms); b.sched.Shed == 0 && refused(5, 1200*ms) == 0 {
		t.Error("nothing rejected though every subquery waits past its deadline at the servers")
	}
	b.run(5 * time.Second)
	refused(20, 50*ms)
	if r := refused(20, 50*ms); r > 0 {
		t.Errorf("%d of 20 refused once the servers were quick again", r)
	}
}

// A client that would time out before such queries are answered is rejected at once, before any subquery is sent; one
// with a little more time is served, whatever its class usually has.
func TestRejectClientTooShortOfTime(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 200*ms)
	q, _ := b.query(0, 100*ms, 0, 1)
	if _, ok := b.last[q].(decision.Reject); !ok || len(b.sends) > 0 {
		t.Errorf("final answer %v and %d subqueries sent, want a rejection and none", b.last[q], len(b.sends))
	}
	if q, _ = b.query(0, 400*ms, 0, 1); b.finals[q] > 0 || len(b.sends) != 2 {
		t.Errorf("%d subqueries sent for a client with time enough, want 2", len(b.sends))
	}
}

// A client with a short time-out is no late retry: its query is not ended for that while load is shed.
func TestShortTimeOutWhileShedding(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(20, 50*ms)
	b.query(0, 4*time.Second, 0) // what the class usually has left
	b.sched.Shed = 1
	k := len(b.sends)
	q, _ := b.query(0, 2*time.Second, 0, 1) // as much less as a late repeat would have
	b.run(20 * ms)
	if b.finals[q] > 0 || len(b.sends) != k+2 {
		t.Errorf("%d subqueries sent and final answer %v, want two and none", len(b.sends)-k, b.last[q])
	}
}

// Where every replica of a shard is slow or fails, its subqueries count as misses though the others are fast.
func TestWaitAtShard(t *testing.T) {
	set := base()
	set.Width = 1
	b := newFixture(t, set, 0, 1, 2)
	b.warm(60, 50*ms)
	for range 20 {
		b.sched.recordLatency(b.sched.Servers[2], 2, false)
	}
	for range 10 {
		b.sched.recordOutcome(b.sched.Servers[3], false, 1)
	}
	for shard, want := range []bool{false, true, true} {
		p := &cluster.Subquery{SubqueryArrived: decision.SubqueryArrived{Shard: shard}, QueueKey: tailguard.QueueKey{Deadline: b.now + time.Second}}
		if got := b.sched.wouldMiss(p); got != want {
			t.Errorf("shard %d: a miss is %v, want %v", shard, got, want)
		}
	}
	b.sched.Shed = 1
	if q, _ := b.query(0, 4*time.Second, 0, 1); b.finals[q] != 1 {
		t.Error("taken while refusing, though its second shard is slow")
	}
	// One that can do without the slow shard is taken without it, and answered as soon as the rest is in
	// (hanbit-lots hand: operators took out two of a cell's three).
	b.sched.Settings.Classes[0].Floor = 0.5
	q, _ := b.query(0, 4*time.Second, 0, 1)
	if len(b.sends) != 1 || b.finals[q] > 0 {
		t.Fatalf("%d subqueries sent, %d final answers", len(b.sends), b.finals[q])
	}
	b.now += 50 * ms
	b.outcome(b.sends[0], decision.OK)
	if a, ok := b.last[q].(decision.Answer); !ok || a.Complete || !a.Final {
		t.Errorf("final answer %+v", b.last[q])
	}
}

// A query whose shards have no server in the list is answered at once, not queued until its client times out: on
// arrival, and when the last server goes while it is in progress.
func TestNoServerListed(t *testing.T) {
	set := base()
	set.Width = 1
	b := newFixture(t, set, 0, 1)
	lost, _ := b.query(0, 4*time.Second, 0, 2)
	if r, ok := b.last[lost].(decision.Reject); !ok || r.RetryAfter <= 0 {
		t.Errorf("without a server: %+v", b.last[lost])
	}
	held, parts := b.query(2, 4*time.Second, 1)
	b.now += 10 * ms
	b.step(decision.Outcome{Subquery: parts[0], Server: 2, Status: decision.ConnectFailed},
		decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Deregistered}}})
	if _, ok := b.last[held].(decision.Reject); !ok {
		t.Errorf("its last server gone: %+v", b.last[held])
	}
}

// A query that takes no partial answer is rejected at once where its subquery would wait past the latency target in
// each queue of its shard, however few misses there are: it would be late, and so would all behind it. Where a replica
// has no queue here, or the class takes a partial answer, it is admitted.
func TestRejectWhereItWouldWait(t *testing.T) {
	for _, x := range []struct {
		class, first, second int // subqueries queued for each server
		refused              bool
	}{{0, 200, 200, true}, {0, 200, 0, false}, {0, 2, 2, false}, {4, 200, 200, false}} {
		set := base()
		set.Classes = append(set.Classes, decision.Class{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, Need: 1, Floor: 0.5})
		b := newFixture(t, set, 0, 0)
		b.warm(60, 50*ms)
		for i, n := range []int{x.first, x.second} {
			s := b.sched.Servers[decision.ServerID(i+1)]
			s.Cap = capRule.Min
			b.full(s)
			for range n {
				s.Enqueue(&cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0]}, QueueKey: tailguard.QueueKey{Seq: uint64(len(s.Queue)), Deadline: b.now}})
			}
		}
		q, _ := b.query(x.class, 4*time.Second, 0)
		if _, is := b.last[q].(decision.Reject); is != x.refused {
			t.Errorf("class %d, %d and %d queued: final answer %+v", x.class, x.first, x.second, b.last[q])
		}
	}
}
