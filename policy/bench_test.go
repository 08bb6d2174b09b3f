package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mix"
)

// BenchmarkStep is a step of one of 77 mixers among 170 servers, a wide and a narrow query out at all
// times. It is reported, never asserted.
func BenchmarkStep(b *testing.B) {
	const cells, wide = 170, 50
	set := base()
	set.Siblings, set.Cells = 77, cells
	m, err := New(set, 7)
	if err != nil {
		b.Fatal(err)
	}
	var list []mix.ServerInfo
	for i := range cells {
		list = append(list, mix.ServerInfo{ID: mix.ServerID(i*7919%cells + 1), Cell: i, State: mix.Ready, Nominal: 1})
	}
	now := time.Second
	m.Step(now, []mix.Event{mix.ServerList{Kind: mix.Cached, Servers: list}})
	id, tries := uint64(0), map[mix.PartID]int{}
	var events []mix.Event
	out := map[time.Duration][]mix.Event{}
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		events = append(append(events[:0], mix.Wake{}), out[now]...)
		delete(out, now)
		if i%50 == 0 {
			n := wide
			if i%100 == 0 {
				n = 5
			}
			id++
			q := mix.QueryID(id)
			events = append(events, mix.QueryArrived{ID: q, Left: 4 * time.Second, Parts: n})
			for j := range n {
				id++
				events = append(events, mix.PartArrived{ID: mix.PartID(id), Query: q, Shard: (i + j) % cells, Weight: 1 / float64(n)})
			}
		}
		for _, a := range m.Step(now, events) {
			if s, ok := a.(mix.Send); ok {
				at := now + time.Duration(10+(uint64(s.Part)*31)%40)*10*ms
				out[at] = append(out[at], mix.Outcome{Part: s.Part, Server: s.Server, Attempt: tries[s.Part], Status: mix.OK})
				tries[s.Part]++
			}
		}
	}
}
