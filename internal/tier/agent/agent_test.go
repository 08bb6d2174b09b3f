package agent

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestProxyReceivesUpdatesOfAllCoordinators(t *testing.T) {
	first, second := loopbackAddress(1), loopbackAddress(2)
	agentSettings := testSettings(t, loopbackAddress(9), first, second)
	firstState, secondState := startCoordinator(t, testSettings(t, first)), startCoordinator(t, testSettings(t, second))
	startAgent(t, agentSettings)
	proxy := startProxy(t, agentSettings)

	firstState.SetControl(&tierpb.ControlState{Version: 1})
	waitForState(t, proxy, func() bool { return proxy.Control().GetVersion() == 1 })
	secondState.SetControl(&tierpb.ControlState{Version: 2})
	secondState.Upsert(&tierpb.Instance{Id: "i", Sequence: 4, State: tierpb.InstanceState_INSTANCE_DRAINING})
	waitForState(t, proxy, func() bool { return proxy.Control().GetVersion() == 2 && proxy.Instance("i") != nil })
	firstState.Upsert(&tierpb.Instance{Id: "i", Sequence: 3})
	firstState.Upsert(&tierpb.Instance{Id: "j", Sequence: 1})
	waitForState(t, proxy, func() bool { return proxy.Instance("j") != nil })
	assert.Equal(t, proxy.Instance("i").State, tierpb.InstanceState_INSTANCE_DRAINING)
}

func TestAgentWatchesVotersOfControlState(t *testing.T) {
	seed, joined := loopbackAddress(11), loopbackAddress(12)
	agentSettings, joinedSettings := testSettings(t, loopbackAddress(19), seed), testSettings(t, joined)
	seedState, joinedState := startCoordinator(t, testSettings(t, seed)), startCoordinator(t, joinedSettings)
	startAgent(t, agentSettings)
	proxy := startProxy(t, agentSettings)

	voter := &tierpb.Node{Address: joinedSettings.InternalAddress(joined, settings.CoordinatorPortOffset), Role: tierpb.Role_ROLE_COORDINATOR}
	seedState.SetControl(&tierpb.ControlState{Version: 1, Voters: []*tierpb.VoterSet{{Nodes: []*tierpb.Node{voter}}}})
	joinedState.Upsert(&tierpb.Instance{Id: "i", Sequence: 1})
	waitForState(t, proxy, func() bool { return proxy.Control().GetVersion() == 1 && proxy.Instance("i") != nil })
}

func TestListenErrorContainsAddress(t *testing.T) {
	agentSettings := testSettings(t, loopbackAddress(29))
	occupied, err := rpc.Listen(context.Background(), agentSettings.InternalAddress(agentSettings.IP, settings.AgentPortOffset))
	assert.NilError(t, err)
	defer occupied.Close()
	err = Run(context.Background(), settings.Fixed(agentSettings), hclog.NewNullLogger())
	assert.ErrorContains(t, err, "internal listener "+occupied.Addr().String())
}

func TestAgentAddressIsLoopback(t *testing.T) {
	agentSettings := testSettings(t, "10.0.0.1")
	assert.Equal(t, agentSettings.AgentAddress(), "127.0.0.1:7382")
	assert.Equal(t, testSettings(t, loopbackAddress(9)).AgentAddress(), loopbackAddress(9)+":7382")
}
