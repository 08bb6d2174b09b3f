package coordinator

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// An instance crashes at the same time as all coordinators. After their restart no coordinator knows the instance, so none marks it
// suspect. Edges that still know it must mark it suspect themselves, because its address may be reused by another service.
func TestEdgeSuspectsInstanceThatCrashedTogetherWithAllCoordinators(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		names := coordinatorNames(3)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		edge := c.startEdge("edge", names...)
		defer edge.stop()
		c.advance(time.Second)
		assert.Equal(t, edge.state.Instance("i-1").GetState(), tierpb.InstanceState_INSTANCE_READY)
		for _, name := range names {
			c.kill(name)
		}
		for _, name := range names {
			c.start(name, false)
		}
		c.advance(30 * time.Second)
		assert.Assert(t, edge.state.Instance("i-1").GetState() != tierpb.InstanceState_INSTANCE_READY,
			"the edge still considers the instance ready after 30 s without a heartbeat")
	})
}
