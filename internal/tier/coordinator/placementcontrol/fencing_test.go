package placementcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// wrongLease is a lease that two processes own, as may happen where clocks fail: resigning does not end it.
type wrongLease struct {
	acquisition atomic.Uint64
	resigned    atomic.Int64
}

func (l *wrongLease) OwnsLease() bool                     { return true }
func (l *wrongLease) OwnsLeaseOf([]*tierpb.VoterSet) bool { return true }
func (l *wrongLease) Acquisition() uint64                 { return l.acquisition.Load() }
func (l *wrongLease) Resign()                             { l.resigned.Add(1) }

// countingRegister is a register of one process that counts the calls.
type countingRegister struct {
	mu    sync.Mutex
	value *tierpb.ControlState // guarded by mu
	calls int                  // guarded by mu
}

func (r *countingRegister) Change(_ context.Context, change register.ChangeFunc) (*tierpb.ControlState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	next, err := change(r.value.CloneVT())
	if err != nil {
		return nil, err
	}
	if next != nil {
		r.value = next
	}
	return r.value, nil
}

func (r *countingRegister) set(value *tierpb.ControlState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = value
}

func (r *countingRegister) get() (value *tierpb.ControlState, calls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value, r.calls
}

func (r *countingRegister) Reconfigure(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error) {
	return r.Change(ctx, change)
}

func (r *countingRegister) LeaveJoint(context.Context) (*tierpb.ControlState, error) {
	return r.value, nil
}

// quietMembership is a view of the other nodes in which nothing calls for a change.
type quietMembership struct{ voters []*tierpb.VoterSet }

func (m quietMembership) Voters() []*tierpb.VoterSet          { return m.voters }
func (m quietMembership) RecentJoins() []placement.Join       { return nil }
func (m quietMembership) Zones() map[string]string            { return nil }
func (m quietMembership) UnreachableFor(string) time.Duration { return 0 }
func (m quietMembership) Stopping() bool                      { return false }

// A holder whose term was overtaken, though it owns the lease as far as it knows, sends nothing under that term any more. It
// may have learned of the newer term by a rejection, or from the control state alone where the rejection was lost.
func TestOvertakenTermIsPresentedNoMore(t *testing.T) {
	const observed = 30 * time.Second // many times the lease's TTL
	for _, rejectionLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			lease := &wrongLease{}
			lease.acquisition.Store(1)
			changes := &countingRegister{value: &tierpb.ControlState{Version: 1}}
			known := changes.value
			controller := New(Options{
				Identity: 7, Lease: lease, Register: changes, Log: hclog.NewNullLogger(), Now: time.Now,
				Control: func() *tierpb.ControlState { return known },
				Views: NewViewSource(ViewOptions{
					Self: &tierpb.Node{}, Live: settings.Fixed(&settings.Settings{}), Membership: quietMembership{}, Now: time.Now,
				}),
			})
			ctx := t.Context()
			assert.NilError(t, controller.ensureTerm(ctx))
			own := controller.tenure.Term()
			value, _ := changes.get()
			newer := value.CloneVT()
			own.Next(8).Stamp(newer)
			changes.set(newer)
			if rejectionLost {
				known = newer
			} else {
				_, err := changes.Change(ctx, controller.fenced(func(current *tierpb.ControlState, _ *placement.View) *tierpb.ControlState {
					return current
				}))
				assert.ErrorIs(t, err, placement.ErrFenced)
			}
			_, before := changes.get()
			running, stop := context.WithCancel(ctx)
			go controller.Run(running)
			time.Sleep(observed)
			synctest.Wait()
			_, calls := changes.get()
			assert.Equal(t, calls, before, "called under a term that was overtaken")
			assert.Assert(t, lease.resigned.Load() > 0)

			lease.acquisition.Add(1) // acquired anew
			time.Sleep(2 * retryInterval)
			synctest.Wait()
			value, _ = changes.get()
			assert.Equal(t, placement.TermOf(value), placement.TermOf(newer).Next(7))
			stop()
			synctest.Wait()
		})
	}
}
