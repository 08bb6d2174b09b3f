package proxy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The attempt is marked as the last one if the request must not be executed twice or its route allows no further attempt.
// For such an attempt package upstream avoids idle connections that the store may have closed.
func TestLastAttemptIsMarked(t *testing.T) {
	for path, attempts := range map[string][]bool{"/i/x": {false, true}, "/r/x": {false, true}, "/n/x": {true, true}, "/s/x": {true, true}} {
		tp := newTestProxy(t, longTimeout, nil, nil)
		x := &exchange{proxy: tp.proxy, route: tp.proxy.snapshots.load().configuration.Route("h.example", path)}
		for executions, last := range attempts {
			x.executions = executions
			assert.Equal(t, x.isLastAttempt(), last, "%s, %d executions", path, executions)
		}
	}
}
