package placementcontrol

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timeouts of a vote transfer. Together they stay below the part of the grace period that the shutdown reserves for it.
const (
	transferTimeout   = time.Second
	leaveJointTimeout = 700 * time.Millisecond // to complete a change of voters that is still joint after the transfer
)

// VoteTransfer transfers the vote of a process that shuts down to a standby. All fields are required.
type VoteTransfer struct {
	Identity   uint64 // of this process
	Register   Register
	Control    func() *tierpb.ControlState // returns the newest value known to be chosen
	Membership Membership
	Views      *ViewSource
	Log        hclog.Logger
}

// Run transfers the vote to a standby if there is one, because the machine may never come back. It also completes a change of
// voters that is still joint, because the old voters count until that is done. It needs no lease: it is computed on the
// newest value and removes only the vote of this process.
func (t *VoteTransfer) Run(ctx context.Context) {
	known := t.Control()
	if !t.isJoint() && t.votersWithoutSelf(known) == nil {
		return
	}
	next, err := t.replaceSelf(ctx)
	if t.isJoint() {
		err = t.leaveJoint(ctx)
	}
	t.Log.Info("vote transferred", "to", membership.NodeNames(next), "error", err)
}

// isJoint reports whether a change of voters is between its two steps, so that both voter sets count.
func (t *VoteTransfer) isJoint() bool { return len(t.Membership.Voters()) > 1 }

// votersWithoutSelf returns voters in which a standby replaces this process, or nil if this process is no voter or no standby
// is available.
func (t *VoteTransfer) votersWithoutSelf(current *tierpb.ControlState) []*tierpb.Node {
	return placement.ReplaceDrainingVoter(current, t.Views.View(current), t.Identity)
}

// replaceSelf changes the voters to those returned by votersWithoutSelf and returns them, or nil if there are none.
func (t *VoteTransfer) replaceSelf(ctx context.Context) (next []*tierpb.Node, err error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_, err = t.Register.Reconfigure(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if next = t.votersWithoutSelf(current); next == nil {
			return nil, nil
		}
		current.Voters = []*tierpb.VoterSet{{Nodes: next}}
		return current, nil
	})
	return next, err
}

// leaveJoint completes the second step of a change of voters.
func (t *VoteTransfer) leaveJoint(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveJointTimeout)
	defer cancel()
	_, err := t.Register.LeaveJoint(ctx)
	return err
}
