//go:build review

// Command harness-2 runs the scripts of this review: a whole tier on loopback addresses, started with the commands of
// deploy/system.toml, with stand-ins for clients, model stores, the operator and the platform.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// commands are the run lines of deploy/system.toml.
var commands = map[string][]string{
	testbed.RoleProxy:       {"target/pulleytier", "proxy", "--metrics", "9464/metrics"},
	testbed.RoleAgent:       {"target/pulleytier", "agent", "--metrics", "9465/metrics"},
	testbed.RoleCoordinator: {"target/pulleytier", "coordinator", "--metrics", "9466/metrics"},
	testbed.RoleTurnStore:   {"target/pulleytier", "turn-store", "--metrics", "9467/metrics"},
}

var cases = map[string]func(context.Context, *run) (int, error){
	"invalid":   invalid,
	"planned":   planned,
	"replaced":  replaced,
	"retention": retention,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// run is one run of a case.
type run struct {
	trouble bool // false with TROUBLE=0
	tier    *testbed.Tier
	stores  []*testbed.Store
	busiest atomic.Int64 // most requests that ran on the model stores at a time
	began   time.Time    // start of the traffic

	mu     sync.Mutex
	record *os.File
}

func runCase(name, folder string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 118*time.Second)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.note("the case could not run: %v", err)
		return couldNot
	}
	defer os.RemoveAll(temporary)
	logs, err := os.Create(filepath.Join(temporary, "log"))
	if err != nil {
		r.note("the case could not run: %v", err)
		return couldNot
	}
	r.tier, err = newTier(temporary, logs)
	if err != nil {
		r.note("the case could not run: %v", err)
		return couldNot
	}
	defer r.tier.Kill()
	// An interrupt, or the end of the time, ends all processes at once, whatever the case waits for.
	unwatch := context.AfterFunc(ctx, func() {
		r.note("the case could not run to its end: %v", ctx.Err())
		for range 3 { // the case may be starting one
			r.tier.Kill()
			time.Sleep(100 * time.Millisecond)
		}
		_ = os.RemoveAll(temporary)
		os.Exit(couldNot)
	})
	defer unwatch()
	code, err := cases[name](ctx, r)
	if !unwatch() {
		select {} // interrupted or out of time: the process is about to exit
	}
	if err != nil {
		r.note("the case could not run: %v", err)
		code = couldNot
	}
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		if text, err := os.ReadFile(logs.Name()); err == nil {
			_ = os.WriteFile(keep, text, 0o644)
		}
	}
	return code
}

// note writes a line to the record, with the time since the traffic began.
func (r *run) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	_, _ = r.record.WriteString(line)
}

// say writes a line to the record and to standard output.
func (r *run) say(format string, arguments ...any) {
	r.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// newTier lays out the machines of hanbit-lotgw: 6 edges, 4 turn stores and 3 core machines in 4 zones, with its limits and
// bounds.
func newTier(folder string, logs *os.File) (*testbed.Tier, error) {
	tier, err := testbed.NewTier(testbed.Layout{
		Folder: folder, Subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
		Zones: []string{"cheonan-yard", "nonsan-yard", "cheongju-dc", "gongju-dc"},
		Edges: 6, Coordinators: 3, TurnStores: 4, ToleratedFailures: 1, Launch: launch, Log: logs,
		StoreResponseDelay: 5 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	for _, machine := range tier.Machines() {
		machine.Settings.Bounds.CatchUpS = 4.1
		machine.Settings.HeartbeatMs = 1200
		machine.Settings.Limits.MemoryMb = 284
	}
	return tier, nil
}

func launch(role, settings string) *exec.Cmd {
	words := commands[role]
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PULLEYGW_SETTINGS=" + settings}
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt ends this process, which then ends the others
	return command
}

// start starts the tier with stores of both services, and returns when all edges are ready for clients.
func (r *run) start(ctx context.Context, change func(*testbed.Configuration)) error {
	if err := r.tier.Start(); err != nil {
		return err
	}
	for i := range 14 { // 9 model stores and 5 of the plain service
		service, places := testbed.EngineService, slots
		if i >= modelStores {
			service, places = testbed.PlainService, 6
		}
		store, err := r.tier.AddStore(ctx, service, places)
		if err != nil {
			return err
		}
		r.stores = append(r.stores, store)
	}
	configuration := testbed.ExampleConfiguration(1)
	change(configuration)
	response, err := testbed.NewOperator(r.tier.Controls()).PutConfiguration(ctx, 0, configuration.Body())
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return fmt.Errorf("the first configuration got %d %s", response.Status, response.Body)
	}
	for _, edge := range r.tier.Edges {
		for r.tier.Ready(ctx, edge) != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", edge.Settings.NodeName)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	time.Sleep(2 * time.Second) // the first members of the turn stores
	r.began = time.Now()
	go r.sample(ctx)
	return nil
}

// The model stores: how many there are, and how many requests each runs at a time.
const (
	modelStores = 9
	slots       = 32
	modelSlots  = modelStores * slots
)

// sample measures how full the model stores are.
func (r *run) sample(ctx context.Context) {
	for ctx.Err() == nil {
		running := 0
		for _, store := range r.stores[:modelStores] {
			running += store.Running()
		}
		r.busiest.Store(max(r.busiest.Load(), int64(running)))
		time.Sleep(20 * time.Millisecond)
	}
}

// ran returns the ids of the requests that any store has run.
func (r *run) ran() map[string]bool {
	ids := make(map[string]bool)
	for _, store := range r.stores {
		for _, run := range store.Runs() {
			ids[run.RequestID] = true
		}
	}
	return ids
}

// at waits until a time in seconds since the traffic began.
func (r *run) at(seconds float64) {
	time.Sleep(time.Until(r.began.Add(time.Duration(seconds * float64(time.Second)))))
}
