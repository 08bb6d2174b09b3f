// Package peers is the tier's peer sampling service. It provides each process with the addresses of some live processes of
// the tier, in particular coordinators, even if none of the configured seeds is alive. It has no part in membership decisions.
//
// The algorithm is Cyclon (Voulgaris, Gavidia, van Steen: CYCLON, 2005), within the framework of Jelasity et al.
// (Gossip-based peer sampling, 2007). Each process keeps a View, a small random subset of the other processes. In each round
// it removes the oldest peer from its view and shuffles with it: both send a few of their entries, and each replaces the
// entries it sent by those it received. The views thus form a random graph that stays connected, and references to a process
// are evenly distributed. References to a dead process disappear, as they are not renewed and the oldest peers are contacted
// first.
//
// Differences from Cyclon:
//
//   - Entries older than maxAge are neither sent nor merged, which bounds how long references to a dead process spread.
//   - A process remembers the most recent coordinators outside its view, and each shuffle carries some of them. There are few
//     coordinators among many agents, and a process that knows none has no access to the control state.
//   - One round in seedInterval goes to a seed, so that groups separated by a network partition merge again afterwards.
//
// View implements the algorithm without I/O and without a clock; Sampler runs it over rpc.
package peers
