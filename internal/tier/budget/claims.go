package budget

import (
	"slices"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Stages of a claim, in tierpb.BudgetEntry.Stage. A claim never goes back to an earlier stage.
const (
	StageReserved = 0 // counts the most tokens that the turn may generate
	StageSettled  = 1 // counts the tokens that it has generated; 0 if the claim was withdrawn
)

// Merge merges entries into those of a program, which are sorted by request, and returns whether anything has changed. It
// is commutative, associative and idempotent (the claims are a state-based CRDT), so replicas that have merged the same
// entries are equal, whatever the order. Entries are never modified.
func Merge(into *tierpb.ProgramBudget, entries []*tierpb.BudgetEntry) bool {
	changed := false
	for _, entry := range entries {
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

// join returns the least upper bound of two entries of one request: the later stage, the greater number of tokens within
// it, and Confirmed if either is. It returns known itself if entry adds nothing.
func join(known, entry *tierpb.BudgetEntry) *tierpb.BudgetEntry {
	newest := known
	if entry.Stage > known.Stage || entry.Stage == known.Stage && entry.Tokens > known.Tokens {
		newest = entry
	}
	if confirmed := known.Confirmed || entry.Confirmed; confirmed != newest.Confirmed {
		newest = &tierpb.BudgetEntry{
			Request: newest.Request, Tokens: newest.Tokens, Stage: newest.Stage, Confirmed: confirmed,
		}
	}
	return newest
}

// Covers returns whether merging entries would change nothing.
func Covers(known *tierpb.ProgramBudget, entries []*tierpb.BudgetEntry) bool {
	for _, entry := range entries {
		at, found := find(known, entry.Request)
		if !found || join(known.Entries[at], entry) != known.Entries[at] {
			return false
		}
	}
	return true
}

// Total returns the number of tokens that all claims of a program count together, saturated at the largest uint64.
func Total(budget *tierpb.ProgramBudget) uint64 {
	total := uint64(0)
	for _, entry := range budget.GetEntries() {
		total = saturatingAdd(total, entry.Tokens)
	}
	return total
}

// Clone returns a copy of a program's claims. Entries are shared: they are never modified.
func Clone(known *tierpb.ProgramBudget) *tierpb.ProgramBudget {
	return &tierpb.ProgramBudget{
		Program:        known.Program,
		Entries:        slices.Clone(known.Entries),
		LastUsedUnixMs: known.LastUsedUnixMs,
	}
}

// hasPriority returns whether a claim fits the budget together with the settled claims and those reserved ones that come
// before it in the order of their requests. Of concurrent claims that do not fit together, those with priority wait for
// the others to be withdrawn.
func hasPriority(known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry, budget uint64) bool {
	total := claim.Tokens
	for _, entry := range known.Entries {
		if entry.Stage >= StageSettled || entry.Request < claim.Request {
			total = saturatingAdd(total, entry.Tokens)
		}
	}
	return total <= budget
}

// anyConfirmed returns whether any claim of the program was confirmed by a second write.
func anyConfirmed(known *tierpb.ProgramBudget) bool {
	return slices.ContainsFunc(known.Entries, (*tierpb.BudgetEntry).GetConfirmed)
}

// isSettled returns whether a request's claim was settled or withdrawn.
func isSettled(known *tierpb.ProgramBudget, request string) bool {
	at, found := find(known, request)
	return found && known.Entries[at].Stage >= StageSettled
}

func saturatingAdd(a, b uint64) uint64 {
	if a+b < a {
		return ^uint64(0)
	}
	return a + b
}

// find returns the index of a request's entry, or the index at which to insert it.
func find(known *tierpb.ProgramBudget, request string) (int, bool) {
	return slices.BinarySearchFunc(known.Entries, request,
		func(entry *tierpb.BudgetEntry, request string) int { return strings.Compare(entry.Request, request) })
}
