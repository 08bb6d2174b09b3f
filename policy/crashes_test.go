package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A query that crashes each server that executes a subquery of it is tried once with all its subqueries, once alone,
// and then ends; a retry of it is rejected, while other queries of its class are served.
func TestPoison(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	kill := func(q decision.QueryID) {
		for range 20 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends...) {
				if b.owner[s.Subquery] == q {
					b.outcome(s, decision.Reset)
					b.sched.Servers[s.Server].CrashedAt = b.now // as when the next connection is refused
				}
			}
		}
	}
	q, _ := b.query(0, 4*time.Second, 0, 1, 2)
	kill(q)
	if n := len(b.sends); n != 4 {
		t.Errorf("%d attempts of a query that kills servers, want 3 and one alone", n)
	}
	if _, ok := b.last[q].(decision.Reject); !ok {
		t.Errorf("final answer %v, want Refuse", b.last[q])
	}
	b.sends = nil
	again, _ := b.query(0, 4*time.Second, 0, 1, 2)
	if _, ok := b.last[again].(decision.Reject); !ok || len(b.sends) > 0 {
		t.Error("the same query was not refused when it came again")
	}
	if other, _ := b.query(0, 4*time.Second, 1, 2); b.finals[other] > 0 || len(b.sends) == 0 {
		t.Error("another query of its class was not sent")
	}
}

// A query that meets two connections that break alone has crashed nothing: it is retried and answered.
func TestTwoLoneResetsAreNoPoison(t *testing.T) {
	set := base()
	set.MaxAttempts = 4
	b := newFixture(t, set, 0, 1, 2)
	b.warm(30, 50*ms)
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

// A query that lost a subquery to a crash but has another one answered is not the cause: the subquery is retried at
// once.
func TestBystanderOfCrash(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1)
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.outcome(b.sends[1], decision.Reset)
	b.run(10 * ms)
	if len(b.sends) != 3 {
		t.Fatalf("%d attempts, want the lost subquery sent again", len(b.sends))
	}
	b.outcome(b.sends[2], decision.OK)
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("final answer %v, want an answer", b.last[q])
	}
}

// Crashes in several zones, known from the server list alone, make a wide query send one subquery first.
func TestCrashAlarm(t *testing.T) {
	set := base()
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
		t.Errorf("%d subqueries sent once the first came back, want all", len(b.sends))
	}
}

// Connections that break alone, as where servers close them right behind an answer, are no crashes. One that breaks and
// whose server then cannot be reached is.
func TestLoneResetsAreNoCrashes(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	for i, s := range b.sched.Order {
		s.Zone = i % 2
	}
	b.sched.Reindex()
	end := func(st decision.Status) {
		for i := range 3 {
			k := len(b.sends)
			b.query(0, 4*time.Second, i)
			for n := range 3 { // each server in turn, as one that was tried is passed over
				b.run(20 * ms)
				if len(b.sends) > k+n && (st != decision.Reset || n == 0) {
					b.outcome(b.sends[k+n], st)
				}
			}
		}
		b.run(200 * ms)
	}
	end(decision.Reset)
	if b.sched.Alarm {
		t.Error("lone resets count as crashes")
	}
	end(decision.ConnectFailed)
	if !b.sched.Alarm {
		t.Error("servers that reset and then refuse do not count as crashes")
	}
}

// A query that lost its first subquery to a crash proves itself with a subquery of another shard, lest both replicas of
// one shard crash.
func TestProofAtAnotherShard(t *testing.T) {
	set := base()
	set.Width = 1
	b := newFixture(t, set, 0, 0, 1, 1, 2, 2)
	b.warm(40, 50*ms)
	b.sched.Alarm = true
	b.query(0, 4*time.Second, 0, 1, 2)
	if len(b.sends) != 1 {
		t.Fatalf("%d subqueries sent while servers crash, want one", len(b.sends))
	}
	b.outcome(b.sends[0], decision.Reset)
	b.run(20 * ms)
	if len(b.sends) != 2 || b.sends[1].Subquery == b.sends[0].Subquery {
		t.Errorf("after a crash %v, want one subquery of another shard", b.sends[1:])
	}
}
