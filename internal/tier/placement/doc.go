// Package placement decides which coordinators vote in the register and which turn stores are members, that is, hold
// copies of records. Its functions are pure: they compute the next step from the control state and from a View of the
// cluster, without I/O and without a clock of their own.
//
// # Usage
//
// The holder of the placement lease calls NextVoters and NextStores periodically and commits what they return through the
// register. A larger change takes several steps, each of which is safe by itself:
//
//	term := placement.TermOf(current).Next(self)     // once per acquisition of the lease, see Term
//	if err := placement.CheckFence(placement.TermOf(current), credentials); err != nil {
//		return err                                   // inside the change function, for the value that is being changed
//	}
//	next, reason := placement.NextStores(current, view)
//
// # Guarantees
//
//   - A lease holder that was suspended or replaced changes nothing, because CheckFence checks every change against the
//     fencing token in the value, the lease and the age of the view.
//   - At most a minority of the voters is replaced in one step, as the register requires.
//   - After a change of the turn stores, the previous members remain until enough of the current members have copies of
//     their records (a migration). Unreachable members are replaced. They are removed without replacement only if enough
//     members remain and no more are unreachable than may be lost at once: otherwise it is more likely that this process is
//     partitioned from them.
//   - A retirement is completed only when no migration is in progress and no voter runs on its machine.
//
// A node is identified by its identity, and generates a new one when its disk is lost. Its name and address may be those of
// an earlier node that it replaces.
package placement
