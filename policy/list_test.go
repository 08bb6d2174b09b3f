package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A polled server list is subscribed to, and failed calls are retried with a growing back-off.
func TestListPolling(t *testing.T) {
	set := base()
	set.Polling = true
	b := newFixture(t, set, 0, 1, 2)
	asks := func() (n int) {
		for _, a := range b.actions {
			if _, ok := a.(decision.Subscribe); ok {
				n++
			}
		}
		return n
	}
	if asks() != 1 {
		t.Fatal("not subscribed at the start")
	}
	total := 0
	for range 20 {
		b.step(decision.ServerList{Kind: decision.ListFailed})
		for range 500 {
			b.now += 10 * ms
			b.step(decision.Wake{})
			if asks() > 0 {
				total++
				break
			}
		}
	}
	if total != 20 {
		t.Errorf("asked again %d times after 20 failures", total)
	}
	b.step(decision.ServerList{Kind: decision.FullList, Servers: []decision.ServerInfo{{ID: 1, Cell: 0, State: decision.Ready}}})
	b.run(10 * time.Second)
	if asks() != 0 {
		t.Error("asked though subscribed")
	}
}
