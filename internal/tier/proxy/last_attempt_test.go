package proxy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// What can't be sent to another store keeps away from connections that may be dead, be it that it must not run twice or
// that its route allows no further attempt.
func TestLastAttemptsAreSentOnce(t *testing.T) {
	for path, attempts := range map[string][]bool{"/i/x": {false, true}, "/r/x": {false, true}, "/n/x": {true, true}, "/s/x": {true, true}} {
		b := newTestProxy(t, longTimeout, nil, nil)
		x := &exchange{proxy: b.proxy, route: b.proxy.snapshots.load().configuration.Route("h.example", path)}
		for ran, once := range attempts {
			x.executions = ran
			assert.Equal(t, x.isLastAttempt(), once, "%s, %d", path, ran)
		}
	}
}
