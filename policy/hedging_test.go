package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A subquery at a server that stopped answering is rerouted while another replica can still answer it in time, though
// that one answered nothing meanwhile, as it was not asked anything. A class without partial answers does not wait for
// its client's time-out.
func TestRerouteInTime(t *testing.T) {
	for class, in := range []time.Duration{300 * ms, 380 * ms} {
		b := newFixture(t, manyInstances(), 0, 0, 0)
		b.warm(60, 30*ms)
		b.run(3 * time.Second)
		came := b.now
		q, _ := b.query(class, time.Second, 0)
		silent := b.sends[0].Server
		for b.now < came+in && b.finals[q] == 0 {
			b.now += 2 * ms
			b.step(decision.Wake{})
			for _, a := range b.actions {
				if c, ok := a.(decision.Cancel); ok {
					b.outcome(b.sends[c.Attempt], decision.Cancelled)
				}
			}
			if s := b.sends[len(b.sends)-1]; s.Server != silent && b.now-s.at >= 30*ms {
				b.outcome(s, decision.OK)
			}
		}
		if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
			t.Errorf("class %d: %d attempts and no answer within the latency target", class, len(b.sends))
		}
	}
}

// Where instances are few, a subquery still waits for twice the tail and for an answer of its next replica: rerouting
// early adds load there.
func TestRerouteLaterWithFewInstances(t *testing.T) {
	set := manyInstances()
	set.Instances = 3
	b := newFixture(t, set, 0, 0, 0)
	b.warm(60, 30*ms)
	b.run(3 * time.Second)
	b.query(0, time.Second, 0)
	for range 29 {
		b.run(10 * ms)
		for _, a := range b.actions {
			if c, ok := a.(decision.Cancel); ok {
				t.Fatalf("%v moved with no news of another replica", c)
			}
		}
	}
}

func TestRerouteFromHungServer(t *testing.T) {
	rerouteFromHungServer(t, false)
	rerouteFromHungServer(t, true)
}

func rerouteFromHungServer(t *testing.T, passed bool) {
	t.Helper()
	set := base()
	set.Hedging, set.MaxAttempts = false, 4
	b := newFixture(t, set, 0, 0, 0)
	b.warm(60, 50*ms)
	var stuck sent
	called := false
	run := func(steps int) {
		for range steps {
			b.run(10 * ms)
			called = called || stuck.Subquery > 0 && slices.Contains(b.actions, decision.Action(decision.Cancel{Subquery: stuck.Subquery}))
		}
	}
	for i := range 12 {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		for range 5 {
			if run(1); passed && i == 0 { // some go there before it is late
				b.query(0, 4*time.Second, 0)
			}
		}
		for _, s := range b.sends[k:] {
			if s.Server == 1 && stuck.Subquery == 0 {
				stuck = s
			} else if s.Server != 1 || passed {
				b.outcome(s, decision.OK)
			}
		}
		if i == 11 && stuck.Subquery == 0 {
			t.Fatal("nothing was sent to the server that hangs")
		}
	}
	again := func() (n int) {
		for _, s := range b.sends {
			if s.Subquery == stuck.Subquery {
				n++
			}
		}
		return n
	}
	run(10)
	if !called || again() != 1 {
		t.Fatalf("cancelled %v, %d attempts before that is through", called, again())
	}
	b.outcome(stuck, decision.Cancelled)
	b.run(10 * ms)
	if s := b.sends[len(b.sends)-1]; again() != 2 || s.Subquery != stuck.Subquery || s.Server == 1 {
		t.Errorf("%d attempts, the last %+v", again(), s)
	}
}

// A server that stops answering is skipped, hedged requests save its subqueries, and it is used again later.
func TestUnresponsiveServer(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(40, 50*ms)
	var late int
	for range 60 {
		q, _ := b.query(0, 4*time.Second, 0)
		for range 20 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends...) {
				if s.Server != 2 && b.now-s.at >= 40*ms && b.now-s.at < 80*ms {
					b.outcome(s, decision.OK)
				}
			}
			if b.finals[q] > 0 {
				break
			}
		}
		if _, ok := b.last[q].(decision.Answer); !ok {
			late++
		}
	}
	if late > 2 {
		t.Errorf("%d of 60 queries were not answered in 400 ms", late)
	}
}

// Without a configured budget, a subquery still in flight at its deadline is hedged then: in a small instance, which
// cannot know the slow servers of a large cluster, hedging at the tail of the record would come too late.
func TestHedgeAtDeadline(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	for i := range 40 { // a long tail, so that the record's 99th percentile is past the deadline
		b.warm(1, time.Duration(50+i%10/9*900)*ms)
	}
	q, _ := b.query(0, 4*time.Second, 0)
	b.run(600 * ms)
	if len(b.sends) < 2 {
		t.Fatal("no copy by the deadline")
	}
	b.outcome(b.sends[1], decision.OK)
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("final answer %v, want an answer", b.last[q])
	}
}

// Two attempts of a deduplicated subquery are never in flight at once, where hedging is allowed: the one too long in
// flight is cancelled, and only when that is confirmed it is sent again.
func TestNoHedgeOfDeduplicated(t *testing.T) {
	set := base()
	set.Classes[1].Window = 4 * time.Second
	b := newFixture(t, set, 0, 1, 2)
	b.warm(30, 50*ms)
	_, parts := b.query(1, 4*time.Second, 0)
	for range 120 { // the others answer meanwhile, so that it is seen to be passed by
		b.query(0, 4*time.Second, 1)
		b.run(10 * ms)
		for _, s := range b.sends[1:] {
			if s.Subquery != parts[0] && b.now-s.at == 10*ms {
				b.outcome(s, decision.OK)
			}
		}
		if n := b.attempts[parts[0]]; n != 1 {
			t.Fatalf("%d attempts of a deduplicated subquery, the first still in flight", n)
		}
	}
	if !b.sched.Subqueries[parts[0]].Attempts[0].Rerouted {
		t.Fatal("it was not cancelled")
	}
	b.outcome(b.sends[0], decision.Cancelled)
	if n := b.attempts[parts[0]]; n != 2 {
		t.Errorf("%d attempts when the first was cancelled", n)
	}
}

// Hedged requests of many instances together take the budget's free attempts once, not once for each instance; retries
// of failed subqueries may use them all.
func TestHedgingBudgetOfManyInstances(t *testing.T) {
	set := base()
	set.Instances = 50
	set.Rules.BudgetOn, set.Rules.BudgetFree, set.Rules.BudgetRatio, set.Rules.BudgetSpan = true, 20, 0.05, 10*time.Second
	b := newFixture(t, set, 0, 1, 2, 0, 1, 2)
	b.warm(30, 50*ms)
	b.run(11 * time.Second)
	for range 24 {
		b.query(0, 4*time.Second, 0)
	}
	b.run(40 * ms)
	for _, s := range append([]sent(nil), b.sends...) {
		if s.Server != 1 {
			b.outcome(s, decision.OK)
		}
	}
	b.run(300 * ms)
	if n := len(b.sends); n != 24 {
		t.Errorf("%d hedged requests while the first attempts could still make the latency target", n-24)
	}
	b.run(600 * ms)
	copies := 0
	for _, s := range b.sends {
		if s.attempt > 0 {
			copies++
		}
	}
	if copies < 1 || copies > 2 {
		t.Errorf("%d hedged requests for 48 queries and subqueries, want a twentieth of them", copies)
	}
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.Error)
	}
	b.run(50 * ms)
	if n := len(b.sends) - 24 - copies; n < 2 {
		t.Errorf("%d failed subqueries tried again, want those that no hedged request had saved", n)
	}
}

// Hedged requests are sent whatever fraction of the servers is unresponsive, so long as the others answer as usual:
// that a third is unresponsive does not make all slow.
func TestHedgeWithManyUnresponsiveServers(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2, 0, 1, 2)
	b.warm(60, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2)
	for i := range 95 {
		if b.run(10 * ms); i%5 == 4 {
			for k := 0; k < len(b.sends); k++ {
				if b.sends[k].Server > 2 {
					b.outcome(b.sends[k], decision.OK)
				}
			}
		}
	}
	if _, is := b.last[q].(decision.Answer); !is {
		t.Errorf("final answer %v, want an answer within the latency target by hedged requests", b.last[q])
	}
}

// The last subquery of a wide query may be hedged to an unhealthy server: without it the work of all the others would
// be lost.
func TestLastSubqueryHedgedToUnhealthyServer(t *testing.T) {
	b := newFixture(t, base(), 0, 1, 2)
	b.warm(60, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2, 0, 1)
	last := b.sends[0]
	for _, s := range b.sched.Order {
		if s.ID != last.Server {
			s.FailureRate, s.FailureRateAt, s.FailedAt = 0.9, b.now, b.now
		}
	}
	for _, s := range append([]sent(nil), b.sends[1:]...) {
		b.step(decision.Outcome{Subquery: s.Subquery, Server: s.Server, Status: decision.OK})
	}
	for _, s := range b.sched.Order {
		if s.ID != last.Server {
			s.FailureRate, s.FailureRateAt = 0.9, b.now
		}
	}
	k := len(b.sends)
	b.run(1500 * ms)
	if len(b.sends) == k || b.sends[k].Subquery != last.Subquery || b.finals[q] > 0 {
		t.Errorf("sent %v, want a hedged request of the last subquery %d", b.sends[k:], last.Subquery)
	}
}
