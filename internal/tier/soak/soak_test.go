package soak_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/command"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/soak"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

var (
	seeds   = flag.Int("seeds", 2, "number of plans that TestSoak runs")
	first   = flag.Uint64("first-seed", 1, "seed of the first plan")
	traffic = flag.Duration("traffic", 6*time.Second, "how long faults are injected in each plan")
	jobs    = flag.Int("jobs", 1, "plans run at the same time")
	timed   = flag.Bool("timed", false, "check the time bounds of the rules too; for a machine that runs nothing else")
	keep    = flag.String("keep", "", "folder for the logs of plans with violations; empty: the temporary folder of the test")
	other   = flag.String("other", "", "program of the tier of another build, for plans that mix builds")
	keepAll = flag.Bool("keep-all", false, "keep the logs of all plans")
	planned = flag.String("plan", "", "plan file to run instead of drawn plans, as a failure leaves it")

	plannedSeeds   = flag.Int("planned-seeds", 2, "number of plans that TestPlannedWork runs")
	plannedTraffic = flag.Duration("planned-traffic", 12*time.Second, "how long planned work is begun in each of its plans")
	plannedEdges   = flag.Int("planned-edges", 0, "number of edges in its plans, 40 at the most; 0: drawn")
)

var (
	conversationSeeds   = flag.Int("conversation-seeds", 1, "number of plans that TestConversations runs")
	conversationTraffic = flag.Duration("conversation-traffic", 123*time.Second, "how long faults are injected in each of its plans")
	conversationEdges   = flag.Int("conversation-edges", 0, "number of edges in its plans, 40 at the most; 0: drawn")
)

// Environment variables that make this test's binary run a role of the tier.
const (
	relayVariable = "PULLEYTIER_SOAK_RELAY"
	selfVariable  = "PULLEYTIER_SOAK_SELF"
	diskVariable  = "PULLEYTIER_SOAK_DISK" // data folder of a process whose kills lose unsynced writes
)

func TestMain(m *testing.M) {
	if relay := os.Getenv(relayVariable); relay != "" {
		rpc.SetDefaultDialer(soak.Dialer(relay, os.Getenv(selfVariable)))
		if folder := os.Getenv(diskVariable); folder != "" {
			storage.SetDefaultDisk(soak.NewVolatileDisk(folder))
		}
		os.Exit(int(command.Run(os.Args[1:], os.Stdout, os.Stderr)))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func launch(role, settingsPath, relay, self, volatile string) *exec.Cmd {
	program := os.Args[0]
	started := exec.Command(program, role, "--log-format", "json", "--settings", settingsPath)
	started.Env = append(os.Environ(), relayVariable+"="+relay, selfVariable+"="+self, diskVariable+"="+volatile)
	return started
}

// otherBuild returns the launcher of the other build, nil if none is given.
func otherBuild() func(role, settingsPath string) *exec.Cmd {
	if *other == "" {
		return nil
	}
	return func(role, settingsPath string) *exec.Cmd {
		return exec.Command(*other, role, "--log-format", "json", "--settings", settingsPath)
	}
}

var usedSubnets atomic.Int32

// subnet returns addresses for one plan, disjoint from those of package endtoend.
func subnet() string {
	const firstOfSoak, count = 130, 60
	return fmt.Sprintf("127.%d.%d", firstOfSoak+os.Getpid()%count, (os.Getpid()/count+int(usedSubnets.Add(1)))%250)
}

// TestSoak runs drawn plans. Any violation fails it and leaves the plan, the log and the history in a folder.
func TestSoak(t *testing.T) {
	if *planned != "" {
		play(t, readPlan(t, *planned))
		return
	}
	playSeeds(t, *seeds, *jobs, func(seed uint64) soak.Plan { return soak.NewPlan(seed, *traffic) })
}

// TestPlannedWork runs plans of planned work alone: clients keep using their connections while edges shut down, with series
// of signals, restarts and configuration changes that overlap. It guards against shutdowns that take what they then cut.
func TestPlannedWork(t *testing.T) {
	playSeeds(t, *plannedSeeds, max(*jobs, 2), func(seed uint64) soak.Plan {
		return soak.NewPlannedPlan(seed, *plannedTraffic, *plannedEdges)
	})
}

// TestConversations runs plans of conversations that last for longer than their first turns are kept by themselves, while machines
// fail one after the other. It guards against turns that some replicas are not told to keep.
func TestConversations(t *testing.T) {
	playSeeds(t, *conversationSeeds, *jobs, func(seed uint64) soak.Plan {
		return soak.NewConversationPlan(seed, *conversationTraffic, *conversationEdges)
	})
}

// playSeeds runs the plans of so many seeds, some at the same time.
func playSeeds(t *testing.T, seeds, jobs int, draw func(seed uint64) soak.Plan) {
	t.Helper()
	var group sync.WaitGroup
	next := make(chan uint64)
	for range jobs {
		group.Go(func() {
			for seed := range next {
				play(t, draw(seed))
			}
		})
	}
	for number := range seeds {
		next <- *first + uint64(number)
	}
	close(next)
	group.Wait()
}

func readPlan(t *testing.T, path string) soak.Plan {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	plan := soak.Plan{}
	assert.NilError(t, json.Unmarshal(text, &plan))
	return plan
}

func play(t *testing.T, plan soak.Plan) {
	t.Helper()
	folder := t.TempDir()
	logs := folder
	if *keep != "" {
		logs = filepath.Join(*keep, fmt.Sprint("seed-", plan.Seed))
		if err := os.MkdirAll(logs, 0o755); err != nil {
			t.Error(err)
			return
		}
	}
	log, err := os.Create(filepath.Join(logs, "log"))
	if err != nil {
		t.Error(err)
		return
	}
	defer log.Close()
	buffered := &lockedWriter{to: bufio.NewWriter(log)}
	result, history, err := soak.Run(context.Background(), plan, soak.Options{
		Folder: filepath.Join(folder, fmt.Sprint(plan.Seed)), Subnet: subnet(), Log: buffered, Timed: *timed, Launch: launch,
		Other: otherBuild(),
	})
	buffered.flush()
	if err != nil {
		t.Errorf("seed %d: did not start: %v", plan.Seed, err)
		return
	}
	t.Logf("seed %d: %d of %d requests served in %.0f s, final %s, %v", plan.Seed, result.Served, result.Attempts, result.Seconds,
		plan.Final, result.Sometimes)
	save(t, logs, result, history)
	for _, violation := range result.Violations {
		t.Errorf("seed %d: %s at %s: %s (logs in %s)", plan.Seed, violation.Rule, violation.At.Format("15:04:05.000"), violation.Text, logs)
	}
	if len(result.Violations) == 0 && *keep != "" && !*keepAll {
		_ = os.RemoveAll(logs)
	}
}

// save writes the plan, the result and the history of clients beside the log.
func save(t *testing.T, folder string, result *soak.Result, history *soak.History) {
	t.Helper()
	for name, value := range map[string]any{"plan.json": result.Plan, "result.json": result} {
		text, err := json.MarshalIndent(value, "", " ")
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, name), text, 0o644)
		}
		if err != nil {
			t.Error(err)
		}
	}
	attempts, err := os.Create(filepath.Join(folder, "history.jsonl"))
	if err != nil {
		t.Error(err)
		return
	}
	defer attempts.Close()
	if err := history.Save(attempts); err != nil {
		t.Error(err)
	}
}

// lockedWriter lets processes and clients write one log.
type lockedWriter struct {
	mu sync.Mutex
	to *bufio.Writer
}

func (w *lockedWriter) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(text)
}

func (w *lockedWriter) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.to.Flush()
}
