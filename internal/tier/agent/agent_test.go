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

func TestUpdatesOfAnyCoordinatorReachTheProxy(t *testing.T) {
	first, second := machine(1), machine(2)
	own := testSettings(t, machine(9), first, second)
	one, two := startCoordinator(t, testSettings(t, first)), startCoordinator(t, testSettings(t, second))
	startAgent(t, own)
	proxy := startProxy(t, own)

	one.SetControl(&tierpb.ControlState{Version: 1})
	await(t, proxy, func() bool { return proxy.Control().GetVersion() == 1 })
	two.SetControl(&tierpb.ControlState{Version: 2})
	two.Upsert(&tierpb.Instance{Id: "i", Sequence: 4, State: tierpb.InstanceState_INSTANCE_DRAINING})
	await(t, proxy, func() bool { return proxy.Control().GetVersion() == 2 && proxy.Instance("i") != nil })
	one.Upsert(&tierpb.Instance{Id: "i", Sequence: 3})
	one.Upsert(&tierpb.Instance{Id: "j", Sequence: 1})
	await(t, proxy, func() bool { return proxy.Instance("j") != nil })
	assert.Equal(t, proxy.Instance("i").State, tierpb.InstanceState_INSTANCE_DRAINING)
}

func TestVotersOfTheControlStateAreWatched(t *testing.T) {
	seed, joined := machine(11), machine(12)
	own, other := testSettings(t, machine(19), seed), testSettings(t, joined)
	known, unknown := startCoordinator(t, testSettings(t, seed)), startCoordinator(t, other)
	startAgent(t, own)
	proxy := startProxy(t, own)

	voter := &tierpb.Node{Address: other.InternalAddress(joined, settings.CoordinatorPortOffset), Role: tierpb.Role_ROLE_COORDINATOR}
	known.SetControl(&tierpb.ControlState{Version: 1, Voters: []*tierpb.VoterSet{{Nodes: []*tierpb.Node{voter}}}})
	unknown.Upsert(&tierpb.Instance{Id: "i", Sequence: 1})
	await(t, proxy, func() bool { return proxy.Control().GetVersion() == 1 && proxy.Instance("i") != nil })
}

func TestListenErrorNamesTheAddress(t *testing.T) {
	own := testSettings(t, machine(29))
	occupied, err := rpc.Listen(context.Background(), own.InternalAddress(own.IP, settings.AgentPortOffset))
	assert.NilError(t, err)
	defer occupied.Close()
	err = Run(context.Background(), settings.Fixed(own), hclog.NewNullLogger())
	assert.ErrorContains(t, err, "internal listener "+occupied.Addr().String())
}

func TestAgentAddressIsLoopback(t *testing.T) {
	own := testSettings(t, "10.0.0.1")
	assert.Equal(t, own.AgentAddress(), "127.0.0.1:7382")
	assert.Equal(t, testSettings(t, machine(9)).AgentAddress(), machine(9)+":7382")
}
