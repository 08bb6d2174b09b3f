package policy_test

import (
	"fmt"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/policy"
)

// A host runs a query of two subqueries to its answer.
func Example() {
	sched, err := policy.New(decision.Settings{
		Instances: 1, Tick: 5 * time.Millisecond, Cells: 2, Width: 2, MaxAttempts: 3,
		Classes: []decision.Class{{LatencyTarget: time.Second, Value: 1, CompleteFraction: 1, PartialFraction: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	sched.Step(now, []decision.Event{decision.ServerList{Kind: decision.FullList, Servers: []decision.ServerInfo{
		{ID: 1, Cell: 0, State: decision.Ready}, {ID: 2, Cell: 1, State: decision.Ready},
	}}})
	actions := sched.Step(now, []decision.Event{
		decision.QueryArrived{ID: 7, Remaining: 3 * time.Second, Subqueries: 2},
		decision.SubqueryArrived{ID: 71, Query: 7, Shard: 0, Weight: 0.5},
		decision.SubqueryArrived{ID: 72, Query: 7, Shard: 1, Weight: 0.5},
	})
	var outcomes []decision.Event // a real host would send the subqueries to the servers
	for _, a := range actions {
		if s, ok := a.(decision.Send); ok {
			fmt.Println("send subquery", s.Subquery)
			outcomes = append(outcomes, decision.Outcome{Subquery: s.Subquery, Server: s.Server, Status: decision.OK})
		}
	}
	for _, a := range sched.Step(now+80*time.Millisecond, outcomes) {
		if a, ok := a.(decision.Answer); ok {
			fmt.Println("answer query", a.Query, "complete:", a.Complete)
		}
	}
	// Unordered output:
	// send subquery 71
	// send subquery 72
	// answer query 7 complete: true
}
