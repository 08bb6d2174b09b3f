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

// joiningMembership is a view of the other nodes in which turn stores ask to join, once they do: then a change is called for.
type joiningMembership struct{ joining atomic.Bool }

func (m *joiningMembership) Voters() []*tierpb.VoterSet          { return nil }
func (m *joiningMembership) Zones() map[string]string            { return nil }
func (m *joiningMembership) UnreachableFor(string) time.Duration { return 0 }
func (m *joiningMembership) Stopping() bool                      { return false }

func (m *joiningMembership) RecentJoins() []placement.Join {
	if !m.joining.Load() {
		return nil
	}
	node := &tierpb.Node{Name: "store-1", Address: "10.0.0.1:1", Identity: 1, Role: tierpb.Role_ROLE_TURN_STORE}
	return []placement.Join{{Request: &tierpb.JoinRequest{Node: node}, FirstSeen: time.Now().Add(-time.Minute), LastSeen: time.Now()}}
}

// callsForChange reports whether the controller would change the turn stores by what it knows.
func callsForChange(c *Controller) bool {
	known := c.options.Control()
	_, reason := placement.NextStores(known.CloneVT(), c.options.Views.View(known))
	return reason != ""
}

// A holder whose term was overtaken, though it owns the lease as far as it knows, sends nothing under that term any more. It
// may have learned of the newer term by a rejection, or from the control state alone where the rejection was lost.
func TestOvertakenTermIsPresentedNoMore(t *testing.T) {
	const observed = 30 * time.Second // many times the lease's TTL
	for _, rejectionLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			lease := &wrongLease{}
			lease.acquisition.Store(1)
			changes := &countingRegister{value: &tierpb.ControlState{Version: 1}}
			known, others := changes.value, &joiningMembership{}
			controller := New(Options{
				Identity: 7, Lease: lease, Register: changes, Log: hclog.NewNullLogger(), Now: time.Now,
				Control: func() *tierpb.ControlState { return known },
				Views: NewViewSource(ViewOptions{
					Self: &tierpb.Node{}, Live: settings.Fixed(&settings.Settings{}), Membership: others, Now: time.Now,
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
			others.joining.Store(true)
			assert.Assert(t, callsForChange(controller), "otherwise nothing would be sent in any case")
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
			assert.Equal(t, len(value.GetStores().GetCurrent()), 1, "under the new term the change is made")
			stop()
			synctest.Wait()
		})
	}
}
