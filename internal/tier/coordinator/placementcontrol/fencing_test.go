package placementcontrol

import (
	"context"
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
	acquisition uint64
	resigned    int
}

func (l *wrongLease) OwnsLease() bool                     { return true }
func (l *wrongLease) OwnsLeaseOf([]*tierpb.VoterSet) bool { return true }
func (l *wrongLease) Acquisition() uint64                 { return l.acquisition }
func (l *wrongLease) Resign()                             { l.resigned++ }

// countingRegister is a register of one process that counts the calls.
type countingRegister struct {
	value *tierpb.ControlState
	calls int
}

func (r *countingRegister) Change(_ context.Context, change register.ChangeFunc) (*tierpb.ControlState, error) {
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
			lease := &wrongLease{acquisition: 1}
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
			newer := changes.value.CloneVT()
			own.Next(8).Stamp(newer)
			changes.value = newer
			if rejectionLost {
				known = newer
			} else {
				_, err := changes.Change(ctx, controller.fenced(func(current *tierpb.ControlState, _ *placement.View) *tierpb.ControlState {
					return current
				}))
				assert.ErrorIs(t, err, placement.ErrFenced)
			}
			calls := changes.calls
			running, stop := context.WithCancel(ctx)
			go controller.Run(running)
			time.Sleep(observed)
			assert.Equal(t, changes.calls, calls, "called under a term that was overtaken")
			assert.Assert(t, lease.resigned > 0)

			lease.acquisition++ // acquired anew
			time.Sleep(2 * retryInterval)
			assert.Equal(t, placement.TermOf(changes.value), placement.TermOf(newer).Next(7))
			stop()
			synctest.Wait()
		})
	}
}
