package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// A server drains while subqueries are queued for it: nothing new is sent there.
func TestDrain(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
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

// Fast errors must not make a server look fast: it loses its turns and the queries go elsewhere.
func TestFastErrors(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
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
		t.Errorf("failing server was sent %d of %d, %d queries without an answer", n, len(b.sends), lost)
	}
}

// A server that rejected a subquery rejects the next one too: the subqueries of its only replica wait for about a
// latency, in place of spending all their attempts on it at once.
func TestBackoffFromRejectingServer(t *testing.T) {
	b := newFixture(t, manyInstances(), 0)
	b.warm(60, 30*ms)
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
		t.Errorf("sent %d times in half the time of an answer", len(b.sends))
	}
	if b.wakes(first.at + 100*ms); len(b.sends) < 2 {
		t.Error("not sent again in three answers' time")
	}
}

// Many instances that each send to a server seldom keep it full if each comes back at once: its queue then holds more
// than clients wait for. A server that rejected a subquery is avoided until it would have been used again, by the next
// query too.
func TestLongBackoffWithManyInstances(t *testing.T) {
	b := newFixture(t, manyInstances(), 0)
	b.warm(10, 30*ms)
	b.run(10 * time.Second)
	b.query(0, time.Second, 0)
	b.run(2 * ms)
	n := len(b.sends)
	b.outcome(b.sends[n-1], decision.Rejected)
	b.query(0, time.Second, 0)
	b.run(900 * ms)
	if len(b.sends) != n {
		t.Errorf("sent %d times more within 0.9 s to a server met every few seconds", len(b.sends)-n)
	}
	b.run(1200 * ms)
	b.query(0, time.Second, 0)
	if b.run(5 * ms); len(b.sends) == n {
		t.Error("not sent again 2 s after it was full")
	}
}

// Two servers of three that answer one subquery in five and fail fast on the rest are still used while the healthy one
// has a queue: it need not answer what they can.
func TestFastErrorsAreCheap(t *testing.T) {
	set := base()
	set.MaxAttempts, set.Hedging, set.Instances = 4, false, 1
	b := newFixture(t, set, 0, 0, 0)
	b.warm(30, 60*ms)
	var due []sent // answers to come; at is when
	n, asked, late, seen := map[decision.ServerID]int{}, map[decision.QueryID]time.Duration{}, 0, 0
	busy := b.now // until then the sound one has work
	for i := range 3000 {
		if i%3 == 0 {
			q, _ := b.query(0, 4*time.Second, 0)
			asked[q] = b.now
		}
		b.run(10 * ms)
		for ; seen < len(b.sends); seen++ {
			s := b.sends[seen]
			if n[s.Server]++; s.Server < 3 && n[s.Server]%5 > 0 {
				b.outcome(s, decision.Error)
				continue
			}
			if s.at = b.now + 60*ms; s.Server == 3 {
				busy = max(busy, b.now) + 48*ms // more than it can do if it gets two of three
				s.at = busy
			}
			due = append(due, s)
		}
		due = slices.DeleteFunc(due, func(s sent) bool {
			if s.at > b.now {
				return false
			}
			b.outcome(s, decision.OK)
			if b.now-asked[b.owner[s.Subquery]] > 600*ms {
				late++
			}
			return true
		})
	}
	if late > 20 {
		t.Errorf("%d of 1000 queries took over 600 ms; sent %v", late, n)
	}
}

// One server fails, one is in slow start and one drains at the same time; then all are healthy.
func TestFailingSlowStartAndDrainAtOnce(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(40, 50*ms)
	play := func(n int, bad bool) (ok int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0)
			for range 4 {
				b.run(20 * ms)
				for _, s := range append([]sent(nil), b.sends[k:]...) {
					if bad && s.Server == 1 {
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
		t.Errorf("after the symptoms %d of 40 were answered", ok)
	}
}

// Where every replica of a shard is unhealthy, the least bad is still used, and service resumes afterwards.
func TestAllReplicasUnhealthy(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
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
		t.Errorf("only %d attempts for 20 queries: the least bad replica is not used", len(b.sends))
	}
	b.run(5 * time.Second)
	if ok := play(30, decision.OK); ok < 28 {
		t.Errorf("%d of 30 answered once the errors had ended", ok)
	}
}

// A server used seldom is known to be slow after one answer: an old latency yields to a new one.
func TestSlowServerUsedSeldom(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	b.run(20 * time.Second)
	s := b.sched.Servers[1]
	b.sched.recordLatency(s, 0.5, true) // ten times the usual
	b.sched.surveyServers()
	if tr := b.sched.weight(s); tr >= healthyWeight {
		t.Errorf("weight %v after one answer of ten medians, want unhealthy", tr)
	}
}

// Instances that start together do not all begin at the same servers.
func TestStartsSpread(t *testing.T) {
	first := map[decision.ServerID]int{}
	for seed := range uint64(30) {
		sched, _ := New(base(), seed)
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
		t.Errorf("30 instances begin at %v, want all three servers", first)
	}
}

// One subquery that a server kept past the tail, while the others answer, is enough where each server is used seldom:
// the server is unhealthy until several more would have been due to it, and no further attempt goes there.
func TestOverdueCancelledIsRemembered(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2, 0, 1, 2)
	for range 100 { // about one answer a server in three seconds
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(500 * ms)
		b.outcome(b.sends[k], decision.OK)
	}
	s := b.sched.Servers[1]
	p := &cluster.Subquery{SubqueryArrived: decision.SubqueryArrived{ID: 9}, Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0], Ended: true}, QueueIndex: -1}
	b.sched.Subqueries[9] = p
	b.sched.Launch(p, s, false)
	b.run(3 * time.Second)
	b.step(decision.Outcome{Subquery: 9, Server: 1, Status: decision.Cancelled})
	b.run(6 * time.Second)
	if got := b.sched.weight(s); got >= healthyWeight {
		t.Errorf("weight %.2f two meetings after a silence, want unhealthy still", got)
	}
	if again := (&cluster.Subquery{Attempts: p.Attempts}); b.sched.tier(b.sched.Servers[1], again) == 0 {
		t.Error("an unhealthy server takes a further attempt as if it were healthy")
	}
	b.run(time.Minute)
	if b.sched.weight(s) < healthyWeight {
		t.Error("the server stays unhealthy for ever")
	}
}

// An unhealthy server is no refuge for what finds no capacity elsewhere: where servers are used seldom it is tried some
// time after its last failure only. A small instance that uses it all the time finds out at once that it has recovered.
func TestTrialsAreFew(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(60, 50*ms)
	s, p := b.sched.Servers[1], &cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0]}, QueueIndex: -1}
	tier := func(answers float64) int { // per second and server
		b.sched.ServerRate = answers
		s.FailureRate, s.FailureRateAt = 0.9, b.now
		return b.sched.tier(s, p)
	}
	b.sched.recordOutcome(s, false, 1)
	if tier(2) != 0 {
		t.Error("not on trial though it is met twice per second")
	}
	if tier(0.2) == 0 {
		t.Error("on trial at once after a failure though it is met once in five seconds")
	}
	b.run(20 * time.Second)
	if tier(0.2) != 0 {
		t.Error("never on trial")
	}
}

// A pause is no crash: a server that stands still for 280 ms and then answers all at once is neither in slow start nor
// crashed, and is not unhealthy for long.
func TestPauseIsNoCrash(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.steady(3 * time.Second)
	stood, k := b.sched.Servers[1], len(b.sends)
	b.steady(280*ms, stood.ID)
	for _, s := range append([]sent(nil), b.sends[k:]...) {
		if s.Server == 1 {
			b.outcome(s, decision.OK) // a second answer, of one that was cancelled, is ignored
		}
	}
	if stood.CrashedAt != 0 || stood.SlowStartFrom != 0 {
		t.Errorf("taken for dead at %v, for cold from %v", stood.CrashedAt, stood.SlowStartFrom)
	}
	b.steady(2 * time.Second)
	if tr := b.sched.weight(stood); tr < healthyWeight {
		t.Errorf("weight %v two seconds after a pause", tr)
	}
}

// Where every replica is full, a subquery goes to the queue that takes the least time, whoever's turn it is.
func TestShortestQueue(t *testing.T) {
	b := newFixture(t, base(), 0, 0)
	b.warm(60, 50*ms)
	quick, slow := b.sched.Servers[1], b.sched.Servers[2]
	quick.Cap, slow.Cap, slow.Turn = 8, 2, 0
	quick.Turn = b.sched.Turn
	b.full(quick)
	b.full(slow)
	for range 3 {
		slow.Enqueue(&cluster.Subquery{Parent: &cluster.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(slow.Queue))}})
		quick.Enqueue(&cluster.Subquery{Parent: &cluster.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(quick.Queue))}})
	}
	if p := (&cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0]}}); b.sched.pick(p) != quick {
		t.Errorf("put where it takes %.2f s, not %.2f s", b.sched.expected(slow), b.sched.expected(quick))
	}
}

// What is queued here for a server counts: a failing one that answers some at once is used before a healthy one whose
// subqueries wait here.
func TestQueuedSubqueriesCount(t *testing.T) {
	set := base()
	set.MaxAttempts = 4
	b := newFixture(t, set, 0, 0)
	b.warm(60, 50*ms)
	sched, sound, errs := b.sched, b.sched.Servers[1], b.sched.Servers[2]
	errs.ErrorRate, errs.ErrorLatency, errs.FailureRate, errs.FailureRateAt, errs.FailedAt = 0.8, 0.002, 0.9, b.now, b.now+time.Minute // no trial is due there
	p := &cluster.Subquery{Parent: &cluster.Query{Spec: &sched.Settings.Classes[0]}}
	if sched.pick(p) != sound {
		t.Error("an erring server is asked while the sound one is free")
	}
	for len(sound.Queue) < 40 {
		sound.Enqueue(&cluster.Subquery{QueueKey: tailguard.QueueKey{Seq: uint64(len(sound.Queue))}})
	}
	if sched.pick(p) != errs {
		t.Errorf("one more is queued where it takes %.2f s", sched.expected(sound))
	}
}

// Each of many instances uses one replica of a shard while it serves, not all the same; those in slow start are used
// beside it, and the others where it has no capacity. Few instances use as many as their host has connections for.
func TestSubset(t *testing.T) {
	kept := func(b *fixture) (list []*cluster.Server) {
		for _, s := range b.sched.Order {
			if s.Listed && !s.Reserve {
				list = append(list, s)
			}
		}
		return list
	}
	set := base()
	set.Width, set.Instances = 1, 400
	first := map[decision.ServerID]bool{}
	for seed := range uint64(20) {
		b := newFixture(t, set, 0, 0, 0, 0)
		b.sched, _ = New(set, seed)
		b.step(decision.ServerList{Kind: decision.Cached, Servers: []decision.ServerInfo{{ID: 1, State: decision.Ready}, {ID: 2, State: decision.Ready}, {ID: 3, State: decision.Ready}, {ID: 4, State: decision.Ready}}})
		b.warm(60, 50*ms)
		own := kept(b)
		if len(own) != 1 {
			t.Fatalf("a subset of %d", len(own))
		}
		first[own[0].ID] = true
		for _, s := range b.sched.Order {
			if s.Reserve == (s.Latency > 0) {
				t.Errorf("server %d: of the reserve %v, got a subquery %v", s.ID, s.Reserve, s.Latency > 0)
			}
		}
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: own[0].ID, State: decision.Deregistered}}})
		if next := kept(b); len(next) != 1 || next[0] == own[0] {
			t.Errorf("with the subset gone, %d are kept to", len(next))
		}
	}
	if len(first) != 4 {
		t.Errorf("20 instances use %d of 4 servers", len(first))
	}
	set.Instances = 36 // by chance one of four would have twice the instances of another
	if n := len(kept(newFixture(t, set, 0, 0, 0, 0))); n < 3 {
		t.Errorf("each of 36 keeps to %d of 4 servers", n)
	}
	for connections, want := range map[int]int{0: 4, 1: 1, 2: 2, 9: 4} {
		set.Instances, set.Connections = 3, connections
		if n := len(kept(newFixture(t, set, 0, 0, 0, 0))); n != want {
			t.Errorf("%d connections: %d of 4 servers are kept to, want %d", connections, n, want)
		}
	}
}

// Before the first survey there is nothing that the first server with a record could be slower than.
func TestFirstAnswerIsNotSlow(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.query(0, 4*time.Second, 0)
	b.now += 50 * ms
	b.outcome(b.sends[0], decision.OK)
	if s := b.sched.Servers[b.sends[0].Server]; b.sched.Median != 0 || b.sched.weight(s) < 1 {
		t.Errorf("weight %v after the first answer, with a median of %v", b.sched.weight(s), b.sched.Median)
	}
}
