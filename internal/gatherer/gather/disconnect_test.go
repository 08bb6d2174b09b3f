package gather

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// When a client disconnects while its request waits to be sent, for the first time, for a retry or for its second step,
// nothing more of that request is sent, and other requests go on. The request waits because both lot stores already have as
// many subqueries in flight as the scheduler allows.
func TestDisconnectWhileRequestWaitsToBeSent(t *testing.T) {
	const maxInFlight = 8 // at two lot stores together of which the scheduler has measured nothing yet
	for name, x := range map[string]struct {
		change func(*Core)
		before bool                                // it has been sent before, and waits again after the outcome reported by ends
		ends   func(c *Core, a *Attempt)           //
		answer func(c *Core, a *Attempt, v string) // answers an attempt of another request
	}{
		"before the first attempt": {nil, false, nil, func(c *Core, a *Attempt, v string) { c.Outcome(a, decision.OK, v) }},
		"before a retry":           {nil, true, func(c *Core, a *Attempt) { c.Outcome(a, decision.ConnectFailed, "") }, func(c *Core, a *Attempt, v string) { c.Outcome(a, decision.OK, v) }},
		"before the second step":   {configureSecondStep, true, func(c *Core, a *Attempt) { c.Scored(a, "v", 1) }, func(c *Core, a *Attempt, v string) { c.Scored(a, v, 1) }},
	} {
		c, tr := start(t, x.change)
		r := newRequest(0, 1, 20*time.Second)
		var inFlight []*Attempt
		if x.before {
			c.Submit(r)
			inFlight = collect(t, tr, 1)
		}
		for range 2 * maxInFlight {
			c.Submit(newRequest(0, 1, 10*time.Second)) // sent before r, as its deadline is earlier
		}
		inFlight = append(inFlight, collect(t, tr, maxInFlight-len(inFlight))...)
		if x.before {
			x.ends(c, inFlight[0])
			inFlight = append(inFlight[1:], collect(t, tr, 1)...) // another request has taken its slot
		} else {
			c.Submit(r)
		}
		c.ClientDisconnected(r)
		last := newRequest(0, 1, 20*time.Second)
		c.Submit(last)
		for sent := false; !sent; {
			for _, a := range inFlight {
				sent = sent || a.Query == last.Name
				if a.Query == r.Name {
					t.Errorf("%s: sent after its client had disconnected", name)
				}
				x.answer(c, a, "v")
			}
			if !sent {
				inFlight = collect(t, tr, 1)
			}
		}
		if len(r.Done) > 0 {
			t.Errorf("%s: an answer after the client had disconnected: %+v", name, <-r.Done)
		}
	}
}
