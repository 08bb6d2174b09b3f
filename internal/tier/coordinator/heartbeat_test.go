package coordinator

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of what an instance accepts as a response.
const (
	replyTimeout  = time.Second
	maxReplyBytes = 4 << 10
)

// Every response to an instance arrives within a second and has at most 4 KiB, whatever the instance sent and whether or not
// there is quorum contact.
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
			withCluster(t, 3, 1, func(c *cluster) {
				c.isolate("core-1", isolated)
				for _, method := range []string{http.MethodPut, http.MethodDelete} {
					started := time.Now()
					_, answer := c.process("core-1").send(method, path, "", body)
					assert.Assert(t, time.Since(started) < replyTimeout, "%s %s: %v", method, name, time.Since(started))
					assert.Assert(t, len(answer) <= maxReplyBytes, "%s %s: %d bytes", method, name, len(answer))
				}
			})
		}
	}
}

// A heartbeat that arrives after one with a higher sequence changes nothing, including the remaining time of the slow start.
func TestReorderedHeartbeatIsIgnored(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		slowStart := func(sequence, milliseconds string) string {
			body := heartbeat("ready", 0)
			return strings.Replace(body, `"sequence":0`, `"coldRemainingMs":`+milliseconds+`,"sequence":`+sequence, 1)
		}
		send := func(name, body string) {
			status, answer := c.process(name).send(http.MethodPut, "/v1/instances/i-1", "", body)
			assert.Equal(t, status, http.StatusOK, answer)
		}
		send("core-1", slowStart("7", "0"))
		c.advance(replicationTimeout)
		send("core-2", strings.Replace(slowStart("6", "3000"), "10.9.0.1:80", "10.9.0.2:80", 1))
		c.advance(replicationTimeout)
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			known := c.process(name).state.Instance("i-1")
			assert.Equal(t, known.Sequence, uint64(7), name)
			assert.Equal(t, known.SlowStartRemainingMs, uint32(0), name)
			assert.Equal(t, known.Address, "10.9.0.1:80", name)
		}
	})
}

// An instance may send DELETE to a coordinator that does not know it yet, and without having drained. It is deregistered at all
// coordinators, and a heartbeat that was in flight does not bring it back.
func TestUnknownInstanceIsDeregistered(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		all := []string{"core-1", "core-2", "core-3"}
		status, _ := c.process("core-2").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 4), http.StatusOK)
		c.advance(replicationTimeout)
		assert.DeepEqual(t, c.instanceStates(all...), []tierpb.InstanceState{stateDeregistered, stateDeregistered, stateDeregistered})
	})
}
