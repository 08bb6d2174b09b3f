package coordinator

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// An instance that crashes while all coordinators lose their memory is announced by nobody again: no coordinator knows of it, so
// none marks it suspect. An edge that held it has to mark it suspect all the same, as its address goes to other services.
func TestInstanceThatCrashedWithAllCoordinatorsIsSuspectAtEdges(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		names := coreNames(3)
		assert.Equal(t, c.at("core-1").putHeartbeat("ready", 1), http.StatusOK)
		edge := c.startEdge("edge", names...)
		defer edge.stop()
		c.pass(time.Second)
		assert.Equal(t, edge.state.Instance("i-1").GetState(), tierpb.InstanceState_INSTANCE_READY)
		for _, name := range names {
			c.kill(name)
		}
		for _, name := range names {
			c.start(name, false)
		}
		c.pass(30 * time.Second)
		assert.Assert(t, edge.state.Instance("i-1").GetState() != tierpb.InstanceState_INSTANCE_READY,
			"30 s without a heartbeat the edge still sends to it")
	})
}
