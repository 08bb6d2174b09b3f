package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Options say how a plan is run.
type Options struct {
	Folder string // for data, settings and logs
	Subnet string // first three octets of the machines' addresses
	Log    io.Writer
	Timed  bool // check the time bounds of the rules too; otherwise violations of them are only counted
	// Launch returns the command of a role whose connections to other machines go through the relay. If volatile is not
	// empty, it names the data folder, and the disk is a VolatileDisk.
	Launch func(role, settingsPath, relay, self, volatile string) *exec.Cmd
	// Other returns the command of another build, whose connections are direct; nil: there is none.
	Other func(role, settingsPath string) *exec.Cmd
}

// relayPort is the port at which the relay listens, on the last address of the subnet.
const relayPort = 7300

// storeResponseDelay slows the fake stores, so that faults hit responses in flight.
const storeResponseDelay = 12 * time.Millisecond

// slots of each fake store.
const slots = 32

// harness is a running tier with its clients, stores and operators, and the state of its faults.
type harness struct {
	*testbed.Tier
	*History
	plan  Plan
	timed bool
	mixed bool // some processes are of another build, whose links the relay does not control
	relay *Relay

	mu           sync.Mutex
	incarnations map[*testbed.Machine]int // starts so far
	started      map[*testbed.Machine]time.Time
	ended        map[*testbed.Machine]int  // the last incarnation that was ended on purpose
	busy         map[*testbed.Machine]bool // a fault of the machine is in progress
	removed      map[*testbed.Machine]bool // removed for good
	replaced     bool
	retired      bool
	grown        bool

	rolling sync.Mutex // held while a machine with a disk is restarted in a plan of planned work

	stores storeSet
	config configurationHistory
	turns  turnSet
}

// newHarness starts a tier and waits until it serves.
func newHarness(ctx context.Context, plan Plan, options Options) (*harness, error) {
	if plan.Size == (Size{}) {
		plan.Size = sizes[0]
	}
	address := fmt.Sprintf("%s.250:%d", options.Subnet, relayPort)
	relay, err := NewRelay(address)
	if err != nil {
		return nil, err
	}
	log := &logWatcher{to: options.Log}
	tier, err := testbed.NewTier(testbed.Layout{
		Folder: options.Folder, Subnet: options.Subnet, Zones: []string{"north", "south", "west"}, Edges: plan.Size.Edges,
		Coordinators: plan.Size.Coordinators, TurnStores: plan.Size.TurnStores, Spares: 1,
		ToleratedFailures: plan.Size.ToleratedFailures, Launch: newLauncher(plan, options, address), Log: log,
		StoreResponseDelay: storeResponseDelay,
	})
	if err != nil {
		relay.Close()
		return nil, err
	}
	h := &harness{
		Tier: tier, History: NewHistory(options.Log), plan: plan, timed: options.Timed, relay: relay,
		mixed:        plan.Mixed && options.Other != nil,
		incarnations: make(map[*testbed.Machine]int),
		started:      make(map[*testbed.Machine]time.Time),
		ended:        make(map[*testbed.Machine]int),
		busy:         make(map[*testbed.Machine]bool),
		removed:      make(map[*testbed.Machine]bool),
	}
	h.config.harness, h.turns.harness, h.stores.harness = h, h, h
	log.found = func(line string) { h.ReportViolation("INVARIANT", "%s", line) }
	if err := h.start(ctx); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

// newLauncher returns the launcher of a plan: in a mixed plan, half of the starts, drawn from the seed, are of the other build.
func newLauncher(plan Plan, options Options, relayAddress string) testbed.Launcher {
	var mu sync.Mutex
	builds := rand.New(rand.NewPCG(plan.Seed, 5000))
	return func(role, settingsPath string) *exec.Cmd {
		mu.Lock()
		defer mu.Unlock()
		if plan.Mixed && options.Other != nil && builds.IntN(2) == 0 {
			return options.Other(role, settingsPath)
		}
		configured := settingsOf(settingsPath)
		volatile := ""
		if plan.Volatile {
			volatile = configured.DataDir
		}
		return options.Launch(role, settingsPath, relayAddress, configured.IP, volatile)
	}
}

// start starts the machines and stores, puts the first configuration, and waits until every route is served.
func (h *harness) start(ctx context.Context) error {
	defer h.beginFault(faultScope{what: "start", stops: everyEdge})()
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, machine := range h.Machines() {
		if err := h.launch(machine); err != nil {
			return err
		}
	}
	for range 3 {
		if err := h.stores.add(ctx, testbed.EngineService); err != nil {
			return err
		}
		if err := h.stores.add(ctx, testbed.PlainService); err != nil {
			return err
		}
	}
	if err := h.config.first(ctx); err != nil {
		return err
	}
	return h.awaitServed(ctx, startTime)
}

// startTime is the time limit for the start of a tier.
const startTime = 40 * time.Second

// reportLate records that a time bound was exceeded: as a violation if the plan is timed, else as a count.
func (h *harness) reportLate(rule, format string, values ...any) {
	if h.timed {
		h.ReportViolation(rule, format, values...)
		return
	}
	h.Logf("late %s: %s", rule, fmt.Sprintf(format, values...))
	h.Count("late: " + rule)
}

// close ends all stores, processes and the relay.
func (h *harness) close() {
	h.stores.closeAll()
	h.mu.Lock()
	for _, machine := range h.all() {
		h.ended[machine] = h.incarnations[machine]
	}
	h.mu.Unlock()
	for _, machine := range h.all() {
		machine.Kill()
	}
	h.relay.Close()
}

// all returns the machines, spares included.
func (h *harness) all() []*testbed.Machine {
	return append(append(h.Machines(), h.SpareCoordinators...), h.SpareTurnStores...)
}

// launch starts a machine and watches for processes that exit by themselves.
func (h *harness) launch(machine *testbed.Machine) error {
	h.mu.Lock()
	h.incarnations[machine]++
	h.started[machine] = time.Now()
	incarnation := h.incarnations[machine]
	h.mu.Unlock()
	if err := machine.Start(); err != nil {
		return err
	}
	for _, role := range machine.Roles() {
		go h.watch(machine, role, incarnation, machine.Exited(role))
	}
	return nil
}

// watch reports a process that exits unexpectedly.
func (h *harness) watch(machine *testbed.Machine, role string, incarnation int, exited <-chan struct{}) {
	<-exited
	h.mu.Lock()
	expected := h.ended[machine] >= incarnation
	h.mu.Unlock()
	if !expected {
		h.ReportViolation("FAULT", "%s of %s exited by itself", role, machine.Settings.NodeName)
	}
}

// expectExit declares that the processes of a machine are about to be ended on purpose.
func (h *harness) expectExit(machine *testbed.Machine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended[machine] = h.incarnations[machine]
}

// incarnation returns the number of starts of a machine's processes so far.
func (h *harness) incarnation(machine *testbed.Machine) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnations[machine]
}

// claim reserves a machine for a fault of its processes or disk. It returns false if another one is in progress.
func (h *harness) claim(machine *testbed.Machine) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy[machine] || h.removed[machine] {
		return false
	}
	h.busy[machine] = true
	return true
}

// release ends what claim began.
func (h *harness) release(machine *testbed.Machine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy[machine] = false
}

// members returns the machines that are part of the tier.
func (h *harness) members() []*testbed.Machine {
	h.mu.Lock()
	defer h.mu.Unlock()
	var members []*testbed.Machine
	for _, machine := range h.all() {
		if h.incarnations[machine] > 0 && !h.removed[machine] {
			members = append(members, machine)
		}
	}
	return members
}

// machineAt returns the machine at an address, nil if there is none.
func (h *harness) machineAt(address string) *testbed.Machine {
	for _, machine := range h.members() {
		if machine.Settings.IP == address {
			return machine
		}
	}
	return nil
}

// awaitServed waits until every route is served at every edge.
func (h *harness) awaitServed(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := testbed.NewClient()
	defer client.Close()
	for _, edge := range h.Edges {
		for _, kind := range routes {
			if err := h.awaitRouteServed(ctx, client, edge, kind); err != nil {
				return err
			}
		}
	}
	return nil
}

func (h *harness) awaitRouteServed(ctx context.Context, client *testbed.Client, edge *testbed.Machine, kind routeKind) error {
	for number := 0; ; number++ {
		attempt := h.send(ctx, client, edge, kind, callOf(kind, fmt.Sprintf("first-%s-%d\n", testbed.NewRequestID(), number)), nil)
		if attempt.Status == 200 && attempt.isComplete() {
			return nil
		}
		if ctx.Err() != nil {
			return eris.Errorf("%s is not served at %s: last status %d %s", kind, edge.Settings.NodeName, attempt.Status, attempt.Error)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
