package coordinator

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// What stores wait for and read of an answer.
const (
	replyTimeout  = time.Second
	maxReplyBytes = 4 << 10
)

// Acks: every answer to a store comes within a second and holds 4 KiB at most, whatever the store said and whether there
// is a majority or not.
func TestRepliesToInstancesAreSmallAndInTime(t *testing.T) {
	const path = "/v1/instances/i-1"
	long := strings.Repeat("x", 8<<10)
	bodies := map[string]string{
		"ready":        heartbeat("ready", 1),
		"draining":     heartbeat("draining", 2),
		"long state":   heartbeat(long, 3),
		"long address": strings.Replace(heartbeat("ready", 4), "10.9.0.1:80", long, 1),
		"long backend": strings.Replace(heartbeat("ready", 5), `"s"`, `"`+long+`"`, 1),
		"not JSON":     long,
	}
	for _, isolated := range []bool{false, true} {
		for name, body := range bodies {
			inCluster(t, 3, 1, func(c *cluster) {
				c.isolate("core-1", isolated)
				for _, method := range []string{http.MethodPut, http.MethodDelete} {
					began := time.Now()
					_, answer := c.at("core-1").send(method, path, "", body)
					assert.Assert(t, time.Since(began) < replyTimeout, "%s %s: %v", method, name, time.Since(began))
					assert.Assert(t, len(answer) <= maxReplyBytes, "%s %s: %d bytes", method, name, len(answer))
				}
			})
		}
	}
}

// A heartbeat that comes late, behind later ones, changes nothing; the rest of the slowStart time is that of the newest.
func TestHeartbeatThatComesLateChangesNothing(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		slowStart := func(sequence, milliseconds string) string {
			body := heartbeat("ready", 0)
			return strings.Replace(body, `"sequence":0`, `"coldRemainingMs":`+milliseconds+`,"sequence":`+sequence, 1)
		}
		send := func(name, body string) {
			status, answer := c.at(name).send(http.MethodPut, "/v1/instances/i-1", "", body)
			assert.Equal(t, status, http.StatusOK, answer)
		}
		send("core-1", slowStart("7", "0"))
		c.pass(spreadTimeout)
		send("core-2", strings.Replace(slowStart("6", "3000"), "10.9.0.1:80", "10.9.0.2:80", 1))
		c.pass(spreadTimeout)
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			known := c.at(name).state.Instance("i-1")
			assert.Equal(t, known.Sequence, uint64(7), name)
			assert.Equal(t, known.SlowStartRemainingMs, uint32(0), name)
			assert.Equal(t, known.Address, "10.9.0.1:80", name)
		}
	})
}

// DRAIN: an instance that was never draining may say DELETE at a coordinator that does not know it yet; it is deregistered for all,
// and a heartbeat that was on its way does not bring it back.
func TestDeleteBeforeAnythingElse(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		all := []string{"core-1", "core-2", "core-3"}
		status, _ := c.at("core-2").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, c.at("core-1").putHeartbeat("ready", 4), http.StatusOK)
		c.pass(spreadTimeout)
		assert.DeepEqual(t, c.states(all...), []tierpb.InstanceState{stateDeregistered, stateDeregistered, stateDeregistered})
	})
}
