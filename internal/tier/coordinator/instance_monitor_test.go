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

// Instances with a short heartbeat period must not be marked suspect because this process was frozen, even if the freeze was too
// short for quorum contact to lapse.
func TestShortFreezeMarksNoInstanceSuspect(t *testing.T) {
	const period = 500 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	nodeSettings := &settings.Settings{HeartbeatMs: int(period / time.Millisecond)}
	clock := func() time.Time { return now }
	state := watch.NewState()
	members := membership.New(membership.Options{
		Self: &tierpb.Node{Identity: 1}, State: state, Accepted: func() *tierpb.ControlState { return nil },
		Seeds: nodeSettings.SeedCoordinators, Log: hclog.NewNullLogger(), Now: clock,
	})
	monitor := newInstanceMonitor(instanceMonitorOptions{
		heartbeat: heartbeatPeriod(nodeSettings), state: state, hasQuorumContact: members.HasQuorumContact, log: hclog.NewNullLogger(), now: clock,
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
	now = now.Add(membership.ContactTimeout - failureCheckInterval) // the process is frozen and receives nothing
	assert.Equal(t, check(sequence-1), stateReady)
	for range 3 * int(5*period/failureCheckInterval) {
		now = now.Add(failureCheckInterval)
		check(sequence - 1)
	}
	assert.Equal(t, check(sequence-1), stateSuspect, "missing heartbeats must count again after the freeze")
}
