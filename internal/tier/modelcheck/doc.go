// Package modelcheck is a stateful, explicit-state model checker for the control plane. It runs the real register
// (acceptor, proposer, change of voters), the real leader lease and the real placement decisions on turn stores, and
// explores the orders of events that its bounds allow. It follows the approach of systematic schedulers for unmodified
// code, such as MoDist and SAMC: the implementation is the model, and only the environment is replaced.
//
// # Runs and schedules
//
// A run is a sequence of points. At each point the scheduler takes one of the possible actions: it dispatches an event
// (a message arrives, a sync ends, a process starts, an operation begins), injects a fault (a message is deferred,
// delayed, dropped or duplicated, a process crashes, a disk is wiped, a node is partitioned or frozen), or advances the
// time. The first action of a point is the default and every other one is a deviation, so a Schedule, the list of its
// deviations, names a run and replays it.
//
// # Exploration
//
// A Search plays all runs with up to a given number of deviations, in the order of that number, and prunes a run that
// reaches a state whose fingerprint was met before with as many deviations left. A Walk draws deviations at random, each
// run from a random subset of the kinds of faults. Shrink removes deviations from a failing schedule.
//
// # Invariants
//
// After each step the checks compare what the acceptors have accepted and what processes take for chosen: one value for
// each proposal number and for each version, no acknowledged change lost, one lease holder by the voters of an epoch, no
// change under an old term. At the end of a run all faults are healed, the register must be readable and changeable, and
// the history of the clients must be linearizable (checked by Porcupine). A StoreScenario checks that each acknowledged
// record is found by every read quorum, whatever the move of records.
//
// # Determinism
//
// The code under test runs in a testing/synctest bubble. One event is dispatched at a time, and the next one is chosen
// when all goroutines of the bubble are blocked, so Go's scheduler decides nothing. Random numbers are the same in each
// run. No production package imports modelcheck.
package modelcheck
