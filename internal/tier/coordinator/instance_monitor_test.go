package coordinator

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// A freeze that is shorter than contact lasts is no heartbeat time-out of instances that send heartbeats often.
func TestShortFreezeMarksNoInstanceSuspect(t *testing.T) {
	const period = 500 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	own := &settings.Settings{HeartbeatMs: int(period / time.Millisecond)}
	clock := func() time.Time { return now }
	state := watch.NewState()
	members := membership.New(membership.Options{
		Self: &tierpb.Node{Identity: 1}, State: state, Accepted: func() *tierpb.ControlState { return nil },
		Seeds: own.SeedCoordinators, Log: hclog.NewNullLogger(), Now: clock,
	})
	monitor := newInstanceMonitor(instanceMonitorOptions{
		heartbeat: heartbeatPeriod(own), state: state, inContact: members.InContact, log: hclog.NewNullLogger(), now: clock,
	})
	voters := &tierpb.VoterSet{Nodes: []*tierpb.Node{{Identity: 1}}}
	state.SetControl(&tierpb.ControlState{Version: 1, Voters: []*tierpb.VoterSet{voters}})
	check := func(sequence uint64) tierpb.InstanceState {
		state.Upsert(&tierpb.Instance{Id: "i-1", Sequence: sequence})
		monitor.check()
		return state.Instance("i-1").State
	}
	sequence := uint64(1)
	for ; sequence < 20; sequence++ {
		assert.Equal(t, check(sequence), stateReady)
		now = now.Add(failureCheckInterval)
	}
	now = now.Add(membership.ContactTimeout - failureCheckInterval) // nothing was heard, nor could be
	assert.Equal(t, check(sequence-1), stateReady)
	for range 3 * int(5*period/failureCheckInterval) {
		now = now.Add(failureCheckInterval)
		check(sequence - 1)
	}
	assert.Equal(t, check(sequence-1), stateSuspect, "an instance without heartbeats once the process runs again")
}
