package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A subquery at a server that has stopped answering is rerouted while another replica can still answer it before the
// latency target, for classes with and without partial answers. The other replica need not have answered meanwhile:
// with many instances it may have been sent nothing.
func TestRerouteInTime(t *testing.T) {
	for class, in := range []time.Duration{300 * ms, 380 * ms} {
		b := newFixture(t, manyInstancesSettings(), 0, 0, 0)
		b.warmUp(60, 30*ms)
		b.run(3 * time.Second)
		arrived := b.now
		q, _ := b.query(class, time.Second, 0)
		unresponsive := b.sends[0].Server
		for b.now < arrived+in && b.finals[q] == 0 {
			b.now += 2 * ms
			b.step(decision.Wake{})
			for _, a := range b.actions {
				if c, ok := a.(decision.Cancel); ok {
					b.outcome(b.sends[c.Attempt], decision.Cancelled)
				}
			}
			if s := b.sends[len(b.sends)-1]; s.Server != unresponsive && b.now-s.at >= 30*ms {
				b.outcome(s, decision.OK)
			}
		}
		if a, ok := b.last[q].(decision.Answer); !ok || !a.Complete {
			t.Errorf("class %d: %d attempts and no answer within the latency target", class, len(b.sends))
		}
	}
}

// With few instances, a subquery is rerouted only after twice the tail latency and an answer from another replica, as
// rerouting earlier would add load.
func TestRerouteLaterWithFewInstances(t *testing.T) {
	set := manyInstancesSettings()
	set.Instances = 3
	b := newFixture(t, set, 0, 0, 0)
	b.warmUp(60, 30*ms)
	b.run(3 * time.Second)
	b.query(0, time.Second, 0)
	for range 29 {
		b.run(10 * ms)
		for _, a := range b.actions {
			if c, ok := a.(decision.Cancel); ok {
				t.Fatalf("%v without an answer from another replica", c)
			}
		}
	}
}

// A subquery at a server that hangs is cancelled and, once the cancellation is confirmed, sent to another server, so
// that no two attempts are in flight at once. A hang is distinguished from a busy server by the answers of others while
// this one gives none. Answers from this server to attempts sent later count too, as the response may have been lost
// with its connection.
func TestRerouteFromHungServer(t *testing.T) {
	rerouteFromHungServer(t, false)
	rerouteFromHungServer(t, true)
}

// rerouteFromHungServer runs the test with a server that answers nothing or, if overtaken, answers all later attempts.
func rerouteFromHungServer(t *testing.T, overtaken bool) {
	t.Helper()
	set := baseSettings()
	set.Hedging, set.MaxAttempts = false, 4
	b := newFixture(t, set, 0, 0, 0)
	b.warmUp(60, 50*ms)
	var stuck sent
	cancelled := false
	run := func(steps int) {
		for range steps {
			b.run(10 * ms)
			cancelled = cancelled || stuck.Subquery > 0 && slices.Contains(b.actions, decision.Action(decision.Cancel{Subquery: stuck.Subquery}))
		}
	}
	for i := range 12 {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		for range 5 {
			if run(1); overtaken && i == 0 { // some are sent there before the first is overdue
				b.query(0, 4*time.Second, 0)
			}
		}
		for _, s := range b.sends[k:] {
			if s.Server == 1 && stuck.Subquery == 0 {
				stuck = s
			} else if s.Server != 1 || overtaken {
				b.outcome(s, decision.OK)
			}
		}
		if i == 11 && stuck.Subquery == 0 {
			t.Fatal("nothing was sent to the server that hangs")
		}
	}
	attempts := func() (n int) {
		for _, s := range b.sends {
			if s.Subquery == stuck.Subquery {
				n++
			}
		}
		return n
	}
	run(10)
	if !cancelled || attempts() != 1 {
		t.Fatalf("cancelled %v, %d attempts before the cancellation is confirmed, want true and 1", cancelled, attempts())
	}
	b.outcome(stuck, decision.Cancelled)
	b.run(10 * ms)
	if s := b.sends[len(b.sends)-1]; attempts() != 2 || s.Subquery != stuck.Subquery || s.Server == 1 {
		t.Errorf("%d attempts, the last %+v, want a second one at another server", attempts(), s)
	}
}

// A server that stops answering is skipped, and its subqueries are hedged in time.
func TestUnresponsiveServer(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(40, 50*ms)
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

// Without a configured budget, a subquery that is still in flight at its deadline is hedged. A small instance in a
// large cluster has too few answers to know which servers are slow, so that hedging at the recorded tail latency would
// be too late.
func TestHedgeAtDeadline(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	for i := range 40 { // every tenth latency is long, so that the 99th percentile is past the deadline
		b.warmUp(1, time.Duration(50+i%10/9*900)*ms)
	}
	q, _ := b.query(0, 4*time.Second, 0)
	b.run(600 * ms)
	if len(b.sends) < 2 {
		t.Fatal("no hedged request by the deadline")
	}
	b.outcome(b.sends[1], decision.OK)
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("final answer %v, want an answer", b.last[q])
	}
}

// Even with hedging enabled, no two attempts of a deduplicated subquery are in flight at once: an attempt that has been
// in flight too long is cancelled, and the subquery is sent again only after the cancellation is confirmed.
func TestNoHedgeOfDeduplicated(t *testing.T) {
	set := baseSettings()
	set.Classes[1].DeduplicationWindow = 4 * time.Second
	b := newFixture(t, set, 0, 1, 2)
	b.warmUp(30, 50*ms)
	_, parts := b.query(1, 4*time.Second, 0)
	for range 120 { // others are answered meanwhile, so that the attempt counts as overtaken
		b.query(0, 4*time.Second, 1)
		b.run(10 * ms)
		for _, s := range b.sends[1:] {
			if s.Subquery != parts[0] && b.now-s.at == 10*ms {
				b.outcome(s, decision.OK)
			}
		}
		if n := b.attempts[parts[0]]; n != 1 {
			t.Fatalf("%d attempts of a deduplicated subquery while the first is in flight, want 1", n)
		}
	}
	if !b.sched.Subqueries[parts[0]].Attempts[0].Rerouted {
		t.Fatal("the overdue attempt was not cancelled")
	}
	b.outcome(b.sends[0], decision.Cancelled)
	if n := b.attempts[parts[0]]; n != 2 {
		t.Errorf("%d attempts after the first was cancelled, want 2", n)
	}
}

// The hedged requests of all instances together use the budget's free attempts once, and not once for each instance.
// Retries of failed subqueries may use all of them in each instance.
func TestHedgingBudgetOfManyInstances(t *testing.T) {
	set := baseSettings()
	set.Instances = 50
	set.Rules.BudgetEnabled, set.Rules.BudgetFree, set.Rules.BudgetRatio, set.Rules.BudgetSpan = true, 20, 0.05, 10*time.Second
	b := newFixture(t, set, 0, 1, 2, 0, 1, 2)
	b.warmUp(30, 50*ms)
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
		t.Errorf("%d hedged requests while the first attempts could still meet the latency target, want none", n-24)
	}
	b.run(600 * ms)
	hedged := 0
	for _, s := range b.sends {
		if s.attempt > 0 {
			hedged++
		}
	}
	if hedged < 1 || hedged > 2 {
		t.Errorf("%d hedged requests for 48 queries and subqueries, want a twentieth of them", hedged)
	}
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.Error)
	}
	b.run(50 * ms)
	if n := len(b.sends) - 24 - hedged; n < 2 {
		t.Errorf("%d failed subqueries retried, want 2 or more", n)
	}
}

// Hedged requests are sent even if a third of the servers is unresponsive, as long as the others answer as usual: the
// unresponsive ones do not make all servers count as slow.
func TestHedgeWithManyUnresponsiveServers(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2, 0, 1, 2)
	b.warmUp(60, 50*ms)
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
		t.Errorf("final answer %v, want an answer within the latency target", b.last[q])
	}
}

// The last missing subquery of a query with many may be hedged to an unhealthy server, as the work of all the others
// would be wasted without it.
func TestLastSubqueryHedgedToUnhealthyServer(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(60, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2, 0, 1)
	last := b.sends[0]
	for _, s := range b.sched.SortedServers {
		if s.ID != last.Server {
			s.FailureRate, s.FailureRateAt, s.FailedAt = 0.9, b.now, b.now
		}
	}
	for _, s := range append([]sent(nil), b.sends[1:]...) {
		b.step(decision.Outcome{Subquery: s.Subquery, Server: s.Server, Status: decision.OK})
	}
	for _, s := range b.sched.SortedServers {
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
