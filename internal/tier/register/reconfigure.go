package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ChooseVotersFunc computes the next voters from the current state, of which the last voter set counts. Nil, or the same
// voters, leaves them as they are.
type ChooseVotersFunc func(current *tierpb.ControlState) []*tierpb.Node

// ChangeVoters makes the chosen nodes the voters and changes nothing else; see Reconfigure.
func ChangeVoters(ctx context.Context, proposer *Proposer, choose ChooseVotersFunc) (*tierpb.ControlState, error) {
	return Reconfigure(ctx, proposer, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		nodes := choose(current.CloneVT())
		if len(nodes) == 0 {
			return nil, nil
		}
		current.Voters = []*tierpb.VoterSet{{Nodes: nodes}}
		return current, nil
	})
}

// Reconfigure applies a change that also replaces the voters: first the old and the new set are in force together, then
// the new one alone. The new set must keep a majority of the old one, so that a choice that was based on outdated
// knowledge cannot bring dead voters back; otherwise the error is ErrTransition. A reconfiguration that another proposer
// has left incomplete is completed first, so the function finds one voter set only. Where it leaves that set as it is, or
// returns an error, the value does not change. After a failure between the steps anybody may call LeaveJoint.
func Reconfigure(ctx context.Context, proposer *Proposer, change ChangeFunc) (*tierpb.ControlState, error) {
	if _, err := LeaveJoint(ctx, proposer); err != nil {
		return nil, err
	}
	joint, err := proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if isJoint(current) {
			return nil, nil
		}
		return enterJoint(current.Voters[0], current, change)
	})
	if err != nil || !isJoint(joint) {
		return joint, err
	}
	if err := proposer.options.Failpoints.At(failpoint.VotersJoint); err != nil {
		return joint, err
	}
	return LeaveJoint(ctx, proposer)
}

// LeaveJoint drops the old voters where the voters are joint, once the joint value is chosen. It changes nothing
// otherwise.
func LeaveJoint(ctx context.Context, proposer *Proposer) (*tierpb.ControlState, error) {
	return proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if !isJoint(current) {
			return current, nil
		}
		current.Voters = current.Voters[len(current.Voters)-1:]
		return current, nil
	})
}

func isJoint(state *tierpb.ControlState) bool { return len(state.GetVoters()) > 1 }

// enterJoint applies a change and puts the voters that it chooses beside the present ones.
func enterJoint(present *tierpb.VoterSet, current *tierpb.ControlState, change ChangeFunc) (*tierpb.ControlState, error) {
	next, err := change(current)
	if err != nil || len(next.GetVoters()) != 1 || sameMembers(present, next.Voters[0]) {
		return nil, err
	}
	next.Voters = []*tierpb.VoterSet{present, next.Voters[0]}
	return next, nil
}

// numberSuccessor checks the voters of the value that is to follow another, and sets its version and epoch.
func numberSuccessor(current, next *tierpb.ControlState) (*tierpb.ControlState, error) {
	next.Version = current.GetVersion() + 1
	next.Epoch = current.GetEpoch()
	if sameVoters(current.GetVoters(), next.GetVoters()) {
		return next, nil
	}
	if !isSafeStep(current.GetVoters(), next.GetVoters()) {
		return nil, ErrTransition
	}
	next.Epoch++
	return next, nil
}

// isSafeStep reports whether voters may follow others in one change: one set may be joined by another that keeps a
// majority of it, and of two sets the first may be dropped.
func isSafeStep(from, to []*tierpb.VoterSet) bool {
	switch {
	case len(from) == 1 && len(to) == 2:
		return sameMembers(from[0], to[0]) && keepsMajority(from[0], to[1])
	case len(from) == 2 && len(to) == 1:
		return sameMembers(from[1], to[0])
	}
	return false
}

// leavesJoint reports whether a step drops the old voters. It may be proposed only once the joint voters are known to be
// chosen: on the ground of a joint value that one acceptor alone holds, the old and the new voters could each choose a
// value of their own.
func leavesJoint(current, next *tierpb.ControlState) bool {
	return len(current.GetVoters()) == 2 && len(next.GetVoters()) == 1
}

func sameVoters(one, other []*tierpb.VoterSet) bool {
	if len(one) != len(other) {
		return false
	}
	for i := range one {
		if !sameMembers(one[i], other[i]) {
			return false
		}
	}
	return true
}

// sameContent reports whether a value equals another one except for version and epoch, which it sets to the other's.
func sameContent(next, current *tierpb.ControlState) bool {
	next.Version, next.Epoch = current.GetVersion(), current.GetEpoch()
	return next.EqualVT(current)
}

func keepsMajority(from, to *tierpb.VoterSet) bool {
	return HasQuorum([]*tierpb.VoterSet{from}, identitiesOf(to).has)
}
