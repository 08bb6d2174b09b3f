// Package lease elects at most one holder of a singleton role at a time. A majority of the voters of the register grants
// the lease for a limited time, and the holder stops before the grants expire, according to its own monotonic clock.
// The scheme is that of C. Gray and D. Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
// Cache Consistency", 1989) with a quorum of lessors instead of a single one.
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
// The holder calls OwnsLease, or OwnsLeaseOf with the voters of the value that it is about to change, immediately before
// each action. If Acquisition returns the same number at two such moments, the lease was held without interruption.
//
// # Safety
//
// For the same voter sets, no two candidates own the lease of a role at the same time, because:
//
//   - A candidate needs grants of a majority of each voter set, and any two majorities of a set have a lessor in common.
//   - A lessor grants a role to one holder until the grant expires or that holder releases it.
//   - A lessor counts the TTL of a grant from the receipt of the request. The candidate counts it from before it sent the
//     request, and reduces it by an eighth. So its grant ends first, as long as the clock rates of two machines differ by
//     less than that eighth; the clocks need not agree on the time of day.
//   - A lessor stores nothing on disk. After a start it grants nothing for MaxTTL, the longest time for which a grant from
//     before the start may still be valid. A lessor whose disk was lost has a new identity, which is in no voter set.
//   - Requests have a sequence number that increases with each attempt, so a delayed release cannot end a later grant, and
//     grants of attempts that began before a resignation are ignored.
//
// A process may be suspended between the check and the action. If that matters, the action needs a fencing token as well;
// see placement.Term.
package lease
