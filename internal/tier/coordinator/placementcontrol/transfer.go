package placementcontrol

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of a transfer, within what a shutdown keeps in reserve.
const (
	transferTimeout = time.Second
	finishTimeout   = 700 * time.Millisecond // for the second step of a change of voters that is under way after that
)

// VoteTransfer transfers the vote of a process that shuts down. All fields are required.
type VoteTransfer struct {
	Identity   uint64 // of this process
	Register   Register
	Control    func() *tierpb.ControlState // newest value known to be chosen
	Membership Membership
	Views      *ViewSource
	Log        hclog.Logger
}

// Run transfers the vote to a standby, where there is one: the machine may never come back. A change of voters that is half
// done is finished first, for the old voters count until then. It needs no lease: it is computed on the newest value and
// takes no vote but the own.
func (t *VoteTransfer) Run(ctx context.Context) {
	known := t.Control()
	if !t.isJoint() && t.replacement(known) == nil {
		return
	}
	next, err := t.replace(ctx)
	if t.isJoint() {
		err = t.finish(ctx)
	}
	t.Log.Info("vote transferred", "to", membership.NodeNames(next), "error", err)
}

// isJoint reports whether a change of voters is between its two steps.
func (t *VoteTransfer) isJoint() bool { return len(t.Membership.Voters()) > 1 }

// replacement returns the voters without this process, nil where it does not vote or nobody can take its place.
func (t *VoteTransfer) replacement(current *tierpb.ControlState) []*tierpb.Node {
	return placement.ReplaceDrainingVoter(current, t.Views.View(current), t.Identity)
}

// replace changes the voters to those without this process and returns them, nil where nobody can take its place.
func (t *VoteTransfer) replace(ctx context.Context) (next []*tierpb.Node, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_, err = t.Register.Reconfigure(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if next = t.replacement(current); next == nil {
			return nil, nil
		}
		current.Voters = []*tierpb.VoterSet{{Nodes: next}}
		return current, nil
	})
	return next, err
}

// finish completes the second step of a change of voters.
func (t *VoteTransfer) finish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	_, err := t.Register.LeaveJoint(ctx)
	return err
}
