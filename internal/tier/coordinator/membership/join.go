package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	joinInterval    = 500 * time.Millisecond // mean time between two join requests
	joinCallTimeout = 700 * time.Millisecond
)

// RunJoin asks to become a voter until the control state names this process as one; it ends with ctx or with the shutdown.
func (m *Membership) RunJoin(ctx context.Context) {
	for ctx.Err() == nil && !m.stopping.Load() {
		if !register.IsVoter(m.options.State.Control(), m.options.Self.Identity) && !m.isInitialVoter() {
			m.join(ctx)
		}
		if !clock.Sleep(ctx, joinInterval/2+rand.N(joinInterval)) {
			return
		}
	}
}

// isInitialVoter reports that nothing is known yet but the first voters, of which this process is one.
func (m *Membership) isInitialVoter() bool {
	return m.options.State.Control() == nil && register.IsVoter(m.options.Accepted(), m.options.Self.Identity)
}

// join sends a join request to all other coordinators, and records its own.
func (m *Membership) join(ctx context.Context) {
	request := &tierpb.JoinRequest{Node: m.options.Self}
	m.directory.recordJoin(request)
	ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	calls := &sync.WaitGroup{}
	for _, target := range m.Targets() {
		calls.Go(func() {
			// One that fails is sent again at the next interval.
			_ = m.options.Caller.Call(ctx, target.Address, rpc.MethodJoin, request, &tierpb.JoinReply{})
		})
	}
	calls.Wait()
}

// HandleJoin records the join request of a coordinator or a turn store; the holder of the placement lease acts on it.
func (m *Membership) HandleJoin(_ context.Context, request *tierpb.JoinRequest) (*tierpb.JoinReply, error) {
	if request.GetNode().GetIdentity() == 0 {
		return nil, errNoIdentity
	}
	m.directory.recordJoin(request)
	return &tierpb.JoinReply{ControlVersion: m.options.State.Control().GetVersion()}, nil
}
