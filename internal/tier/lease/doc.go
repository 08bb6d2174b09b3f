// Package lease elects at most one holder of a singleton role at a time. A lease is granted for a limited time by a
// majority of the voters of the register, and its holder stops before the grants expire, by its own monotonic clock.
// The scheme is that of C. Gray and D. Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
// Cache Consistency", 1989) with a quorum of lessors in place of a single one.
//
// # Usage
//
// Every voter runs a Lessor and registers its handler; every process that may take the role runs a Candidate:
//
//	lessor := lease.NewLessor(identity, lease.MaxTTL)
//	lessor.Serve(server)
//	candidate := lease.NewCandidate(lease.CandidateOptions{Role: "placement", Self: identity, Caller: caller, Voters: voters})
//	go candidate.Run(ctx)
//
// The holder asks OwnsLease, or OwnsLeaseOf with the voters of the value that it is about to change, right before each
// action. Acquisition tells whether the lease was held without interruption between two such moments.
//
// # Safety
//
// No two candidates own the lease of a role by the same voter sets at the same time, because:
//
//   - a candidate needs grants of a majority of each voter set, and two majorities of a set share a lessor;
//   - a lessor grants a role to one holder until the grant expires or is released by that holder;
//   - a candidate counts a grant from before it sent the request, and by an eighth of the TTL shorter than the lessor, which
//     counts from the receipt. This holds as long as the clocks of two machines do not differ in rate by more than that
//     eighth; the clocks need not agree on the time of day;
//   - a lessor keeps nothing on disk. After a start it grants nothing for MaxTTL, the longest time for which a forgotten
//     grant may still be valid. A lessor whose disk was lost has another identity, which no voter set names;
//   - requests carry a sequence number that rises with each attempt, so that a delayed release cannot end a later grant,
//     and grants of attempts from before a resignation are ignored.
//
// A process may be suspended between the check and the action. Where that matters the action carries a fencing token as
// well; see placement.Term.
package lease
