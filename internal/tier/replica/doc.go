// Package replica places keys on turn stores and calls quorums of their replica sets.
//
// Every key (a turn id or a program name) has a replica set of 2f+1 turn stores, where f is the configured fault
// tolerance. The set is chosen by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998) and spread over failure domains. All processes that know the same membership compute the same set, so no
// directory is needed.
//
// A write needs f+1 members of the set, and a read needs enough members to intersect every write quorum. While the
// membership changes, keys have two replica sets, one among the previous and one among the current members, and an
// operation needs a quorum of both, as in joint consensus (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014, section 6).
//
// CallQuorum runs one such operation. It first calls only as many members as a quorum needs, in the order of preference. If
// these do not reply soon, it calls the others as well (hedged requests; Dean and Barroso, "The Tail at Scale", 2013). It
// retries until its context ends. Packages turns and budget are built on it.
package replica
