package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

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
	for pause(ctx, wait) {
		known := c.state.Control()
		if known == kept {
			continue
		}
		lacking := c.history.Lacking(known)
		found := c.fetchRuns(ctx, lacking)
		if len(lacking) > 0 && len(found) == 0 {
			wait = min(2*wait, ordersLongest)
		} else {
			wait = ordersInterval
		}
		if err := c.history.Keep(known, found); err != nil {
			c.log.Warn("older orders could not be saved", "error", err)
			continue
		}
		if len(found) > 0 {
			c.log.Info("older orders fetched", "runs", len(found), "lacking", len(c.history.Lacking(known)))
		}
		if len(c.history.Lacking(known)) == 0 {
			kept = known
		}
	}
}

// fetchRuns asks the other coordinators, one after the other, for runs; it returns those that were found.
func (c *coordinator) fetchRuns(ctx context.Context, lacking [][]byte) []*tierpb.OrderRun {
	if len(lacking) == 0 {
		return nil
	}
	first := rand.N(max(1, len(lacking)-runsOfACall+1)) // some may be lost for good
	request := &tierpb.OrderRunsRequest{Digests: lacking[first:min(first+runsOfACall, len(lacking))]}
	for _, target := range c.targets() {
		limited, cancel := context.WithTimeout(ctx, ordersCall)
		reply := &tierpb.OrderRunsReply{}
		err := c.caller.Call(limited, target.Address, rpc.MethodOrderRuns, request, reply)
		cancel()
		if err == nil && len(reply.Runs) > 0 {
			return reply.Runs
		}
	}
	return nil
}

// takeOrderRuns answers another coordinator that lacks runs.
func (c *coordinator) takeOrderRuns(_ context.Context, request *tierpb.OrderRunsRequest) (*tierpb.OrderRunsReply, error) {
	reply := &tierpb.OrderRunsReply{}
	for _, digest := range request.Digests[:min(len(request.Digests), runsOfACall)] {
		if run := c.history.Run(digest); run != nil {
			reply.Runs = append(reply.Runs, run)
		}
	}
	return reply, nil
}
