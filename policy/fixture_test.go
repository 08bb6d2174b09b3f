package policy

import (
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
)

const ms = time.Millisecond

// baseSettings returns settings with three cells, where every server holds every shard. Its classes are idempotent,
// deduplicated, not idempotent, and one with partial answers and two steps.
func baseSettings() decision.Settings {
	return decision.Settings{
		Instances: 1, Tick: 5 * ms, Cells: 3, Width: 3, Batch: 1, MaxAttempts: 3,
		Hedging: true, Cancel: true, MaxRetryAfter: time.Second,
		Classes: []decision.Class{
			{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, Effect: decision.Idempotent, CompleteFraction: 1, PartialFraction: 1},
			{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, Effect: decision.Deduplicated, DeduplicationWindow: 300 * ms, CompleteFraction: 1, PartialFraction: 1},
			{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, Effect: decision.NotIdempotent, CompleteFraction: 1, PartialFraction: 1},
			{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, Effect: decision.Idempotent, CompleteFraction: 1, PartialFraction: 0.5, Fetch: 1},
		},
		Rules: decision.Rules{StartCapacity: 0.2, SlowStart: 10 * time.Second, OverloadMultiple: 2,
			OverloadSpan: 3 * time.Second},
	}
}

// fixture runs a scheduler on a simulated clock and records its actions. It reports sends after a final answer and
// second final answers as errors.
type fixture struct {
	t        *testing.T
	sched    *Scheduler
	now      time.Duration
	nextID   uint64
	finals   map[decision.QueryID]int             // number of final answers
	last     map[decision.QueryID]decision.Action // last final answer
	sends    []sent
	attempts map[decision.SubqueryID]int
	owner    map[decision.SubqueryID]decision.QueryID
	actions  []decision.Action // of the last step
	wake     time.Duration     // time of the last WakeAt
}

// sent is an attempt that the scheduler has sent.
type sent struct {
	decision.Send
	at      time.Duration
	attempt int
}

// newFixture returns a fixture with one ready server for each of the cells, with IDs from 1.
func newFixture(t *testing.T, set decision.Settings, cells ...int) *fixture {
	t.Helper()
	sched, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &fixture{t: t, sched: sched, now: time.Second, finals: map[decision.QueryID]int{}, last: map[decision.QueryID]decision.Action{},
		attempts: map[decision.SubqueryID]int{}, owner: map[decision.SubqueryID]decision.QueryID{}}
	var l []decision.ServerInfo
	for i, c := range cells {
		l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: c, State: decision.Ready, Nominal: 1})
	}
	b.step(decision.ServerList{Kind: decision.Cached, Servers: l})
	return b
}

// step passes events to the scheduler now and records the actions.
func (b *fixture) step(events ...decision.Event) {
	b.actions = append([]decision.Action(nil), b.sched.Step(b.now, events)...)
	for _, a := range b.actions {
		switch a := a.(type) {
		case decision.WakeAt:
			b.wake = a.At
		case decision.Send:
			if b.finals[b.owner[a.Subquery]] > 0 {
				b.t.Errorf("subquery %d sent after its query's final answer", a.Subquery)
			}
			b.sends = append(b.sends, sent{a, b.now, b.attempts[a.Subquery]})
			b.attempts[a.Subquery]++
		case decision.Answer:
			if a.Final {
				b.final(a.Query, a)
			}
		case decision.Reject:
			b.final(a.Query, a)
		case decision.Fail:
			b.final(a.Query, a)
		}
	}
}

// final records a final answer.
func (b *fixture) final(q decision.QueryID, a decision.Action) {
	b.finals[q]++
	b.last[q] = a
	if b.finals[q] > 1 {
		b.t.Errorf("query %d has %d final answers", q, b.finals[q])
	}
}

// query submits a query with one subquery for each of the shards, and returns the IDs of the query and of its
// subqueries.
func (b *fixture) query(class int, left time.Duration, shards ...int) (decision.QueryID, []decision.SubqueryID) {
	b.nextID += 100
	q := decision.QueryID(b.nextID)
	ev := []decision.Event{decision.QueryArrived{ID: q, Class: class, Remaining: left, Subqueries: len(shards)}}
	var ids []decision.SubqueryID
	for i, s := range shards {
		id := decision.SubqueryID(b.nextID + uint64(i) + 1)
		b.owner[id] = q
		ids = append(ids, id)
		ev = append(ev, decision.SubqueryArrived{ID: id, Query: q, Shard: s, Weight: 1 / float64(len(shards))})
	}
	b.step(ev...)
	return q, ids
}

// run advances the clock by d, with a step each 10 ms.
func (b *fixture) run(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 10 * ms
		b.step(decision.Wake{})
	}
}

// outcome reports the outcome of an attempt.
func (b *fixture) outcome(s sent, st decision.Status) {
	b.step(decision.Outcome{Subquery: s.Subquery, Server: s.Server, Attempt: s.attempt, Status: st, Latency: b.now - s.at})
}

// warmUp runs n queries of one subquery that are answered after took, so that the scheduler has records of latencies.
func (b *fixture) warmUp(n int, took time.Duration) {
	for range n {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(took)
		for _, s := range b.sends[k:] {
			b.outcome(s, decision.OK)
		}
	}
	b.sends = nil
}

// runWakes advances the clock as a host does, with a step at the time of each WakeAt and none between.
func (b *fixture) runWakes(until time.Duration) {
	for b.wake > b.now && b.wake <= until {
		b.now = b.wake
		b.step(decision.Wake{})
	}
}

// manyInstancesSettings returns settings of one of many instances, which sends to each server rarely. The latency
// targets are some ten times the latency that the tests use.
func manyInstancesSettings() decision.Settings {
	set := baseSettings()
	set.Instances, set.Tick, set.Hedging, set.MaxAttempts = 80, ms, false, 4
	set.Classes = []decision.Class{
		{LatencyTarget: 300 * ms, Deadline: time.Second, Value: 3, Effect: decision.Idempotent, CompleteFraction: 1, PartialFraction: 0.7},
		{LatencyTarget: 380 * ms, Deadline: 1300 * ms, Value: 2, Effect: decision.Deduplicated, DeduplicationWindow: 4 * time.Second, CompleteFraction: 1, PartialFraction: 1},
	}
	return set
}

// runSteadyLoad submits a query of one subquery every 20 ms and answers each after 40 ms, except at the servers of
// still.
func (b *fixture) runSteadyLoad(d time.Duration, still ...decision.ServerID) {
	for end := b.now + d; b.now < end; {
		b.query(0, 4*time.Second, 0)
		for range 2 {
			b.now += 10 * ms
			for i := len(b.sends) - 1; i >= 0 && b.now-b.sends[i].at <= 40*ms; i-- {
				if b.now-b.sends[i].at == 40*ms && !slices.Contains(still, b.sends[i].Server) {
					b.outcome(b.sends[i], decision.OK)
				}
			}
			b.step(decision.Wake{})
		}
	}
}

// fillCapacity fills a server's capacity with attempts that have just been sent.
func (b *fixture) fillCapacity(s *cluster.Server) {
	p := &cluster.Subquery{Parent: &cluster.Query{Spec: &b.sched.Settings.Classes[0], Ended: true}, QueueIndex: -1, FirstRunAt: -1}
	for len(s.InFlight) < b.sched.capacity(s) {
		s.InFlight = append(s.InFlight, &cluster.Attempt{Subquery: p, Server: s, SentAt: b.now, InFlight: true})
	}
}
