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
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const testTimeout = 30 * time.Second // bounds tests that hang; passing tests never wait this long

// loopbackAddress returns the loopback address with a number. The addresses depend on the process id, so that test
// processes that run concurrently use different ones.
func loopbackAddress(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%250, number)
}

func testSettings(t *testing.T, ip string, seeds ...string) *settings.Settings {
	t.Helper()
	text := fmt.Sprintf("nodeName = %q\nip = %q\nzone = \"z\"\nephemeralPorts = [7380, 7395]\nseeds = [", "edge-"+ip, ip)
	for _, seed := range seeds {
		text += fmt.Sprintf("%q,", seed+":8100")
	}
	parsed, err := settings.Parse([]byte(text + "]\n"))
	assert.NilError(t, err)
	return parsed
}

// startCoordinator serves polls at a coordinator's address until the test ends and returns the State that it serves.
func startCoordinator(t *testing.T, current *settings.Settings) *watch.State {
	t.Helper()
	state, server := watch.NewState(), rpc.NewServer()
	watch.Serve(server, state)
	listener, err := rpc.Listen(context.Background(), current.InternalAddress(current.IP, settings.CoordinatorPortOffset))
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return state
}

// startAgent runs an agent until the test ends.
func startAgent(t *testing.T, current *settings.Settings) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- Run(ctx, settings.Fixed(current), hclog.NewNullLogger()) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-result)
	})
}

// startProxy watches the agent as the proxy does, until the test ends, and returns the State that it keeps up to date.
func startProxy(t *testing.T, current *settings.Settings) *watch.State {
	t.Helper()
	state, client := watch.NewState(), rpc.NewClient()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch.Run(ctx, watch.Options{Caller: client, State: state, MaxSources: 1, Endpoints: func() []watch.Endpoint {
			return []watch.Endpoint{{Address: current.AgentAddress()}}
		}})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	return state
}

// waitForState waits until a condition on the state holds. It fails the test after testTimeout.
func waitForState(t *testing.T, state *watch.State, condition func() bool) {
	t.Helper()
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	for {
		changed := state.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			t.Fatal("condition did not hold in time")
		}
	}
}
