package coordinator

import (
	"context"
	"sync"
	"time"

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

// announce tells all coordinators of an instance and says whether a majority of each voter set has it before ctx ends.
// Those that do not answer are called again for a while, whatever the result.
func (c *coordinator) announce(ctx context.Context, instance *tierpb.Instance) bool {
	if c.announced.isHeld(instance) && c.inTouch() { // without contact, those that had it may have started anew
		return true
	}
	targets := c.targets()
	told := make(chan uint64, len(targets))
	for _, target := range targets {
		go func() {
			if identity, answered := c.announceTo(context.WithoutCancel(ctx), target.Address, instance); answered {
				told <- identity
			}
		}()
	}
	voters := c.voters()
	has := map[uint64]bool{c.self.Identity: true}
	for !register.Quorum(voters, func(identity uint64) bool { return has[identity] }) {
		select {
		case identity := <-told:
			has[identity] = true
		case <-ctx.Done():
			return false
		}
	}
	c.announced.hold(instance)
	return true
}

// announceTo calls one coordinator until it has answered, and returns its identity, or until the effort is spent.
func (c *coordinator) announceTo(ctx context.Context, address string, instance *tierpb.Instance) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, announceEffort)
	defer cancel()
	request := &tierpb.AnnounceRequest{Instances: []*tierpb.Instance{instance}, From: c.self}
	for {
		call, done := context.WithTimeout(ctx, announceCall)
		reply := &tierpb.AnnounceReply{}
		err := c.caller.Call(call, address, rpc.MethodAnnounce, request, reply)
		done()
		if err == nil {
			return reply.Identity, true
		}
		if !pause(ctx, announcePause) {
			return 0, false
		}
	}
}

// takeAnnounce merges what another coordinator was told.
func (c *coordinator) takeAnnounce(_ context.Context, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
	c.directory.heard(request.From)
	for _, instance := range request.Instances {
		c.state.Upsert(instance)
	}
	return &tierpb.AnnounceReply{Identity: c.self.Identity}, nil
}

// pause says whether the time passed before ctx ended.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
