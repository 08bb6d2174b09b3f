package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Nothing new is sent to a draining server, not even subqueries that were queued for it.
func TestDrain(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	for range 12 {
		b.query(0, 4*time.Second, 0, 1, 2)
	}
	n := len(b.sends)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Draining, Nominal: 1}}})
	for i := 0; i < n; i++ {
		b.now += 20 * ms
		b.outcome(b.sends[i], decision.OK)
	}
	b.run(100 * ms)
	for _, s := range b.sends[n:] {
		if s.Server == 2 {
			t.Fatal("sent to a draining server")
		}
	}
	if len(b.sends) == n {
		t.Fatal("nothing was sent after the drain")
	}
}

// A server that fails fast does not count as a fast one: it loses most of its turns, and queries are answered by
// others.
func TestFastErrors(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	lost := 0
	for range 100 {
		k := len(b.sends)
		q, _ := b.query(0, 4*time.Second, 0)
		for range 3 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends[k:]...) {
				if s.Server == 1 {
					b.outcome(s, decision.Error)
				} else if b.now-s.at >= 40*ms {
					b.outcome(s, decision.OK)
				}
			}
		}
		if _, ok := b.last[q].(decision.Answer); !ok {
			lost++
		}
	}
	n := 0
	for _, s := range b.sends {
		if s.Server == 1 {
			n++
		}
	}
	if n > 20 || lost > 5 {
		t.Errorf("%d of %d attempts sent to the failing server, %d queries without an answer", n, len(b.sends), lost)
	}
}

// A server that rejected a subquery would reject the next one too. If it is the only replica, a subquery waits for
// about the median latency before each retry, and does not use up its attempts at once.
func TestBackoffFromRejectingServer(t *testing.T) {
	b := newFixture(t, manyInstancesSettings(), 0)
	b.warmUp(60, 30*ms)
	b.query(0, time.Second, 0)
	first := b.sends[0]
	for b.now < first.at+15*ms {
		for _, s := range b.sends[max(len(b.sends)-1, 0):] {
			b.outcome(s, decision.Rejected)
		}
		b.now += ms
		b.step(decision.Wake{})
	}
	if len(b.sends) > 1 {
		t.Errorf("sent %d times within half of the median latency, want once", len(b.sends))
	}
	if b.runWakes(first.at + 100*ms); len(b.sends) < 2 {
		t.Error("not retried within three times the median latency")
	}
}

// If many instances, each of which sends to a server rarely, retry there at once after a rejection, they keep the
// server full, with a longer queue than clients wait for. So each avoids the server until about the time of its next
// regular use, for other queries too.
func TestLongBackoffWithManyInstances(t *testing.T) {
	b := newFixture(t, manyInstancesSettings(), 0)
	b.warmUp(10, 30*ms)
	b.run(10 * time.Second)
	b.query(0, time.Second, 0)
	b.run(2 * ms)
	n := len(b.sends)
	b.outcome(b.sends[n-1], decision.Rejected)
	b.query(0, time.Second, 0)
	b.run(900 * ms)
	if len(b.sends) != n {
		t.Errorf("sent %d more subqueries within 0.9 s to a server that is used every few seconds, want none", len(b.sends)-n)
	}
	b.run(1200 * ms)
	b.query(0, time.Second, 0)
	if b.run(5 * ms); len(b.sends) == n {
		t.Error("nothing sent to the server 2 s after the rejection")
	}
}

// Two of three servers answer one subquery in five and fail fast on the others. They are still used while the healthy
// one has a queue, as it cannot carry the whole load.
func TestServersWithFastErrorsAreUsed(t *testing.T) {
	set := baseSettings()
	set.MaxAttempts, set.Hedging, set.Instances = 4, false, 1
	b := newFixture(t, set, 0, 0, 0)
	b.warmUp(30, 60*ms)
	var due []sent // attempts to be answered; at is the time of the answer
	n, submittedAt, late, seen := map[decision.ServerID]int{}, map[decision.QueryID]time.Duration{}, 0, 0
	busy := b.now // when the healthy server has finished its work
	for i := range 3000 {
		if i%3 == 0 {
			q, _ := b.query(0, 4*time.Second, 0)
			submittedAt[q] = b.now
		}
		b.run(10 * ms)
		for ; seen < len(b.sends); seen++ {
			s := b.sends[seen]
			if n[s.Server]++; s.Server < 3 && n[s.Server]%5 > 0 {
				b.outcome(s, decision.Error)
				continue
			}
			if s.at = b.now + 60*ms; s.Server == 3 {
				busy = max(busy, b.now) + 48*ms // overloads it if it gets two of three subqueries
				s.at = busy
			}
			due = append(due, s)
		}
		due = slices.DeleteFunc(due, func(s sent) bool {
			if s.at > b.now {
				return false
			}
			b.outcome(s, decision.OK)
			if b.now-submittedAt[b.owner[s.Subquery]] > 600*ms {
				late++
			}
			return true
		})
	}
	if late > 20 {
		t.Errorf("%d of 1000 queries took over 600 ms, want at most 20; attempts by server %v", late, n)
	}
}

// While one server fails, one is in slow start and one drains, nothing is sent to the last. Once all are healthy again,
// queries are answered.
func TestFailingSlowStartAndDrainAtOnce(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(40, 50*ms)
	play := func(n int, failing bool) (ok int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0)
			for range 4 {
				b.run(20 * ms)
				for _, s := range append([]sent(nil), b.sends[k:]...) {
					if failing && s.Server == 1 {
						b.outcome(s, decision.Error)
					} else if b.now-s.at >= 40*ms {
						b.outcome(s, decision.OK)
					}
				}
			}
			if _, is := b.last[q].(decision.Answer); is {
				ok++
			}
		}
		return ok
	}
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Ready, Started: b.now},
		{ID: 3, Cell: 2, State: decision.Draining}}})
	play(40, true)
	for _, s := range b.sends {
		if s.Server == 3 {
			t.Fatal("sent to a draining server")
		}
	}
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready}}})
	b.run(15 * time.Second)
	if ok := play(40, false); ok < 38 {
		t.Errorf("%d of 40 queries answered after the faults, want 38 or more", ok)
	}
}

// If every replica of a shard is unhealthy, they are still used, and queries are answered once the replicas have
// recovered.
func TestAllReplicasUnhealthy(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	play := func(n int, st decision.Status) (ok int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0)
			for range 4 {
				b.run(20 * ms)
				for _, s := range append([]sent(nil), b.sends[k:]...) {
					b.outcome(s, st)
				}
			}
			if _, is := b.last[q].(decision.Answer); is {
				ok++
			}
		}
		return ok
	}
	play(20, decision.Error)
	if len(b.sends) < 20 {
		t.Errorf("%d attempts for 20 queries, want 20 or more", len(b.sends))
	}
	b.run(5 * time.Second)
	if ok := play(30, decision.OK); ok < 28 {
		t.Errorf("%d of 30 queries answered after the errors, want 28 or more", ok)
	}
}

// A single slow answer shows that a rarely used server is slow: its old latency counts less than the new one.
func TestSlowServerUsedRarely(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	b.run(20 * time.Second)
	s := b.sched.Servers[1]
	b.sched.recordLatency(s, 0.5, true) // ten times the median
	b.sched.surveyServers()
	if tr := b.sched.weight(s); tr >= healthyWeight {
		t.Errorf("weight %v after an answer of ten times the median latency, want unhealthy", tr)
	}
}

// Instances that start together send their first subqueries to different servers.
func TestInstancesBeginAtDifferentServers(t *testing.T) {
	first := map[decision.ServerID]int{}
	for seed := range uint64(30) {
		sched, _ := New(baseSettings(), seed)
		var list []decision.ServerInfo
		for i := range 3 {
			list = append(list, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready})
		}
		for _, a := range sched.Step(time.Second, []decision.Event{decision.ServerList{Kind: decision.Cached, Servers: list},
			decision.QueryArrived{ID: 1, Remaining: 4 * time.Second, Subqueries: 1}, decision.SubqueryArrived{ID: 2, Query: 1, Weight: 1}}) {
			if s, ok := a.(decision.Send); ok {
				first[s.Server]++
			}
		}
	}
	if len(first) < 3 {
		t.Errorf("first subqueries of 30 instances by server %v, want all three servers", first)
	}
}

// If each server is used rarely, a single overdue subquery makes a server unhealthy. It stays so for the time of
// several further subqueries, in which no further attempts go there.
func TestOverdueCancelledIsRemembered(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2, 0, 1, 2)
	for range 100 { // about one answer from each server in three seconds
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(500 * ms)
		b.outcome(b.sends[k], decision.OK)
	}
	s := b.sched.Servers[1]
	p := &cluster.Subquery{SubqueryArrived: decision.SubqueryArrived{ID: 9}, Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0], Ended: true}, QueueIndex: -1}
	b.sched.Subqueries[9] = p
	b.sched.AddAttempt(p, s, false)
	b.run(3 * time.Second)
	b.step(decision.Outcome{Subquery: 9, Server: 1, Status: decision.Cancelled})
	b.run(6 * time.Second)
	if got := b.sched.weight(s); got >= healthyWeight {
		t.Errorf("weight %.2f in the time of two subqueries after the overdue one, want still unhealthy", got)
	}
	if again := (&cluster.Subquery{Attempts: p.Attempts}); b.sched.tier(b.sched.Servers[1], again) == 0 {
		t.Error("an unhealthy server is of the best tier for a further attempt")
	}
	b.run(time.Minute)
	if b.sched.weight(s) < healthyWeight {
		t.Error("the server is still unhealthy after a minute")
	}
}

// An unhealthy server does not get the subqueries for which others have no capacity. If servers are used rarely, it is
// tried only some time after its last failure. If they are used often, it is tried at once, to notice its recovery.
func TestTrialsOfUnhealthyServers(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(60, 50*ms)
	s, p := b.sched.Servers[1], &cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0]}, QueueIndex: -1}
	tier := func(answers float64) int { // answers per second and server
		b.sched.ServerRate = answers
		s.FailureRate, s.FailureRateAt = 0.9, b.now
		return b.sched.tier(s, p)
	}
	b.sched.recordOutcome(s, false, 1)
	if tier(2) != 0 {
		t.Error("not tried, though it is used twice per second")
	}
	if tier(0.2) == 0 {
		t.Error("tried at once after a failure, though it is used once in five seconds")
	}
	b.run(20 * time.Second)
	if tier(0.2) != 0 {
		t.Error("not tried 20 s after the failure")
	}
}

// A server that pauses for 280 ms and then answers everything counts neither as crashed nor as restarted, and is
// healthy again soon.
func TestPauseIsNoCrash(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.runSteadyLoad(3 * time.Second)
	paused, k := b.sched.Servers[1], len(b.sends)
	b.runSteadyLoad(280*ms, paused.ID)
	for _, s := range append([]sent(nil), b.sends[k:]...) {
		if s.Server == 1 {
			b.outcome(s, decision.OK) // ignored for attempts that were cancelled
		}
	}
	if paused.CrashedAt != 0 || paused.SlowStartFrom != 0 {
		t.Errorf("counts as crashed at %v and restarted at %v", paused.CrashedAt, paused.SlowStartFrom)
	}
	b.runSteadyLoad(2 * time.Second)
	if tr := b.sched.weight(paused); tr < healthyWeight {
		t.Errorf("weight %v two seconds after a pause", tr)
	}
}

// If no replica has capacity, a subquery goes to the one with the shortest expected latency, even if it is another's
// turn.
func TestShortestQueue(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 0)
	b.warmUp(60, 50*ms)
	quick, slow := b.sched.Servers[1], b.sched.Servers[2]
	quick.Cap, slow.Cap, slow.LastTurn = 8, 2, 0
	quick.LastTurn = b.sched.Turn
	b.fillCapacity(quick)
	b.fillCapacity(slow)
	for range 3 {
		slow.Enqueue(&cluster.Subquery{Parent: &cluster.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(slow.Queue))}})
		quick.Enqueue(&cluster.Subquery{Parent: &cluster.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(quick.Queue))}})
	}
	if p := (&cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0]}}); b.sched.pickReplica(p) != quick {
		t.Errorf("picked the server with an expected latency of %.2f s, want the one with %.2f s", b.sched.expectedLatency(slow), b.sched.expectedLatency(quick))
	}
}

// The queue for a server counts in its expected latency: a server that answers some subqueries and fails fast on others
// is used before a healthy one with a long queue.
func TestQueueCountsInExpectedLatency(t *testing.T) {
	set := baseSettings()
	set.MaxAttempts = 4
	b := newFixture(t, set, 0, 0)
	b.warmUp(60, 50*ms)
	sched, healthy, failing := b.sched, b.sched.Servers[1], b.sched.Servers[2]
	// A last failure in the future means that no trial is due.
	failing.ErrorRate, failing.ErrorLatency, failing.FailureRate, failing.FailureRateAt, failing.FailedAt = 0.8, 0.002, 0.9, b.now, b.now+time.Minute
	p := &cluster.Subquery{Parent: &cluster.Query{Spec: &sched.Settings.Classes[0]}}
	if sched.pickReplica(p) != healthy {
		t.Error("picked the failing server while the healthy one has no queue")
	}
	for len(healthy.Queue) < 40 {
		healthy.Enqueue(&cluster.Subquery{QueueKey: tailguard.QueueKey{Seq: uint64(len(healthy.Queue))}})
	}
	if sched.pickReplica(p) != failing {
		t.Errorf("picked the healthy server with an expected latency of %.2f s", sched.expectedLatency(healthy))
	}
}

// Each of many instances uses one replica of a shard, and together they use all replicas. If that replica is
// deregistered, an instance uses another one. With few instances the subset is larger, as far as the connections of the
// host allow.
func TestSubset(t *testing.T) {
	kept := func(b *fixture) (list []*cluster.Server) {
		for _, s := range b.sched.SortedServers {
			if s.Listed && !s.InReserve {
				list = append(list, s)
			}
		}
		return list
	}
	set := baseSettings()
	set.Width, set.Instances = 1, 400
	first := map[decision.ServerID]bool{}
	for seed := range uint64(20) {
		b := newFixture(t, set, 0, 0, 0, 0)
		b.sched, _ = New(set, seed)
		b.step(decision.ServerList{Kind: decision.Cached, Servers: []decision.ServerInfo{{ID: 1, State: decision.Ready}, {ID: 2, State: decision.Ready}, {ID: 3, State: decision.Ready}, {ID: 4, State: decision.Ready}}})
		b.warmUp(60, 50*ms)
		own := kept(b)
		if len(own) != 1 {
			t.Fatalf("subset of %d servers, want 1", len(own))
		}
		first[own[0].ID] = true
		for _, s := range b.sched.SortedServers {
			if s.InReserve == (s.Latency > 0) {
				t.Errorf("server %d: in reserve %v, was sent a subquery %v, want one of the two", s.ID, s.InReserve, s.Latency > 0)
			}
		}
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: own[0].ID, State: decision.Deregistered}}})
		if next := kept(b); len(next) != 1 || next[0] == own[0] {
			t.Errorf("subset of %d servers after its server was deregistered, want another one", len(next))
		}
	}
	if len(first) != 4 {
		t.Errorf("20 instances use %d of 4 servers, want all", len(first))
	}
	set.Instances = 36 // with subsets of one, some server would have twice the instances of another
	if n := len(kept(newFixture(t, set, 0, 0, 0, 0))); n < 3 {
		t.Errorf("subset of %d of 4 servers with 36 instances, want 3 or more", n)
	}
	for connections, want := range map[int]int{0: 4, 1: 1, 2: 2, 9: 4} {
		set.Instances, set.Connections = 3, connections
		if n := len(kept(newFixture(t, set, 0, 0, 0, 0))); n != want {
			t.Errorf("%d connections: subset of %d of 4 servers, want %d", connections, n, want)
		}
	}
}

// The first server that answers does not count as slow: before the first survey there is no median to compare it with.
func TestFirstAnswerIsNotSlow(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.query(0, 4*time.Second, 0)
	b.now += 50 * ms
	b.outcome(b.sends[0], decision.OK)
	if s := b.sched.Servers[b.sends[0].Server]; b.sched.ServerMedian != 0 || b.sched.weight(s) < 1 {
		t.Errorf("weight %v after the first answer, with a median of %v", b.sched.weight(s), b.sched.ServerMedian)
	}
}
