package modelcheck

import (
	"slices"
	"time"
)

// Scenario describes the runs of one kind: the nodes, the operations of clients, and the limits of faults.
type Scenario struct {
	Name       string
	Nodes      int // coordinators, the first Voters of them vote at the start
	Voters     int
	Operations []Operation
	Limits     Limits
	Lease      bool          // processes grant a lease, and the first Candidates of them try to acquire it
	Candidates int           // of the lease
	Length     time.Duration // least length of a run; 0: it ends with its operations
}

// Limits bound the number of faults in one run.
type Limits struct {
	Crashes, Wipes, Partitions, Freezes int
}

// finalOperations are the operations at the end of each run, without faults: reads before and after a last change.
func (s *Scenario) finalOperations() []Operation {
	last := s.Nodes - 1
	return []Operation{{Kind: Read, Node: 0}, {Kind: Read, Node: last}, {Kind: Put, Node: 1, To: lastGeneration}, {Kind: Read, Node: 2}}
}

// lastGeneration is put at the end of a run, on top of the current generation.
const lastGeneration = 99

// scenarioLimits are the limits of faults in each scenario of coordinators.
var scenarioLimits = Limits{Crashes: 2, Wipes: 1, Partitions: 1, Freezes: 1}

// Scenarios returns the scenarios of coordinators that are explored.
func Scenarios() []*Scenario {
	return slices.Concat(changeScenarios(), voterScenarios(), leaseScenarios())
}

// changeScenarios are scenarios of configuration changes by fixed voters.
func changeScenarios() []*Scenario {
	return []*Scenario{
		{
			Name: "race", Nodes: 3, Voters: 3, Limits: scenarioLimits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Put, Node: 1, From: 0, To: 2},
				{Kind: Read, Node: 2, After: 1},
			},
		},
		{
			Name: "comeback", Nodes: 3, Voters: 3, Limits: scenarioLimits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Put, Node: 0, From: 0, To: 2, After: 1},
				{Kind: Put, Node: 0, From: 1, To: 3, After: 1},
				{Kind: Read, Node: 1, After: 2},
			},
		},
		{
			Name: "resend", Nodes: 4, Voters: 3, Limits: scenarioLimits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Put, Node: 3, From: 1, To: 2, After: 1},
				{Kind: Put, Node: 1, From: 0, To: 1, After: 2},
			},
		},
	}
}

// voterScenarios are scenarios in which the voters change.
func voterScenarios() []*Scenario {
	return []*Scenario{
		{
			Name: "voters", Nodes: 4, Voters: 3, Limits: scenarioLimits,
			Operations: []Operation{
				{Kind: Put, Node: 0, From: 0, To: 1},
				{Kind: Replace, Node: 1, Out: 2, In: 3},
				{Kind: Put, Node: 0, From: 1, To: 2, After: 1},
			},
		},
		{
			Name: "two-replacements", Nodes: 5, Voters: 3, Limits: scenarioLimits,
			Operations: []Operation{
				{Kind: Replace, Node: 0, Out: 2, In: 3},
				{Kind: Replace, Node: 1, Out: 0, In: 4},
				{Kind: Put, Node: 1, From: 0, To: 1, After: 1},
			},
		},
		{
			Name: "standby", Nodes: 4, Voters: 3, Limits: scenarioLimits,
			Operations: []Operation{
				{Kind: Replace, Node: 3, Out: 2, In: 3},
				{Kind: Replace, Node: 3, Out: 2, In: 3, After: 1},
				{Kind: Put, Node: 0, From: 0, To: 1, After: 2},
			},
		},
	}
}

// leaseScenarios are scenarios in which nodes compete for the lease.
func leaseScenarios() []*Scenario {
	return []*Scenario{
		{
			Name: "lease", Nodes: 3, Voters: 3, Limits: scenarioLimits, Lease: true, Candidates: 2, Length: 6 * time.Second,
		},
		{
			Name: "fence", Nodes: 3, Voters: 3, Limits: scenarioLimits, Lease: true, Candidates: 2, Length: 7 * time.Second,
			Operations: []Operation{
				{Kind: ChangeUnderLease, Node: 0},
				{Kind: ChangeUnderLease, Node: 1},
				{Kind: ChangeUnderLease, Node: 0, After: 1},
				{Kind: ChangeUnderLease, Node: 1, After: 1},
				{Kind: ChangeUnderLease, Node: 0, After: 2},
			},
		},
		{
			Name: "lease-voters", Nodes: 5, Voters: 3, Limits: scenarioLimits, Lease: true, Candidates: 2, Length: 6 * time.Second,
			Operations: []Operation{
				{Kind: Replace, Node: 0, Out: 2, In: 3},
				{Kind: Replace, Node: 0, Out: 1, In: 4, After: 1},
			},
		},
	}
}
