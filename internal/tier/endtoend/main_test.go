// Package endtoend plays a whole tier on loopback addresses: every role a process of its own, started from a written
// settings file, with stand-in stores, an operator and clients around them.
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

// roleVariable turns this test's binary into the tier's.
const roleVariable = "PULLEYTIER_TEST_ROLE"

// patience bounds every wait of these tests; nothing is judged by it but that something never happens.
const patience = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(int(command.Run(os.Args[1:], os.Stdout, os.Stderr)))
	}
	os.Exit(m.Run())
}

// launch starts a role as a process of this binary.
func launch(role, settingsPath string) *exec.Cmd {
	started := exec.Command(os.Args[0], role, "--settings", settingsPath)
	started.Env = append(os.Environ(), roleVariable+"=1")
	return started
}

// usedSubnets gives each test addresses of its own.
var usedSubnets atomic.Int32

func subnet() string {
	const first, count = 64, 60
	return fmt.Sprintf("127.%d.%d", first+os.Getpid()%count, (os.Getpid()/count+int(usedSubnets.Add(1)))%250)
}

// world is a tier with all that surrounds it.
type world struct {
	*testbed.Tier
	t        *testing.T
	ctx      context.Context
	operator *testbed.Operator
	client   *testbed.Client
	engines  []*testbed.Store
	plain    []*testbed.Store
}

// safeBuffer collects the logs of all processes.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *safeBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var _ io.Writer = (*safeBuffer)(nil)

// newWorld starts three coordinators, three turn stores, two edges and four stores, sends the first configuration, and
// returns when every edge takes clients.
func newWorld(t *testing.T) *world {
	t.Helper()
	log := &safeBuffer{}
	tier, err := testbed.NewTier(testbed.Layout{
		Folder: t.TempDir(), Subnet: subnet(), Zones: []string{"north", "south", "west"}, Edges: 2, Coordinators: 3,
		TurnStores: 3, ToleratedFailures: 1, Launch: launch, Log: log,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	w := &world{Tier: tier, t: t, ctx: ctx, operator: testbed.NewOperator(tier.Controls()), client: testbed.NewClient()}
	t.Cleanup(func() {
		cancel()
		w.client.Close()
		for _, store := range append(w.engines, w.plain...) {
			store.Kill()
		}
		tier.Kill()
		if t.Failed() {
			t.Logf("what the processes logged:\n%s", log)
		}
	})
	assert.NilError(t, tier.Start())
	for range 2 {
		w.engines = append(w.engines, w.addStore(testbed.EngineService))
		w.plain = append(w.plain, w.addStore(testbed.PlainService))
	}
	w.configure(0, testbed.ExampleConfiguration(1).Body())
	for _, edge := range tier.Edges {
		w.until("an edge is ready", func() error { return tier.Ready(ctx, edge) })
		w.untilServed(edge)
	}
	return w
}

const slots = 32

func (w *world) addStore(service string) *testbed.Store {
	w.t.Helper()
	store, err := w.AddStore(w.ctx, service, slots)
	assert.NilError(w.t, err)
	return store
}

// configure sends a configuration and wants it taken.
func (w *world) configure(ifMatch uint64, body []byte) {
	w.t.Helper()
	answer, err := w.operator.PutConfiguration(w.ctx, ifMatch, body)
	assert.NilError(w.t, err)
	assert.Equal(w.t, answer.Status, 200, "%s", answer.Body)
}

// readBack wants the newest configuration to be this one.
func (w *world) readBack(want []byte) {
	w.t.Helper()
	answer, err := w.operator.Configuration(w.ctx)
	assert.NilError(w.t, err)
	assert.Equal(w.t, answer.Status, 200, "%s", answer.Body)
	assert.Equal(w.t, string(answer.Body), string(want))
}

// until waits for a condition.
func (w *world) until(what string, check func() error) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(20*time.Millisecond))
}

// untilServed waits until an edge knows the configuration, the stores of both services and the turn stores.
func (w *world) untilServed(edge *testbed.Machine) {
	w.t.Helper()
	w.until("a plain request is served", func() error {
		call := testbed.Call{Method: "GET", Path: testbed.FetchPrefix + "first"}
		return w.client.Do(w.ctx, edge.Settings.Listen.Front, call).CheckPlain(call)
	})
	w.until("a stream is served", func() error {
		call := draft("first", 6)
		return w.client.Do(w.ctx, edge.Settings.Listen.Front, call).CheckEvents(call, call.Body)
	})
	w.until("a turn is kept", func() error {
		call := talk("first", 6)
		return w.client.Do(w.ctx, edge.Settings.Listen.Front, call).CheckEvents(call, call.Body)
	})
}
