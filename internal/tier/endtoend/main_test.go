// Package endtoend tests a whole tier on loopback addresses: every role runs as a process of its own, started from a
// settings file, with fake stores, a fake operator and test clients.
package endtoend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"pulleygw.example/pulleygw/internal/tier/command"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// roleVariable is the environment variable that makes this test's binary run a role of the tier.
const roleVariable = "PULLEYTIER_TEST_ROLE"

// testTimeout bounds every wait of these tests. It only detects that something never happens.
const testTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(int(command.Run(os.Args[1:], os.Stdout, os.Stderr)))
	}
	os.Exit(m.Run())
}

// launch returns the command that runs a role by this binary.
func launch(role, settingsPath string) *exec.Cmd {
	started := exec.Command(os.Args[0], role, "--settings", settingsPath)
	started.Env = append(os.Environ(), roleVariable+"=1")
	return started
}

// usedSubnets gives each test its own addresses.
var usedSubnets atomic.Int32

func subnet() string {
	const first, count = 64, 60
	return fmt.Sprintf("127.%d.%d", first+os.Getpid()%count, (os.Getpid()/count+int(usedSubnets.Add(1)))%250)
}

// harness is a running tier with its fake stores, operator and client.
type harness struct {
	*testbed.Tier
	t        *testing.T
	ctx      context.Context
	operator *testbed.Operator
	client   *testbed.Client
	engines  []*testbed.Store
	plain    []*testbed.Store
}

// syncBuffer collects the logs of all processes. It is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var _ io.Writer = (*syncBuffer)(nil)

// newHarness starts three coordinators, three turn stores, two edges and four fake stores, puts the first configuration,
// and returns when every edge serves clients. Everything ends with the test.
func newHarness(t *testing.T) *harness {
	t.Helper()
	log := &syncBuffer{}
	tier, err := testbed.NewTier(testbed.Layout{
		Folder: t.TempDir(), Subnet: subnet(), Zones: []string{"north", "south", "west"}, Edges: 2, Coordinators: 3,
		TurnStores: 3, ToleratedFailures: 1, Launch: launch, Log: log,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	h := &harness{Tier: tier, t: t, ctx: ctx, operator: testbed.NewOperator(tier.Controls()), client: testbed.NewClient()}
	t.Cleanup(func() {
		cancel()
		h.client.Close()
		for _, store := range append(h.engines, h.plain...) {
			store.Kill()
		}
		tier.Kill()
		if t.Failed() {
			t.Logf("logs of the processes:\n%s", log)
		}
	})
	assert.NilError(t, tier.Start())
	for range 2 {
		h.engines = append(h.engines, h.addStore(testbed.EngineService))
		h.plain = append(h.plain, h.addStore(testbed.PlainService))
	}
	h.configure(0, testbed.ExampleConfiguration(1).Body())
	for _, edge := range tier.Edges {
		h.eventually("an edge is ready", func() error { return tier.Ready(ctx, edge) })
		h.waitUntilServed(edge)
	}
	return h
}

const slots = 32

func (h *harness) addStore(service string) *testbed.Store {
	h.t.Helper()
	store, err := h.AddStore(h.ctx, service, slots)
	assert.NilError(h.t, err)
	return store
}

// configure puts a configuration, which must be acknowledged.
func (h *harness) configure(ifMatch uint64, body []byte) {
	h.t.Helper()
	answer, err := h.operator.PutConfiguration(h.ctx, ifMatch, body)
	assert.NilError(h.t, err)
	assert.Equal(h.t, answer.Status, 200, "%s", answer.Body)
}

// requireConfiguration checks that the newest configuration is this one.
func (h *harness) requireConfiguration(want []byte) {
	h.t.Helper()
	answer, err := h.operator.Configuration(h.ctx)
	assert.NilError(h.t, err)
	assert.Equal(h.t, answer.Status, 200, "%s", answer.Body)
	assert.Equal(h.t, string(answer.Body), string(want))
}

// eventually waits until a condition holds.
func (h *harness) eventually(what string, check func() error) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

// waitUntilServed waits until an edge has the configuration, the stores of both services and the turn stores.
func (h *harness) waitUntilServed(edge *testbed.Machine) {
	h.t.Helper()
	h.eventually("a plain request is served", func() error {
		call := testbed.Call{Method: "GET", Path: testbed.FetchPrefix + "first"}
		return h.client.Do(h.ctx, edge.Settings.Listen.Front, call).CheckPlain(call)
	})
	h.eventually("a stream is served", func() error {
		call := draft("first", 6)
		return h.client.Do(h.ctx, edge.Settings.Listen.Front, call).CheckEvents(call, call.Body)
	})
	h.eventually("a turn is stored", func() error {
		call := talk("first", 6)
		return h.client.Do(h.ctx, edge.Settings.Listen.Front, call).CheckEvents(call, call.Body)
	})
}
