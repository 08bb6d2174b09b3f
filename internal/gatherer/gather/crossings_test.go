package gather

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A client that leaves takes its request out of every place where that waits: nothing of it is sent on any more, while what
// others ask for is. Lot stores that have as much as they may have out make it wait there.
func TestClientLeavesWhereItsRequestWaits(t *testing.T) {
	const outAtOnce = 8 // by two lot stores that nothing has been heard of
	for name, x := range map[string]struct {
		change func(*Core)
		before bool                                // it is sent, and waits again when that ends so:
		ends   func(c *Core, a *Attempt)           //
		answer func(c *Core, a *Attempt, v string) // others' answers
	}{
		"the module's held parts":  {nil, false, nil, func(c *Core, a *Attempt, v string) { c.Outcome(a, decision.OK, v) }},
		"before a further attempt": {nil, true, func(c *Core, a *Attempt) { c.Outcome(a, decision.ConnectFailed, "") }, func(c *Core, a *Attempt, v string) { c.Outcome(a, decision.OK, v) }},
		"before its second step":   {twoSteps, true, func(c *Core, a *Attempt) { c.Scored(a, "v", 1) }, func(c *Core, a *Attempt, v string) { c.Scored(a, v, 1) }},
	} {
		c, tr := start(t, x.change)
		r := newRequest(0, 1, 20*time.Second)
		var out []*Attempt
		if x.before {
			c.Submit(r)
			out = collect(t, tr, 1)
		}
		for range 2 * outAtOnce {
			c.Submit(newRequest(0, 1, 10*time.Second)) // due before it
		}
		out = append(out, collect(t, tr, outAtOnce-len(out))...)
		if x.before {
			x.ends(c, out[0])
			out = append(out[1:], collect(t, tr, 1)...) // another has its place
		} else {
			c.Submit(r)
		}
		c.ClientDisconnected(r)
		last := newRequest(0, 1, 20*time.Second)
		c.Submit(last)
		for sent := false; !sent; {
			for _, a := range out {
				sent = sent || a.Query == last.Name
				if a.Query == r.Name {
					t.Errorf("%s: sent on, though its client had left", name)
				}
				x.answer(c, a, "v")
			}
			if !sent {
				out = collect(t, tr, 1)
			}
		}
		if len(r.Done) > 0 {
			t.Errorf("%s: an answer to nobody: %+v", name, <-r.Done)
		}
	}
}
