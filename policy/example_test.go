package policy_test

import (
	"fmt"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/policy"
)

// A host drives a query of two parts to its answer.
func Example() {
	m, err := policy.New(decision.Settings{
		Siblings: 1, Tick: 5 * time.Millisecond, Cells: 2, Width: 2, MaxAttempts: 3,
		Classes: []decision.Class{{Aim: time.Second, Worth: 1, Need: 1, Floor: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	m.Step(now, []decision.Event{decision.ServerList{Kind: decision.Whole, Servers: []decision.ServerInfo{
		{ID: 1, Cell: 0, State: decision.Ready}, {ID: 2, Cell: 1, State: decision.Ready},
	}}})
	acts := m.Step(now, []decision.Event{
		decision.QueryArrived{ID: 7, Left: 3 * time.Second, Parts: 2},
		decision.PartArrived{ID: 71, Query: 7, Shard: 0, Weight: 0.5},
		decision.PartArrived{ID: 72, Query: 7, Shard: 1, Weight: 0.5},
	})
	var outcomes []decision.Event // what the servers would say
	for _, a := range acts {
		if s, ok := a.(decision.Send); ok {
			fmt.Println("send part", s.Part)
			outcomes = append(outcomes, decision.Outcome{Part: s.Part, Server: s.Server, Status: decision.OK})
		}
	}
	for _, a := range m.Step(now+80*time.Millisecond, outcomes) {
		if a, ok := a.(decision.Answer); ok {
			fmt.Println("answer query", a.Query, "whole:", a.Whole)
		}
	}
	// Unordered output:
	// send part 71
	// send part 72
	// answer query 7 whole: true
}
