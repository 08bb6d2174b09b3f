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

// RunJoin asks to become a voter whenever this process is not one. It returns when ctx ends or the shutdown begins.
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

// isInitialVoter reports that no chosen value is known yet and that this process is a voter of the locally accepted value.
func (m *Membership) isInitialVoter() bool {
	return m.options.State.Control() == nil && register.IsVoter(m.options.Accepted(), m.options.Self.Identity)
}

// join sends a join request to all other coordinators and records it locally.
func (m *Membership) join(ctx context.Context) {
	request := &tierpb.JoinRequest{Node: m.options.Self}
	m.directory.recordJoin(request)
	ctx, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	calls := &sync.WaitGroup{}
	for _, target := range m.Targets() {
		calls.Go(func() {
			// Errors are ignored: the request is repeated after the next interval.
			_ = m.options.Caller.Call(ctx, target.Address, rpc.MethodJoin, request, &tierpb.JoinReply{})
		})
	}
	calls.Wait()
}

// HandleJoin records the join request of a coordinator or a turn store. The holder of the placement lease acts on it.
func (m *Membership) HandleJoin(_ context.Context, request *tierpb.JoinRequest) (*tierpb.JoinReply, error) {
	if request.GetNode().GetIdentity() == 0 {
		return nil, errNoIdentity
	}
	m.directory.recordJoin(request)
	return &tierpb.JoinReply{ControlVersion: m.options.State.Control().GetVersion()}, nil
}
