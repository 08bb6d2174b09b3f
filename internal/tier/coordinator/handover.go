package coordinator

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of a hand-over, within what a stop keeps in reserve.
const (
	handOverPatience = time.Second
	finishPatience   = 700 * time.Millisecond // for the second step of a change of voters that is under way after that
)

// handOver gives the vote of a process that stops to a standby, where one is there: the machine may never come back. A
// change of voters that is half done is finished first, for the old voters count until then. It needs no lease: it is
// computed on the newest value and takes no vote but the own.
func (c *coordinator) handOver(ctx context.Context) {
	known := c.state.Control()
	if len(c.voters()) < 2 && placement.ReplaceDrainingVoter(known, c.view(known), c.self.Identity) == nil {
		return
	}
	var next []*tierpb.Node
	patience, cancel := context.WithTimeout(ctx, handOverPatience)
	defer cancel()
	_, err := c.replaceVoters(patience, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if next = placement.ReplaceDrainingVoter(current, c.view(current), c.self.Identity); next == nil {
			return nil, nil
		}
		current.Voters = []*tierpb.VoterSet{{Nodes: next}}
		return current, nil
	})
	if len(c.voters()) > 1 {
		patience, cancel := context.WithTimeout(ctx, finishPatience)
		defer cancel()
		_, err = c.finishVoters(patience)
	}
	c.log.Info("vote handed over", "to", sortedNames(next), "error", err)
}
