package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

const tested Name = "tested"

func TestViolationIsCountedAndLoggedOncePerInterval(t *testing.T) {
	log := &bytes.Buffer{}
	SetLogger(hclog.New(&hclog.LoggerOptions{Output: log}))
	defer SetLogger(nil)
	before := Violations(tested)
	assert.Assert(t, Check(true, tested, 1, 1))
	for range 3 {
		assert.Assert(t, !Check(false, tested, 1, 2))
	}
	assert.Equal(t, Violations(tested), before+3)
	assert.Equal(t, strings.Count(log.String(), Message), 1, "%s", log)
	assert.Assert(t, strings.Contains(log.String(), "found=1 expected=2"), "%s", log)
}

func TestViolationPanicsInTests(t *testing.T) {
	PanicOnViolation()
	defer func() {
		state.mu.Lock()
		state.panics = false
		state.mu.Unlock()
	}()
	defer func() { assert.Assert(t, recover() != nil) }()
	Check(false, tested, 1, 2)
}
