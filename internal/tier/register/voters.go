package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ChooseVotersFunc computes the next voters from the state in force, of which the last voter set counts. Nil, or the same
// voters, leaves them.
type ChooseVotersFunc func(current *tierpb.ControlState) []*tierpb.Node

// ChangeVoters makes the nodes that are chosen the voters; see ReplaceVoters.
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

// Reconfigure makes the voters those of the value that the function returns: first joint with the present ones, then
// alone. The new voters keep a majority of the old ones, so that a choice made on old knowledge cannot bring dead ones
// back. A change that somebody else has left halfway is finished first, so the function meets one set only; where it
// leaves that set, or refuses, the value stays as it is. Whoever meets joint voters may call FinishVoters.
func Reconfigure(ctx context.Context, proposer *Proposer, change ChangeFunc) (*tierpb.ControlState, error) {
	if _, err := LeaveJoint(ctx, proposer); err != nil {
		return nil, err
	}
	joint, err := proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if len(current.Voters) > 1 {
			return nil, nil
		}
		return joinVoters(current.Voters[0], current, change)
	})
	if err != nil || len(joint.GetVoters()) < 2 {
		return joint, err
	}
	if err := proposer.options.Failpoints.At(failpoint.VotersJoint); err != nil {
		return joint, err
	}
	return LeaveJoint(ctx, proposer)
}

// joinVoters applies a change and puts the voters that it chooses beside the present ones.
func joinVoters(present *tierpb.VoterSet, current *tierpb.ControlState, change ChangeFunc) (*tierpb.ControlState, error) {
	next, err := change(current)
	if err != nil || len(next.GetVoters()) != 1 || sameMembers(present, next.Voters[0]) {
		return nil, err
	}
	next.Voters = []*tierpb.VoterSet{present, next.Voters[0]}
	return next, nil
}

// LeaveJoint drops the old voters where voters are joint, once the joint value is chosen.
func LeaveJoint(ctx context.Context, proposer *Proposer) (*tierpb.ControlState, error) {
	return proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if len(current.Voters) < 2 {
			return current, nil
		}
		current.Voters = current.Voters[len(current.Voters)-1:]
		return current, nil
	})
}

// succeed checks the step from one value to the next and numbers it.
func (p *Proposer) succeed(current, next *tierpb.ControlState) (*tierpb.ControlState, error) {
	next.Version = current.GetVersion() + 1
	next.Epoch = current.GetEpoch()
	if sameVoters(current.GetVoters(), next.GetVoters()) {
		return next, nil
	}
	if !safeStep(current.GetVoters(), next.GetVoters()) {
		return nil, ErrTransition
	}
	next.Epoch++
	return next, nil
}

// safeStep says whether voters may follow others in one change: one set may be joined by another that keeps a
// majority of it, and of two the first may go.
func safeStep(from, to []*tierpb.VoterSet) bool {
	switch {
	case len(from) == 1 && len(to) == 2:
		return sameMembers(from[0], to[0]) && keepsMajority(from[0], to[1])
	case len(from) == 2 && len(to) == 1:
		return sameMembers(from[1], to[0])
	}
	return false
}

// needsChosen says whether a step may be proposed only once the voters of the current value are known to be chosen.
func needsChosen(current, next *tierpb.ControlState) bool {
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

// sameContent says whether a value is another one but for its numbers.
func sameContent(next, current *tierpb.ControlState) bool {
	next.Version, next.Epoch = current.GetVersion(), current.GetEpoch()
	return next.EqualVT(current)
}

func keepsMajority(from, to *tierpb.VoterSet) bool {
	kept := identities{}
	for _, node := range to.GetNodes() {
		kept.add(node.GetIdentity())
	}
	return HasQuorum([]*tierpb.VoterSet{from}, kept.has)
}
