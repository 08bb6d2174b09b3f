// Package invariant checks, in production code, conditions on which the tier's guarantees depend. A violation is counted by
// name and logged with the found and the expected value. The process continues; the caller of Check may reject the request.
// In the tests of packages that check invariants a violation panics.
package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// Message is the message of the log line for a violation. The soak test fails if it finds one.
const Message = "invariant violated"

// logInterval is the minimum time between two log lines about the same invariant.
const logInterval = time.Second

var violations = metrics.NewCounterVec("invariant_violations_total", "Violations of invariants, by name.", "invariant")

var state struct {
	mu     sync.Mutex
	log    hclog.Logger // nil before SetLogger
	panics bool
	logged map[string]time.Time // time of the last log line, by name
}

// SetLogger sets the logger for violations. Without a logger they are only counted.
func SetLogger(log hclog.Logger) {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.log = log
}

// PanicOnViolation makes every violation panic. It is called from init functions in test files.
func PanicOnViolation() {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.panics = true
}

// Name identifies an invariant. The invariants are listed in docs/guarantees.md.
type Name string

// Check counts and logs a violation of the invariant unless holds is true. It returns holds.
func Check(holds bool, name Name, found, expected any) bool {
	if !holds {
		recordViolation(name, found, expected)
	}
	return holds
}

// Violations returns how often an invariant was violated in this process.
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
