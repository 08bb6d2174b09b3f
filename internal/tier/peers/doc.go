// Package peers is the tier's peer sampling service: it gives each process some live processes of the tier, above all
// coordinators, also when none of the configured seeds is left. It decides nothing about membership.
//
// The algorithm is Cyclon (Voulgaris, Gavidia, van Steen: CYCLON, 2005), within the framework of Jelasity et al.
// (Gossip-based peer sampling, 2007). Each process keeps a View, a small random subset of the others. In each round it
// removes the oldest peer from the view and shuffles with it: both send a few entries, and each puts what it receives
// in the place of what it sent. So the views form a random graph that stays connected, references to a process are
// spread evenly, and those to a dead process disappear, as they are not renewed and the oldest are asked first.
//
// Differences from Cyclon:
//
//   - Entries older than maxAge are neither sent nor merged, which bounds how long a dead process is passed on.
//   - A process remembers the freshest coordinators outside its view, and each shuffle carries some of them. They are
//     few among many agents, and a process without any is cut off from the control state.
//   - Now and then a round goes to a seed, so that groups that have lost each other in a partition meet again.
//
// View is the algorithm without I/O and clock; Sampler runs it over rpc.
package peers
