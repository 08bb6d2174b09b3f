// Package budget enforces the token budgets of programs. It holds the rules for claims, and the client that proxies use to
// store them on the turn stores.
//
// Before a turn runs, the proxy reserves a claim on the program's budget for the maximum number of tokens that the turn may
// generate. When the turn has ended, the claim is settled: it is set to the number of tokens that were generated. Claims are
// replicated on the program's replica set and merged as a state-based CRDT (Shapiro et al., "Conflict-free Replicated Data
// Types", 2011). Client.reserve explains why concurrent claims never exceed the budget in total.
package budget
