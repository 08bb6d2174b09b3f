package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Nothing new is sent to a suspect zone while it is health-checked. It takes a second until three checks have timed
// out, in which half of all subqueries would be sent to a zone that cannot be reached.
func TestSuspectZone(t *testing.T) {
	set := manyInstancesSettings()
	set.HealthChecks, set.Instances = true, 4 // no subset
	b := newFixture(t, set)
	var l []decision.ServerInfo
	for i := range 40 {
		l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: 0, State: decision.Ready, Zone: i % 2})
	}
	b.step(decision.ServerList{Kind: decision.FullList, Servers: l})
	b.warmUp(60, 30*ms)
	inZone1 := func(s sent) bool { return s.Server%2 == 0 } // the zone that has stopped answering
	for i, n := 0, 0; i < 40; i++ {
		if i == 25 {
			n = len(b.sends)
		}
		b.query(0, time.Second, 0)
		b.run(10 * ms)
		for _, s := range slices.Clone(b.sends) {
			if !inZone1(s) && b.now-s.at >= 30*ms && b.now-s.at < 40*ms {
				b.outcome(s, decision.OK)
			}
		}
		if i == 39 && (b.sched.Zones[1].Unreachable || slices.ContainsFunc(b.sends[n:], inZone1)) {
			t.Errorf("zone 1: unreachable %v, subqueries sent there after 250 ms %v, want neither", b.sched.Zones[1].Unreachable, slices.ContainsFunc(b.sends[n:], inZone1))
		}
	}
}

// If a zone stops answering and its health checks fail too, the zone is unreachable: its servers are skipped, and
// failures do not count against them, until a check succeeds. If health checks are answered, the servers are to blame
// and not the path.
func TestUnreachableZone(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		set := baseSettings()
		set.HealthChecks = true
		b := newFixture(t, set)
		var l []decision.ServerInfo
		for i := range 3 {
			l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready, Zone: min(i, 1)})
		}
		b.step(decision.ServerList{Kind: decision.FullList, Servers: l})
		b.warmUp(30, 50*ms)
		answerChecks := func(ok bool) {
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
				answerChecks(reachable)
			}
		}
		if unreachable := b.sched.Zones[1].Unreachable; unreachable == reachable {
			t.Errorf("health checks answered %v: zone unreachable %v", reachable, unreachable)
		}
		if reachable {
			continue
		}
		if rate := b.sched.Servers[2].FailureRate; rate > failingBelow {
			t.Errorf("failure rate %v of a server in the unreachable zone, want at most %v", rate, failingBelow)
		}
		b.step(decision.HealthChecked{Server: 2, OK: true})
		if b.sched.Zones[1].Unreachable {
			t.Error("zone still unreachable after a successful health check")
		}
	}
}

// If subqueries sent on connections that had been idle are lost while others are answered, idle connections have died
// without notice. They are closed before the next use, and the losses do not count against the servers.
func TestIdleConnectionsDead(t *testing.T) {
	set := baseSettings()
	set.Hedging = false
	b := newFixture(t, set, 0, 1, 2)
	b.warmUp(30, 50*ms)
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
			if closed[s.Server] { // sent on a new connection
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
		t.Errorf("%d of 60 queries answered, with %d CloseIdle actions, want 30 or more", answered, n)
	}
	for _, s := range b.sched.SortedServers {
		if s.FailureRate > failingAbove {
			t.Errorf("server %d has a failure rate of %.2f because of its connections", s.ID, s.FailureRate)
		}
	}
}

// Subqueries in the same call count as sent on the same idle connection: the first in flight does not make it busy for
// the others.
func TestSharedCallOnIdleConnection(t *testing.T) {
	set := baseSettings()
	set.CallCost, set.Batch = 40*ms, 8
	b := newFixture(t, set, 0, 1, 2)
	b.warmUp(20, 50*ms)
	b.run(time.Second)
	b.query(0, 4*time.Second, 0, 1, 2)
	for _, s := range b.sched.SortedServers {
		for _, a := range s.InFlight {
			if !a.OnIdleConn {
				t.Errorf("attempt %d of subquery %d counts as sent on a busy connection", a.Number, a.Subquery.ID)
			}
		}
	}
}
