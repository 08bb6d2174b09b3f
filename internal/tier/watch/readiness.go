package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ErrNotReady is returned by a ReadinessGate that is not ready and has no updates that the watcher may use. The watcher
// should ask another source. Over rpc it receives rpc.ErrRejected instead.
var ErrNotReady = eris.New("no contact with a majority of the voters")

// ReadinessOptions configures a ReadinessGate.
type ReadinessOptions struct {
	// State is what the gate serves. Required.
	State *State
	// Ready reports whether the process has contact with a majority of the voters. Required.
	Ready func() bool
	// Starting reports whether the process has just started. While it is true, polls are held until the process is
	// ready, instead of being rejected. Required.
	Starting func() bool
	// OnChange is called when the process becomes ready or stops being ready, with the duration of the previous
	// condition. It must not call the gate. Nil means no call.
	OnChange func(ready bool, previousDuration time.Duration)
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// ReadinessGate is a Source that serves a State whose control state is chosen by consensus. While its process is not
// ready, it sends only updates that are newer than what the watcher has, marked as not ready, so that the watcher turns
// to another source. A watcher without a control state gets an error, as it would act on a state that may be outdated,
// unless its request accepts that. A ReadinessGate is safe for concurrent use.
type ReadinessGate struct {
	options ReadinessOptions

	mu                 sync.Mutex
	ready              bool
	changedAt          time.Time
	readinessPeriod    context.Context // canceled when ready changes
	endReadinessPeriod context.CancelFunc
}

// NewReadinessGate returns a gate that is not ready until Check or Watch finds that its process is.
func NewReadinessGate(options ReadinessOptions) *ReadinessGate {
	if options.Now == nil {
		options.Now = time.Now
	}
	gate := &ReadinessGate{options: options, changedAt: options.Now()}
	gate.readinessPeriod, gate.endReadinessPeriod = context.WithCancel(context.Background())
	return gate
}

// Check calls Ready and returns the result. If it has changed, held polls end.
func (g *ReadinessGate) Check() bool {
	ready, _ := g.check()
	return ready
}

func (g *ReadinessGate) check() (ready bool, period context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ready = g.options.Ready(); ready == g.ready {
		return ready, g.readinessPeriod
	}
	now := g.options.Now()
	previousDuration := now.Sub(g.changedAt)
	g.ready, g.changedAt = ready, now
	g.endReadinessPeriod()
	g.readinessPeriod, g.endReadinessPeriod = context.WithCancel(context.Background())
	if g.options.OnChange != nil {
		g.options.OnChange(ready, previousDuration)
	}
	return ready, g.readinessPeriod
}

// Watch implements Source. Its only errors are ErrNotReady and that of ctx.
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
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(period, cancel)()
	reply, err := g.options.State.Watch(pollCtx, request)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	return g.watchNotReady(ctx, request)
}

// awaitReady waits for the process to become ready, at most as long as the poll may be held, and reports whether it is.
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

// watchNotReady answers a poll while the process is not ready: with the updates that are newer than what the watcher has,
// marked as not ready, else with ErrNotReady. It omits the advertised coordinators, because this process may know only
// some of them.
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
