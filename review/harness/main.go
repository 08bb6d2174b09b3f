//go:build review

// Command harness plays one case of the review: it starts a small tier, every role a process of its own on loopback
// addresses, with the project's stand-ins for clients, servers and the operator. It exits with 1 if the rule of the case
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

var (
	program    = flag.String("program", "target/pulleytier", "the tier's program")
	recordPath = flag.String("record", "", "file for what was sent, answered and run; empty: standard output")
	subnet     = flag.String("subnet", "127.83.1", "first three octets of the loopback addresses")
	trouble    = flag.Bool("trouble", true, "play the disruption")
	logPath    = flag.String("log", "", "file for the output of the processes; empty: none")
)

// maxDuration bounds a case.
const maxDuration = 117 * time.Second

// metricsPorts are the ports of the deploy file.
var metricsPorts = map[string]string{
	testbed.RoleProxy: "9464", testbed.RoleAgent: "9465", testbed.RoleCoordinator: "9466", testbed.RoleTurnStore: "9467",
}

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule is broken")

var cases = map[string]func(context.Context, *bench) error{
	"catchup":  playCatchUp,
	"capacity": playCapacity,
	"term":     playTerm,
}

func main() {
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "harness: no case", flag.Arg(0))
		os.Exit(2)
	}
	err := run(play)
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "harness: the case could not run:", err)
		os.Exit(2)
	}
}

func run(play func(context.Context, *bench) error) error {
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, maxDuration)
	defer cancel()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	b := &bench{folder: folder, record: os.Stdout, log: io.Discard, start: time.Now(), client: testbed.NewClient()}
	if *recordPath != "" {
		file, err := os.Create(*recordPath)
		if err != nil {
			return err
		}
		defer file.Close()
		b.record = file
	}
	if *logPath != "" {
		file, err := os.Create(*logPath)
		if err != nil {
			return err
		}
		defer file.Close()
		b.log = file
	}
	defer b.client.Close()
	defer b.end()
	defer context.AfterFunc(ctx, func() { // interrupted, or out of time: no process may stay behind
		b.end()
		_ = os.RemoveAll(folder)
		fmt.Fprintln(os.Stderr, "harness: the case could not run:", ctx.Err())
		os.Exit(2)
	})()
	return play(ctx, b)
}

// bench is a running tier with its stand-ins.
type bench struct {
	folder string
	log    io.Writer
	tier   *testbed.Tier
	client *testbed.Client
	stores []*testbed.Store
	start  time.Time

	mu     sync.Mutex
	record io.Writer
}

// say adds a line to the record.
func (b *bench) say(format string, arguments ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  ", time.Since(b.start).Seconds())
	fmt.Fprintf(b.record, format+"\n", arguments...)
}

// startTier starts the machines, registers servers, sends the configuration and waits until all edges are ready.
func (b *bench) startTier(ctx context.Context, layout testbed.Layout, adjust func(*testbed.Machine), configuration *testbed.Configuration) error {
	layout.Folder, layout.Subnet, layout.Log, layout.ToleratedFailures = b.folder, *subnet, b.log, 1
	layout.Launch = func(role, path string) *exec.Cmd {
		command := exec.Command(*program, role, "--metrics", metricsPorts[role]+"/metrics") // as in deploy/system.toml
		command.Env = append(os.Environ(), "PULLEYGW_SETTINGS="+path)
		command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		return command
	}
	tier, err := testbed.NewTier(layout)
	if err != nil {
		return err
	}
	b.tier = tier
	for _, machine := range tier.Machines() {
		adjust(machine)
	}
	if err := tier.Start(); err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for range 3 {
		store, err := tier.AddStore(starting, testbed.EngineService, 32)
		if err != nil {
			return err
		}
		b.stores = append(b.stores, store)
	}
	response, err := testbed.NewOperator(tier.Controls()).PutConfiguration(starting, 0, configuration.Body())
	if err != nil || response.Status != 200 {
		return errors.Join(fmt.Errorf("the first configuration: status %d", response.Status), err)
	}
	for _, edge := range tier.Edges {
		for tier.Ready(starting, edge) != nil {
			if !sleep(starting, 50*time.Millisecond) {
				return fmt.Errorf("%s did not become ready", edge.Settings.NodeName)
			}
		}
	}
	b.say("the tier is ready: %d edges, %d core machines, %d app_server machines", len(tier.Edges), len(tier.Coordinators), len(tier.TurnStores))
	return nil
}

// end ends all processes that the case started.
func (b *bench) end() {
	if b.tier != nil {
		b.tier.Kill()
	}
	for _, store := range b.stores {
		store.Kill()
	}
}

// do sends a call to an edge and adds it, its answer and whether a server ran it to the record.
func (b *bench) do(ctx context.Context, what string, edge int, call testbed.Call) testbed.Reply {
	if call.RequestID == "" {
		call.RequestID = testbed.NewRequestID()
	}
	sent := time.Since(b.start).Seconds()
	edge %= len(b.tier.Edges)
	reply := b.client.Do(ctx, b.tier.Fronts()[edge], call)
	whole := "whole"
	if reply.Err != nil {
		whole = "broken off: " + reply.Err.Error()
	}
	b.say("%s: sent %.3f to edge %d, id %s, previous %q, program %s; answer %d %s; run by a server: %v",
		what, sent, edge+1, call.RequestID, call.PreviousTurn, call.Program, reply.Status, whole, b.ran(call.RequestID))
	return reply
}

// ran reports whether a server has begun to run a request.
func (b *bench) ran(requestID string) bool {
	for _, store := range b.stores {
		for _, run := range store.Runs() {
			if run.RequestID == requestID {
				return true
			}
		}
	}
	return false
}

// killAtOnce kills all processes of some machines at the same moment.
func killAtOnce(machines []*testbed.Machine) {
	for _, machine := range machines {
		machine.Signal(syscall.SIGKILL)
	}
	var ended sync.WaitGroup
	for _, machine := range machines {
		ended.Go(machine.Kill)
	}
	ended.Wait()
}

func startAll(machines []*testbed.Machine) error {
	for _, machine := range machines {
		if err := machine.Start(); err != nil {
			return err
		}
	}
	return nil
}

// loseDisk kills a machine, empties its disk and starts it again at its old address.
func (b *bench) loseDisk(machine *testbed.Machine, dark time.Duration) error {
	killAtOnce([]*testbed.Machine{machine})
	if err := machine.Wipe(); err != nil {
		return err
	}
	b.say("%s loses its disk", machine.Settings.NodeName)
	time.Sleep(dark)
	err := machine.Start()
	b.say("%s is back with an empty disk", machine.Settings.NodeName)
	return err
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
