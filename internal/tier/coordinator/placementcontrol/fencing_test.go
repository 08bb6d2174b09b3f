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

// alwaysOwnedLease is a lease that this process believes to own even after it resigned. It stands for a lease that two
// processes own at once because of a clock fault.
type alwaysOwnedLease struct {
	acquisition atomic.Uint64
	resigned    atomic.Int64
}

func (l *alwaysOwnedLease) OwnsLease() bool                     { return true }
func (l *alwaysOwnedLease) OwnsLeaseOf([]*tierpb.VoterSet) bool { return true }
func (l *alwaysOwnedLease) Acquisition() uint64                 { return l.acquisition.Load() }
func (l *alwaysOwnedLease) Resign()                             { l.resigned.Add(1) }

// countingRegister is an in-memory register that counts calls of Change.
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

// joiningMembership reports a turn store that asks to join once joining is set, so that a change of the members is needed.
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

// needsStoreChange reports whether the known control state makes the controller change the turn store members.
func needsStoreChange(c *Controller) bool {
	known := c.options.Control()
	_, reason := placement.NextStores(known.CloneVT(), c.options.Views.View(known))
	return reason != ""
}

// A holder whose term was superseded sends no more changes under that term, even if it still believes to own the lease. It
// learns of the newer term from a rejection or, if that was lost, from the control state.
func TestNoChangeIsSentUnderSupersededTerm(t *testing.T) {
	const observationTime = 30 * time.Second // many times the TTL of the lease
	for _, rejectionLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			lease := &alwaysOwnedLease{}
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
			ownTerm := controller.tenure.Term()
			value, _ := changes.get()
			newer := value.CloneVT()
			ownTerm.Next(8).SetIn(newer)
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
			assert.Assert(t, needsStoreChange(controller), "the test needs a pending change")
			_, before := changes.get()
			running, stop := context.WithCancel(ctx)
			go controller.Run(running)
			time.Sleep(observationTime)
			synctest.Wait()
			_, calls := changes.get()
			assert.Equal(t, calls, before, "the register was called under a superseded term")
			assert.Assert(t, lease.resigned.Load() > 0)

			lease.acquisition.Add(1)
			time.Sleep(2 * retryInterval)
			synctest.Wait()
			value, _ = changes.get()
			assert.Equal(t, placement.TermOf(value), placement.TermOf(newer).Next(7))
			assert.Equal(t, len(value.GetStores().GetCurrent()), 1, "the change was not made under the new term")
			stop()
			synctest.Wait()
		})
	}
}
