package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ChooseVotersFunc computes the next voters from the current state, in which the last voter set is the newest. If it
// returns nil or the same voters, nothing changes.
type ChooseVotersFunc func(current *tierpb.ControlState) []*tierpb.Node

// ChangeVoters replaces the voters with those that choose returns, and changes nothing else; see Reconfigure.
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

// Reconfigure applies a change that also replaces the voters, in two steps: first it commits a joint value with the old and the
// new voter set, then a value with only the new set. The new set must contain a majority of the old one, so that a change that
// was computed from an outdated state cannot bring dead voters back; otherwise the error is ErrUnsafeVoterChange. A
// reconfiguration that another proposer has left incomplete is completed first, so the change function always gets a single
// voter set. If it leaves that set unchanged or returns an error, the value does not change. After a failure between the two
// steps any proposer may call LeaveJoint to complete the reconfiguration.
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

// LeaveJoint completes a reconfiguration: if the value has an old and a new voter set, the old one is dropped once that
// value is chosen. Otherwise it changes nothing.
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

// enterJoint applies a change and returns a value with two voter sets, the existing one and that of the change. It returns
// nil if the change leaves the voters as they are.
func enterJoint(existing *tierpb.VoterSet, current *tierpb.ControlState, change ChangeFunc) (*tierpb.ControlState, error) {
	next, err := change(current)
	if err != nil || len(next.GetVoters()) != 1 || sameMembers(existing, next.Voters[0]) {
		return nil, err
	}
	next.Voters = []*tierpb.VoterSet{existing, next.Voters[0]}
	return next, nil
}

// setVersionAndEpoch sets the version and epoch of the next value. It fails if the change of voters is unsafe.
func setVersionAndEpoch(current, next *tierpb.ControlState) (*tierpb.ControlState, error) {
	next.Version = current.GetVersion() + 1
	next.Epoch = current.GetEpoch()
	if sameVoters(current.GetVoters(), next.GetVoters()) {
		return next, nil
	}
	if !isSafeStep(current.GetVoters(), next.GetVoters()) {
		return nil, ErrUnsafeVoterChange
	}
	next.Epoch++
	return next, nil
}

// isSafeStep reports whether a single change may replace the voter sets in from with those in to. A second set may be added
// if it contains a majority of the first, and the first of two sets may be dropped.
func isSafeStep(from, to []*tierpb.VoterSet) bool {
	switch {
	case len(from) == 1 && len(to) == 2:
		return sameMembers(from[0], to[0]) && keepsMajority(from[0], to[1])
	case len(from) == 2 && len(to) == 1:
		return sameMembers(from[1], to[0])
	}
	return false
}

// leavesJoint reports whether a change drops the old voters. Such a change may be proposed only once a value with both
// voter sets is known to be chosen. If only a single acceptor held that value, the old voters, who do not know it, and the
// new voters could choose different values.
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

// sameContent reports whether two values are equal apart from version and epoch. It sets the version and epoch of next to
// those of current.
func sameContent(next, current *tierpb.ControlState) bool {
	next.Version, next.Epoch = current.GetVersion(), current.GetEpoch()
	return next.EqualVT(current)
}

func keepsMajority(from, to *tierpb.VoterSet) bool {
	return HasQuorum([]*tierpb.VoterSet{from}, identitiesOf(to).has)
}
