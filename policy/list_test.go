package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// If the server list has to be polled, the scheduler subscribes to it, retries failed calls after a back-off, and stops
// once it is subscribed.
func TestListPolling(t *testing.T) {
	set := baseSettings()
	set.Polling = true
	b := newFixture(t, set, 0, 1, 2)
	subscribes := func() (n int) {
		for _, a := range b.actions {
			if _, ok := a.(decision.Subscribe); ok {
				n++
			}
		}
		return n
	}
	if subscribes() != 1 {
		t.Fatal("no single Subscribe in the first step")
	}
	total := 0
	for range 20 {
		b.step(decision.ServerList{Kind: decision.ListFailed})
		for range 500 {
			b.now += 10 * ms
			b.step(decision.Wake{})
			if subscribes() > 0 {
				total++
				break
			}
		}
	}
	if total != 20 {
		t.Errorf("%d retries after 20 failures, want 20", total)
	}
	b.step(decision.ServerList{Kind: decision.FullList, Servers: []decision.ServerInfo{{ID: 1, Cell: 0, State: decision.Ready}}})
	b.run(10 * time.Second)
	if subscribes() != 0 {
		t.Error("Subscribe though subscribed")
	}
}
