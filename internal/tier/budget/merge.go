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
// The result is the same in whatever order and however often entries are merged. Entries are never altered.
func Merge(into *tierpb.ProgramBudget, from []*tierpb.BudgetEntry) bool {
	changed := false
	for _, entry := range from {
		at, found := find(into, entry.Request)
		if !found {
			into.Entries = slices.Insert(into.Entries, at, entry)
			changed = true
			continue
		}
		if joined := join(into.Entries[at], entry); joined != into.Entries[at] {
			into.Entries[at] = joined
			changed = true
		}
	}
	return changed
}

// join is the least entry that holds what both tell of a turn; it is known itself where entry tells nothing new.
func join(known, entry *tierpb.BudgetEntry) *tierpb.BudgetEntry {
	newest := known
	if entry.Stage > known.Stage || entry.Stage == known.Stage && entry.Tokens > known.Tokens {
		newest = entry
	}
	if twoRounds := known.Confirmed || entry.Confirmed; twoRounds != newest.Confirmed {
		newest = &tierpb.BudgetEntry{
			Request: newest.Request, Tokens: newest.Tokens, Stage: newest.Stage, Confirmed: twoRounds,
		}
	}
	return newest
}

// Total is the number of tokens that all claims of a program count together, saturated at the largest uint64.
func Total(budget *tierpb.ProgramBudget) uint64 {
	total := uint64(0)
	for _, entry := range budget.GetEntries() {
		total = add(total, entry.Tokens)
	}
	return total
}

// hasPriority says whether a claim has room besides those that are settled and those that are not but come before
// it by the order of their requests. Of claims that come at the same time and have no room together, those with
// priority wait for the others to be withdrawn.
func hasPriority(known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry, budget uint64) bool {
	total := claim.Tokens
	for _, entry := range known.Entries {
		if entry.Stage >= StageSettled || entry.Request < claim.Request {
			total = add(total, entry.Tokens)
		}
	}
	return total <= budget
}

// anyInTwoRounds says whether a claim of the program was written past its first members.
func anyInTwoRounds(known *tierpb.ProgramBudget) bool {
	return slices.ContainsFunc(known.Entries, (*tierpb.BudgetEntry).GetConfirmed)
}

// isSettled says whether a request's claim was settled or withdrawn.
func isSettled(known *tierpb.ProgramBudget, request string) bool {
	at, found := find(known, request)
	return found && known.Entries[at].Stage >= StageSettled
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
		if !found || join(known.Entries[at], entry) != known.Entries[at] {
			return false
		}
	}
	return true
}

func find(known *tierpb.ProgramBudget, request string) (int, bool) {
	return slices.BinarySearchFunc(known.Entries, request,
		func(entry *tierpb.BudgetEntry, request string) int { return strings.Compare(entry.Request, request) })
}

// Clone returns a copy of a program's claims. Entries are shared: they are never modified.
func Clone(known *tierpb.ProgramBudget) *tierpb.ProgramBudget {
	return &tierpb.ProgramBudget{
		Program:        known.Program,
		Entries:        slices.Clone(known.Entries),
		LastUsedUnixMs: known.LastUsedUnixMs,
	}
}
