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

// Options say how a plan is played.
type Options struct {
	Folder string // disks, settings and logs
	Subnet string // first three parts of the machines' addresses
	Log    io.Writer
	Timed  bool // the bounds of the rules are judged too; elsewhere what is late is counted
	// Launch makes the command of a role whose inner connections go through the relay. Where volatile names its data
	// folder, its disk is a VolatileDisk.
	Launch func(role, settingsPath, relay, self, volatile string) *exec.Cmd
	// Other makes that of another build, whose connections are direct; nil where there is none.
	Other func(role, settingsPath string) *exec.Cmd
}

// relayPort is where the relay listens, at the last address of the subnet.
const relayPort = 7300

// storePause is the stores' time of work, so that troubles meet answers on their way.
const storePause = 12 * time.Millisecond

const slots = 32

// world is a running tier with its surroundings.
type world struct {
	*testbed.Tier
	*History
	plan  Plan
	timed bool
	mixed bool // some processes are of another build, whose links the relay does not cut
	relay *Relay

	mu       sync.Mutex
	lives    map[*testbed.Machine]int // processes started so far
	started  map[*testbed.Machine]time.Time
	ended    map[*testbed.Machine]int  // the last life that was ended on purpose
	busy     map[*testbed.Machine]bool // a trouble of its life is on
	gone     map[*testbed.Machine]bool // taken away for good
	replaced bool
	retired  bool
	grown    bool

	stores storeSet
	config configurations
	turns  turnSet
}

// newWorld starts a tier and waits until it serves.
func newWorld(ctx context.Context, plan Plan, options Options) (*world, error) {
	if plan.Size == (Size{}) {
		plan.Size = sizes[0]
	}
	address := fmt.Sprintf("%s.250:%d", options.Subnet, relayPort)
	relay, err := NewRelay(address)
	if err != nil {
		return nil, err
	}
	log := &watchedLog{to: options.Log}
	builds := rand.New(rand.NewPCG(plan.Seed, 5000))
	var drawing sync.Mutex
	launch := func(role, settingsPath string) *exec.Cmd {
		drawing.Lock()
		defer drawing.Unlock()
		if plan.Mixed && options.Other != nil && builds.IntN(2) == 0 {
			return options.Other(role, settingsPath)
		}
		told := settingsOf(settingsPath)
		volatile := ""
		if plan.Volatile {
			volatile = told.DataDir
		}
		return options.Launch(role, settingsPath, address, told.IP, volatile)
	}
	tier, err := testbed.NewTier(testbed.Layout{
		Folder: options.Folder, Subnet: options.Subnet, Zones: []string{"north", "south", "west"}, Edges: plan.Size.Edges,
		Coordinators: plan.Size.Coordinators, TurnStores: plan.Size.TurnStores, Spares: 1, ToleratedFailures: plan.Size.Tolerated, Launch: launch, Log: log,
		StoreResponseDelay: storePause,
	})
	if err != nil {
		relay.Close()
		return nil, err
	}
	w := &world{
		Tier: tier, History: NewHistory(options.Log), plan: plan, timed: options.Timed, mixed: plan.Mixed && options.Other != nil, relay: relay, lives: make(map[*testbed.Machine]int),
		started: make(map[*testbed.Machine]time.Time),
		ended:   make(map[*testbed.Machine]int), busy: make(map[*testbed.Machine]bool), gone: make(map[*testbed.Machine]bool),
	}
	w.config.world, w.turns.world, w.stores.world = w, w, w
	log.found = func(line string) { w.Break("INVARIANT", "%s", line) }
	if err := w.start(ctx); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) start(ctx context.Context) error {
	defer w.begin(cause{what: "start", stops: everyEdge})()
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, machine := range w.Machines() {
		if err := w.launch(machine); err != nil {
			return err
		}
	}
	for range 3 {
		if err := w.stores.add(ctx, testbed.EngineService); err != nil {
			return err
		}
		if err := w.stores.add(ctx, testbed.PlainService); err != nil {
			return err
		}
	}
	if err := w.config.first(ctx); err != nil {
		return err
	}
	return w.untilServed(ctx, startTime)
}

const startTime = 40 * time.Second

// late records that a bound of time was passed.
func (w *world) late(rule, format string, values ...any) {
	if w.timed {
		w.Break(rule, format, values...)
		return
	}
	w.Note("late %s: %s", rule, fmt.Sprintf(format, values...))
	w.Count("late: " + rule)
}

// close ends everything.
func (w *world) close() {
	w.stores.closeAll()
	w.mu.Lock()
	for _, machine := range w.all() {
		w.ended[machine] = w.lives[machine]
	}
	w.mu.Unlock()
	for _, machine := range w.all() {
		machine.Kill()
	}
	w.relay.Close()
}

// all lists the machines with the spares.
func (w *world) all() []*testbed.Machine {
	return append(append(w.Machines(), w.SpareCoordinators...), w.SpareTurnStores...)
}

// launch starts a machine and watches for processes that end by themselves.
func (w *world) launch(machine *testbed.Machine) error {
	w.mu.Lock()
	w.lives[machine]++
	w.started[machine] = time.Now()
	life := w.lives[machine]
	w.mu.Unlock()
	if err := machine.Start(); err != nil {
		return err
	}
	for _, role := range machine.Roles() {
		go w.watch(machine, role, life, machine.Exited(role))
	}
	return nil
}

func (w *world) watch(machine *testbed.Machine, role string, life int, exited <-chan struct{}) {
	<-exited
	w.mu.Lock()
	expected := w.ended[machine] >= life
	w.mu.Unlock()
	if !expected {
		w.Break("FAULT", "%s of %s ended by itself", role, machine.Settings.NodeName)
	}
}

// expectEnd says that the processes of a machine are about to be ended.
func (w *world) expectEnd(machine *testbed.Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[machine] = w.lives[machine]
}

// life numbers the starts of a machine's processes.
func (w *world) life(machine *testbed.Machine) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[machine]
}

// claim takes a machine for a trouble of its life; false where another one is on.
func (w *world) claim(machine *testbed.Machine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[machine] || w.gone[machine] {
		return false
	}
	w.busy[machine] = true
	return true
}

func (w *world) release(machine *testbed.Machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[machine] = false
}

// members lists the machines that are part of the tier.
func (w *world) members() []*testbed.Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var members []*testbed.Machine
	for _, machine := range w.all() {
		if w.lives[machine] > 0 && !w.gone[machine] {
			members = append(members, machine)
		}
	}
	return members
}

// machineAt finds the machine at an address, nil where there is none.
func (w *world) machineAt(address string) *testbed.Machine {
	for _, machine := range w.members() {
		if machine.Settings.IP == address {
			return machine
		}
	}
	return nil
}

// untilServed waits until every route is served at every edge.
func (w *world) untilServed(ctx context.Context, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	client := testbed.NewClient()
	defer client.Close()
	for _, edge := range w.Edges {
		for _, kind := range everyRoute {
			if err := w.untilRouteServed(ctx, client, edge, kind); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) untilRouteServed(ctx context.Context, client *testbed.Client, edge *testbed.Machine, kind routeKind) error {
	for number := 0; ; number++ {
		attempt := w.try(ctx, client, edge, kind, callOf(kind, fmt.Sprintf("first-%s-%d\n", testbed.NewRequestID(), number)), nil)
		if attempt.Status == 200 && attempt.whole() {
			return nil
		}
		if ctx.Err() != nil {
			return eris.Errorf("%s is not served at %s: last status %d %s", kind, edge.Settings.NodeName, attempt.Status, attempt.Error)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
