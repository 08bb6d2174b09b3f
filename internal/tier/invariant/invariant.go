// Package invariant checks, in the code that runs, conditions that the tier's promises rest on. A violation is counted by
// name and logged with both values; the process serves on, or refuses what it can't prove. In tests a violation ends the
// test's process: each package that checks something calls FailTests from its tests.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// Message is the log line of a violation; soaks look for it.
const Message = "invariant violated"

// logEvery is the least time between two lines of one invariant.
const logEvery = time.Second

var violations = metrics.NewCounterVec("invariant_violations_total", "Violations of conditions that promises rest on, by name.", "invariant")

var state struct {
	mu     sync.Mutex
	log    hclog.Logger // of the process's role; nil before SetLogger
	fail   bool
	logged map[string]time.Time
}

// SetLogger has violations logged.
func SetLogger(log hclog.Logger) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.log = log
}

// FailTests has a violation panic. Tests call it before anything else runs.
func FailTests() {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.fail = true
}

// Name names an invariant; docs/promises.md lists them.
type Name string

// Check records a violation of an invariant unless it holds, with what was found and what was to be expected.
func Check(holds bool, name Name, found, expected any) bool {
	if !holds {
		violated(name, found, expected)
	}
	return holds
}

// Violations is how often an invariant was violated in this process.
func Violations(name Name) uint64 { return violations.Value(string(name)) }

func violated(name Name, found, expected any) {
	violations.Inc(string(name))
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.fail {
		panic(fmt.Sprintf("%s: %s: found %v, want %v", Message, name, found, expected))
	}
	now := time.Now()
	if state.log == nil || now.Sub(state.logged[string(name)]) < logEvery {
		return
	}
	if state.logged == nil {
		state.logged = make(map[string]time.Time)
	}
	state.logged[string(name)] = now
	state.log.Error(Message, "invariant", string(name), "found", fmt.Sprint(found), "expected", fmt.Sprint(expected))
}
