// Package modelcheck explores how the real register (acceptor, proposer, change of voters), the leader lease and the
// decisions on turn stores behave under every order of events that its bounds allow. A run is a sequence of points; at
// each point one of the possible actions is taken: an event is let go (a message arrives, a sync ends, a process
// starts, an operation begins), or there is trouble (a message is held, delayed, lost or repeated, a process crashes, a
// disk is wiped, a node is cut off or frozen), or time passes. The first action of a point is the default, every other
// one is a deviation, so a run is named by its deviations and replays from them.
//
// Two ways lead through the runs: a search takes all runs with up to so many deviations and leaves out what goes on from
// a state that was met before; walks draw deviations at random, each from a random subset of the kinds of trouble.
//
// The code under test runs in a testing/synctest bubble. One event is let go at a time, and the next is chosen when all
// goroutines wait, so Go's scheduler decides nothing. Nothing outside tests uses the package.
package modelcheck
