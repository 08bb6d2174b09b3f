package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A query that crashes each server that executes it is sent once with all its subqueries and once with a single one,
// and then ends. A retry of it is rejected, while other queries of its class are served.
func TestPoisonQuery(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	crash := func(q decision.QueryID) {
		for range 20 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends...) {
				if b.owner[s.Subquery] == q {
					b.outcome(s, decision.Reset)
					b.sched.Servers[s.Server].CrashedAt = b.now // as if the next connection had been refused
				}
			}
		}
	}
	q, _ := b.query(0, 4*time.Second, 0, 1, 2)
	crash(q)
	if n := len(b.sends); n != 4 {
		t.Errorf("%d attempts of a query that crashes servers, want 3 together and one alone", n)
	}
	if _, ok := b.last[q].(decision.Reject); !ok {
		t.Errorf("final answer %v, want Reject", b.last[q])
	}
	b.sends = nil
	again, _ := b.query(0, 4*time.Second, 0, 1, 2)
	if _, ok := b.last[again].(decision.Reject); !ok || len(b.sends) > 0 {
		t.Error("a retry of the query was not rejected")
	}
	if other, _ := b.query(0, 4*time.Second, 1, 2); b.finals[other] > 0 || len(b.sends) == 0 {
		t.Error("another query of its class was not sent")
	}
}

// A query that loses two connections to servers that have not crashed is not taken for poison: it is retried and
// answered.
func TestTwoResetsAreNoPoison(t *testing.T) {
	set := baseSettings()
	set.MaxAttempts = 4
	b := newFixture(t, set, 0, 1, 2)
	b.warmUp(30, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0)
	for i, st := range []decision.Status{decision.Reset, decision.Reset, decision.OK} {
		b.run(20 * ms)
		if len(b.sends) != i+1 {
			t.Fatalf("%d attempts, want %d; final answer %v", len(b.sends), i+1, b.last[q])
		}
		b.outcome(b.sends[i], st)
	}
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("final answer %v, want an answer", b.last[q])
	}
}

// A query that had a subquery answered cannot be the cause of a crash: its subquery at the crashed server is retried at
// once.
func TestAnsweredQueryIsNotBlamedForCrash(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1)
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.outcome(b.sends[1], decision.Reset)
	b.run(10 * ms)
	if len(b.sends) != 3 {
		t.Fatalf("%d attempts, want 3: the subquery at the crashed server sent again", len(b.sends))
	}
	b.outcome(b.sends[2], decision.OK)
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("final answer %v, want an answer", b.last[q])
	}
}

// After crashes in several zones, even if known from the server list only, a query with many subqueries sends a single
// one first.
func TestCrashAlarm(t *testing.T) {
	set := baseSettings()
	set.Cells, set.Width = 9, 3
	b := newFixture(t, set, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	for i := range 3 {
		b.now += 100 * ms
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: decision.ServerID(i + 1), Cell: i, Zone: i % 2, Nominal: 1}}})
	}
	b.run(200 * ms)
	b.query(0, 4*time.Second, 3, 4, 5)
	b.run(20 * ms)
	if len(b.sends) != 1 {
		t.Fatalf("%d subqueries sent during the crash alarm, want one first", len(b.sends))
	}
	b.outcome(b.sends[0], decision.OK)
	b.run(20 * ms)
	if len(b.sends) != 3 {
		t.Errorf("%d subqueries sent after the first was answered, want all 3", len(b.sends))
	}
}

// A reset connection alone is no crash, as servers may close connections right after an answer. It is one if the next
// connection to the server fails.
func TestResetsAloneAreNoCrashes(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	for i, s := range b.sched.SortedServers {
		s.Zone = i % 2
	}
	b.sched.Reindex()
	end := func(st decision.Status) {
		for i := range 3 {
			k := len(b.sends)
			b.query(0, 4*time.Second, i)
			for n := range 3 { // each server in turn, as servers that were tried are skipped
				b.run(20 * ms)
				if len(b.sends) > k+n && (st != decision.Reset || n == 0) {
					b.outcome(b.sends[k+n], st)
				}
			}
		}
		b.run(200 * ms)
	}
	end(decision.Reset)
	if b.sched.CrashAlarm {
		t.Error("resets alone raise the crash alarm")
	}
	end(decision.ConnectFailed)
	if !b.sched.CrashAlarm {
		t.Error("resets followed by failed connections do not raise the crash alarm")
	}
}

// During the crash alarm, a query whose first subquery met a crash continues with a subquery of another shard, so that
// it cannot crash all replicas of one shard.
func TestProofAtAnotherShard(t *testing.T) {
	set := baseSettings()
	set.Width = 1
	b := newFixture(t, set, 0, 0, 1, 1, 2, 2)
	b.warmUp(40, 50*ms)
	b.sched.CrashAlarm = true
	b.query(0, 4*time.Second, 0, 1, 2)
	if len(b.sends) != 1 {
		t.Fatalf("%d subqueries sent during the crash alarm, want one", len(b.sends))
	}
	b.outcome(b.sends[0], decision.Reset)
	b.run(20 * ms)
	if len(b.sends) != 2 || b.sends[1].Subquery == b.sends[0].Subquery {
		t.Errorf("sent %v after a crash, want one subquery of another shard", b.sends[1:])
	}
}
