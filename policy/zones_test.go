package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A suspect zone gets nothing new while it is health-checked: three checks take a second to be lost, in which half of
// all subqueries would be sent to a zone that has vanished.
func TestSuspectZone(t *testing.T) {
	set := manyInstances()
	set.HealthChecks, set.Instances = true, 4 // no subset
	b := newFixture(t, set)
	var l []decision.ServerInfo
	for i := range 40 {
		l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: 0, State: decision.Ready, Zone: i % 2})
	}
	b.step(decision.ServerList{Kind: decision.FullList, Servers: l})
	b.warm(60, 30*ms)
	there := func(s sent) bool { return s.Server%2 == 0 } // zone 1, from which nothing comes any more
	for i, n := 0, 0; i < 40; i++ {
		if i == 25 {
			n = len(b.sends)
		}
		b.query(0, time.Second, 0)
		b.run(10 * ms)
		for _, s := range slices.Clone(b.sends) {
			if !there(s) && b.now-s.at >= 30*ms && b.now-s.at < 40*ms {
				b.outcome(s, decision.OK)
			}
		}
		if i == 39 && (b.sched.Zones[1].Unreachable || slices.ContainsFunc(b.sends[n:], there)) {
			t.Errorf("far %v, and subqueries still go there after 250 ms", b.sched.Zones[1].Unreachable)
		}
	}
}

// The path to a zone turns slow and loses health checks: its servers are skipped without blame until a check gets
// through. The same silence with health checks answered is the servers' own.
func TestUnreachableZone(t *testing.T) {
	for _, through := range []bool{false, true} {
		set := base()
		set.HealthChecks = true
		b := newFixture(t, set)
		var l []decision.ServerInfo
		for i := range 3 {
			l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready, Zone: min(i, 1)})
		}
		b.step(decision.ServerList{Kind: decision.FullList, Servers: l})
		b.warm(30, 50*ms)
		probe := func(ok bool) {
			for _, a := range b.actions {
				if p, is := a.(decision.HealthCheck); is {
					b.step(decision.HealthChecked{Server: p.Server, OK: ok})
				}
			}
		}
		for i := range 30 {
			for range max(1, 12-i*12) {
				b.query(0, 4*time.Second, 0)
			}
			for range 4 {
				b.run(10 * ms)
				for _, s := range append([]sent(nil), b.sends...) {
					if s.Server == 1 && b.now-s.at >= 40*ms {
						b.outcome(s, decision.OK)
					}
				}
				b.run(10 * ms)
				probe(through)
			}
		}
		if far := b.sched.Zones[1].Unreachable; far == through {
			t.Errorf("health checks through %v: far is %v", through, far)
		}
		if through {
			continue
		}
		if bad := b.sched.Servers[2].FailureRate; bad > failingBelow {
			t.Errorf("a server behind the slow way is blamed: %v", bad)
		}
		b.step(decision.HealthChecked{Server: 2, OK: true})
		if b.sched.Zones[1].Unreachable {
			t.Error("still far after a health check got through")
		}
	}
}

// Where subqueries sent on connections that had been idle are lost and the others are not, the connections have died
// unnoticed: they are closed before the next use, and no server is blamed.
func TestIdleConnectionsDead(t *testing.T) {
	set := base()
	set.Hedging = false
	b := newFixture(t, set, 0, 1, 2)
	b.warm(30, 50*ms)
	closed := map[decision.ServerID]bool{}
	n, answered := 0, 0
	for range 60 {
		k := len(b.sends)
		q, _ := b.query(0, time.Second, 0, 1, 2)
		for _, a := range b.actions {
			if c, is := a.(decision.CloseIdle); is {
				closed[c.Server] = true
				n++
			}
		}
		b.run(100 * ms)
		for _, s := range b.sends[k:] {
			if closed[s.Server] { // opened anew
				b.outcome(s, decision.OK)
			}
		}
		if _, is := b.last[q].(decision.Answer); is {
			answered++
		}
		b.run(time.Second)
		for ; k < len(b.sends); k++ {
			b.outcome(b.sends[k], decision.Cancelled)
		}
		clear(closed)
		b.run(500 * ms)
	}
	if answered < 30 {
		t.Errorf("%d of 60 queries answered with %d connections closed, want most once it is known", answered, n)
	}
	for _, s := range b.sched.Order {
		if s.FailureRate > failingAbove {
			t.Errorf("server %d is blamed for its connections: %.2f", s.ID, s.FailureRate)
		}
	}
}

// Subqueries that share a call share its connection: the second is not on a busy one because the first is in flight.
func TestSharedCallOnIdleConnection(t *testing.T) {
	set := base()
	set.CallCost, set.Batch = 40*ms, 8
	b := newFixture(t, set, 0, 1, 2)
	b.warm(20, 50*ms)
	b.run(time.Second)
	b.query(0, 4*time.Second, 0, 1, 2)
	for _, s := range b.sched.Order {
		for _, a := range s.InFlight {
			if !a.Idle {
				t.Errorf("attempt %d of subquery %d counts as sent on a busy connection", a.Number, a.Subquery.ID)
			}
		}
	}
}
