// Package invariant checks, in production code, conditions that the tier's guarantees rest on. A violation is counted
// by name and logged with the value found and the value expected; the process continues, or rejects what it cannot
// prove. In tests a violation panics: each package that checks an invariant calls FailTests from its tests.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// Message is the log line of a violation. The soak test fails if it finds one.
const Message = "invariant violated"

// logInterval is the shortest time between two log lines about one invariant.
const logInterval = time.Second

var violations = metrics.NewCounterVec("invariant_violations_total", "Violations of invariants, by name.", "invariant")

var state struct {
	mu     sync.Mutex
	log    hclog.Logger // of the process's role; nil before SetLogger
	panics bool
	logged map[string]time.Time
}

// SetLogger sets the logger that violations are written to. Without one they are only counted.
func SetLogger(log hclog.Logger) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.log = log
}

// FailTests makes every violation panic. Tests call it before anything else runs.
func FailTests() {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.panics = true
}

// Name identifies an invariant; docs/guarantees.md lists them.
type Name string

// Check records a violation of an invariant unless it holds, with the value found and the value expected, and returns
// holds.
func Check(holds bool, name Name, found, expected any) bool {
	if !holds {
		recordViolation(name, found, expected)
	}
	return holds
}

// Violations is how often an invariant was violated in this process.
func Violations(name Name) uint64 { return violations.Value(string(name)) }

func recordViolation(name Name, found, expected any) {
	violations.Inc(string(name))
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.panics {
		panic(fmt.Sprintf("%s: %s: found %v, want %v", Message, name, found, expected))
	}
	now := time.Now()
	if state.log == nil || now.Sub(state.logged[string(name)]) < logInterval {
		return
	}
	if state.logged == nil {
		state.logged = make(map[string]time.Time)
	}
	state.logged[string(name)] = now
	state.log.Error(Message, "invariant", string(name), "found", fmt.Sprint(found), "expected", fmt.Sprint(expected))
}
