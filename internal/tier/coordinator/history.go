package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times and sizes of the care for older orders.
const (
	ordersInterval = time.Second
	ordersLongest  = 30 * time.Second // between two tries to find runs that nobody had
	ordersCall     = 2 * time.Second
	runsOfACall    = 16 // about 70 kB
)

// keepOrders keeps the runs of older orders that the control state names, and asks others for those that are not here.
func (c *coordinator) keepOrders(ctx context.Context) {
	var kept *tierpb.ControlState
	wait := ordersInterval
	for clock.Sleep(ctx, wait) {
		known := c.state.Control()
		if known == kept {
			continue
		}
		if c.keepRuns(ctx, known) {
			kept, wait = known, ordersInterval
		} else {
			wait = min(2*wait, ordersLongest)
		}
	}
}

// keepRuns fetches the runs that a control state names for as long as some are found, and says whether all are here and on
// disk.
func (c *coordinator) keepRuns(ctx context.Context, known *tierpb.ControlState) bool {
	fetched := 0
	for before := -1; ; {
		found := c.fetchRuns(ctx, c.history.Missing(known))
		if err := c.history.Reconcile(known, found); err != nil {
			c.log.Warn("older orders could not be saved", "error", err)
			return false
		}
		lacking := len(c.history.Missing(known))
		fetched += len(found)
		if len(found) == 0 || lacking == 0 || lacking == before {
			c.logRuns(fetched, lacking)
			return lacking == 0
		}
		before = lacking
	}
}

// logRuns logs when runs were fetched, and when runs begin or cease to be lacking.
func (c *coordinator) logRuns(fetched, lacking int) {
	if fetched > 0 || lacking != c.runsLacking {
		c.log.Info("older orders", "runs_fetched", fetched, "runs_lacking", lacking)
	}
	c.runsLacking = lacking
}

// fetchRuns asks the other coordinators, one after the other, for runs; it returns those that were found.
func (c *coordinator) fetchRuns(ctx context.Context, lacking [][]byte) []*tierpb.ChangeSegment {
	if len(lacking) == 0 {
		return nil
	}
	first := rand.N(max(1, len(lacking)-runsOfACall+1)) // some may be lost for good
	request := &tierpb.ChangeSegmentsRequest{Digests: lacking[first:min(first+runsOfACall, len(lacking))]}
	for _, target := range c.targets() {
		limited, cancel := context.WithTimeout(ctx, ordersCall)
		reply := &tierpb.ChangeSegmentsReply{}
		err := c.caller.Call(limited, target.Address, rpc.MethodChangeSegments, request, reply)
		cancel()
		if err == nil && len(reply.Segments) > 0 {
			return reply.Segments
		}
	}
	return nil
}

// takeOrderRuns answers another coordinator that lacks runs.
func (c *coordinator) takeOrderRuns(_ context.Context, request *tierpb.ChangeSegmentsRequest) (*tierpb.ChangeSegmentsReply, error) {
	reply := &tierpb.ChangeSegmentsReply{}
	for _, digest := range request.Digests[:min(len(request.Digests), runsOfACall)] {
		if run := c.history.Segment(digest); run != nil {
			reply.Segments = append(reply.Segments, run)
		}
	}
	return reply, nil
}
