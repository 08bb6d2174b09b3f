package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of announcements.
const (
	announceCall   = 400 * time.Millisecond // of one call
	announcePause  = 50 * time.Millisecond
	announceEffort = 2500 * time.Millisecond // for which a coordinator that does not answer is called again
)

// announcements remembers which final states a majority of the voters is known to have.
type announcements struct {
	mu   sync.Mutex
	held map[string]tierpb.InstanceState
}

func newAnnouncements() *announcements {
	return &announcements{held: make(map[string]tierpb.InstanceState)}
}

func (a *announcements) isHeld(instance *tierpb.Instance) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[instance.Id] >= instance.State
}

func (a *announcements) hold(instance *tierpb.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[instance.Id] = max(a.held[instance.Id], instance.State)
}

// forget drops instances that the list has no longer.
func (a *announcements) forget(isListed func(id string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.held {
		if !isListed(id) {
			delete(a.held, id)
		}
	}
}

// announce tells all coordinators of an instance and says whether a majority of each voter set has it on disk before ctx ends.
// Those that do not answer are called again for a while, whatever the result.
func (c *coordinator) announce(ctx context.Context, instance *tierpb.Instance) bool {
	if c.announced.isHeld(instance) && c.inTouch() { // without contact, those that had it may have started anew
		return true
	}
	targets := c.targets()
	told := make(chan *tierpb.AnnounceReply, len(targets)+1)
	go func() {
		if reply := c.hold(instance); reply != nil {
			told <- reply
		}
	}()
	for _, target := range targets {
		go func() {
			if reply := c.announceTo(context.WithoutCancel(ctx), target.Address, instance); reply != nil {
				told <- reply
			}
		}()
	}
	var replies []*tierpb.AnnounceReply
	for {
		changed := c.state.Changed()
		if c.isQuorum(replies) {
			break
		}
		select {
		case reply := <-told:
			replies = append(replies, reply)
		case <-changed: // the voters may be others now
		case <-ctx.Done():
			return false
		}
	}
	c.announced.hold(instance)
	return true
}

// isQuorum says whether those that replied are a quorum of the newest voters. As with contact, one that knows of later
// voters does not count.
func (c *coordinator) isQuorum(replies []*tierpb.AnnounceReply) bool {
	newest := c.newestVoters()
	return register.HasQuorum(newest.GetVoters(), func(identity uint64) bool {
		return slices.ContainsFunc(replies, func(reply *tierpb.AnnounceReply) bool {
			return reply.Identity == identity && reply.Epoch <= newest.GetEpoch()
		})
	})
}

// announceTo calls one coordinator until it has answered, and returns nil where the effort is spent before.
func (c *coordinator) announceTo(ctx context.Context, address string, instance *tierpb.Instance) *tierpb.AnnounceReply {
	ctx, cancel := context.WithTimeout(ctx, announceEffort)
	defer cancel()
	request := &tierpb.AnnounceRequest{Instances: []*tierpb.Instance{instance}, From: c.self}
	for {
		call, done := context.WithTimeout(ctx, announceCall)
		reply := &tierpb.AnnounceReply{}
		err := c.caller.Call(call, address, rpc.MethodAnnounce, request, reply)
		done()
		if err == nil {
			return reply
		}
		if !clock.Sleep(ctx, announcePause) {
			return nil
		}
	}
}

// takeAnnounce merges what another coordinator was told, and answers when it is on disk.
func (c *coordinator) takeAnnounce(_ context.Context, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
	c.directory.heard(request.From)
	for _, instance := range request.Instances {
		c.state.Upsert(instance)
	}
	reply := c.hold(request.Instances...)
	if reply == nil {
		return nil, errNotHeld
	}
	return reply, nil
}

var errNotHeld = eris.New("what was announced could not be saved")

// hold saves final states and returns this process's vote for them, nil where the disk does not take them.
func (c *coordinator) hold(instances ...*tierpb.Instance) *tierpb.AnnounceReply {
	if err := c.departures.hold(instances...); err != nil {
		c.log.Warn("the leave of stores could not be saved", "error", err)
		return nil
	}
	return &tierpb.AnnounceReply{Identity: c.self.Identity, Epoch: c.newestVoters().GetEpoch()}
}
