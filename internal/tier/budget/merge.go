// Package budget keeps programs' token budgets: pure rules on claims, and the proxy's client of the turn stores.
package budget

import (
	"slices"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Stages of a claim.
const (
	StageReserved = 0 // counted at the most that the turn may generate
	StageSettled  = 1 // counted at what it generated; 0 where it was withdrawn
)

// Merge adds entries to those of a program, which are sorted by request, and says whether anything changed.
// The result is the same in whatever order and however often entries are merged.
func Merge(into *tierpb.ProgramBudget, from []*tierpb.BudgetEntry) bool {
	changed := false
	for _, entry := range from {
		at, found := find(into, entry.Request)
		switch {
		case !found:
			into.Entries = slices.Insert(into.Entries, at, entry)
			changed = true
		case supersedes(entry, into.Entries[at]):
			into.Entries[at] = entry
			changed = true
		}
	}
	return changed
}

// supersedes says whether a claim replaces another one of the same turn.
func supersedes(entry, known *tierpb.BudgetEntry) bool {
	if entry.Stage != known.Stage {
		return entry.Stage > known.Stage
	}
	return entry.Tokens > known.Tokens
}

// Sum is what all claims of a program count together.
func Sum(budget *tierpb.ProgramBudget) uint64 {
	total := uint64(0)
	for _, entry := range budget.GetEntries() {
		total = add(total, entry.Tokens)
	}
	return total
}

// SettledSum is what the settled claims count together.
func SettledSum(budget *tierpb.ProgramBudget) uint64 {
	total := uint64(0)
	for _, entry := range budget.GetEntries() {
		if entry.Stage >= StageSettled {
			total = add(total, entry.Tokens)
		}
	}
	return total
}

// add adds without wrapping round.
func add(a, b uint64) uint64 {
	if a+b < a {
		return ^uint64(0)
	}
	return a + b
}

// Covers says whether merging entries would change nothing.
func Covers(known *tierpb.ProgramBudget, entries []*tierpb.BudgetEntry) bool {
	for _, entry := range entries {
		at, found := find(known, entry.Request)
		if !found || supersedes(entry, known.Entries[at]) {
			return false
		}
	}
	return true
}

func find(known *tierpb.ProgramBudget, request string) (int, bool) {
	return slices.BinarySearchFunc(known.Entries, request,
		func(entry *tierpb.BudgetEntry, request string) int { return strings.Compare(entry.Request, request) })
}

// Copy copies a program's claims. Entries are shared: they never change.
func Copy(known *tierpb.ProgramBudget) *tierpb.ProgramBudget {
	return &tierpb.ProgramBudget{
		Program:       known.Program,
		Entries:       slices.Clone(known.Entries),
		TouchedUnixMs: known.TouchedUnixMs,
	}
}
