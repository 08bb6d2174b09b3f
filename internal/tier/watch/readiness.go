package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ErrNotReady is the error of a ReadinessGate that has nothing for the watcher to act on: other sources have newer
// state. Over rpc the watcher sees rpc.ErrRejected.
var ErrNotReady = eris.New("no contact with a majority of the voters")

// ReadinessOptions configures a ReadinessGate.
type ReadinessOptions struct {
	// State is what the gate serves. Required.
	State *State
	// Ready reports whether the process has contact with a majority of the voters. Required.
	Ready func() bool
	// Starting reports whether the process has just started, so that watchers may wait for it to be ready. Required.
	Starting func() bool
	// OnChange is called when the process becomes ready or stops being ready, with how long the time before lasted. It
	// must not call the gate. Nil means no call.
	OnChange func(ready bool, lasted time.Duration)
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// ReadinessGate is a Source of a State that is kept by consensus. While its process is not ready, it sends watchers
// what is newer than what they know and refers them to other sources. Those that know nothing yet get nothing, as they
// would act on state that may be old. It is safe for concurrent use.
type ReadinessGate struct {
	options ReadinessOptions

	mu        sync.Mutex
	ready     bool
	changedAt time.Time
	period    context.Context // ends when ready changes
	endPeriod context.CancelFunc
}

// NewReadinessGate returns a gate that is not ready yet.
func NewReadinessGate(options ReadinessOptions) *ReadinessGate {
	if options.Now == nil {
		options.Now = time.Now
	}
	gate := &ReadinessGate{options: options, changedAt: options.Now()}
	gate.period, gate.endPeriod = context.WithCancel(context.Background())
	return gate
}

// Check asks whether the process is ready now and reports it. If that has changed, held polls end.
func (g *ReadinessGate) Check() bool {
	ready, _ := g.check()
	return ready
}

func (g *ReadinessGate) check() (ready bool, period context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ready = g.options.Ready(); ready == g.ready {
		return ready, g.period
	}
	now := g.options.Now()
	lasted := now.Sub(g.changedAt)
	g.ready, g.changedAt = ready, now
	g.endPeriod()
	g.period, g.endPeriod = context.WithCancel(context.Background())
	if g.options.OnChange != nil {
		g.options.OnChange(ready, lasted)
	}
	return ready, g.period
}

// Watch implements Source. It returns ErrNotReady, or the error of ctx.
func (g *ReadinessGate) Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	ready, period := g.check()
	if !ready && g.options.Starting() {
		if ready = g.awaitReady(ctx, period, request); !ready && g.options.Starting() {
			return &tierpb.WatchReply{Incarnation: request.Incarnation, Cursor: request.Cursor}, ctx.Err() // no updates
		}
		request.WaitMs = 0
	}
	if !ready {
		return g.watchNotReady(ctx, request)
	}
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(period, cancel)()
	reply, err := g.options.State.Watch(held, request)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	return g.watchNotReady(ctx, request)
}

// awaitReady waits for the process to become ready, no longer than the poll may be held.
func (g *ReadinessGate) awaitReady(ctx, period context.Context, request *tierpb.WatchRequest) bool {
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxPollWait))
	defer timer.Stop()
	select {
	case <-period.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Check()
}

// watchNotReady sends a watcher what is newer than what it knows, marked as possibly old. The coordinators that this
// process has contact with are left out: they are not all that there are.
func (g *ReadinessGate) watchNotReady(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	if request.ControlVersion == 0 && !request.AcceptNotReady {
		return nil, ErrNotReady
	}
	request.WaitMs, request.DigestsOnly = 0, false
	reply, err := g.options.State.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	if reply.Control == nil && len(reply.Instances) == 0 && len(reply.Statuses) == 0 {
		return nil, ErrNotReady
	}
	reply.Coordinators = nil
	reply.Responder = &tierpb.Responder{NotReady: true}
	return reply, nil
}
