// Package register implements a replicated compare-and-swap register that holds the control state of the whole system
// as one value. The algorithm is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs",
// arXiv:1802.07000, 2018): single-decree Paxos in which every change runs a prepare and an accept phase on the newest
// value. There is no log and no elected leader; any node that has a Proposer may change the value.
//
// # Usage
//
// Every coordinator opens an Acceptor on its data folder and registers its handlers with the RPC server:
//
//	acceptor, err := register.OpenAcceptor(register.AcceptorOptions{Disk: disk, Folder: folder, Address: self})
//	acceptor.Serve(server)
//	proposer := register.NewProposer(register.ProposerOptions{Caller: caller, Local: acceptor})
//
// A change is a function from the current value to the next one. It is called once per attempt and must recognise its
// own effect, because another proposer may have completed an earlier attempt whose outcome was unknown:
//
//	chosen, err := proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
//		if alreadyApplied(current) {
//			return current, nil
//		}
//		apply(current)
//		return current, nil
//	})
//
// Proposer.Read returns a value that was current at some point during the call, usually in one round trip and without
// a disk write.
//
// # Guarantees
//
// Changes and reads are linearizable. Change returns without an error only once the returned value is chosen, that is,
// accepted by a majority of each voter set involved. ErrUncertain means that the change may have taken effect or may
// still take effect; ErrUnavailable means that it has not and never will. An error of the change function is returned
// only once the value that was passed to the function is known to be chosen.
//
// # Voters
//
// The value contains its own voters, so replacing voters is an ordinary change. It takes two steps, by joint consensus
// (D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 6): first the old and
// the new voter set are both in force and a quorum needs a majority of each, then the old set is dropped. See Reconfigure
// and LeaveJoint. ControlState.Epoch counts the changes of voters, ControlState.Version counts all changes.
//
// # Durability
//
// An acceptor syncs its state to disk before it replies:
//
//   - Prepare: the proposal number is saved before the prepare is granted, because the grant promises to reject lower
//     numbers.
//   - Accept: the value and its proposal number are saved before the reply is sent and before local readers see the value.
//   - A failed save may still have left its bytes on disk. The known state is written again before the next prepare is
//     granted; otherwise a value that was never acknowledged, and that no reply mentioned, could reappear after a restart.
//
// A prepare with proposal number zero is a query: it promises nothing and does not access the disk.
//
// # Lost disks
//
// Every acceptor votes under an identity that is stored with its state. An acceptor whose disk is empty or corrupted, or
// lacks a file, generates a new identity and replies WrongIdentity to requests for the old one: it has lost what it
// promised and accepted, so it must not vote under the old identity. A change of voters makes it a voter again. Only at
// the first start of the cluster are identities and the initial value derived from the seed addresses alone, so that
// all coordinators agree on them without communication.
package register
