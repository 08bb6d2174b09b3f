package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ErrNotReady is the answer of a source that has nothing to tell which its follower may act on: others have newer
// state.
var ErrNotReady = eris.New("no contact with a majority of the voters")

// ReadinessOptions of a ReadinessGate.
type ReadinessOptions struct {
	State *State
	// Ready says whether the process has contact with a majority of the voters.
	Ready func() bool
	// Starting says that the process has just started, so that followers may wait for it to be ready.
	Starting func() bool
	// OnChange is called when the process comes to be ready, or stops to be, with how long the time before lasted. It
	// is not to call the gate, and may be nil.
	OnChange func(ready bool, lasted time.Duration)
	// Now is the clock; time.Now where it is nil.
	Now func() time.Time
}

// ReadinessGate is a Source of a State that is kept by agreement. While its process is not ready, it tells followers
// what is newer than what they know and sends them on to other sources. Those that know nothing yet are told nothing,
// as they would act on state that may be old. It is safe for concurrent use.
type ReadinessGate struct {
	options ReadinessOptions

	mu     sync.Mutex
	ready  bool
	since  time.Time
	period context.Context // ends when ready changes
	end    context.CancelFunc
}

// NewReadinessGate makes a gate that is not ready yet.
func NewReadinessGate(options ReadinessOptions) *ReadinessGate {
	if options.Now == nil {
		options.Now = time.Now
	}
	gate := &ReadinessGate{options: options, since: options.Now()}
	gate.period, gate.end = context.WithCancel(context.Background())
	return gate
}

// Check notes whether the process is ready now, and says so. Polls that are held meanwhile end with a change.
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
	lasted := now.Sub(g.since)
	g.ready, g.since = ready, now
	g.end()
	g.period, g.end = context.WithCancel(context.Background())
	if g.options.OnChange != nil {
		g.options.OnChange(ready, lasted)
	}
	return ready, g.period
}

// Watch implements Source.
func (g *ReadinessGate) Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	ready, period := g.check()
	if !ready && g.options.Starting() {
		if ready = g.await(ctx, period, request); !ready && g.options.Starting() {
			return &tierpb.WatchReply{Incarnation: request.Incarnation, Cursor: request.Cursor}, ctx.Err() // no news
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

// await waits for the process to be ready, no longer than the poll may be held.
func (g *ReadinessGate) await(ctx, period context.Context, request *tierpb.WatchRequest) bool {
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	select {
	case <-period.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Check()
}

// watchNotReady tells a follower what is newer than what it knows, and that others may have newer state still. The
// coordinators that this process hears are left out: they are not those that there are.
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
