package turnstore

import (
	"context"
	"sync/atomic"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Mover makes a pass over the store at each change of members.
type Mover struct {
	Store     *Store
	Caller    rpc.Caller
	Tolerance int

	copied atomic.Uint64 // epoch of the newest membership whose pass is over
	done   chan struct{} // told when a pass is over
}

// NewMover makes a Mover.
func NewMover(store *Store, caller rpc.Caller, tolerance int) *Mover {
	return &Mover{Store: store, Caller: caller, Tolerance: tolerance, done: make(chan struct{}, 1)}
}

// Copied is the newest epoch of which all that was held has been handed on.
func (m *Mover) Copied() uint64 { return m.copied.Load() }

// Done is told when Copied has risen.
func (m *Mover) Done() <-chan struct{} { return m.done }

// Run works until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	for ctx.Err() == nil {
		membership, changed := m.Store.Membership()
		if membership.GetEpoch() > m.copied.Load() && m.follow(ctx, membership, changed) {
			m.copied.Store(membership.Epoch)
			select {
			case m.done <- struct{}{}:
			default:
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// follow saves a membership and makes its pass; it says whether the pass is over. It ends early when the members
// change again.
func (m *Mover) follow(ctx context.Context, membership *tierpb.StoreMembership, changed <-chan struct{}) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for m.Store.saveMembership(membership) != nil {
		select {
		case <-m.Store.options.After(pauseOfFailure):
		case <-ctx.Done():
			return false
		}
	}
	if !replica.Contains(membership.Previous, m.Store.identity) {
		return true
	}
	work := &pass{
		store: m.Store, caller: m.Caller, tolerance: m.Tolerance,
		membership: membership, faults: m.Store.options.Faults, after: m.Store.options.After,
	}
	began := m.Store.options.Now()
	for {
		err := work.run(ctx)
		if err == nil {
			m.Store.options.Log.Info("records copied", "epoch", membership.Epoch, "handed", work.handed, "bytes", work.bytes,
				"seconds", m.Store.options.Now().Sub(began).Seconds())
			return true
		}
		select {
		case <-m.Store.options.After(pauseOfFailure):
		case <-ctx.Done():
			return false
		}
	}
}

// saveMembership makes a membership durable: only then may its pass be reported. A store that starts again
// without it would serve calls of an older epoch behind its report.
func (s *Store) saveMembership(membership *tierpb.StoreMembership) error {
	text, err := membership.MarshalVT()
	if err != nil {
		return err
	}
	if err := s.members.Save(text); err != nil {
		s.options.Log.Warn("the membership could not be saved", "error", err)
		return err
	}
	return s.options.Faults.At(pointMembershipSaved)
}
