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

// stretch is how long the core is held up between two things that it does in one step, as a busy machine does.
const stretch = 3 * time.Millisecond

// steps are enough for the decision module to send all that it will.
const steps = 5

// spin takes time of the processor.
func spin(span time.Duration) {
	for begun := time.Now(); time.Since(begun) < span; {
	}
}

// byHand gives back a core whose messages are taken and whose steps are made by the test.
func byHand(t *testing.T) (*Core, *transport) {
	running, tr := start(t, nil)
	c, err := New(running.set, 1, tr, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.List(List{Kind: decision.Cached, Servers: []mem.Server{
		{Name: "s1", Addr: "x", State: decision.Ready}, {Name: "s2", Addr: "y", State: decision.Ready}}})
	takeIn(c)
	return c, tr
}

// takeIn has the core receive what was sent to it.
func takeIn(c *Core) {
	for len(c.in) > 0 {
		c.receive(<-c.in)
	}
}

// taken are the attempts that have left so far.
func taken(tr *transport) (attempts []*Attempt) {
	for len(tr.calls) > 0 {
		attempts = append(attempts, <-tr.calls...)
	}
	return attempts
}

// The record has an attempt leave behind the end of the one that it follows, however long their step takes: what the core
// did one after the other must not be seen to overlap.
func TestRecordKeepsTheOrderWithinAStep(t *testing.T) {
	c, tr := byHand(t)
	book := audit.New()
	c.RecordTo(func(e record.Entry) {
		book.Add(e)
		if e.Kind == record.Attempt {
			spin(stretch)
		}
	})
	const parts = 4
	c.Submit(ask(0, parts, 20*time.Second))
	takeIn(c)
	var first, again []*Attempt
	for range steps {
		c.step()
		first = append(first, taken(tr)...)
	}
	if len(first) != parts {
		t.Fatalf("%d parts left of %d", len(first), parts)
	}
	for _, a := range first { // the cancels that move them have settled
		a.settled = c.now()
	}
	for range steps {
		c.step()
		again = append(again, taken(tr)...)
	}
	for _, a := range again {
		c.Outcome(a, decision.OK, "v")
	}
	takeIn(c)
	if r := book.Report(); len(r.Breaches) > 0 || r.Attempts != 2*parts {
		t.Errorf("%d attempts, breaches %v", r.Attempts, r.Breaches)
	}
}

// A request's rate is decided on for the moment that the record tells, however long it takes to get that far.
func TestRateIsDecidedForTheRecordedMoment(t *testing.T) {
	c, _ := byHand(t)
	book := audit.New()
	c.RecordTo(book.Add)
	const span = 4 * stretch // between two requests
	rate := limits.Rate{PerSecond: float64(time.Second) / float64(span), Burst: 1}
	table, conflicts := limits.NewTable([]*limits.Route{{Name: "slow", Limits: limits.Limits{Rate: rate}}})
	if conflicts != nil {
		t.Fatal(conflicts[0])
	}
	held := false
	c.limit(Limits{Table: table, Class: func(_ *limits.Route, class int) int {
		if held {
			spin(stretch)
		}
		return class
	}})
	const rounds = 10
	for range rounds { // the second of each round comes too soon, and is held up until it would not be
		for _, held = range []bool{false, true} {
			r := ask(0, 1, 20*time.Second)
			r.Origin = &limits.Request{}
			c.arrive(r)
			spin(span - stretch + stretch/8)
		}
		spin(span)
	}
	if r := book.Report(); len(r.Breaches) > 0 || r.Requests != 2*rounds {
		t.Errorf("%d requests, %d refused, breaches %v", r.Requests, r.Refused, r.Breaches)
	}
}
