package agent

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const patience = 30 * time.Second // ends a test that hangs; no test waits for it

// machine is a loopback address of this test process's own.
func machine(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%250, number)
}

func testSettings(t *testing.T, ip string, seeds ...string) *settings.Settings {
	text := fmt.Sprintf("nodeName = %q\nip = %q\nzone = \"z\"\nephemeralPorts = [7380, 7395]\nseeds = [", "edge-"+ip, ip)
	for _, seed := range seeds {
		text += fmt.Sprintf("%q,", seed+":8100")
	}
	parsed, err := settings.Parse([]byte(text + "]\n"))
	assert.NilError(t, err)
	return parsed
}

// startCoordinator serves a watch as a coordinator does.
func startCoordinator(t *testing.T, own *settings.Settings) *watch.State {
	state, server := watch.NewState(), rpc.NewServer()
	watch.Serve(server, state)
	listener, err := rpc.Listen(context.Background(), own.InternalAddress(own.IP, settings.CoordinatorPortOffset))
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return state
}

// startAgent runs an agent until the test ends.
func startAgent(t *testing.T, own *settings.Settings) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, settings.Fixed(own), hclog.NewNullLogger()) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
}

// startProxy follows the agent as the proxy does.
func startProxy(t *testing.T, own *settings.Settings) *watch.State {
	state, client := watch.NewState(), rpc.NewClient()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watch.Run(ctx, watch.Options{Caller: client, State: state, MaxSources: 1, Endpoints: func() []watch.Endpoint {
			return []watch.Endpoint{{Address: own.AgentAddress()}}
		}})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		client.Close()
	})
	return state
}

func await(t *testing.T, state *watch.State, met func() bool) {
	t.Helper()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		changed := state.Changed()
		if met() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			t.Fatal("it did not come about")
		}
	}
}

func TestNewsReachesTheProxyFromAnyCoordinator(t *testing.T) {
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

func TestVotersNamedByTheControlStateAreFollowed(t *testing.T) {
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

func TestAgentSaysWhichAddressItCannotListenOn(t *testing.T) {
	own := testSettings(t, machine(29))
	taken, err := rpc.Listen(context.Background(), own.InternalAddress(own.IP, settings.AgentPortOffset))
	assert.NilError(t, err)
	defer taken.Close()
	err = Run(context.Background(), settings.Fixed(own), hclog.NewNullLogger())
	assert.ErrorContains(t, err, "inner listener "+taken.Addr().String())
}

func TestProxyReachesTheAgentAtLoopback(t *testing.T) {
	own := testSettings(t, "10.0.0.1")
	assert.Equal(t, own.AgentAddress(), "127.0.0.1:7382")
	assert.Equal(t, testSettings(t, machine(9)).AgentAddress(), machine(9)+":7382")
}
