package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// A server in slow start is sent no more than this instance's share of the overload limit.
func TestSlowStartRate(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(60, 50*ms)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready, Nominal: 1, Started: b.now}}})
	for range 60 {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(50 * ms)
		for _, s := range append([]sent(nil), b.sends[k:]...) {
			b.outcome(s, decision.OK)
		}
	}
	n := map[decision.ServerID]int{}
	for _, s := range b.sends {
		n[s.Server]++
	}
	if n[3] == 0 || n[3]*2 > n[1] {
		t.Errorf("server in slow start was sent %d, a warm one %d", n[3], n[1])
	}
}

// A small instance among many does not send a server in slow start a subquery in each overload span: the sum would
// overload it. It waits for as long as its own share takes.
func TestSlowStartShareOfSmallInstances(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.run(time.Minute)
	s := b.sched.Servers[2]
	s.Started = b.now
	can := func(after time.Duration) bool {
		b.now = s.Started + after
		b.step(decision.Wake{})
		b.sched.ServerRate = 0.5 / 3 // subqueries per second that a warm server answers us
		return b.sched.sendable(s)
	}
	if can(time.Second) || can(2*time.Second) {
		t.Error("a subquery to a server that is in slow start, though our share is one in ten seconds and more")
	}
	if !can(9 * time.Second) {
		t.Error("nothing to a server almost warm, though our share is due")
	}
}

// What a server in slow start may be sent follows what servers answer, not what they are sent: while the others reject
// nearly everything, the storm of rejected subqueries must not go to it.
func TestSlowStartInRejectionStorm(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 300*ms) // one subquery per second and server
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready, Nominal: 1, Started: b.now}}})
	n, cold := 0, b.sched.Servers[3]
	for range 300 { // 3 s, in which the warm ones are sent a hundred subqueries per second each, and answer none
		for _, s := range []*cluster.Server{b.sched.Servers[1], b.sched.Servers[2]} {
			p := &cluster.Subquery{}
			b.sched.Launch(p, s, false)
			s.RemoveAttempt(p.Attempts[0])
		}
		b.run(10 * ms)
		if b.sched.sendable(cold) {
			b.sched.Launch(&cluster.Subquery{}, cold, false)
			n++
		}
	}
	if n > 3 {
		t.Errorf("a server in slow start was sent %d subqueries in 3 s, where a warm one answers 3", n)
	}
}

// The rate of warm servers is measured over the lifetime of an instance, and a successor continues from what its
// predecessor measured: else a server in slow start gets next to nothing for the first seconds, and one that warms up
// by its work never does.
func TestSlowStartRateOfYoungInstance(t *testing.T) {
	set := base()
	set.Width, set.Rules.OverloadMultiple, set.Rules.OverloadSpan = 1, 1, time.Second
	cold := func(b *fixture) int { // subqueries that a server in slow start gets within a second, beside a warm one
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 0, State: decision.Ready, Nominal: 1, Started: b.now}}})
		k := len(b.sends)
		b.steady(time.Second)
		n := 0
		for _, s := range b.sends[k:] {
			if s.Server == 2 {
				n++
			}
		}
		return n
	}
	old, young := newFixture(t, set, 0, 0), newFixture(t, set, 0, 0)
	old.steady(15 * time.Second)
	young.steady(set.Rules.OverloadSpan)
	want, got := cold(old), cold(young)
	if want < 5 || got < want*2/3 {
		t.Errorf("a server in slow start gets %d subqueries per second of a young instance, %d of an old one", got, want)
	}
	next := newFixture(t, set, 0, 0)
	next.now = old.now
	next.step(decision.Learned{Records: old.sched.Records(), PerSecond: old.sched.PerSecond()})
	if got := cold(next); got < want*2/3 {
		t.Errorf("a server in slow start gets %d subqueries per second of a successor, %d of its predecessor", got, want)
	}
}

// A subquery may wait for the next turn of a server in slow start while the other replica's queue is longer; it leaves
// when the rate allows it and not before. Slow start makes no server unhealthy.
func TestWaitsForSlowStart(t *testing.T) {
	b := newFixture(t, base(), 0, 0)
	b.warm(60, 50*ms)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 0, State: decision.Ready, Nominal: 1, Started: b.now}}})
	b.run(2 * surveyGap) // what warm ones carry is told anew
	sched, still, cold := b.sched, b.sched.Servers[1], b.sched.Servers[2]
	b.full(still)
	if b.full(cold); sched.tier(cold, &cluster.Subquery{Parent: &cluster.Query{Spec: &sched.Settings.Classes[0]}}) == 2 {
		t.Error("a server is suspect for being cold")
	}
	cold.InFlight = nil
	for len(still.Queue) < 200 {
		still.Enqueue(&cluster.Subquery{Parent: &cluster.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(still.Queue))}})
	}
	cold.SentAt = b.now
	_, parts := b.query(0, 4*time.Second, 0)
	if p := sched.Subqueries[parts[0]]; p.Server != cold {
		t.Fatalf("queued for server %d, where it takes %.2f s, not %.2f s", p.Server.ID, sched.expected(still), sched.expected(cold))
	}
	from := sched.sendableFrom(cold)
	for len(b.sends) == 0 && b.now < from+time.Second {
		b.run(10 * ms)
	}
	if len(b.sends) != 1 || b.sends[0].at < from || b.sends[0].at > from+20*ms {
		t.Errorf("sent %+v, may leave from %v", b.sends, from)
	}
}
