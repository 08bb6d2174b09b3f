// Package budget enforces the token budgets of programs: the rules on claims, and the proxy's client of the turn stores.
//
// Before a turn runs, it reserves a claim on its program's budget for the most tokens that it may generate; when it has
// ended, the claim is settled at the number it has generated. Claims are replicated on the program's replica set and merged
// as a state-based CRDT (Shapiro et al., "Conflict-free Replicated Data Types", 2011). Client.Reserve describes why
// concurrent claims never exceed the budget together.
package budget
