package proxy

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/admission"
)

// logBuffer is a log output that can be read while other goroutines write to it.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newEjectionLog returns an ejectionLog and its output.
func newEjectionLog() (*ejectionLog, *logBuffer) {
	written := &logBuffer{}
	return &ejectionLog{log: hclog.New(&hclog.LoggerOptions{Output: written})}, written
}

// When a zone fails and recovers, all ejections are logged in one line and all returns in another.
func TestSimultaneousEjectionsShareOneLogLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, written := newEjectionLog()
		for number := range 120 {
			reason := admission.EjectedStalled
			if number%4 == 0 {
				reason = admission.EjectedUnreachable
			}
			l.record(admission.HealthChange{Service: "engine", Instance: fmt.Sprint("i-", number), Reason: reason, Ejected: true})
		}
		time.Sleep(ejectionLogDelay + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, strings.Count(written.String(), "stores ejected"), 1, "%s", written)
		for _, part := range []string{"count=120", `reasons=["stalled:90", "unreachable:30"]`, `services=["engine"]`, `"i-0"`, `"i-7"]`} {
			assert.Check(t, strings.Contains(written.String(), part), "%s is missing in %s", part, written)
		}
		for number := range 120 {
			l.record(admission.HealthChange{Service: "engine", Instance: fmt.Sprint("i-", number), Reason: admission.EjectedStalled})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(ejectionLogInterval)
		synctest.Wait()
		assert.Equal(t, strings.Count(written.String(), "stores returned"), 1, "%s", written)
		assert.Equal(t, strings.Count(written.String(), "\n"), 2, "%s", written)
	})
}

func TestSingleEjectionIsLoggedAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, written := newEjectionLog()
		l.record(admission.HealthChange{Service: "s", Instance: "i-1", Reason: admission.EjectedFailing, Ejected: true})
		time.Sleep(ejectionLogDelay + time.Millisecond)
		synctest.Wait()
		assert.Assert(t, strings.Contains(written.String(), `instances=["i-1"]`), "%s", written)
		l.record(admission.HealthChange{Service: "s", Instance: "i-1", Reason: admission.EjectedFailing})
		time.Sleep(ejectionLogDelay + time.Millisecond)
		synctest.Wait()
		assert.Assert(t, !strings.Contains(written.String(), "stores returned"), "logged before the interval has passed: %s", written)
		time.Sleep(ejectionLogInterval)
		synctest.Wait()
		assert.Assert(t, strings.Contains(written.String(), "stores returned"), "%s", written)
	})
}
