// Package register implements a replicated compare-and-swap register that holds the control state of the whole system
// as one value. The algorithm is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs",
// arXiv:1802.07000, 2018): single-decree Paxos in which every change runs a prepare and an accept phase on the newest
// value. There is no log and no elected leader; any node with a Proposer may change the value.
//
// # Usage
//
// Every coordinator opens an Acceptor on its data folder and registers its handlers with the RPC server:
//
//	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: disk, Folder: folder, Address: self})
//	acceptor.Serve(server)
//	proposer := register.NewProposer(register.ProposerOptions{Caller: caller, Local: acceptor})
//
// A change is a function from the current value to the next one. It may be called once per attempt, and must recognise
// its own effect, because an attempt with an unknown outcome may have been completed by another proposer since:
//
//	chosen, err := proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
//		if alreadyApplied(current) {
//			return current, nil
//		}
//		apply(current)
//		return current, nil
//	})
//
// Proposer.Read returns a value that was current at some moment of the call, usually in one round trip without a write
// to any disk.
//
// # Guarantees
//
// Changes and reads are linearizable. Change returns nil only once the value that it returns is chosen, that is,
// accepted by a majority of every voter set that counts for it. ErrUncertain means that the change may be in force now
// or later; ErrUnavailable means that it is not and will not be. An error of the change function is returned only once
// the value on which the function decided is known to be chosen.
//
// # Voters
//
// The value names its own voters, so that a change of voters is an ordinary change. Voters are replaced in two steps by
// joint consensus (D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 6):
// first the old and the new set are in force together and a quorum needs a majority of each, then the old set is dropped.
// See Reconfigure and LeaveJoint. ControlState.Epoch counts the changes of voters, ControlState.Version all changes.
//
// # Durability
//
// An acceptor answers only what is on its disk, synced:
//
//   - a granted prepare: the proposal number is saved before the reply, because it promises to reject lower ones;
//   - an accept: the value and its proposal number are saved before the reply and before local readers see the value;
//   - a save that failed may still have left its bytes on disk. Before the next prepare is granted the known state is
//     written again, so that no unacknowledged value can reappear after a restart behind the proposer's back.
//
// A prepare with proposal number zero is a query: it promises nothing and touches no disk.
//
// # Lost disks
//
// Every acceptor votes under an identity that is stored with its state. An acceptor whose disk is empty, damaged or
// misses a file draws a new identity and answers requests for the old one with WrongIdentity: it has forgotten what it
// promised and accepted, so it must not vote as the node that it was. It becomes a voter again by a change of voters.
// Only at the first start of the whole system do identities and the initial value follow from the seed addresses alone,
// so that all coordinators agree on them without communication.
package register
