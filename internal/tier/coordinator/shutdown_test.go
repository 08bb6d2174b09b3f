package coordinator

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A standby that was told to stop and finishes its calls is no replacement for a voter that is lost meanwhile, also
// where it holds the lease itself.
func TestStandbyThatStopsIsNoReplacement(t *testing.T) {
	for _, leader := range []string{"core-1", "core-4"} {
		t.Run(leader, func(t *testing.T) {
			inClusterLedBy(t, leader, 5, 1, func(c *cluster) {
				c.at("core-4").membership.BeginShutdown()
				c.pass(1500 * time.Millisecond)
				c.kill("core-2")
				c.pass(4 * time.Second)
				assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-3", "core-5"})
				assert.Assert(t, !slices.Contains(c.voterNames("core-5"), "core-4"))
			})
		})
	}
}
