package modelcheck

import (
	"time"
)

// Scenario is what happens in all runs of one kind, before any deviation.
type Scenario struct {
	Name       string
	Nodes      int // coordinators, the first Voters of them vote at the start
	Voters     int
	Operations []Operation
	Limits     Limits
	Lease      bool          // processes grant leases and the first Candidates try to hold one
	Candidates int           // of the lease
	Length     time.Duration // for which the run goes on at least; 0 where it ends with its operations
}

// Limits bound the trouble of one run.
type Limits struct {
	Crashes, Wipes, Partitions, Freezes int
}

// rest is what is asked at the end of each run, when all trouble is over: reads before and behind a last change.
func (s *Scenario) finalOperations() []Operation {
	last := s.Nodes - 1
	return []Operation{{Kind: Read, Node: 0}, {Kind: Read, Node: last}, {Kind: Put, Node: 1, To: lastGeneration}, {Kind: Read, Node: 2}}
}

// lastGeneration is put at the end of a run, on top of what is current.
const lastGeneration = 99

// Scenarios returns the scenarios that are explored.
func Scenarios() []*Scenario {
	limits := Limits{Crashes: 2, Wipes: 1, Partitions: 1, Freezes: 1}
	return []*Scenario{
		{
			Name: "race", Nodes: 3, Voters: 3, Limits: limits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Put, Node: 1, From: 0, To: 2},
				{Kind: Read, Node: 2, After: 1},
			},
		},
		{
			Name: "comeback", Nodes: 3, Voters: 3, Limits: limits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Put, Node: 0, From: 0, To: 2, After: 1},
				{Kind: Put, Node: 0, From: 1, To: 3, After: 1},
				{Kind: Read, Node: 1, After: 2},
			},
		},
		{
			Name: "resend", Nodes: 4, Voters: 3, Limits: limits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Put, Node: 3, From: 1, To: 2, After: 1},
				{Kind: Put, Node: 1, From: 0, To: 1, After: 2},
			},
		},
		{
			Name: "voters", Nodes: 4, Voters: 3, Limits: limits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Replace, Node: 1, Out: 2, In: 3},
				{Kind: Put, Node: 0, From: 1, To: 2, After: 1},
			},
		},
		{
			Name: "two-replacements", Nodes: 5, Voters: 3, Limits: limits,
			Operations: []Operation{
				{Kind: Replace, Node: 0, Out: 2, In: 3},
				{Kind: Replace, Node: 1, Out: 0, In: 4},
				{Kind: Put, Node: 1, From: 0, To: 1, After: 1},
			},
		},
		{
			Name: "standby", Nodes: 4, Voters: 3, Limits: limits,
			Operations: []Operation{
				{Kind: Replace, Node: 3, Out: 2, In: 3},
				{Kind: Replace, Node: 3, Out: 2, In: 3, After: 1},
				{Kind: Put, Node: 0, From: 0, To: 1, After: 2},
			},
		},
		{
			Name: "lease", Nodes: 3, Voters: 3, Limits: limits, Lease: true, Candidates: 2, Length: 6 * time.Second,
		},
		{
			Name: "fence", Nodes: 3, Voters: 3, Limits: limits, Lease: true, Candidates: 2, Length: 7 * time.Second,
			Operations: []Operation{
				{Kind: ChangeUnderLease, Node: 0},
				{Kind: ChangeUnderLease, Node: 1},
				{Kind: ChangeUnderLease, Node: 0, After: 1},
				{Kind: ChangeUnderLease, Node: 1, After: 1},
				{Kind: ChangeUnderLease, Node: 0, After: 2},
			},
		},
		{
			Name: "lease-voters", Nodes: 5, Voters: 3, Limits: limits, Lease: true, Candidates: 2, Length: 6 * time.Second,
			Operations: []Operation{
				{Kind: Replace, Node: 0, Out: 2, In: 3},
				{Kind: Replace, Node: 0, Out: 1, In: 4, After: 1},
			},
		},
	}
}
