package policy

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// BenchmarkStep measures a step of one of 77 schedulers that share 170 servers, with queries of 50 and of 5 subqueries
// in flight at all times.
func BenchmarkStep(b *testing.B) {
	const cells, wide = 170, 50
	set := baseSettings()
	set.Instances, set.Cells = 77, cells
	sched, err := New(set, 7)
	if err != nil {
		b.Fatal(err)
	}
	var list []decision.ServerInfo
	for i := range cells {
		list = append(list, decision.ServerInfo{ID: decision.ServerID(i*7919%cells + 1), Cell: i, State: decision.Ready, Nominal: 1})
	}
	now := time.Second
	sched.Step(now, []decision.Event{decision.ServerList{Kind: decision.Cached, Servers: list}})
	id, tries := uint64(0), map[decision.SubqueryID]int{}
	var events []decision.Event
	out := map[time.Duration][]decision.Event{}
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		events = append(append(events[:0], decision.Wake{}), out[now]...)
		delete(out, now)
		if i%50 == 0 {
			n := wide
			if i%100 == 0 {
				n = 5
			}
			id++
			q := decision.QueryID(id)
			events = append(events, decision.QueryArrived{ID: q, Remaining: 4 * time.Second, Subqueries: n})
			for j := range n {
				id++
				events = append(events, decision.SubqueryArrived{ID: decision.SubqueryID(id), Query: q, Shard: (i + j) % cells, Weight: 1 / float64(n)})
			}
		}
		for _, a := range sched.Step(now, events) {
			if s, ok := a.(decision.Send); ok {
				at := now + time.Duration(10+(uint64(s.Subquery)*31)%40)*10*ms
				out[at] = append(out[at], decision.Outcome{Subquery: s.Subquery, Server: s.Server, Attempt: tries[s.Subquery], Status: decision.OK})
				tries[s.Subquery]++
			}
		}
	}
}
