package budget

import (
	"slices"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Stages of a claim, in tierpb.BudgetEntry.Stage. A claim never returns to an earlier stage.
const (
	StageReserved = 0 // counts the maximum number of tokens that the turn may generate
	StageSettled  = 1 // counts the tokens that the turn has generated, or 0 if the claim was withdrawn
)

// Merge merges entries into those of a program, which are sorted by request, and returns whether anything has changed. It
// is commutative, associative and idempotent (the claims are a state-based CRDT), so replicas that have merged the same
// entries are equal, regardless of the order. Entries are never modified.
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

// join returns the least upper bound of two entries of the same request: the entry of the later stage, or with more tokens
// if the stages are equal, and Confirmed if either is. It returns known itself if entry adds nothing.
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

// Total returns the sum of the tokens of all claims of a program, saturated at the largest uint64.
func Total(known *tierpb.ProgramBudget) uint64 {
	total := uint64(0)
	for _, entry := range known.GetEntries() {
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

// hasPriority returns whether a claim fits into the budget together with all settled claims and the reserved claims whose
// request ids sort before its own. If concurrent claims do not all fit into the budget, those with priority wait until the
// others are withdrawn.
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

// isSettled returns whether the claim of a request was settled or withdrawn.
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

// find returns the index of a request's entry and true, or the index at which to insert it and false.
func find(known *tierpb.ProgramBudget, request string) (int, bool) {
	return slices.BinarySearchFunc(known.Entries, request,
		func(entry *tierpb.BudgetEntry, request string) int { return strings.Compare(entry.Request, request) })
}
