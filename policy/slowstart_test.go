package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// A server in slow start is sent no more than this instance's share of its overload limit: here at most half as many
// subqueries as one past its slow start.
func TestSlowStartRate(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(60, 50*ms)
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
		t.Errorf("%d subqueries sent to the server in slow start and %d to one past it", n[3], n[1])
	}
}

// An instance whose share of the load is less than one subquery per overload span does not send one in each span to a
// server in slow start, as all such instances together would overload it. It waits for as long as its share takes.
func TestSlowStartShareOfSmallInstances(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.run(time.Minute)
	s := b.sched.Servers[2]
	s.Started = b.now
	sendable := func(after time.Duration) bool {
		b.now = s.Started + after
		b.step(decision.Wake{})
		b.sched.ServerRate = 0.5 / 3 // subqueries per second that a server past its slow start answers this instance
		return b.sched.sendable(s)
	}
	if sendable(time.Second) || sendable(2*time.Second) {
		t.Error("server in slow start is sendable, though this instance's share is one subquery in ten seconds or more")
	}
	if !sendable(9 * time.Second) {
		t.Error("server near the end of slow start is not sendable, though this instance's next subquery is due")
	}
}

// The rate to a server in slow start depends on what the other servers answer, not on what they are sent. Otherwise, while
// these reject nearly everything, the burst of retries would go to the server in slow start.
func TestSlowStartInRejectionStorm(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 300*ms) // one subquery per second and server
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready, Nominal: 1, Started: b.now}}})
	n, cold := 0, b.sched.Servers[3]
	for range 300 { // 3 s, in which each other server is sent a hundred subqueries per second and answers none
		for _, s := range []*cluster.Server{b.sched.Servers[1], b.sched.Servers[2]} {
			p := &cluster.Subquery{}
			b.sched.AddAttempt(p, s, false)
			s.RemoveAttempt(p.Attempts[0])
		}
		b.run(10 * ms)
		if b.sched.sendable(cold) {
			b.sched.AddAttempt(&cluster.Subquery{}, cold, false)
			n++
		}
	}
	if n > 3 {
		t.Errorf("%d subqueries sent to the server in slow start in 3 s, in which one past it answers 3", n)
	}
}

// A young instance measures the rate of servers past their slow start since its own start, and a successor continues with
// the rate that its predecessor measured. Otherwise a server in slow start would be sent hardly anything during the first
// seconds, and one that warms up only by serving would never warm up.
func TestSlowStartRateOfYoungInstance(t *testing.T) {
	set := baseSettings()
	set.Width, set.Rules.OverloadMultiple, set.Rules.OverloadSpan = 1, 1, time.Second
	cold := func(b *fixture) int { // subqueries sent within a second to a server in slow start, beside one that is past it
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 0, State: decision.Ready, Nominal: 1, Started: b.now}}})
		k := len(b.sends)
		b.runSteadyLoad(time.Second)
		n := 0
		for _, s := range b.sends[k:] {
			if s.Server == 2 {
				n++
			}
		}
		return n
	}
	old, young := newFixture(t, set, 0, 0), newFixture(t, set, 0, 0)
	old.runSteadyLoad(15 * time.Second)
	young.runSteadyLoad(set.Rules.OverloadSpan)
	want, got := cold(old), cold(young)
	if want < 5 || got < want*2/3 {
		t.Errorf("a server in slow start gets %d subqueries per second from a young instance and %d from an old one", got, want)
	}
	successor := newFixture(t, set, 0, 0)
	successor.now = old.now
	successor.step(decision.Learned{Records: old.sched.Records(), PerSecond: old.sched.PerSecond()})
	if got := cold(successor); got < want*2/3 {
		t.Errorf("a server in slow start gets %d subqueries per second from a successor and %d from its predecessor", got, want)
	}
}

// A subquery is queued for a server in slow start if the expected latency is shorter there than at the other replica.
// It is sent as soon as the rate of slow start allows it, and not before. Slow start does not make a server unhealthy.
func TestQueuedForServerInSlowStart(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 0)
	b.warmUp(60, 50*ms)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 0, State: decision.Ready, Nominal: 1, Started: b.now}}})
	b.run(2 * surveyInterval) // updates the rate of servers past their slow start
	sched, warm, cold := b.sched, b.sched.Servers[1], b.sched.Servers[2]
	b.fillCapacity(warm)
	if b.fillCapacity(cold); sched.tier(cold, &cluster.Subquery{Parent: &cluster.Query{Spec: &sched.Settings.Classes[0]}}) == 2 {
		t.Error("a server in slow start has the tier of unhealthy servers")
	}
	cold.InFlight = nil
	for len(warm.Queue) < 200 {
		warm.Enqueue(&cluster.Subquery{Parent: &cluster.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(warm.Queue))}})
	}
	cold.SentAt = b.now
	_, parts := b.query(0, 4*time.Second, 0)
	if p := sched.Subqueries[parts[0]]; p.Server != cold {
		t.Fatalf("queued for server %d with an expected latency of %.2f s, want the server in slow start with %.2f s", p.Server.ID, sched.expectedLatency(warm), sched.expectedLatency(cold))
	}
	from := sched.sendableFrom(cold)
	for len(b.sends) == 0 && b.now < from+time.Second {
		b.run(10 * ms)
	}
	if len(b.sends) != 1 || b.sends[0].at < from || b.sends[0].at > from+20*ms {
		t.Errorf("sent %+v, want one attempt within 20 ms after %v", b.sends, from)
	}
}
