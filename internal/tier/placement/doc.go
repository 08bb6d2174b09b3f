// Package placement decides which coordinators vote in the register and which turn stores are members, that is, hold
// copies of records. It is pure: each function computes the next step from the control state and from a View of the
// cluster, without I/O and without a clock of its own.
//
// # Usage
//
// The holder of the placement lease calls NextVoters and NextStores periodically and commits what they return through the
// register. Several steps may follow one another; each is safe by itself:
//
//	term := placement.TermOf(current).Next(self)     // once per acquisition of the lease, see Term
//	if err := placement.CheckFence(placement.TermOf(current), credentials); err != nil {
//		return err                                   // inside the change function, on the very value that is changed
//	}
//	next, reason := placement.NextStores(current, view)
//
// # Guarantees
//
//   - A lease holder that was suspended or replaced changes nothing: every change is checked against the fencing token in the
//     value, the lease and the age of the view (CheckFence).
//   - At most a minority of the voters is replaced in one step, which the register requires.
//   - A change of the turn stores keeps the previous members until their records are on enough of the current ones (a
//     migration). Members that are unreachable are replaced, and removed without replacement only while enough stay and no
//     more are unreachable than may be lost at once: more are a sign that this process is partitioned from them.
//   - A retirement is completed only while no records migrate and no voter runs on its machine.
//
// A node is known by its identity, which it draws anew when its disk is lost; its name and address may be those of an
// earlier node that it replaces.
package placement
