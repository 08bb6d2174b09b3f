package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of maintenance.
const (
	maintenanceInterval = 250 * time.Millisecond
	silenceInterval     = 750 * time.Millisecond
	lookGapMost         = silenceInterval + 2*maintenanceInterval // after which the process did not run meanwhile
	joinInterval        = 500 * time.Millisecond
	joinCall            = 700 * time.Millisecond
	readPatience        = 2 * time.Second
)

// runMaintenance does at intervals what no call asks for: it looks after contact, lists coordinators, marks silent stores,
// learns chosen values and brings the own acceptor up to date.
func (c *coordinator) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var listed []*tierpb.Node
	unknownFor := 0
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.readiness.Check()
		listed = c.listCoordinators(listed)
		if c.now().Sub(c.lookedAt) >= silenceInterval {
			c.markSilent()
		}
		if !c.holdsUnknown() {
			unknownFor = 0
		} else if unknownFor++; unknownFor > 1 {
			c.learnChosen(ctx)
		}
		c.keepCurrent(ctx)
	}
}

// listCoordinators tells followers which coordinators this one hears, where that has changed.
func (c *coordinator) listCoordinators(listed []*tierpb.Node) []*tierpb.Node {
	heard := []*tierpb.Node{c.self}
	for _, node := range c.directory.coordinators() {
		if c.directory.isAnswering(node.Address) && node.Address != c.self.Address {
			heard = append(heard, node)
		}
	}
	same := slices.EqualFunc(heard, listed, func(a, b *tierpb.Node) bool { return a.EqualVT(b) })
	if !same {
		c.state.AdvertiseCoordinators(heard)
	}
	return heard
}

// markSilent marks stores without heartbeats and forgets those that are gone. A process that did not run for a while has
// heard nobody in that time.
func (c *coordinator) markSilent() {
	now := c.now()
	ran := now.Sub(c.lookedAt) <= lookGapMost
	c.lookedAt = now
	for _, mark := range c.silence.Observe(now, ran && c.inTouch(), c.state.Instances()) {
		c.state.Upsert(mark)
		c.log.Info("store", "id", mark.Id, "address", mark.Address, "state", mark.State)
	}
	if c.silence.Synchronized(now) {
		c.state.MarkSynchronized()
	}
	isListed := func(id string) bool { return c.state.Instance(id) != nil }
	c.announced.forget(isListed)
	c.departures.forget(isListed)
}

// holdsUnknown says that the own acceptor has a value that may have been chosen without this process knowing it.
func (c *coordinator) holdsUnknown() bool {
	accepted, known := c.accepted(), c.state.Control()
	return accepted.GetVersion() > known.GetVersion()
}

// learnChosen finds out which value is chosen. The others may be about to do the same.
func (c *coordinator) learnChosen(ctx context.Context) {
	if !clock.Sleep(ctx, rand.N(maintenanceInterval)) || !c.holdsUnknown() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	_, _ = c.register.Read(ctx) // without a quorum it is tried again
}

// keepJoining asks to be taken in as a voter until the control state names this process, or it is told to stop.
func (c *coordinator) keepJoining(ctx context.Context) {
	for ctx.Err() == nil && !c.stopping.Load() {
		if !register.IsVoter(c.state.Control(), c.self.Identity) && !c.votesFromStart() {
			c.join(ctx)
		}
		if !clock.Sleep(ctx, joinInterval/2+rand.N(joinInterval)) {
			return
		}
	}
}

// votesFromStart says that nothing is known yet but the first voters, of which this process is one.
func (c *coordinator) votesFromStart() bool {
	return c.state.Control() == nil && register.IsVoter(c.accepted(), c.self.Identity)
}

// join calls all other coordinators, and itself.
func (c *coordinator) join(ctx context.Context) {
	request := &tierpb.JoinRequest{Node: c.self}
	c.directory.joined(request)
	ctx, cancel := context.WithTimeout(ctx, joinCall)
	defer cancel()
	calls := &sync.WaitGroup{}
	for _, target := range c.targets() {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_ = c.caller.Call(ctx, target.Address, rpc.MethodJoin, request, &tierpb.JoinReply{})
		}()
	}
	calls.Wait()
}

// sortedNames lists nodes for the log.
func sortedNames(nodes []*tierpb.Node) string {
	var names []string
	for _, node := range nodes {
		name := node.Name
		if name == "" {
			name = node.Address
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
