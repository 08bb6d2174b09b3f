package gather

import (
	"log/slog"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/audit"
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// stretch is how long the core is delayed between two things that it does in one step, as a busy machine does.
const stretch = 3 * time.Millisecond

// steps are enough for the decision module to send all that it will.
const steps = 5

// spin takes time of the processor.
func spin(span time.Duration) {
	for started := time.Now(); time.Since(started) < span; {
	}
}

// manualCore returns a core whose messages are received and whose steps are made by the test.
func manualCore(t *testing.T) (*Core, *transport) {
	t.Helper()
	running, tr := start(t, nil)
	c, err := New(running.set, 1, tr, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.List(List{Kind: decision.Cached, Servers: []mem.Server{
		{Name: "s1", Addr: "x", State: decision.Ready}, {Name: "s2", Addr: "y", State: decision.Ready}}})
	receiveAll(c)
	return c, tr
}

// receiveAll makes the core receive all queued messages.
func receiveAll(c *Core) {
	for len(c.inbox) > 0 {
		c.receive(<-c.inbox)
	}
}

// sentAttempts are the attempts that have been sent so far.
func sentAttempts(tr *transport) (attempts []*Attempt) {
	for len(tr.calls) > 0 {
		attempts = append(attempts, <-tr.calls...)
	}
	return attempts
}

// The record shows an attempt sent after the end of the one that it follows, however long their step takes: what the core
// did one after the other must not be seen to overlap.
func TestRecordKeepsTheOrderWithinAStep(t *testing.T) {
	c, tr := manualCore(t)
	log := audit.New()
	c.SetRecorder(func(e record.Entry) {
		log.Add(e)
		if e.Kind == record.Attempt {
			spin(stretch)
		}
	})
	const shards = 4
	c.Submit(newRequest(0, shards, 20*time.Second))
	receiveAll(c)
	var first, again []*Attempt
	for range steps {
		c.step()
		first = append(first, sentAttempts(tr)...)
	}
	if len(first) != shards {
		t.Fatalf("%d attempts sent of %d", len(first), shards)
	}
	for _, a := range first { // the cancels that move them are confirmed
		a.cancelledAt = c.now()
	}
	for range steps {
		c.step()
		again = append(again, sentAttempts(tr)...)
	}
	for _, a := range again {
		c.Outcome(a, decision.OK, "v")
	}
	receiveAll(c)
	if r := log.Report(); len(r.Violations) > 0 || r.Attempts != 2*shards {
		t.Errorf("%d attempts, violations %v", r.Attempts, r.Violations)
	}
}

// A request is rate-limited by the time that is recorded, however long it takes to decide.
func TestRateIsDecidedForTheRecordedMoment(t *testing.T) {
	c, _ := manualCore(t)
	log := audit.New()
	c.SetRecorder(log.Add)
	const span = 4 * stretch // between two requests
	rate := limits.Rate{PerSecond: float64(time.Second) / float64(span), Burst: 1}
	table, conflicts := limits.NewTable([]*limits.Route{{Name: "slow", Limits: limits.Limits{Rate: rate}}})
	if conflicts != nil {
		t.Fatal(conflicts[0])
	}
	delayed := false
	c.applyLimits(Limits{Table: table, Class: func(_ *limits.Route, class int) int {
		if delayed {
			spin(stretch)
		}
		return class
	}})
	const rounds = 10
	for range rounds { // the second of each round comes too soon, and is delayed until it would not be
		for _, delayed = range []bool{false, true} {
			r := newRequest(0, 1, 20*time.Second)
			r.Origin = &limits.Request{}
			c.arrive(r)
			spin(span - stretch + stretch/8)
		}
		spin(span)
	}
	if r := log.Report(); len(r.Violations) > 0 || r.Requests != 2*rounds {
		t.Errorf("%d requests, %d rejected, violations %v", r.Requests, r.Rejected, r.Violations)
	}
}
